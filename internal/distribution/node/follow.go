package node

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"fernlanding/internal/distribution"
	"fernlanding/internal/distribution/httpapi"
)

const (
	// maxOpeningReads is the maximum number of concurrent reads that open a session. The response
	// to each of them may contain all resources.
	maxOpeningReads = 64
	// openingRetryAfter is the Retry-After of reads beyond maxOpeningReads.
	openingRetryAfter = time.Second
	// sessionRetryAfter is the Retry-After of reads beyond the limit on sessions.
	sessionRetryAfter = 5 * time.Second
	// disconnectedHold is the maximum hold of reads while the node is disconnected from the source,
	// because the followers may find a better relay.
	disconnectedHold = time.Second
	// holdTick is the time of which the end of a hold is a multiple, if the hold is at least
	// minHoldTicks ticks long.
	holdTick     = 200 * time.Millisecond
	minHoldTicks = 5
	// holdJitter is the largest fraction by which the hold after an update is shortened.
	holdJitter = 0.75
)

// Follow implements httpapi.Service.
func (n *Node) Follow(
	ctx context.Context, req *distribution.FollowRequest,
) (resp *httpapi.EncodedResponse, done func(), err error) {
	done = func() {}
	if req.Session == "" {
		select {
		case n.openingReads <- struct{}{}:
			done = func() { <-n.openingReads }
		default:
			return nil, nil, n.rejectOpening()
		}
	}
	resp, err = n.follow(ctx, req)
	if err != nil {
		done()
		return nil, nil, err
	}
	return resp, done, nil
}

// rejectOpening counts a read beyond maxOpeningReads and returns its error.
func (n *Node) rejectOpening() error {
	n.mu.Lock()
	n.stats.RejectedSessions++
	n.mu.Unlock()
	return &httpapi.OverloadedError{RetryAfter: openingRetryAfter, Reason: "too many first reads at a time"}
}

// follow applies a request and waits for its response.
func (n *Node) follow(ctx context.Context, req *distribution.FollowRequest) (*httpapi.EncodedResponse, error) {
	now := n.now()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.stats.MessagesIn++
	session, err := n.applyRequest(req, now)
	if err != nil {
		return nil, err
	}
	if req.Session == "" { // answered at once, so that the follower receives its session ID
		return n.awaitUpdates(ctx, session, now)
	}
	if req.HoldMs == 0 || session.Closed() { // a report, or a request that ends the session
		return n.respond(session, nil), nil
	}
	hold := time.Duration(req.HoldMs) * time.Millisecond
	return n.awaitUpdates(ctx, session, n.holdUntil(session, now, hold))
}

// applyRequest opens or resumes the session of a request and applies the content of the request.
// The caller holds n.mu.
func (n *Node) applyRequest(req *distribution.FollowRequest, now time.Time) (*distribution.Session, error) {
	session, err := n.openOrResume(req, now)
	if err != nil {
		return nil, err
	}
	for i := range req.Positions {
		n.upstream.followed(req.Positions[i].Resource)
	}
	if len(req.Positions) > 0 || len(req.Statuses) > 0 {
		n.upstream.statusChanged(n.anyInForce(req))
	}
	if w := n.waiters[session]; w != nil && len(req.Positions) > 0 {
		w.signal() // a report may make an update pending for the waiting read
	}
	return session, nil
}

// openOrResume returns the session of a request. It opens a new session if the request names none.
// The caller holds n.mu.
func (n *Node) openOrResume(req *distribution.FollowRequest, now time.Time) (*distribution.Session, error) {
	if req.Session != "" {
		return n.resume(req, now)
	}
	n.lastSession++
	id := fmt.Sprintf("%s%x", n.sessionPrefix, n.lastSession)
	session, replaced, err := n.sessions.Open(id, req, now)
	if replaced != nil {
		n.sessionEnded(replaced)
	}
	if err != nil {
		n.stats.RejectedSessions++
		return nil, &httpapi.OverloadedError{RetryAfter: sessionRetryAfter, Reason: err.Error()}
	}
	return session, nil
}

// resume returns the session that a request names. The caller holds n.mu.
func (n *Node) resume(req *distribution.FollowRequest, now time.Time) (*distribution.Session, error) {
	session, err := n.sessions.Resume(req, now)
	if errors.Is(err, distribution.ErrUnknownSession) {
		n.stats.UnknownSessions++
	}
	if err == nil && session.Closed() { // the follower has left
		n.sessionEnded(session)
	}
	return session, err
}

// anyInForce reports whether the latest version of any resource in the positions and statuses of a
// request is in force at all proxies. The caller holds n.mu.
func (n *Node) anyInForce(req *distribution.FollowRequest) bool {
	for i := range req.Positions {
		if n.isInForce(req.Positions[i].Resource) {
			return true
		}
	}
	for i := range req.Statuses {
		if n.isInForce(req.Statuses[i].Resource) {
			return true
		}
	}
	return false
}

// isInForce reports whether the latest version of a resource is in force at all proxies. The caller
// holds n.mu.
func (n *Node) isInForce(resource string) bool {
	return n.sessions.InForce(resource, n.store.Version(resource))
}

// holdUntil returns the time at which a read without an update is answered, at the latest the end
// of its hold. For a hold of at least minHoldTicks ticks, the time is a multiple of holdTick,
// because responses that are sent together cost a fraction of the same responses sent one by one.
// An update is sent to many followers at once, so the hold of the next read of each of them is
// shortened at random. Otherwise all these followers would read at the same time from then on. The
// caller holds n.mu.
func (n *Node) holdUntil(session *distribution.Session, now time.Time, hold time.Duration) time.Time {
	if w := n.waiters[session]; w != nil && w.lastHadUpdates {
		w.lastHadUpdates = false
		hold -= time.Duration(float64(hold) * holdJitter * rand.Float64())
	}
	if n.upstream.disconnected() {
		hold = min(hold, disconnectedHold)
	}
	until := now.Add(hold)
	if hold < minHoldTicks*holdTick {
		return until
	}
	return until.Add(-time.Duration(until.UnixNano()) % holdTick)
}
