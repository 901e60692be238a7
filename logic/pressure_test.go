package logic

import (
	"math/rand/v2"
	"testing"
)

// Requests with twelve times the priority weight were late behind long requests with a low weight.
func TestClassYieldsToHigherPriority(t *testing.T) {
	s := testSettings()
	s.Classes[1].PriorityWeight = 40
	b, _ := newTestBalancer(t, s, 4)
	lower, higher := &b.classes[0].limit, &b.classes[1].limit
	for range 10 {
		lower.enter()
		higher.enter()
	}
	now := start
	for range 4 * roundSize {
		now++
		b.updatePressure(now, 1, &attempt{sentAt: now}, true, true)
	}
	if lower.limit > 10 || higher.limit != initialLimit {
		t.Errorf("after slow attempts of the class with the higher priority: its limit %v, limit of the other class %v",
			lower.limit, higher.limit)
	}
	for range 4 * roundSize {
		now++
		b.updatePressure(now, 0, &attempt{sentAt: now}, true, true)
	}
	if higher.limit != initialLimit {
		t.Errorf("slow attempts of the class with the lower priority cut the other limit to %v", higher.limit)
	}
}

// Broken responses, one in five, are no sign of load. They lowered the quota multiple and sent
// attempts to other zones. Together with as many outcomes that happened to be slow, they cut the
// limits.
func TestQuickFailuresAreNoPressure(t *testing.T) {
	b, h := newTestBalancer(t, settingsWithLongObjectives(), 8)
	now := playOutcomes(b, h, start, 200, 10_000, 300_000, alwaysOK)
	rnd := rand.New(rand.NewPCG(1, 5))
	lowest, highest := b.quotas.multiple, b.spillover.weight
	multiple, spill := lowest, highest
	playOutcomes(b, h, now, 2000, 10_000, 250_000, func(int) Status {
		lowest, highest = min(lowest, b.quotas.multiple), max(highest, b.spillover.weight)
		if rnd.IntN(5) == 0 {
			return Reset
		}
		return OK
	})
	if lowest < multiple {
		t.Errorf("fast failures lowered the quota multiple from %v to %v", multiple, lowest)
	}
	if highest > spill {
		t.Errorf("fast failures raised the spillover weight from %v to %v", spill, highest)
	}
}
