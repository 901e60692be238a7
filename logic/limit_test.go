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
			t.Fatalf("canPass = %v with %d in flight, a limit of 2.25 and u = %v", !c.want, l.inFlight, c.u)
		}
		if c.want {
			l.enter()
		}
	}
}

// Limits stayed at a million after good rounds, and a burst filled all endpoints of the front tier
// before one attempt was late.
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
		t.Errorf("%d of a burst of 50 requests sent after one at a time, want 3 to 6", sent)
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
		t.Errorf("after a good round: limit %v, want %v", l.limit, want)
	}
	// With this many bad outcomes, good ones can no longer make the round good.
	sure := int(math.Floor(maxBadFraction*roundSize)) + 1
	feed(sure-1, true)
	if want := headroomFactor*20 + headroomAttempts; l.limit != want {
		t.Errorf("limit changed to %v before the verdict of the round was certain", l.limit)
	}
	feed(1, true)
	cut := 20 * (1 - cutStrength*float64(sure)/(roundSize/2))
	if l.limit != cut {
		t.Errorf("after a bad round: limit %v, want %v", l.limit, cut)
	}
	sentBefore := now - 1
	for range 3 * roundSize { // evidence from before the cut must not cut again
		l.learn(&l.late, now, sentBefore, true, 1)
	}
	if l.limit != cut {
		t.Errorf("evidence from before the cut changed the limit to %v", l.limit)
	}
	l.inFlight, l.peak = 0, 0
	for range 50 {
		feed(roundSize, true)
	}
	if l.limit != minLimit {
		t.Errorf("after only bad rounds: limit %v, want the floor %v", l.limit, minLimit)
	}
}

// With 64 connections, up to 97 of 30,000 requests were shed although all endpoints were healthy
// and answered within a millisecond. A round of 12 outcomes was over in a millisecond, and its peak
// cut the limit below what the next moment needed. Requests that take a small part of their latency
// objective come in bursts of any size. A few late ones still lower the limit.
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
	// burst submits n requests at once, whose attempts end after the latency.
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
		for _, line := range h.actions {
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
		t.Errorf("%d short requests shed, want none", n)
	}
	for range 20 { // all attempts are late, so that the limit falls below the size of a burst
		burst(64, 900_000, OK)
	}
	if n := shed(); n == 0 {
		t.Error("no request shed although all attempts are late")
	}
}

// If a third of the outcomes in a round is late and another third failed, there is neither
// congestion nor a failing tier.
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
		t.Errorf("a third late and a third failed: limit %v, want at least 20", l.limit)
	}
	most := func(i int) bool { return i%3 != 0 }
	if l := feed(most, never); l.limit > 10 {
		t.Errorf("two thirds late: limit %v, want at most 10", l.limit)
	}
	if l := feed(never, most); l.limit > 10 {
		t.Errorf("two thirds failed: limit %v, want at most 10", l.limit)
	}
}

// A limit stayed at one or two for half a minute after the end of failures, since each step up
// needed twelve outcomes.
func TestCutLimitIsRestoredByDoubling(t *testing.T) {
	for _, c := range []struct {
		kind     Evidence
		restored bool // whether doubling restores the limit
		after    int  // good outcomes needed from 1 to 16, one round for each doubling
	}{{FailureEvidence, true, 3 + 4 + 8 + 12}, {PriorityEvidence, true, 3 + 4 + 8 + 12}, {LateEvidence, false, 0}} {
		t.Run(c.kind.String(), func(t *testing.T) {
			l := newConcurrencyLimit(maxBadFraction, minLimit, second)
			l.limit, l.peak = 20, 20
			round := &evidenceRound{maxBad: maxBadFraction, window: second, kind: c.kind}
			l.cut(0.05, round)
			if l.limit != 1 || l.lastCut.Evidence != c.kind {
				t.Fatalf("limit cut to %.1f by %v", l.limit, l.lastCut.Evidence)
			}
			n := 0
			for now := start; n < 100 && l.limit < 16; n++ {
				now++
				l.evaluate(round, now, now, false)
			}
			if c.restored && n != c.after || !c.restored && n != 100 {
				t.Errorf("limit %.1f after %d outcomes", l.limit, n)
			}
			if c.restored && l.limit > l.restoreTo {
				t.Errorf("limit %.1f is above the value that it is restored to", l.limit)
			}
		})
	}
}

// One bad outcome prevents a short round from being good.
func TestShortRoundWithBadOutcomeIsUndecided(t *testing.T) {
	l := newConcurrencyLimit(maxBadFraction, minLimit, second)
	l.limit, l.peak = 20, 20
	l.cut(0.05, &l.failures)
	for i := range 5 {
		if v := l.evaluate(&l.failures, start+int64(i), start, i == 0); v != undecided || l.limit != 1 {
			t.Fatalf("after %d outcomes, one of them bad: verdict %.2f, limit %.1f, want undecided and 1",
				i+1, v, l.limit)
		}
	}
}
