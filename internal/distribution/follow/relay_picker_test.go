package follow

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// testRand returns a generator with a fixed seed.
func testRand() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

// Followers are spread evenly over the relays. The followers of a failed relay are spread evenly
// over the other relays.
func TestRendezvousHashing(t *testing.T) {
	relays := []string{"127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", "127.0.0.1:4", "127.0.0.1:1"}
	const followers = 4_000
	first, second := make(map[string]int), make(map[string]int)
	for i := range followers {
		p := newRelayPicker(fmt.Sprint("proxy-", i), relays)
		if len(p.relays) != 4 {
			t.Fatalf("got %d relays, want 4", len(p.relays))
		}
		first[p.relays[0].address]++
		if p.relays[0].address == relays[0] {
			second[p.relays[1].address]++
		}
	}
	for _, address := range relays[:4] {
		if n := first[address]; n < followers/4*9/10 || n > followers/4*11/10 {
			t.Errorf("%s is the first choice of %d of %d followers, want about a quarter", address, n, followers)
		}
	}
	for _, address := range relays[1:4] {
		if n := second[address]; n < first[relays[0]]/3*8/10 || n > first[relays[0]]/3*12/10 {
			t.Errorf("%s is the second choice of %d of %d followers, want about a third", address, n, first[relays[0]])
		}
	}
}

// A failed relay is skipped for an increasing time and then tried again.
func TestBackoff(t *testing.T) {
	now, random := time.Unix(1_000, 0), testRand()
	p := newRelayPicker("p", []string{"a", "b"})
	for failures := range 20 {
		longest := min(minBackoff<<min(failures, maxBackoffDoublings), maxBackoff)
		choice, wait := p.next(now)
		if choice != 0 || wait != 0 {
			t.Fatalf("after the backoff: got choice %d in %v, want 0 at once", choice, wait)
		}
		p.failed(0, now, 0, random)
		if choice, wait := p.next(now); choice != 1 || wait != 0 {
			t.Fatalf("after a failure: got choice %d in %v, want 1 at once", choice, wait)
		}
		if wait := p.relays[0].backoffUntil.Sub(now); wait < longest/2 || wait > longest {
			t.Fatalf("failure %d: got a backoff of %v, want %v to %v", failures, wait, longest/2, longest)
		}
		now = p.relays[0].backoffUntil
	}
	p.succeeded(0)
	p.failed(0, now, 0, random)
	if wait := p.relays[0].backoffUntil.Sub(now); wait > minBackoff {
		t.Errorf("after a success: got a backoff of %v, want at most %v", wait, minBackoff)
	}
}

// If all relays have failed, the relay whose backoff ends first is chosen.
func TestAllRelaysFail(t *testing.T) {
	now, random := time.Unix(1_000, 0), testRand()
	p := newRelayPicker("p", []string{"a", "b", "c"})
	for i := range p.relays {
		p.failed(i, now, 0, random)
	}
	choice, wait := p.next(now)
	for _, r := range p.relays {
		if wait <= 0 || now.Add(wait).After(r.backoffUntil) {
			t.Errorf("got choice %d in %v, but the backoff of %s ends in %v",
				choice, wait, r.address, r.backoffUntil.Sub(now))
		}
	}
}

// A Retry-After is honored up to a limit, and the followers of the relay retry at random times
// between the Retry-After and twice that.
func TestRetryAfter(t *testing.T) {
	now, random := time.Unix(1_000, 0), testRand()
	for _, retryAfter := range []time.Duration{time.Second, time.Hour} {
		p := newRelayPicker("p", []string{"a"})
		p.failed(0, now, retryAfter, random)
		bound := min(retryAfter, maxRetryAfter)
		if _, wait := p.next(now); wait < bound || wait > 2*bound {
			t.Errorf("Retry-After of %v: got a wait of %v, want %v to %v", retryAfter, wait, bound, 2*bound)
		}
	}
}
