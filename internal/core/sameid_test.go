package core

import (
	"fernlanding/logic"
	"testing"
	"time"
)

// awaited waits until a request waits for the end of the one that is open under its id.
func awaited(t *testing.T, p *Pool, id string) {
	t.Helper()
	for deadline := time.Now().Add(patience); time.Now().Before(deadline); {
		p.mu.Lock()
		earlier := p.reqs[id]
		waits := earlier != nil && earlier.gone != nil
		p.mu.Unlock()
		if waits {
			return
		}
	}
	t.Fatal("nothing waits")
}

// A caller that has given up an attempt sends the request again before this pool has seen it leave: that is no second client.
func TestARequestWaitsForAnEarlierOneWhoseClientHasLeft(t *testing.T) {
	attempts := make(chan int, 1)
	attempts <- 0
	up := newScripted(func(a *Attempt) AttemptResult {
		n := 1 + <-attempts
		attempts <- n
		if n == 1 {
			return hang(a)
		}
		return AttemptResult{Status: logic.OK, Response: &Response{StatusCode: 200}}
	})
	p := startPoolWaiting(t, up, patience)
	first := newRequest(p, "1", 0, patience)
	firstAnswer := do(p, first)
	wait(t, "first attempt", up.begun)
	secondAnswer := do(p, newRequest(p, "1", 0, patience))
	awaited(t, p, "1")
	p.Cancel(first)
	if ans := wait(t, "first answer", firstAnswer); ans.Verdict != Canceled {
		t.Errorf("the first got %+v", ans)
	}
	if ans := wait(t, "second answer", secondAnswer); ans.Verdict != Served {
		t.Errorf("the second got %+v", ans)
	}
	if s := p.Stats(); s != (Stats{}) {
		t.Errorf("left behind: %+v", s)
	}
}

// One whose client stays is another request: two under one id could not be told apart.
func TestARequestIsRejectedWhileOneIsOpenUnderItsID(t *testing.T) {
	for name, sameID := range map[string]time.Duration{"at once": 0, "after a wait": 10 * time.Millisecond} {
		up := newScripted(hang)
		p := startPoolWaiting(t, up, sameID)
		first := newRequest(p, "1", 0, patience)
		firstAnswer := do(p, first)
		wait(t, "first attempt", up.begun)
		if ans := p.Do(newRequest(p, "1", 0, patience)); ans.Verdict != Rejected {
			t.Errorf("%s: got %+v", name, ans)
		}
		if len(up.begun) != 0 {
			t.Errorf("%s: it was sent", name)
		}
		p.Cancel(first)
		wait(t, "first answer", firstAnswer)
	}
}

// A request does not wait for another longer than its client waits for it.
func TestARequestWaitsForAnotherWithinItsTime(t *testing.T) {
	up := newScripted(hang)
	p := startPoolWaiting(t, up, 10*patience)
	first := newRequest(p, "1", 0, 2*patience)
	firstAnswer := do(p, first)
	wait(t, "first attempt", up.begun)
	if ans := wait(t, "second answer", do(p, newRequest(p, "1", 0, 50*time.Millisecond))); ans.Verdict != Rejected {
		t.Errorf("got %+v", ans)
	}
	p.Cancel(first)
	wait(t, "first answer", firstAnswer)
}

// A request whose own client leaves while it waits is not begun.
func TestARequestThatWaitsForAnotherCanBeWithdrawn(t *testing.T) {
	up := newScripted(hang)
	p := startPoolWaiting(t, up, patience)
	first := newRequest(p, "1", 0, patience)
	firstAnswer := do(p, first)
	wait(t, "first attempt", up.begun)
	second := newRequest(p, "1", 0, patience)
	secondAnswer := do(p, second)
	awaited(t, p, "1")
	p.Cancel(second)
	p.Cancel(first)
	if ans := wait(t, "second answer", secondAnswer); ans.Verdict != Canceled || len(up.begun) != 0 {
		t.Errorf("got %+v, %d further attempts", ans, len(up.begun))
	}
	wait(t, "first answer", firstAnswer)
}
