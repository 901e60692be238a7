package route

import (
	"fmt"
	"math"
)

// MaxWeight is the largest weight of one arm.
const MaxWeight = 1_000_000

// Arm is one arm of a split.
type Arm struct {
	Name   string // name of a service; keys are assigned by name, not by the order of the arms
	Weight int    // weight relative to the other arms; 0 means no requests
}

// Split assigns requests to arms by weight. Keys are assigned by weighted rendezvous hashing: a key
// always goes to the same arm while the weights are unchanged, and when the weight of one arm
// changes, keys move only to or from that arm, and no more keys than necessary. A Split is
// immutable and safe for concurrent use.
type Split struct {
	salt        string
	arms        []Arm
	totalWeight int
}

// NewSplit returns a Split. Splits with different salts assign keys independently of each other.
func NewSplit(salt string, arms []Arm) (*Split, error) {
	s := &Split{salt: salt, arms: arms}
	seen := map[string]bool{}
	for _, arm := range arms {
		switch {
		case arm.Weight < 0 || arm.Weight > MaxWeight:
			return nil, fmt.Errorf("weight of %q: %d, 0 to %d expected", arm.Name, arm.Weight, MaxWeight)
		case seen[arm.Name]:
			return nil, fmt.Errorf("%q stands twice", arm.Name)
		}
		seen[arm.Name] = true
		s.totalWeight += arm.Weight
	}
	if s.totalWeight == 0 {
		return nil, errNoWeight
	}
	return s, nil
}

// ForKey returns the index of the arm to which a key is assigned.
func (s *Split) ForKey(key string) int {
	best, bestScore := -1, math.Inf(-1)
	for i, arm := range s.arms {
		if arm.Weight == 0 {
			continue
		}
		// u is the hash as a number between 0 and 1, both excluded.
		u := (float64(Hash(s.salt, key, arm.Name)>>11) + 0.5) / (1 << 53)
		if score := -float64(arm.Weight) / math.Log(u); score > bestScore {
			best, bestScore = i, score
		}
	}
	return best
}

// Pick returns the index of the arm for a random number. It is for requests without a key.
func (s *Split) Pick(random uint64) int {
	left := int(random % uint64(s.totalWeight))
	for i, arm := range s.arms {
		left -= arm.Weight
		if left < 0 {
			return i
		}
	}
	return len(s.arms) - 1 // unreachable, because left is less than the sum of the weights
}

// Hash returns a 64-bit hash of words that is the same in every process and version. It is FNV-1a
// over each word followed by a byte that does not occur in UTF-8 text, and then the finalizer of
// MurmurHash3. Without the finalizer, similar keys would get similar hashes.
func Hash(words ...string) uint64 {
	const offset, prime = 14695981039346656037, 1099511628211
	h := uint64(offset)
	for _, word := range words {
		for i := range len(word) {
			h = (h ^ uint64(word[i])) * prime
		}
		h = (h ^ 0xff) * prime
	}
	h = (h ^ h>>33) * 0xff51afd7ed558ccd
	h = (h ^ h>>33) * 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}
