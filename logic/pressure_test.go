package logic

import (
	"math/rand/v2"
	"testing"
)

// On a day of pamoja-dar requests with twelve times the priority weight came late behind long cheap
// ones.
func TestClassYieldsToHigherPriority(t *testing.T) {
	s := testSettings()
	s.Classes[1].PriorityWeight = 40
	b, _ := newTestBalancer(t, s, 4)
	cheap, dear := &b.classes[0].limit, &b.classes[1].limit
	for range 10 {
		cheap.enter()
		dear.enter()
	}
	now := start
	for range 4 * roundSize {
		now++
		b.updatePressure(now, 1, &attempt{sentAt: now}, true, true)
	}
	if cheap.limit > 10 || dear.limit != initialLimit {
		t.Errorf("after slow attempts of the class with the higher priority: cheap %v, dear %v",
			cheap.limit, dear.limit)
	}
	for range 4 * roundSize {
		now++
		b.updatePressure(now, 0, &attempt{sentAt: now}, true, true)
	}
	if dear.limit != initialLimit {
		t.Errorf("slow cheap attempts cut the class with the higher priority to %v", dear.limit)
	}
}

// Answers that came spoilt, one in five, have nothing to do with load. They took the quota multiple
// down, sent attempts to other zones and, together with as many outcomes that were slow by chance,
// cut the limits.
func TestQuickFailuresAreNoPressure(t *testing.T) {
	b, h := newTestBalancer(t, settingsWithHeadroom(), 8)
	now := playOutcomes(b, h, start, 200, 10_000, 300_000, alwaysOK)
	rnd := rand.New(rand.NewPCG(1, 5))
	least, most := b.quotas.multiple, b.spillover.weight
	multiple, spill := least, most
	playOutcomes(b, h, now, 2000, 10_000, 250_000, func(int) Status {
		least, most = min(least, b.quotas.multiple), max(most, b.spillover.weight)
		if rnd.IntN(5) == 0 {
			return Reset
		}
		return OK
	})
	if least < multiple {
		t.Errorf("quick failures moved the quota multiple from %v to %v", multiple, least)
	}
	if most > spill {
		t.Errorf("quick failures moved the weight of other zones from %v to %v", spill, most)
	}
}
