package node

import (
	"context"
	"time"

	"fernlanding/internal/distribution"
	"fernlanding/internal/distribution/httpapi"
)

// waiter is the state of the reads of a session. A session has one waiting read at a time: a second
// read supersedes the first. The fields are guarded by the node's lock.
type waiter struct {
	wake           chan struct{} // buffers one wake-up
	readNumber     uint64        // number of the current read
	urgentSince    time.Time     // time since which an urgent item is pending; zero means none is
	lastHadUpdates bool          // whether the previous read was answered with updates
	answerNow      bool          // whether to answer the read now, even without updates
}

// signal wakes the waiting read, or the next one if none waits.
func (w *waiter) signal() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// awaitUpdates returns the response to a read, with the pending updates, or without updates once
// the hold of the read has ended. The caller holds n.mu, which is released while the read waits.
// The error is distribution.ErrUnknownSession, httpapi.ErrSuperseded, the error of the context, or
// an *httpapi.OverloadedError when the node closes.
func (n *Node) awaitUpdates(
	ctx context.Context, session *distribution.Session, until time.Time,
) (*httpapi.EncodedResponse, error) {
	w := n.beginRead(session)
	read := w.readNumber
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
		err := n.waitForWake(ctx, w, timer)
		switch {
		case session.Closed():
			return nil, distribution.ErrUnknownSession
		case w.readNumber != read:
			w.signal() // the wake-up may have been intended for the later read
			return nil, httpapi.ErrSuperseded
		case err != nil:
			n.endRead(session, w, now)
			return nil, err
		}
	}
}

// waitForWake waits, with the lock released, until an update may be pending or the timer fires. It
// returns the context's error if the context ends, because the response is no longer needed, and an
// *httpapi.OverloadedError if the node is closed. The caller holds n.mu.
func (n *Node) waitForWake(ctx context.Context, w *waiter, timer *time.Timer) error {
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

// answerAll causes all waiting reads to be answered now.
func (n *Node) answerAll() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, w := range n.waiters {
		w.answerNow = true
		w.signal()
	}
}

// beginRead begins a read of a session, which supersedes a read that still waits. The caller holds
// n.mu.
func (n *Node) beginRead(session *distribution.Session) *waiter {
	w := n.waiters[session]
	if w == nil {
		w = &waiter{wake: make(chan struct{}, 1)}
		n.waiters[session] = w
	} else {
		w.signal()
	}
	w.readNumber++
	w.answerNow = false
	return w
}

// endRead ends the read of a session. The caller holds n.mu.
func (n *Node) endRead(session *distribution.Session, w *waiter, now time.Time) {
	n.sessions.ReadEnded(session)
	if !w.urgentSince.IsZero() {
		n.stats.UrgentHeldUs = max(n.stats.UrgentHeldUs, now.Sub(w.urgentSince).Microseconds())
		w.urgentSince = time.Time{}
	}
}

// wake wakes the reads of sessions. The caller holds n.mu.
func (n *Node) wake(sessions []*distribution.Session) {
	for _, session := range sessions {
		if w := n.waiters[session]; w != nil {
			w.signal()
		}
	}
}

// setReleaseTimer wakes the reads whose updates are no longer delayed, and sets the timer for the
// next release of delayed updates. It does nothing if the timer is set already. The caller holds
// n.mu.
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

// releaseCoalesced wakes the reads whose updates are no longer delayed.
func (n *Node) releaseCoalesced() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.releaseTimerSet = false
	n.setReleaseTimer(n.now())
}
