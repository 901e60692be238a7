package route

import (
	"fmt"
	"math"
	"testing"
)

// newSplit returns a split of valid arms.
func newSplit(t *testing.T, arms ...Arm) *Split {
	t.Helper()
	s, err := NewSplit("s", arms)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

const keyCount = 20_000

// Each arm gets keys in proportion to its weight, and the order of the arms does not matter.
func TestForKeyFollowsWeights(t *testing.T) {
	s := newSplit(t, Arm{"a", 90}, Arm{"b", 9}, Arm{"c", 1}, Arm{"none", 0})
	reversed := newSplit(t, Arm{"c", 1}, Arm{"none", 0}, Arm{"b", 9}, Arm{"a", 90})
	var got [4]int
	for i := range keyCount {
		k := fmt.Sprint("key-", i)
		n := s.ForKey(k)
		got[n]++
		if s.arms[n] != reversed.arms[reversed.ForKey(k)] {
			t.Fatalf("the arm of %s depends on the order of the arms", k)
		}
	}
	for i, arm := range s.arms {
		want := float64(keyCount*arm.Weight) / 100
		if math.Abs(float64(got[i])-want) > 5*math.Sqrt(want) { // five standard deviations of a Poisson count
			t.Errorf("arm %s: got %d of %d keys, want about %.0f", arm.Name, got[i], keyCount, want)
		}
	}
}

// When the weight of one arm changes, as of a canary, keys move only to or from that arm, and no
// more keys than necessary.
func TestForKeyMovesFewestKeys(t *testing.T) {
	for _, c := range []struct{ from, to int }{{1, 5}, {5, 50}, {50, 50}, {50, 0}, {0, 100}} {
		before := newSplit(t, Arm{"a", 100}, Arm{"b", c.from}, Arm{"c", 30})
		after := newSplit(t, Arm{"a", 100}, Arm{"b", c.to}, Arm{"c", 30})
		moved := 0
		for i := range keyCount {
			k := fmt.Sprint(i)
			x, y := before.ForKey(k), after.ForKey(k)
			if x == y {
				continue
			}
			moved++
			if c.to > c.from && y != 1 || c.to < c.from && x != 1 {
				t.Fatalf("weight %d -> %d: key %s moved from arm %d to arm %d", c.from, c.to, k, x, y)
			}
		}
		fraction := func(w int) float64 { return float64(w) / float64(130+w) }
		want := keyCount * math.Abs(fraction(c.to)-fraction(c.from))
		if math.Abs(float64(moved)-want) > 5*math.Sqrt(want+1) {
			t.Errorf("weight %d -> %d: %d keys moved, want about %.0f", c.from, c.to, moved, want)
		}
	}
}

func TestPickFollowsWeights(t *testing.T) {
	s := newSplit(t, Arm{"a", 2}, Arm{"none", 0}, Arm{"b", 1})
	for r, want := range []int{0, 0, 2, 0, 0, 2} {
		if got := s.Pick(uint64(r)); got != want {
			t.Errorf("random number %d: got arm %d, want %d", r, got, want)
		}
	}
}

func TestNewSplitRejectsInvalidArms(t *testing.T) {
	for _, arms := range [][]Arm{
		nil,
		{{"a", 0}},
		{{"a", -1}, {"b", 2}},
		{{"a", 1}, {"a", 1}},
		{{"a", MaxWeight + 1}},
	} {
		if _, err := NewSplit("", arms); err == nil {
			t.Errorf("arms %v: got no error", arms)
		}
	}
}
