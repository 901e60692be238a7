package follow

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// A relay that has failed is not asked again for a time drawn between half and all of a
	// backoff, which doubles with each failure in a row from minBackoff to maxBackoff.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 5 * time.Second
	// maxRetryAfter bounds the Retry-After of a relay that is kept. Its followers come back spread
	// over as much time again.
	maxRetryAfter = 10 * time.Second
	// maxBackoffDoublings keeps the backoff from overflowing; maxBackoff is reached before.
	maxBackoffDoublings = 10
)

// relayPicker chooses the relay to read from. A relay is named by its index in the order of
// preference. relayPicker is pure: time and randomness are arguments.
type relayPicker struct {
	relays []relay // by preference
}

// relay is one relay to choose from.
type relay struct {
	address      string
	failures     int       // in a row
	backoffUntil time.Time // not asked before then
}

// newRelayPicker orders relays by rendezvous hashing. Each follower has its own order, the same
// after a restart, and the followers of a relay that fails are spread evenly over the others.
// Duplicates are dropped.
func newRelayPicker(follower string, addresses []string) *relayPicker {
	type scoredAddress struct {
		address string
		score   uint64
	}
	scored := make([]scoredAddress, 0, len(addresses))
	for _, address := range addresses {
		score := xxhash.Sum64String(follower + "\x00" + address)
		scored = append(scored, scoredAddress{address: address, score: score})
	}
	slices.SortFunc(scored, func(a, b scoredAddress) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.address, b.address))
	})
	scored = slices.CompactFunc(scored, func(a, b scoredAddress) bool { return a.address == b.address })
	p := &relayPicker{relays: make([]relay, 0, len(scored))}
	for _, s := range scored {
		p.relays = append(p.relays, relay{address: s.address})
	}
	return p
}

// address returns the address of a relay.
func (p *relayPicker) address(choice int) string { return p.relays[choice].address }

// addresses returns the addresses of all relays, by preference.
func (p *relayPicker) addresses() []string {
	addresses := make([]string, 0, len(p.relays))
	for i := range p.relays {
		addresses = append(addresses, p.relays[i].address)
	}
	return addresses
}

// next returns the relay to ask, and how long to wait before: the first one that is not backed off
// from, else the one that may be asked soonest.
func (p *relayPicker) next(now time.Time) (choice int, wait time.Duration) {
	for i := range p.relays {
		if !now.Before(p.relays[i].backoffUntil) {
			return i, 0
		}
		if p.relays[i].backoffUntil.Before(p.relays[choice].backoffUntil) {
			choice = i
		}
	}
	return choice, p.relays[choice].backoffUntil.Sub(now)
}

// failed notes that a relay did not answer, or asked to come back after retryAfter (0: it did not).
func (p *relayPicker) failed(choice int, now time.Time, retryAfter time.Duration, random *rand.Rand) {
	r := &p.relays[choice]
	backoff := min(minBackoff<<min(r.failures, maxBackoffDoublings), maxBackoff)
	r.failures++
	wait := backoff/2 + time.Duration(random.Int64N(int64(backoff/2)+1))
	if retryAfter > 0 {
		bounded := min(retryAfter, maxRetryAfter)
		wait = bounded + time.Duration(random.Int64N(int64(bounded)))
	}
	r.backoffUntil = now.Add(wait)
}

// succeeded notes that a relay answers.
func (p *relayPicker) succeeded(choice int) {
	p.relays[choice].failures = 0
	p.relays[choice].backoffUntil = time.Time{}
}
