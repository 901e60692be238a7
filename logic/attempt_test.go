package logic

import (
	"fmt"
	"testing"
)

func TestRule1TimeoutAtDeadlineGetsFinalAnswer(t *testing.T) {
	for class := range testSettings().Classes {
		b, h := newTestBalancer(t, testSettings(), 4)
		submit(b, h, start, "r", class)
		now, attempt := start, 0
		for len(h.sends) == attempt+1 { // every attempt times out until the request is over
			now += h.sends[attempt].timeout
			b.Outcome(now, h, Outcome{ID: "r", Attempt: attempt, Status: TimedOut, Latency: h.sends[attempt].timeout})
			attempt++
		}
		if last := h.last(); last != "fail r" && last != "shed r" {
			t.Errorf("class %d: no final answer, last action %q", class, last)
		}
		if now > start+1_000_000 {
			t.Errorf("class %d: final answer %d us after the client's deadline", class, now-start-1_000_000)
		}
	}
}

// If attempts take a tenth of a millisecond, twelve times that is a brief stall of the host, not a
// hang. With a timeout of that length, every attempt was given up and retried, and after the last
// one the request was shed.
func TestShortAttemptSurvivesBriefStall(t *testing.T) {
	b, err := New(testSettings(), 1)
	if err != nil {
		t.Fatal(err)
	}
	h, now := &recorder{}, start
	b.UpdateEndpoints(now, h, Snapshot, []Endpoint{{ID: "a", State: Ready, Weight: 1}})
	for i := range 500 {
		id := fmt.Sprint(i)
		b.Request(now, h, Request{ID: id, Tenant: -1, ClientDeadline: now + 1_500_000})
		now += 100
		b.Outcome(now, h, Outcome{ID: id, Status: OK, Latency: 100, RequestDone: true})
	}
	if last := h.sends[len(h.sends)-1].timeout; last < 100_000 {
		t.Errorf("timeout of %d us with a latency objective of 500,000 us, want at least 100,000 us", last)
	}
}
