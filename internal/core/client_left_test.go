package core

import (
	"testing"

	"fernlanding/logic"
)

// Just before each attempt, the first one too, the pool asks whether the client has left.
func TestNoAttemptForClientThatLeft(t *testing.T) {
	for _, stayFor := range []int{0, 1} { // attempts before the client leaves
		up := newScriptedUpstream(func(*Attempt) AttemptResult { return AttemptResult{Status: logic.Error} })
		p := startPool(t, up)
		r, asked := newRequest(p, "1", 0, testTimeout), 0
		r.HasClientLeft = func() bool {
			asked++
			return asked > stayFor
		}
		if ans := p.Do(r); ans.Verdict != Canceled {
			t.Errorf("after %d attempts: got %+v, want verdict Canceled", stayFor, ans)
		}
		if len(up.started) != stayFor {
			t.Errorf("%d attempts, want %d", len(up.started), stayFor)
		}
		if s := p.Stats(); s != (Stats{}) {
			t.Errorf("after %d attempts: pool not empty: %+v", stayFor, s)
		}
	}
}
