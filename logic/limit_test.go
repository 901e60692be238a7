package logic

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"
)

func TestConcurrencyLimitCanPass(t *testing.T) {
	l := concurrencyLimit{limit: 2.25}
	for _, c := range []struct {
		u    float64
		want bool
	}{{0, true}, {0, true}, {0.7, false}, {0.8, true}, {0.99, false}} {
		if l.canPass(c.u) != c.want {
			t.Fatalf("canPass is %v at %d in flight of 2.25 with %v", !c.want, l.inFlight, c.u)
		}
		if c.want {
			l.enter()
		}
	}
}

// After calm rounds limits stood at a million: a burst filled all endpoints of the front before one
// attempt was late.
func TestUnusedLimitIsLowered(t *testing.T) {
	b, h := newTestBalancer(t, testSettings(), 4)
	now, n := start, 0
	for ; n < 200; n++ { // one attempt in flight at a time
		now += second / 4
		submit(b, h, now, fmt.Sprint(n), 0)
		b.Outcome(now+100_000, h, Outcome{ID: fmt.Sprint(n), Status: OK, Latency: 100_000, RequestDone: true})
	}
	before := len(h.sends)
	for range 50 {
		n++
		submit(b, h, now+second/5, fmt.Sprint(n), 0)
	}
	if sent := len(h.sends) - before; sent < 3 || sent > 6 {
		t.Errorf("of a burst of 50 requests %d are sent where one at a time was in flight", sent)
	}
}

func TestLimitIsLearnedByRounds(t *testing.T) {
	l := concurrencyLimit{
		limit: initialLimit, floor: minLimit, late: evidenceRound{maxBad: maxBadFraction, window: second},
	}
	now := start
	feed := func(n int, bad bool) {
		for range n {
			now++
			l.learn(&l.late, now, now, bad, 1)
		}
	}
	for range 20 {
		l.enter()
	}
	feed(roundSize, false)
	if want := headroomFactor*20 + headroomAttempts; l.limit != want {
		t.Errorf("after a good round: %v, want %v", l.limit, want)
	}
	// So many bad outcomes, and no good ones could save the round.
	sure := int(math.Floor(maxBadFraction*roundSize)) + 1
	feed(sure-1, true)
	if want := headroomFactor*20 + headroomAttempts; l.limit != want {
		t.Errorf("before its verdict is sure a round changed the limit to %v", l.limit)
	}
	feed(1, true)
	cut := 20 * (1 - cutStrength*float64(sure)/(roundSize/2))
	if l.limit != cut {
		t.Errorf("after a bad round: %v, want %v", l.limit, cut)
	}
	sentBefore := now - 1
	for range 3 * roundSize { // evidence from before the cut must not cut again
		l.learn(&l.late, now, sentBefore, true, 1)
	}
	if l.limit != cut {
		t.Errorf("old evidence changed the limit to %v", l.limit)
	}
	l.inFlight, l.peak = 0, 0
	for range 50 {
		feed(roundSize, true)
	}
	if l.limit != minLimit {
		t.Errorf("the limit fell to %v, below its floor %v", l.limit, minLimit)
	}
}

// At 64 connections up to 97 of 30,000 requests were shed, though all endpoints were healthy and
// answered within a millisecond: a round of 12 outcomes was over in a millisecond, and its peak cut
// the limit below what the next moment brought. Requests that take a small part of their objective
// come in bursts of any size; a few late ones still close the gate.
func TestBurstsOfShortRequestsAreNotShed(t *testing.T) {
	s := testSettings()
	s.Classes[0].LatencyObjective, s.Classes[0].Deadline = 500_000, 2_000_000
	b, err := New(s, 1)
	if err != nil {
		t.Fatal(err)
	}
	h, now := &recorder{}, start
	b.UpdateEndpoints(now, h, Snapshot, []Endpoint{
		{ID: "a", State: Ready, Weight: 1}, {ID: "b", State: Ready, Weight: 1},
	})
	id := 0
	// burst sends n requests at once, each of which ends after the latency.
	burst := func(n int, latency int64, status Status) {
		h.sends = h.sends[:0]
		for range n {
			id++
			b.Request(now, h, Request{ID: fmt.Sprint(id), Tenant: -1, ClientDeadline: now + 2_000_000})
		}
		now += latency
		for _, x := range slices.Clone(h.sends) {
			b.Outcome(now, h, Outcome{ID: x.id, Status: status, Latency: latency, RequestDone: true})
		}
	}
	shed := func() int {
		n := 0
		for _, line := range h.lines {
			if strings.HasPrefix(line, "shed ") {
				n++
			}
		}
		return n
	}
	for i := range 2000 {
		burst(1+i%5, 300, OK)
		if i%100 == 99 {
			burst(64, 600, OK)
		}
	}
	if n := shed(); n > 0 {
		t.Errorf("%d short requests shed", n)
	}
	for range 20 { // now they are late, and a burst is too much
		burst(64, 900_000, OK)
	}
	if n := shed(); n == 0 {
		t.Error("nothing is shed though all is late")
	}
}

// A third of a round late and another third failed is neither congestion nor a tier that fails.
func TestLatenessAndFailuresAreNotAddedUp(t *testing.T) {
	feed := func(late, failed func(i int) bool) *concurrencyLimit {
		round := evidenceRound{maxBad: maxBadFraction, window: second}
		l := &concurrencyLimit{limit: initialLimit, floor: minLimit, late: round, failures: round}
		for range 20 {
			l.enter()
		}
		now := start
		for i := range 20 * roundSize {
			now++
			l.learn(&l.late, now, now, late(i), 1)
			l.cut(l.failures.add(now, now, failed(i)), &l.failures)
		}
		return l
	}
	never := func(int) bool { return false }
	third := func(k int) func(int) bool { return func(i int) bool { return i%3 == k } }
	if l := feed(third(0), third(1)); l.limit < 20 {
		t.Errorf("a third late and a third failed cut the limit to %v", l.limit)
	}
	most := func(i int) bool { return i%3 != 0 }
	if l := feed(most, never); l.limit > 10 {
		t.Errorf("two thirds late left the limit at %v", l.limit)
	}
	if l := feed(never, most); l.limit > 10 {
		t.Errorf("two thirds failed left the limit at %v", l.limit)
	}
}

// A limit stood at one or two for half a minute after failures had ended, since each step up took
// twelve outcomes.
func TestCutLimitIsRestoredByDoubling(t *testing.T) {
	for _, c := range []struct {
		kind     Evidence
		restored bool // whether it is
		after    int  // clean outcomes that it takes from 1 to 16, a round for each doubling
	}{{FailureEvidence, true, 3 + 4 + 8 + 12}, {PriorityEvidence, true, 3 + 4 + 8 + 12}, {LateEvidence, false, 0}} {
		t.Run(c.kind.String(), func(t *testing.T) {
			l := newConcurrencyLimit(maxBadFraction, minLimit, second)
			l.limit, l.peak = 20, 20
			round := &evidenceRound{maxBad: maxBadFraction, window: second, kind: c.kind}
			l.cut(0.05, round)
			if l.limit != 1 || l.lastCut.Evidence != c.kind {
				t.Fatalf("cut to %.1f by %v", l.limit, l.lastCut.Evidence)
			}
			n := 0
			for now := start; n < 100 && l.limit < 16; n++ {
				now++
				l.evaluate(round, now, now, false)
			}
			if c.restored && n != c.after || !c.restored && n != 100 {
				t.Errorf("%.1f after %d outcomes", l.limit, n)
			}
			if c.restored && l.limit > l.restoreTo {
				t.Errorf("%.1f, over what it was cut from", l.limit)
			}
		})
	}
}

// One bad outcome keeps a short round from being a good one.
func TestShortRoundMustBeClean(t *testing.T) {
	l := newConcurrencyLimit(maxBadFraction, minLimit, second)
	l.limit, l.peak = 20, 20
	l.cut(0.05, &l.failures)
	for i := range 5 {
		if v := l.evaluate(&l.failures, start+int64(i), start, i == 0); v != undecided || l.limit != 1 {
			t.Fatalf("after %d outcomes, one of them bad: verdict %.2f, limit %.1f", i+1, v, l.limit)
		}
	}
}
