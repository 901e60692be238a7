package logic

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// finishes plays n calls, gap microseconds from one to the next, each of which ends after took as end says, and
// returns the time when all have. What the rules refuse is left out.
func finishes(b *Balancer, h *recorder, now int64, n int, gap, took int64, end func(i int) Status) int64 {
	type call struct {
		id string
		at int64
	}
	var out []call
	done := 0
	settle := func(until int64) {
		for ; len(out) > 0 && out[0].at <= until; out = out[1:] {
			b.Outcome(out[0].at, h, Outcome{ID: out[0].id, Status: end(done), Latency: took, RequestDone: true})
			done++
		}
	}
	for range n {
		now += gap
		settle(now)
		id, before := fmt.Sprint("f", now), len(h.sends)
		b.Request(now, h, Request{ID: id, Class: 0, Tenant: -1, ClientDeadline: now + 10*second})
		if len(h.sends) > before {
			out = append(out, call{id, now + took})
		}
	}
	settle(now + took)
	return now + took
}

func served(int) Status { return OK }

// crowded has settings with room: calls take a tenth of their aim while little waits.
func crowded() Settings {
	s := testSettings()
	s.Replicas = 4 // no call of one copy can be sure that little waits
	for i := range s.Classes {
		s.Classes[i].LatencyObjective, s.Classes[i].Deadline = 3*second, 6*second
	}
	return s
}

// The time under little load was the plain mean of all finishes. A jam moved it, and all bars with it, within
// seconds: servers held four times what they should and nothing counted as crowded.
func TestACrowdThatLastsIsNotTakenForTheUsual(t *testing.T) {
	b, h := with(t, crowded(), 3)
	now := finishes(b, h, start, 100, 10_000, 300_000, served)
	now = finishes(b, h, now, 1000, 10_000, 900_000, served) // ten seconds of a jam
	if c := &b.classes[0]; c.base > 450_000 || c.mean < 800_000 {
		t.Errorf("after ten seconds of a jam: %.0f us under little load, mean %.0f us", c.base, c.mean)
	}
	if bar := b.lateThreshold(0); bar > 900_000 {
		t.Errorf("a call of the jam is not late before %.0f us", bar)
	}
	now = finishes(b, h, now, 100, 200_000, 100_000, served)
	if c := &b.classes[0]; c.base > 150_000 {
		t.Errorf("after quick calls: %.0f us under little load", c.base)
	}
	// What lasts is the usual in the end: a fleet of slower servers must not be refused for ever.
	finishes(b, h, now, 3000, 100_000, 600_000, served)
	if c := &b.classes[0]; c.base < 500_000 {
		t.Errorf("after five minutes of slower calls: %.0f us under little load", c.base)
	}
}

// Where a copy's calls can wait for nothing, what they take is the time under little load, also when it grows: a
// fleet that has lost its fast servers would else count as crowded for a minute.
func TestCallsThatMetNothingMoveTheLightTime(t *testing.T) {
	s := crowded()
	s.Replicas = 1
	b, h := with(t, s, 8)
	now := finishes(b, h, start, 100, 10_000, 300_000, served)
	finishes(b, h, now, 300, 150_000, 900_000, served) // six at a time over eight servers, for 45 s
	if c := &b.classes[0]; c.base < 800_000 {
		t.Errorf("45 s of slower calls that met nothing: %.0f us under little load", c.base)
	}
}

// Answers that came spoilt, one in five, have nothing to do with load. They took the shares down, sent calls to
// other zones and, together with as many finishes that were slow by chance, cut the counts.
func TestQuickFailuresAreNoCrowd(t *testing.T) {
	b, h := with(t, crowded(), 8)
	now := finishes(b, h, start, 200, 10_000, 300_000, served)
	least, most, rnd := b.share, b.spill, rand.New(rand.NewPCG(1, 5))
	share, spill := least, most
	finishes(b, h, now, 2000, 10_000, 250_000, func(int) Status {
		least, most = min(least, b.share), max(most, b.spill)
		if rnd.IntN(5) == 0 {
			return Reset
		}
		return OK
	})
	if least < share {
		t.Errorf("quick failures pressed the shares from %v to %v", share, least)
	}
	if most > spill {
		t.Errorf("quick failures moved the weight of other zones from %v to %v", spill, most)
	}
}

// A third of a round late and another third failed is neither a jam nor a tier that fails.
func TestLateFinishesAndFailuresAreNotAddedUp(t *testing.T) {
	feed := func(late, fail func(i int) bool) *concurrencyLimit {
		ev := round{allowed: badPart, span: second}
		r := &concurrencyLimit{count: startCount, least: minCount, ev: ev, fails: ev}
		for range 20 {
			r.enter()
		}
		now := start
		for i := range 20 * roundSize {
			now++
			r.learn(&r.ev, now, now, late(i), 1)
			r.shrink(r.fails.add(now, now, fail(i)), &r.fails)
		}
		return r
	}
	never := func(int) bool { return false }
	third := func(k int) func(int) bool { return func(i int) bool { return i%3 == k } }
	if r := feed(third(0), third(1)); r.count < 20 {
		t.Errorf("a third late and a third failed cut the count to %v", r.count)
	}
	most := func(i int) bool { return i%3 != 0 }
	if r := feed(most, never); r.count > 10 {
		t.Errorf("two thirds late left the count at %v", r.count)
	}
	if r := feed(never, most); r.count > 10 {
		t.Errorf("two thirds failed left the count at %v", r.count)
	}
}
