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
	// responseTimeout is the timeout of a read, counted from the end of its hold. A read that opens
	// a session has no hold.
	responseTimeout = time.Second
	// requestTimeout is the timeout of a request that does not wait for an update.
	requestTimeout = time.Second
	// endLeaveTimeout is the timeout of the request that closes the session when the follower ends.
	// It is short because it delays the end of the process.
	endLeaveTimeout = 250 * time.Millisecond
	// failureNoticeDelay is the time without a response, in addition to the hold, after which
	// UpdateFailed is called.
	failureNoticeDelay = 2 * time.Second
	// logInterval is the minimum time between two log lines which report that no relay answers.
	logInterval = 5 * time.Second
)

// reader is the loop that reads from the relays of a Follower. Its fields are used only by the
// goroutine of run.
type reader struct {
	f      *Follower
	picker *relayPicker
	prober *relayProber

	current  int         // index of the relay to read from
	open     bool        // whether the relay has responded in the current session
	openedAt time.Time   // time at which the session was opened
	previous *sessionRef // session that was left for a better relay; nil means none

	startedAt      time.Time
	lastNoticeAt   time.Time // time of the last UpdateFailed; zero means none since the last response
	lastLogAt      time.Time // time of the last "no relay answers" log line; zero means none since the last response
	backgroundJobs sync.WaitGroup
}

// sessionRef identifies a session at a relay.
type sessionRef struct{ address, id string }

// request is a request and the address of the relay that receives it.
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

// run reads until the context ends, and then closes the session.
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

// chooseRelay chooses the relay to read from next, and returns the time to wait before the read.
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

// read performs one read and applies the updates of the response. Without a session the read opens
// one and is answered at once.
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
// the read continues for leaveTimeout, because its response has the session ID that is needed to
// close the session.
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

// compose returns the next read, with all positions and unfollowed resources that the session has
// not been informed about.
func (r *reader) compose() *request {
	f := r.f
	f.sendMu.Lock()
	defer f.sendMu.Unlock()
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
	if len(f.unsentStatuses) > 0 { // positions are sent with the next read
		f.wakeReports()
	}
}

// readSucceeded updates the state of the reader after a successful read.
func (r *reader) readSucceeded(ctx context.Context) {
	if r.open {
		r.picker.succeeded(r.current) // only after a read that continues a session
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

// readFailed updates the state of the reader after a failed read. The next read opens a session at
// the same or another relay.
func (r *reader) readFailed(err error) {
	now := r.f.now()
	endedEarly := r.open && now.Sub(r.openedAt) < r.f.cfg.Hold
	r.open = false
	r.previous = nil
	r.forgetSession()
	// A relay that has restarted knows no session, so a new session is opened at once. The relay
	// counts as failed if the session was lost soon after it was opened, because its cause may
	// persist, for example a second process with the same name.
	if endedEarly || !errors.Is(err, distribution.ErrUnknownSession) {
		r.picker.failed(r.current, now, retryAfter(err), r.f.cfg.Rand)
	}
	r.noticeFailure(now, err)
}

// noticeFailure logs that no relay answers, and calls UpdateFailed after some time without a
// response.
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

// forgetSession discards the current session without a request to its relay, and returns it.
func (r *reader) forgetSession() *sessionRef {
	r.f.mu.Lock()
	defer r.f.mu.Unlock()
	session := &sessionRef{address: r.f.relay, id: r.f.sessionID}
	r.f.sessionID = ""
	return session
}

// leaveAtEnd closes the session at the relay when the follower ends.
func (r *reader) leaveAtEnd(ctx context.Context) {
	if session := r.forgetSession(); session.id != "" {
		r.sendLeave(context.WithoutCancel(ctx), session, r.f.leaveTimeout)
	}
}

// sendLeave closes a session at its relay, in the background. Otherwise the relay would count the
// follower until the session expires, after several holds.
func (r *reader) sendLeave(ctx context.Context, session *sessionRef, timeout time.Duration) {
	f := r.f
	req := &distribution.FollowRequest{Follower: f.cfg.Name, Kind: f.cfg.Kind, Session: session.id, Leave: true}
	f.mu.Lock()
	f.stats.MessagesOut++
	f.mu.Unlock()
	r.backgroundJobs.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		_, _ = f.transport.Follow(ctx, session.address, req) // after a failure the session expires
	})
}

// retryAfter returns the Retry-After of an overloaded relay, or 0 if err has none.
func retryAfter(err error) time.Duration {
	var overloaded *httpapi.OverloadedError
	if errors.As(err, &overloaded) {
		return overloaded.RetryAfter
	}
	return 0
}
