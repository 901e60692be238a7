package follow

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Backoff of a relay that has failed: drawn between half and the whole of a time that doubles with each failure.
const (
	leastBackoff = 100 * time.Millisecond
	mostBackoff  = 5 * time.Second
	// A relay that asks to come back later is taken at its word up to here, and whoever was asked comes spread over as much again.
	mostRetryAfter = 10 * time.Second
)

// picker chooses the relay to read from. It is pure: time and randomness are arguments.
type picker struct {
	relays []relay // the first choice first
}

// relay is one choice.
type relay struct {
	address string
	failed  int       // times in a row
	until   time.Time // not before then
}

// newPicker orders relays by rendezvous: each follower has an order of its own, the same after a restart, and those of a
// relay that dies are spread evenly over the others.
func newPicker(follower string, addresses []string) *picker {
	type scored struct {
		address string
		score   uint64
	}
	all := make([]scored, 0, len(addresses))
	for _, a := range addresses {
		all = append(all, scored{a, xxhash.Sum64String(follower + "\x00" + a)})
	}
	slices.SortFunc(all, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.address, b.address))
	})
	all = slices.CompactFunc(all, func(a, b scored) bool { return a.address == b.address })
	p := &picker{relays: make([]relay, 0, len(all))}
	for _, s := range all {
		p.relays = append(p.relays, relay{address: s.address})
	}
	return p
}

// next is the relay to ask, and how long to wait before.
func (p *picker) next(now time.Time) (choice int, wait time.Duration) {
	for i := range p.relays {
		if !now.Before(p.relays[i].until) {
			return i, 0
		}
		if p.relays[i].until.Before(p.relays[choice].until) {
			choice = i
		}
	}
	return choice, p.relays[choice].until.Sub(now)
}

// failedNow says that a relay did not answer, or asked to come back later than retryAfter (0: it did not).
func (p *picker) failedNow(choice int, now time.Time, retryAfter time.Duration, random *rand.Rand) {
	r := &p.relays[choice]
	backoff := min(leastBackoff<<min(r.failed, 10), mostBackoff)
	r.failed++
	wait := backoff/2 + time.Duration(random.Int64N(int64(backoff/2)+1))
	if retryAfter > 0 {
		asked := min(retryAfter, mostRetryAfter)
		wait = asked + time.Duration(random.Int64N(int64(asked)))
	}
	r.until = now.Add(wait)
}

// answered says that a relay answers.
func (p *picker) answered(choice int) {
	p.relays[choice].failed = 0
	p.relays[choice].until = time.Time{}
}
