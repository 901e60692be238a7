package core

import (
	"testing"
	"time"

	"fernlanding/logic"
)

// waitForDuplicate waits until another request waits for the end of the request with the given ID.
func waitForDuplicate(t *testing.T, p *Pool, id string) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); time.Now().Before(deadline); {
		p.mu.Lock()
		earlier := p.idHolders[id]
		isAwaited := earlier != nil && earlier.done != nil
		p.mu.Unlock()
		if isAwaited {
			return
		}
	}
	t.Fatal("no request waits for the end of the earlier request")
}

// A caller that has abandoned an attempt may retry before this pool has noticed that the client has
// gone. The retry comes from the same client, so it must not be rejected: it waits and is served
// once the canceled request has ended.
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
		t.Errorf("first request: got %+v, want verdict Canceled", ans)
	}
	if ans := receive(t, "second answer", secondAnswer); ans.Verdict != Served {
		t.Errorf("second request: got %+v, want verdict Served", ans)
	}
	if s := p.Stats(); s != (Stats{}) {
		t.Errorf("pool not empty at the end: %+v", s)
	}
}

// While a request is in progress, another request with the same ID is rejected, because the two
// cannot be distinguished.
func TestDuplicateIDIsRejectedWhileRequestIsOpen(t *testing.T) {
	for name, duplicateIDWait := range map[string]time.Duration{"at once": 0, "after a wait": 10 * time.Millisecond} {
		up := newScriptedUpstream(hangUntilCanceled)
		p := startPoolWithDuplicateWait(t, up, duplicateIDWait)
		first := newRequest(p, "1", 0, testTimeout)
		firstAnswer := doAsync(p, first)
		receive(t, "first attempt", up.started)
		if ans := p.Do(newRequest(p, "1", 0, testTimeout)); ans.Verdict != Rejected {
			t.Errorf("%s: got %+v, want verdict Rejected", name, ans)
		}
		if len(up.started) != 0 {
			t.Errorf("%s: the duplicate was sent", name)
		}
		p.Cancel(first)
		receive(t, "first answer", firstAnswer)
	}
}

// The wait for an earlier request with the same ID ends at the client deadline of the later
// request.
func TestDuplicateIDWaitEndsAtDeadline(t *testing.T) {
	up := newScriptedUpstream(hangUntilCanceled)
	p := startPoolWithDuplicateWait(t, up, 10*testTimeout)
	first := newRequest(p, "1", 0, 2*testTimeout)
	firstAnswer := doAsync(p, first)
	receive(t, "first attempt", up.started)
	second := doAsync(p, newRequest(p, "1", 0, 50*time.Millisecond))
	if ans := receive(t, "second answer", second); ans.Verdict != Rejected {
		t.Errorf("got %+v, want verdict Rejected", ans)
	}
	p.Cancel(first)
	receive(t, "first answer", firstAnswer)
}

// A request whose client disconnects during the wait for an earlier request with the same ID is not
// sent.
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
		t.Errorf("got %+v and %d further attempts, want verdict Canceled and none", ans, len(up.started))
	}
	receive(t, "first answer", firstAnswer)
}

// A reserved ID belongs to its request until the reservation is released, or, with a window, until
// some time after the answer.
func TestReservedIDBelongsToItsRequest(t *testing.T) {
	up := newScriptedUpstream(func(*Attempt) AttemptResult {
		return AttemptResult{Status: logic.OK, Response: &Response{StatusCode: 200}}
	})
	for _, window := range []time.Duration{0, time.Hour} {
		p := startPool(t, up)
		if window > 0 {
			p.forwardedIDs, p.unforwardedIDs = newRecentIDs(window.Microseconds()), newRecentIDs(window.Microseconds())
		}
		released, first := newRequest(p, "1", 0, testTimeout), newRequest(p, "1", 0, testTimeout)
		if !p.ReserveID(released) || p.ReserveID(first) {
			t.Fatalf("window %v: the ID does not belong to the first request alone", window)
		}
		p.ReleaseID(first) // has no effect: the ID belongs to the other request
		if ans := p.Do(first); ans.Verdict != Rejected {
			t.Errorf("window %v, ID of another request: got %+v, want verdict Rejected", window, ans)
		}
		p.ReleaseID(released)
		if !p.ReserveID(first) {
			t.Fatalf("window %v: released ID is not free", window)
		}
		if ans := p.Do(first); ans.Verdict != Served {
			t.Errorf("window %v: got %+v, want verdict Served", window, ans)
		}
		p.ReleaseID(first)
		want := Served
		if window > 0 {
			want = Rejected
		}
		if ans := p.Do(newRequest(p, "1", 0, testTimeout)); ans.Verdict != want {
			t.Errorf("window %v, after the answer: got %+v, want verdict %v", window, ans, want)
		}
		if len(p.idHolders) != 0 {
			t.Errorf("window %v: %d IDs are still reserved", window, len(p.idHolders))
		}
	}
}
