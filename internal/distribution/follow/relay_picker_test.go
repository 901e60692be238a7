package follow

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// testRand returns a generator with a fixed seed.
func testRand() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

// Followers are spread evenly over relays, and those of a relay that fails evenly over the others.
func TestRendezvousHashing(t *testing.T) {
	relays := []string{"127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", "127.0.0.1:4", "127.0.0.1:1"}
	const followers = 4_000
	first, second := make(map[string]int), make(map[string]int)
	for i := range followers {
		p := newRelayPicker(fmt.Sprint("proxy-", i), relays)
		if len(p.relays) != 4 {
			t.Fatalf("%d relays, 4 expected", len(p.relays))
		}
		first[p.relays[0].address]++
		if p.relays[0].address == relays[0] {
			second[p.relays[1].address]++
		}
	}
	for _, address := range relays[:4] {
		if n := first[address]; n < followers/4*9/10 || n > followers/4*11/10 {
			t.Errorf("%s is the first choice of %d of %d", address, n, followers)
		}
	}
	for _, address := range relays[1:4] {
		if n := second[address]; n < first[relays[0]]/3*8/10 || n > first[relays[0]]/3*12/10 {
			t.Errorf("%s is the second choice of %d of %d", address, n, first[relays[0]])
		}
	}
}

// A relay that fails is not asked for a growing time, but is asked again.
func TestBackoff(t *testing.T) {
	now, random := time.Unix(1_000, 0), testRand()
	p := newRelayPicker("p", []string{"a", "b"})
	for failures := range 20 {
		longest := min(minBackoff<<min(failures, maxBackoffDoublings), maxBackoff)
		choice, wait := p.next(now)
		if choice != 0 || wait != 0 {
			t.Fatalf("choice %d in %v", choice, wait)
		}
		p.failed(0, now, 0, random)
		if choice, wait := p.next(now); choice != 1 || wait != 0 {
			t.Fatalf("after a failure: choice %d in %v", choice, wait)
		}
		if wait := p.relays[0].backoffUntil.Sub(now); wait < longest/2 || wait > longest {
			t.Fatalf("failure %d: backoff of %v, %v at most expected", failures, wait, longest)
		}
		now = p.relays[0].backoffUntil
	}
	p.succeeded(0)
	p.failed(0, now, 0, random)
	if wait := p.relays[0].backoffUntil.Sub(now); wait > minBackoff {
		t.Errorf("after an answer: backoff of %v", wait)
	}
}

// If all relays have failed, the one that may be asked soonest is chosen.
func TestAllRelaysFail(t *testing.T) {
	now, random := time.Unix(1_000, 0), testRand()
	p := newRelayPicker("p", []string{"a", "b", "c"})
	for i := range p.relays {
		p.failed(i, now, 0, random)
	}
	choice, wait := p.next(now)
	for _, r := range p.relays {
		if wait <= 0 || now.Add(wait).After(r.backoffUntil) {
			t.Errorf("choice %d in %v; %s could be asked at %v", choice, wait, r.address, r.backoffUntil.Sub(now))
		}
	}
}

// Retry-After is kept up to a bound, and its followers come back spread over as much time again.
func TestRetryAfter(t *testing.T) {
	now, random := time.Unix(1_000, 0), testRand()
	for _, retryAfter := range []time.Duration{time.Second, time.Hour} {
		p := newRelayPicker("p", []string{"a"})
		p.failed(0, now, retryAfter, random)
		bound := min(retryAfter, maxRetryAfter)
		if _, wait := p.next(now); wait < bound || wait > 2*bound {
			t.Errorf("Retry-After of %v: %v", retryAfter, wait)
		}
	}
}
