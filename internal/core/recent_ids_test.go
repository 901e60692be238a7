package core

import (
	"fmt"
	"testing"
)

// IDs are known for the window, and no longer.
func TestRecentIDsExpire(t *testing.T) {
	ids := newRecentIDs(100)
	ids.add(0, "a")
	ids.add(50, "b")
	for _, c := range []struct {
		now  int64
		id   string
		want bool
	}{{0, "a", true}, {99, "a", true}, {99, "c", false}, {100, "a", false}, {149, "b", true}, {150, "b", false}} {
		if got := ids.contains(c.now, c.id); got != c.want {
			t.Errorf("at %d, %q: got %v, want %v", c.now, c.id, got, c.want)
		}
	}
	if len(ids.known) != 0 || len(ids.order) != 0 {
		t.Errorf("at the end: %d and %d IDs, want none", len(ids.known), len(ids.order))
	}
}

// Ever new IDs take a bounded amount of memory.
func TestRecentIDsAreBounded(t *testing.T) {
	ids := newRecentIDs(1 << 60)
	for i := range 3 * maxRecentIDs {
		ids.add(int64(i), fmt.Sprint(i))
	}
	if len(ids.known) != maxRecentIDs || len(ids.order) != maxRecentIDs || cap(ids.order) > 4*maxRecentIDs {
		t.Errorf("%d and %d IDs, want %d; capacity %d", len(ids.known), len(ids.order), maxRecentIDs, cap(ids.order))
	}
	if !ids.contains(3*maxRecentIDs, fmt.Sprint(3*maxRecentIDs-1)) {
		t.Error("the latest ID is not known")
	}
}
