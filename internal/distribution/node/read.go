package node

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	mathrand "math/rand/v2"
	"time"

	"fernlanding/internal/distribution"
	"fernlanding/internal/distribution/httpapi"
)

// waiter is the read of a session that was opened last.
type waiter struct {
	wake    chan struct{}
	read    uint64
	urgent  time.Time // since when an urgent item has been due to it; zero: none is
	updated bool      // the read before was answered with updates
	hurried bool      // the read is answered now, with news or without
}

func (w *waiter) signal() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// Follow implements httpapi.Service.
func (n *Node) Follow(ctx context.Context, req *distribution.FollowRequest) (*httpapi.EncodedResponse, func(), error) {
	done := func() {}
	if req.Session == "" {
		select {
		case n.firsts <- struct{}{}:
			done = func() { <-n.firsts }
		default:
			return nil, nil, n.turnAway("too many first reads at a time", firstRetryAfter)
		}
	}
	answer, err := n.follow(ctx, req)
	if err != nil {
		done()
		return nil, nil, err
	}
	return answer, done, nil
}

func (n *Node) turnAway(reason string, retryAfter time.Duration) error {
	n.mu.Lock()
	n.stats.RejectedSessions++
	n.mu.Unlock()
	return &httpapi.OverloadedError{RetryAfter: retryAfter, Reason: reason}
}

func (n *Node) follow(ctx context.Context, req *distribution.FollowRequest) (*httpapi.EncodedResponse, error) {
	began := n.now()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.stats.MessagesIn++
	session, err := n.take(req, began)
	if err != nil {
		return nil, err
	}
	switch {
	case req.Session == "": // answered at once, so that the follower knows its session
		return n.wait(ctx, session, began)
	case req.HoldMs == 0 || session.Ended(): // a report beside a read, or a session that was left
		return n.answer(session, nil), nil
	}
	return n.wait(ctx, session, n.holdUntil(session, began, time.Duration(req.HoldMs)*time.Millisecond))
}

// take takes what a follower says.
func (n *Node) take(req *distribution.FollowRequest, now time.Time) (*distribution.Session, error) {
	session, err := n.session(req, now)
	if err != nil {
		return nil, err
	}
	for i := range req.Positions {
		n.follows(req.Positions[i].Resource)
	}
	if len(req.Positions) > 0 || len(req.Statuses) > 0 {
		n.changed(n.complete(req))
	}
	if w := n.readers[session]; w != nil && len(req.Positions) > 0 {
		w.signal() // a report may bring what is due to the read
	}
	return session, nil
}

func (n *Node) session(req *distribution.FollowRequest, now time.Time) (*distribution.Session, error) {
	if req.Session != "" {
		session, err := n.sessions.Resume(req, now)
		if errors.Is(err, distribution.ErrUnknownSession) {
			n.stats.UnknownSessions++
		}
		if err == nil && session.Ended() {
			n.ended(session)
		}
		return session, err
	}
	n.opened++
	session, replaced, err := n.sessions.Open(fmt.Sprintf("%s%x", n.prefix, n.opened), req, now)
	if replaced != nil {
		n.ended(replaced)
	}
	if err != nil {
		n.stats.RejectedSessions++
		return nil, &httpapi.OverloadedError{RetryAfter: sessionRetryAfter, Reason: err.Error()}
	}
	return session, nil
}

// complete tells whether the last proxy of a resource has just got its latest version.
func (n *Node) complete(req *distribution.FollowRequest) bool {
	for i := range req.Positions {
		name := req.Positions[i].Resource
		if n.sessions.InForce(name, n.store.Version(name)) {
			return true
		}
	}
	for i := range req.Statuses {
		name := req.Statuses[i].Resource
		if n.sessions.InForce(name, n.store.Version(name)) {
			return true
		}
	}
	return false
}

// holdUntil is when a read without news is answered, after its hold at the latest. Answers that come together in ticks cost
// a fraction of the same answers one by one. Where an update has gone to many followers at once, their next reads end at
// times that are drawn over the hold, so that they do not come back together each time.
func (n *Node) holdUntil(session *distribution.Session, began time.Time, hold time.Duration) time.Time {
	if w := n.readers[session]; w != nil && w.updated {
		w.updated = false
		hold -= time.Duration(float64(hold) * spreadShare * mathrand.Float64())
	}
	if n.cut() {
		hold = min(hold, cutHold)
	}
	until := began.Add(hold)
	if hold < leastTicks*holdTick {
		return until
	}
	return until.Add(-time.Duration(until.UnixNano()) % holdTick)
}

// wait answers a read with what is due, or with nothing once its hold is over. The lock is held, but while it waits.
func (n *Node) wait(ctx context.Context, session *distribution.Session, until time.Time) (*httpapi.EncodedResponse, error) {
	w := n.begin(session)
	mine := w.read
	var timer *time.Timer
	for {
		now := n.now()
		due, _ := n.sessions.Pending(session, n.store, now)
		if len(due) > 0 || !now.Before(until) || w.hurried {
			n.finish(session, w, now)
			w.updated, w.hurried = len(due) > 0, false
			return n.answer(session, due), nil
		}
		n.arm(now)
		if timer == nil {
			timer = time.NewTimer(until.Sub(now))
			defer timer.Stop()
		}
		err := n.sleep(ctx, w, timer)
		switch {
		case session.Ended():
			return nil, distribution.ErrUnknownSession
		case w.read != mine:
			w.signal() // it may have been the later read's
			return nil, httpapi.ErrSuperseded
		case err != nil:
			n.finish(session, w, now)
			return nil, err
		}
	}
}

// sleep waits, without the lock, until there may be something due or the hold is over; an error: nobody waits any more.
func (n *Node) sleep(ctx context.Context, w *waiter, timer *time.Timer) error {
	n.waiting++
	n.mu.Unlock()
	defer func() {
		n.mu.Lock()
		n.waiting--
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

// hurry has all reads that wait answered.
func (n *Node) hurry() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, w := range n.readers {
		w.hurried = true
		w.signal()
	}
}

// begin makes a read its session's, in place of an earlier one.
func (n *Node) begin(session *distribution.Session) *waiter {
	w := n.readers[session]
	if w == nil {
		w = &waiter{wake: make(chan struct{}, 1)}
		n.readers[session] = w
	} else {
		w.signal()
	}
	w.read++
	w.hurried = false
	return w
}

// finish ends a session's read.
func (n *Node) finish(session *distribution.Session, w *waiter, now time.Time) {
	n.sessions.ReadEnded(session)
	if !w.urgent.IsZero() {
		n.stats.UrgentHeldUs = max(n.stats.UrgentHeldUs, now.Sub(w.urgent).Microseconds())
		w.urgent = time.Time{}
	}
}

// answer encodes what is due.
func (n *Node) answer(session *distribution.Session, due []distribution.PendingUpdate) *httpapi.EncodedResponse {
	a := &httpapi.EncodedResponse{Session: session.ID, SourceAge: n.age(), Disconnected: n.cut()}
	size := 0
	for _, d := range due {
		if size >= responseBytes {
			break
		}
		encoded, whole := n.encode(d)
		size += len(encoded)
		a.Updates = append(a.Updates, encoded)
		if whole {
			n.stats.FullUpdates++
		} else {
			n.stats.DeltaUpdates++
		}
	}
	n.stats.MessagesOut++
	return a
}

// encode is an update as JSON, shared by all followers that get the same.
func (n *Node) encode(d distribution.PendingUpdate) (encoded []byte, whole bool) {
	key := cacheKey{d.Resource, d.From, n.store.Version(d.Resource)}
	if e, found := n.cache.get(key); found {
		return e.data, e.whole
	}
	update := n.store.Since(d.Resource, d.From)
	data, err := json.Marshal(update)
	if err != nil { // not possible: values were decoded from JSON
		return nil, false
	}
	n.stats.Encodings++
	n.cache.put(key, cached{data, update.Full()})
	return data, update.Full()
}
