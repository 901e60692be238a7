package follow

import (
	"context"
	"errors"
	"sync"
	"time"

	"fernlanding/internal/distribution"
	"fernlanding/internal/distribution/httpapi"
	"fernlanding/internal/sleep"
)

const (
	// responseTimeout is how much later than its hold a read may be answered, else it has failed.
	responseTimeout = time.Second
	// requestTimeout bounds a request that does not wait for an update.
	requestTimeout = time.Second
	// endLeaveTimeout bounds the request that ends the session when the follower ends: nobody is to
	// wait long for it.
	endLeaveTimeout = 250 * time.Millisecond
	// failureNoticeDelay is how long after a hold without a response UpdateFailed is called.
	failureNoticeDelay = 2 * time.Second
	// logInterval is how often the log says that no relay answers.
	logInterval = 5 * time.Second
)

// reader reads from one relay after another for a Follower. Its fields belong to the goroutine of
// run.
type reader struct {
	f      *Follower
	picker *relayPicker
	prober *relayProber

	current  int         // the choice to read from
	open     bool        // there is a session, and it has been answered
	openedAt time.Time   // of the session
	previous *sessionRef // the session that was left for a better relay; nil: none

	startedAt      time.Time
	lastNoticeAt   time.Time // of UpdateFailed; zero: not since the last response
	lastLogAt      time.Time // of the line that no relay answers; zero: not since the last response
	backgroundJobs sync.WaitGroup
}

// sessionRef names a session at a relay.
type sessionRef struct{ address, id string }

// request is a request and the relay that it goes to.
type request struct {
	distribution.FollowRequest
	address string
}

// newReader returns a reader that has not read yet.
func newReader(f *Follower) *reader {
	picker := newRelayPicker(f.cfg.Name, f.cfg.Relays)
	return &reader{
		f:         f,
		picker:    picker,
		prober:    newRelayProber(f.transport, picker.addresses()),
		startedAt: f.now(),
	}
}

// run reads until the context ends, and then ends the session.
func (r *reader) run(ctx context.Context) {
	defer r.backgroundJobs.Wait()
	defer r.leaveAtEnd(ctx)
	for sleep.For(ctx, r.chooseRelay()) {
		err := r.read(ctx)
		switch {
		case ctx.Err() != nil:
			return
		case err != nil:
			r.readFailed(err)
		default:
			r.readSucceeded(ctx)
		}
	}
}

// chooseRelay decides which relay to read from next, and returns how long to wait before.
func (r *reader) chooseRelay() (wait time.Duration) {
	if !r.open {
		r.current, wait = r.picker.next(r.f.now())
		return wait
	}
	if better, found := r.prober.takePreferred(r.current); found {
		r.previous = r.forgetSession()
		r.current = better
		r.open = false
	}
	return 0
}

// read reads once. Without a session it opens one, and is answered at once.
func (r *reader) read(ctx context.Context) error {
	req := r.compose()
	readCtx, cancel := r.readContext(ctx, req)
	defer cancel()
	response, err := r.f.transport.Follow(readCtx, req.address, &req.FollowRequest)
	if err != nil {
		return err
	}
	r.recordResponse(req, response)
	if err := ctx.Err(); err != nil {
		return err
	}
	return r.f.applyUpdates(response.Updates)
}

// readContext returns the context of a read. If the follower ends while a session is being opened,
// the read goes on for leaveTimeout: without its response there is no session ID to leave by.
func (r *reader) readContext(ctx context.Context, req *request) (context.Context, context.CancelFunc) {
	if req.Session != "" {
		return context.WithTimeout(ctx, responseTimeout+r.f.cfg.Hold)
	}
	opening, cancel := context.WithTimeout(context.WithoutCancel(ctx), responseTimeout)
	stop := context.AfterFunc(ctx, func() { time.AfterFunc(r.f.leaveTimeout, cancel) })
	return opening, func() {
		stop()
		cancel()
	}
}

// compose returns the next read, with all that the session does not know.
func (r *reader) compose() *request {
	f := r.f
	f.sending.Lock()
	defer f.sending.Unlock()
	f.mu.Lock()
	defer f.mu.Unlock()
	req := f.newRequest(r.picker.address(r.current))
	req.HoldMs = f.cfg.Hold.Milliseconds()
	if f.sessionID == "" {
		f.markAllUnsent()
	}
	req.Positions, req.Unfollowed = f.takeUnsentPositions()
	f.stats.MessagesOut++
	return req
}

// recordResponse records the response to a read.
func (r *reader) recordResponse(req *request, response *distribution.FollowResponse) {
	r.prober.setCurrent(r.current, response.Disconnected)

	f := r.f
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stats.MessagesIn++
	if f.sessionID != response.Session {
		f.stats.Sessions++
	}
	if f.relay != "" && f.relay != req.address {
		f.stats.Switches++
	}
	f.relay = req.address
	f.sessionID = response.Session
	f.health = Health{
		Relay:        req.address,
		LastResponse: f.now(),
		SourceAge:    time.Duration(response.SourceAgeMs) * time.Millisecond,
		Disconnected: response.Disconnected,
	}
	r.lastNoticeAt = time.Time{}
	r.lastLogAt = time.Time{}
	if len(f.unsentStatuses) > 0 { // positions go with the next read
		f.wakeReports()
	}
}

// readSucceeded follows up on a read that has been answered.
func (r *reader) readSucceeded(ctx context.Context) {
	if r.open {
		r.picker.succeeded(r.current) // a session that goes on, not one that was only opened
	} else {
		r.open = true
		r.openedAt = r.f.now()
	}
	if r.previous != nil {
		r.sendLeave(ctx, r.previous, requestTimeout)
		r.previous = nil
	}
	r.prober.start(ctx, r.f.cfg.Rand, &r.backgroundJobs)
}

// readFailed follows up on a read that has failed: the next one opens a session, here or at another
// relay.
func (r *reader) readFailed(err error) {
	now := r.f.now()
	endedEarly := r.open && now.Sub(r.openedAt) < r.f.cfg.Hold
	r.open = false
	r.previous = nil
	r.forgetSession()
	// A relay that restarts knows no session, and a new one is opened at once. A session that ends
	// as soon as it has been opened is another matter: a second process of the same name, for
	// example.
	if endedEarly || !errors.Is(err, distribution.ErrUnknownSession) {
		r.picker.failed(r.current, now, retryAfter(err), r.f.cfg.Rand)
	}
	r.noticeFailure(now, err)
}

// noticeFailure logs that no relay answers, and tells the subscribers once that has lasted.
func (r *reader) noticeFailure(now time.Time, err error) {
	f := r.f
	f.mu.Lock()
	if f.health.SilentSince.IsZero() {
		f.health.SilentSince = now
	}
	lastAnswer := f.health.LastResponse
	f.mu.Unlock()
	if lastAnswer.IsZero() {
		lastAnswer = r.startedAt
	}
	silent := now.Sub(lastAnswer)
	if now.Sub(r.lastLogAt) >= logInterval {
		r.lastLogAt = now
		f.cfg.Log.Warn("distribution: no relay answers", "error", err, "silent", silent)
	}
	if silent >= f.cfg.Hold+failureNoticeDelay && now.Sub(r.lastNoticeAt) >= f.cfg.Hold {
		r.lastNoticeAt = now
		f.notifyUpdateFailed()
	}
}

// forgetSession ends the session at this side, and returns which it was.
func (r *reader) forgetSession() *sessionRef {
	r.f.mu.Lock()
	defer r.f.mu.Unlock()
	session := &sessionRef{address: r.f.relay, id: r.f.sessionID}
	r.f.sessionID = ""
	return session
}

// leaveAtEnd ends the session at the relay when the follower ends.
func (r *reader) leaveAtEnd(ctx context.Context) {
	if session := r.forgetSession(); session.id != "" {
		r.sendLeave(context.WithoutCancel(ctx), session, r.f.leaveTimeout)
	}
}

// sendLeave ends a session at its relay, in the background. Else the relay would count this
// follower for some more holds.
func (r *reader) sendLeave(ctx context.Context, session *sessionRef, timeout time.Duration) {
	f := r.f
	req := &distribution.FollowRequest{Follower: f.cfg.Name, Kind: f.cfg.Kind, Session: session.id, Leave: true}
	f.mu.Lock()
	f.stats.MessagesOut++
	f.mu.Unlock()
	r.backgroundJobs.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		_, _ = f.transport.Follow(ctx, session.address, req) // the session expires by itself too
	})
}

// retryAfter returns how long an overloaded relay asks to wait; 0: err says nothing of it.
func retryAfter(err error) time.Duration {
	var overloaded *httpapi.OverloadedError
	if errors.As(err, &overloaded) {
		return overloaded.RetryAfter
	}
	return 0
}
