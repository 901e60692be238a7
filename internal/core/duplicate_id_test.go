package core

import (
	"testing"
	"time"

	"fernlanding/logic"
)

// waitForDuplicate waits until a request waits for the end of the open one with the same ID.
func waitForDuplicate(t *testing.T, p *Pool, id string) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); time.Now().Before(deadline); {
		p.mu.Lock()
		earlier := p.requests[id]
		isAwaited := earlier != nil && earlier.released != nil
		p.mu.Unlock()
		if isAwaited {
			return
		}
	}
	t.Fatal("no request waits")
}

// A caller that has given up an attempt may retry before this pool has seen the client leave: that
// is no second client. The retry waits, and is served once the canceled request has ended.
func TestDuplicateIDWaitsForCanceledRequest(t *testing.T) {
	attempts := make(chan int, 1)
	attempts <- 0
	up := newScriptedUpstream(func(a *Attempt) AttemptResult {
		n := 1 + <-attempts
		attempts <- n
		if n == 1 {
			return hangUntilCanceled(a)
		}
		return AttemptResult{Status: logic.OK, Response: &Response{StatusCode: 200}}
	})
	p := startPoolWithDuplicateWait(t, up, testTimeout)
	first := newRequest(p, "1", 0, testTimeout)
	firstAnswer := doAsync(p, first)
	receive(t, "first attempt", up.started)
	secondAnswer := doAsync(p, newRequest(p, "1", 0, testTimeout))
	waitForDuplicate(t, p, "1")
	p.Cancel(first)
	if ans := receive(t, "first answer", firstAnswer); ans.Verdict != Canceled {
		t.Errorf("the first got %+v", ans)
	}
	if ans := receive(t, "second answer", secondAnswer); ans.Verdict != Served {
		t.Errorf("the second got %+v", ans)
	}
	if s := p.Stats(); s != (Stats{}) {
		t.Errorf("left behind: %+v", s)
	}
}

// While a request's client stays, another request with the same ID is rejected: the two could not
// be told apart.
func TestDuplicateIDIsRejectedWhileRequestIsOpen(t *testing.T) {
	for name, duplicateIDWait := range map[string]time.Duration{"at once": 0, "after a wait": 10 * time.Millisecond} {
		up := newScriptedUpstream(hangUntilCanceled)
		p := startPoolWithDuplicateWait(t, up, duplicateIDWait)
		first := newRequest(p, "1", 0, testTimeout)
		firstAnswer := doAsync(p, first)
		receive(t, "first attempt", up.started)
		if ans := p.Do(newRequest(p, "1", 0, testTimeout)); ans.Verdict != Rejected {
			t.Errorf("%s: got %+v", name, ans)
		}
		if len(up.started) != 0 {
			t.Errorf("%s: it was sent", name)
		}
		p.Cancel(first)
		receive(t, "first answer", firstAnswer)
	}
}

// A request waits for an earlier one with the same ID no longer than its own client waits for it.
func TestDuplicateIDWaitEndsAtDeadline(t *testing.T) {
	up := newScriptedUpstream(hangUntilCanceled)
	p := startPoolWithDuplicateWait(t, up, 10*testTimeout)
	first := newRequest(p, "1", 0, 2*testTimeout)
	firstAnswer := doAsync(p, first)
	receive(t, "first attempt", up.started)
	second := doAsync(p, newRequest(p, "1", 0, 50*time.Millisecond))
	if ans := receive(t, "second answer", second); ans.Verdict != Rejected {
		t.Errorf("got %+v", ans)
	}
	p.Cancel(first)
	receive(t, "first answer", firstAnswer)
}

// A request whose client leaves while it waits for an earlier one with the same ID is not sent.
func TestDuplicateIDWaitCanBeCanceled(t *testing.T) {
	up := newScriptedUpstream(hangUntilCanceled)
	p := startPoolWithDuplicateWait(t, up, testTimeout)
	first := newRequest(p, "1", 0, testTimeout)
	firstAnswer := doAsync(p, first)
	receive(t, "first attempt", up.started)
	second := newRequest(p, "1", 0, testTimeout)
	secondAnswer := doAsync(p, second)
	waitForDuplicate(t, p, "1")
	p.Cancel(second)
	p.Cancel(first)
	if ans := receive(t, "second answer", secondAnswer); ans.Verdict != Canceled || len(up.started) != 0 {
		t.Errorf("got %+v, %d further attempts", ans, len(up.started))
	}
	receive(t, "first answer", firstAnswer)
}
