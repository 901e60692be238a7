package route

import (
	"fmt"
	"math"
	"testing"
)

func split(t *testing.T, sides ...Arm) *Split {
	t.Helper()
	s, err := NewSplit("s", sides)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

const keys = 20_000

// Each side gets its part, and the order of the sides is nothing.
func TestKeysFallByWeight(t *testing.T) {
	s := split(t, Arm{"a", 90}, Arm{"b", 9}, Arm{"c", 1}, Arm{"none", 0})
	turned := split(t, Arm{"c", 1}, Arm{"none", 0}, Arm{"b", 9}, Arm{"a", 90})
	var got [4]int
	for i := range keys {
		k := fmt.Sprint("key-", i)
		n := s.ForKey(k)
		got[n]++
		if s.sides[n] != turned.sides[turned.ForKey(k)] {
			t.Fatalf("%s hangs on the order of the sides", k)
		}
	}
	for i, side := range s.sides {
		want := float64(keys*side.Weight) / 100
		if math.Abs(float64(got[i])-want) > 5*math.Sqrt(want) { // five standard deviations of a Poisson count
			t.Errorf("%s got %d of %d", side.Name, got[i], keys)
		}
	}
}

// A canary's weight rises: keys move to it alone, as many as that takes.
func TestKeysMoveOnlyAsMuchAsWeightsRequire(t *testing.T) {
	for _, c := range []struct{ from, to int }{{1, 5}, {5, 50}, {50, 50}, {50, 0}, {0, 100}} {
		before := split(t, Arm{"a", 100}, Arm{"b", c.from}, Arm{"c", 30})
		after := split(t, Arm{"a", 100}, Arm{"b", c.to}, Arm{"c", 30})
		moved := 0
		for i := range keys {
			k := fmt.Sprint(i)
			x, y := before.ForKey(k), after.ForKey(k)
			if x == y {
				continue
			}
			moved++
			if c.to > c.from && y != 1 || c.to < c.from && x != 1 {
				t.Fatalf("%d -> %d: key %s moved from %d to %d", c.from, c.to, k, x, y)
			}
		}
		part := func(w int) float64 { return float64(w) / float64(130+w) }
		want := keys * math.Abs(part(c.to)-part(c.from))
		if math.Abs(float64(moved)-want) > 5*math.Sqrt(want+1) {
			t.Errorf("%d -> %d: %d keys moved, %.0f expected", c.from, c.to, moved, want)
		}
	}
}

func TestDrawsFallByWeight(t *testing.T) {
	s := split(t, Arm{"a", 2}, Arm{"none", 0}, Arm{"b", 1})
	for r, want := range []int{0, 0, 2, 0, 0, 2} {
		if got := s.Pick(uint64(r)); got != want {
			t.Errorf("%d: got %d, want %d", r, got, want)
		}
	}
}

func TestSplitsThatMakeNoSenseAreErrors(t *testing.T) {
	for _, sides := range [][]Arm{nil, {{"a", 0}}, {{"a", -1}, {"b", 2}}, {{"a", 1}, {"a", 1}}, {{"a", MaxWeight + 1}}} {
		if _, err := NewSplit("", sides); err == nil {
			t.Errorf("%v is no error", sides)
		}
	}
}

func TestPinsHoldAndEnd(t *testing.T) {
	p := NewAssignments(100)
	p.Assign(0, 1, "a", 10)
	p.Assign(5, 1, "b", 20) // the side stands, the time grows
	if side, ok := p.Lookup(19, 1); !ok || side != "a" {
		t.Errorf("got %q, %v", side, ok)
	}
	if _, ok := p.Lookup(20, 1); ok {
		t.Error("held beyond its time")
	}
	p.Assign(20, 1, "b", 30)
	if side, _ := p.Lookup(21, 1); side != "b" || !p.Complete(21) {
		t.Errorf("got %q", side)
	}
	for i := range int64(10_000) { // what has ended leaves nothing behind
		p.Assign(100+i, uint64(i), "a", 110+i)
	}
	if p.Len() > 11 || len(p.queue) > 200 || !p.Complete(10_000) {
		t.Errorf("%d pins, a queue of %d", p.Len(), len(p.queue))
	}
}

// Over its bound the memory forgets the oldest, and says until when it can't be relied on.
func TestPinsOwnUpToWhatTheyForgot(t *testing.T) {
	p := NewAssignments(10)
	for i := range uint64(15) {
		p.Assign(0, i, "a", 1000+int64(i))
	}
	if p.Len() != 10 || p.Complete(1003) || !p.Complete(1004) {
		t.Errorf("%d pins, sure %v then %v", p.Len(), p.Complete(1003), p.Complete(1004))
	}
	if _, ok := p.Lookup(0, 4); ok {
		t.Error("the oldest stay")
	}
	if _, ok := p.Lookup(0, 5); !ok {
		t.Error("a younger one was forgotten")
	}
	for i := range int64(1000) { // renewals of one key
		p.Assign(0, 7, "a", 2000+i)
		p.Assign(0, 8, "a", 2000+i)
	}
	if len(p.queue)-p.head > 41 {
		t.Errorf("a queue of %d", len(p.queue)-p.head)
	}
}
