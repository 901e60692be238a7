package route

import (
	"errors"
	"fmt"
	"math"
)

// MaxWeight is the largest weight of one side of a split.
const MaxWeight = 1_000_000

// Arm is one side of a split.
type Arm struct {
	Name   string // of a service; the draw hangs on it and not on the order
	Weight int    // against those of the other sides; 0 gets nothing
}

// Split deals requests out among sides by their weights. It is sticky: by weighted rendezvous hashing one key always
// goes to the same side while weights stand, and when the weight of one side changes, keys move to or from that side
// alone, as many as the change requires.
type Split struct {
	salt  string
	sides []Arm
	total int
}

// NewSplit returns a split; those with different salts deal keys out independently of each other.
func NewSplit(salt string, sides []Arm) (*Split, error) {
	s := &Split{salt: salt, sides: sides}
	seen := map[string]bool{}
	for _, side := range sides {
		switch {
		case side.Weight < 0 || side.Weight > MaxWeight:
			return nil, fmt.Errorf("weight of %q: %d, 0 to %d expected", side.Name, side.Weight, MaxWeight)
		case seen[side.Name]:
			return nil, fmt.Errorf("%q stands twice", side.Name)
		}
		seen[side.Name] = true
		s.total += side.Weight
	}
	if s.total == 0 {
		return nil, errors.New("no side has a weight")
	}
	return s, nil
}

// ForKey returns the number of the side that a key goes to.
func (s *Split) ForKey(key string) int {
	best, most := -1, math.Inf(-1)
	for i, side := range s.sides {
		if side.Weight == 0 {
			continue
		}
		// The hash as a number between 0 and 1, neither included.
		u := (float64(Hash(s.salt, key, side.Name)>>11) + 0.5) / (1 << 53)
		if score := -float64(side.Weight) / math.Log(u); score > most {
			best, most = i, score
		}
	}
	return best
}

// Pick returns the side that a random number falls to, for requests with no key.
func (s *Split) Pick(random uint64) int {
	left := int(random % uint64(s.total))
	for i, side := range s.sides {
		if left -= side.Weight; left < 0 {
			return i
		}
	}
	return len(s.sides) - 1 // not reached
}

// Hash is a 64-bit hash of words, the same everywhere and always: FNV-1a over each word and a byte that no UTF-8
// text holds, and then the finaliser of MurmurHash3, without which similar keys fall to similar places.
func Hash(words ...string) uint64 {
	const offset, prime = 14695981039346656037, 1099511628211
	h := uint64(offset)
	for _, w := range words {
		for i := 0; i < len(w); i++ {
			h = (h ^ uint64(w[i])) * prime
		}
		h = (h ^ 0xff) * prime
	}
	h = (h ^ h>>33) * 0xff51afd7ed558ccd
	h = (h ^ h>>33) * 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}
