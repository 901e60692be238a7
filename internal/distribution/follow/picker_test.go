package follow

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

func testRand() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

// Followers are spread evenly over relays, and those of a relay that dies evenly over the others.
func TestRendezvous(t *testing.T) {
	relays := []string{"127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", "127.0.0.1:4", "127.0.0.1:1"}
	const followers = 4_000
	first, second := make(map[string]int), make(map[string]int)
	for i := range followers {
		p := newPicker(fmt.Sprint("proxy-", i), relays)
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

// A relay that fails is left for a growing time, and asked again in the end.
func TestBackoff(t *testing.T) {
	now, random := time.Unix(1_000, 0), testRand()
	p := newPicker("p", []string{"a", "b"})
	for failures := range 20 {
		longest := min(leastBackoff<<min(failures, 10), mostBackoff)
		choice, wait := p.next(now)
		if choice != 0 || wait != 0 {
			t.Fatalf("choice %d in %v", choice, wait)
		}
		p.failedNow(0, now, 0, random)
		if choice, wait := p.next(now); choice != 1 || wait != 0 {
			t.Fatalf("after a failure: choice %d in %v", choice, wait)
		}
		if until := p.relays[0].until.Sub(now); until < longest/2 || until > longest {
			t.Fatalf("failure %d: left for %v, %v at most expected", failures, until, longest)
		}
		now = p.relays[0].until
	}
	p.answered(0)
	p.failedNow(0, now, 0, random)
	if until := p.relays[0].until.Sub(now); until > leastBackoff {
		t.Errorf("after an answer: left for %v", until)
	}
}

// Where all relays fail, the one that may be asked soonest is waited for.
func TestAllRelaysFail(t *testing.T) {
	now, random := time.Unix(1_000, 0), testRand()
	p := newPicker("p", []string{"a", "b", "c"})
	for i := range p.relays {
		p.failedNow(i, now, 0, random)
	}
	choice, wait := p.next(now)
	for _, r := range p.relays {
		if wait <= 0 || now.Add(wait).After(r.until) {
			t.Errorf("choice %d in %v; %s could be asked at %v", choice, wait, r.address, r.until.Sub(now))
		}
	}
}

// A relay that asks to come back later is taken at its word, up to a bound, and not by all at once.
func TestRetryAfter(t *testing.T) {
	now, random := time.Unix(1_000, 0), testRand()
	for _, asked := range []time.Duration{time.Second, time.Hour} {
		p := newPicker("p", []string{"a"})
		p.failedNow(0, now, asked, random)
		bound := min(asked, mostRetryAfter)
		if _, wait := p.next(now); wait < bound || wait > 2*bound {
			t.Errorf("asked for %v: %v", asked, wait)
		}
	}
}
