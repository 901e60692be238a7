package logic

import "testing"

// When the base latency was the plain mean of all outcomes, congestion raised it within seconds,
// and all thresholds with it. Endpoints held four times the attempts that they should, and none
// counted as congested.
func TestLastingCongestionIsNotTakenForBaseLatency(t *testing.T) {
	b, h := newTestBalancer(t, settingsWithLongObjectives(), 3)
	now := playOutcomes(b, h, start, 100, 10_000, 300_000, alwaysOK)
	now = playOutcomes(b, h, now, 1000, 10_000, 900_000, alwaysOK) // 10 s of congestion
	if l := &b.classes[0].latency; l.base > 450_000 || l.mean < 800_000 {
		t.Errorf("10 s of congestion: base latency %.0f us, mean %.0f us, want at most 450,000, at least 800,000",
			l.base, l.mean)
	}
	if threshold := b.lateThreshold(0); threshold > 900_000 {
		t.Errorf("late threshold %.0f us under congestion, want at most 900,000", threshold)
	}
	now = playOutcomes(b, h, now, 100, 200_000, 100_000, alwaysOK)
	if l := &b.classes[0].latency; l.base > 150_000 {
		t.Errorf("after fast attempts: base latency %.0f us, want at most 150,000", l.base)
	}
	// A lasting latency becomes the base in the end. Otherwise the requests to a fleet of slower
	// endpoints would be shed forever.
	playOutcomes(b, h, now, 3000, 100_000, 600_000, alwaysOK)
	if l := &b.classes[0].latency; l.base < 500_000 {
		t.Errorf("after 5 minutes of slower attempts: base latency %.0f us, want at least 500,000", l.base)
	}
}

// Under light load, no attempt waits for others and the latency is the base latency, even when it
// rises. Otherwise a fleet that has lost its fast endpoints would count as congested for a minute.
func TestAttemptsUnderLightLoadMoveBaseLatency(t *testing.T) {
	s := settingsWithLongObjectives()
	s.Replicas = 1
	b, h := newTestBalancer(t, s, 8)
	now := playOutcomes(b, h, start, 100, 10_000, 300_000, alwaysOK)
	playOutcomes(b, h, now, 300, 150_000, 900_000, alwaysOK) // 6 attempts in flight at 8 endpoints, for 45 s
	if l := &b.classes[0].latency; l.base < 800_000 {
		t.Errorf("after 45 s of slower attempts under light load: base latency %.0f us, want at least 800,000", l.base)
	}
}
