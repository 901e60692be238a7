package node

import (
	"context"
	"time"

	"fernlanding/internal/distribution"
	"fernlanding/internal/distribution/httpapi"
)

// waiter is the read of a session. A session has one read at a time: a second one supersedes the
// first. The node's lock guards its fields.
type waiter struct {
	wake           chan struct{} // holds one wake-up
	read           uint64        // the number of the read that waits
	urgentSince    time.Time     // since when an urgent item has been pending; zero: none is
	lastHadUpdates bool          // the read before was answered with updates
	answerNow      bool          // the read is answered now, with updates or without
}

// signal wakes the read that waits, or the next one.
func (w *waiter) signal() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// awaitUpdates returns the response to a read: the pending updates, or none once its hold is over.
// The lock is held, but not while the read waits. Errors: distribution.ErrUnknownSession,
// httpapi.ErrSuperseded, that of the context, *httpapi.OverloadedError when the node closes.
func (n *Node) awaitUpdates(
	ctx context.Context, session *distribution.Session, until time.Time,
) (*httpapi.EncodedResponse, error) {
	w := n.beginRead(session)
	read := w.read
	var timer *time.Timer
	for {
		now := n.now()
		pending, _ := n.sessions.Pending(session, n.store, now)
		if len(pending) > 0 || !now.Before(until) || w.answerNow {
			n.endRead(session, w, now)
			w.lastHadUpdates = len(pending) > 0
			w.answerNow = false
			return n.respond(session, pending), nil
		}
		n.setReleaseTimer(now)
		if timer == nil {
			timer = time.NewTimer(until.Sub(now))
			defer timer.Stop()
		}
		err := n.sleep(ctx, w, timer)
		switch {
		case session.Closed():
			return nil, distribution.ErrUnknownSession
		case w.read != read:
			w.signal() // the wake-up may have been meant for the later read
			return nil, httpapi.ErrSuperseded
		case err != nil:
			n.endRead(session, w, now)
			return nil, err
		}
	}
}

// sleep waits, with the lock released, until an update may be pending or the timer fires. An error
// says that nobody waits for the response any more.
func (n *Node) sleep(ctx context.Context, w *waiter, timer *time.Timer) error {
	n.waitingReads++
	n.mu.Unlock()
	defer func() {
		n.mu.Lock()
		n.waitingReads--
	}()
	select {
	case <-w.wake:
		return nil
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-n.closed:
		return &httpapi.OverloadedError{Reason: "closing"}
	}
}

// answerAll has all waiting reads answered now.
func (n *Node) answerAll() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, w := range n.waiters {
		w.answerNow = true
		w.signal()
	}
}

// beginRead begins a read of a session, in place of an earlier one that still waits. The lock is
// held.
func (n *Node) beginRead(session *distribution.Session) *waiter {
	w := n.waiters[session]
	if w == nil {
		w = &waiter{wake: make(chan struct{}, 1)}
		n.waiters[session] = w
	} else {
		w.signal()
	}
	w.read++
	w.answerNow = false
	return w
}

// endRead ends a session's read. The lock is held.
func (n *Node) endRead(session *distribution.Session, w *waiter, now time.Time) {
	n.sessions.ReadEnded(session)
	if !w.urgentSince.IsZero() {
		n.stats.UrgentHeldUs = max(n.stats.UrgentHeldUs, now.Sub(w.urgentSince).Microseconds())
		w.urgentSince = time.Time{}
	}
}

// wake wakes the reads of sessions. The lock is held.
func (n *Node) wake(sessions []*distribution.Session) {
	for _, session := range sessions {
		if w := n.waiters[session]; w != nil {
			w.signal()
		}
	}
}

// setReleaseTimer sets the timer for the next coalesced updates, unless it is set already, and
// wakes the reads for which that time has come. The lock is held.
func (n *Node) setReleaseTimer(now time.Time) {
	if n.releaseTimerSet {
		return
	}
	ready, next := n.sessions.ReleaseCoalesced(now)
	n.wake(ready)
	if !next.IsZero() {
		n.releaseTimerSet = true
		n.releaseTimer.Reset(next.Sub(now))
	}
}

// releaseCoalesced wakes the reads whose updates have been held back long enough.
func (n *Node) releaseCoalesced() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.releaseTimerSet = false
	n.setReleaseTimer(n.now())
}
