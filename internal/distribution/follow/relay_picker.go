package follow

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// minBackoff and maxBackoff limit the backoff from a failed relay. The backoff doubles with
	// each consecutive failure, and the relay is skipped for a random time between half of the
	// backoff and all of it.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 5 * time.Second
	// maxRetryAfter is the maximum Retry-After that the picker honors. The followers of the relay
	// retry at random times between the Retry-After and twice that.
	maxRetryAfter = 10 * time.Second
	// maxBackoffDoublings prevents overflow of the backoff, which reaches maxBackoff earlier.
	maxBackoffDoublings = 10
)

// relayPicker chooses the relay to read from. A relay is identified by its index in the order of
// preference. A relayPicker performs no I/O: time and random generator are arguments.
type relayPicker struct {
	relays []relay // by preference
}

// relay is one relay to choose from.
type relay struct {
	address      string
	failures     int       // number of consecutive failures
	backoffUntil time.Time // time until which the relay is skipped
}

// newRelayPicker orders relays by rendezvous hashing and removes duplicates. Each follower has its
// own order, which is the same after a restart. The followers of a failed relay are spread evenly
// over the other relays.
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

// next returns the relay to read from and the time to wait before the read. It is the most
// preferred relay without a backoff, or the one whose backoff ends first if all have one.
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

// failed records that a read from a relay has failed. A retryAfter of 0 means that the relay sent
// none.
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

// succeeded records that a read from a relay has succeeded.
func (p *relayPicker) succeeded(choice int) {
	p.relays[choice].failures = 0
	p.relays[choice].backoffUntil = time.Time{}
}
