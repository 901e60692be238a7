package logic

import "testing"

// The base latency was the plain mean of all outcomes. Congestion moved it, and all thresholds with
// it, within seconds: endpoints held four times what they should and nothing counted as congested.
func TestLastingCongestionIsNotTakenForBaseLatency(t *testing.T) {
	b, h := newTestBalancer(t, settingsWithHeadroom(), 3)
	now := playOutcomes(b, h, start, 100, 10_000, 300_000, alwaysOK)
	now = playOutcomes(b, h, now, 1000, 10_000, 900_000, alwaysOK) // ten seconds of congestion
	if l := &b.classes[0].latency; l.base > 450_000 || l.mean < 800_000 {
		t.Errorf("after ten seconds of congestion: base latency %.0f us, mean %.0f us", l.base, l.mean)
	}
	if threshold := b.lateThreshold(0); threshold > 900_000 {
		t.Errorf("an attempt under congestion is not late before %.0f us", threshold)
	}
	now = playOutcomes(b, h, now, 100, 200_000, 100_000, alwaysOK)
	if l := &b.classes[0].latency; l.base > 150_000 {
		t.Errorf("after quick attempts: base latency %.0f us", l.base)
	}
	// What lasts becomes the base in the end: requests to a fleet of slower endpoints must not be
	// shed for ever.
	playOutcomes(b, h, now, 3000, 100_000, 600_000, alwaysOK)
	if l := &b.classes[0].latency; l.base < 500_000 {
		t.Errorf("after five minutes of slower attempts: base latency %.0f us", l.base)
	}
}

// Where a replica's attempts can wait for nothing, their latency is the base latency, also when it
// grows: a fleet that has lost its fast endpoints would else count as congested for a minute.
func TestAttemptsUnderLightLoadMoveBaseLatency(t *testing.T) {
	s := settingsWithHeadroom()
	s.Replicas = 1
	b, h := newTestBalancer(t, s, 8)
	now := playOutcomes(b, h, start, 100, 10_000, 300_000, alwaysOK)
	playOutcomes(b, h, now, 300, 150_000, 900_000, alwaysOK) // six at a time over eight endpoints, for 45 s
	if l := &b.classes[0].latency; l.base < 800_000 {
		t.Errorf("45 s of slower attempts under light load: base latency %.0f us", l.base)
	}
}
