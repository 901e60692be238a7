package follow

import (
	"context"
	"errors"
	"fernlanding/internal/distribution"
	"fernlanding/internal/sleep"
	"math/rand/v2"
	"sync"
	"time"
)

// mostStatuses is how many statuses go in a report.
const mostStatuses = 512

// reader is a Follower's work while it runs.
type reader struct {
	*Follower
	ctx    context.Context
	picker *picker // of readLoop, as are those up to began

	current int       // the relay to read from
	open    bool      // there is a session
	opened  time.Time // since when
	left    *session  // the one that was left for an earlier choice

	// sending is held while a request is put together, and by reportLoop until its request is answered: what a later request
	// says does not overtake it.
	sending sync.Mutex

	choosing  sync.Mutex
	choice    int  // the relay that is read from
	cut       bool // it is cut off from the source
	preferred int  // the choice to go to
	moving    bool // preferred is set
	probing   bool // a probe runs

	began    time.Time
	missedAt time.Time
	saidAt   time.Time
	beside   sync.WaitGroup // probe and farewells
}

// session is one at a relay.
type session struct{ address, id string }

// request is what a request to a relay says, and what has to be said again should it fail.
type request struct {
	distribution.FollowRequest
	address string
}

func newReader(f *Follower, ctx context.Context) *reader {
	return &reader{Follower: f, ctx: ctx, picker: newPicker(f.cfg.Name, f.cfg.Relays), began: f.now()}
}

// readLoop reads again and again. At its end the relay is told.
func (r *reader) readLoop() {
	defer r.beside.Wait()
	defer r.goodbye()
	for sleep.For(r.ctx, r.choose()) {
		err := r.read()
		switch {
		case r.ctx.Err() != nil:
			return
		case err != nil:
			r.failed(err)
		default:
			r.succeeded()
		}
	}
}

// choose decides from which relay to read next, and returns how long to wait before.
func (r *reader) choose() (wait time.Duration) {
	if !r.open {
		r.current, wait = r.picker.next(r.now())
		return wait
	}
	if to, moving := r.moveTo(r.current); moving {
		r.left = r.leave()
		r.current, r.open = to, false
	}
	return 0
}

// read reads once: where there is no session, one begins, and the answer does not wait.
func (r *reader) read() error {
	req := r.compose(r.current)
	ctx, cancel := r.patience(req)
	defer cancel()
	response, err := r.transport.Follow(ctx, req.address, &req.FollowRequest)
	if err != nil {
		return err
	}
	r.heard(r.current, req, response)
	if err := r.ctx.Err(); err != nil {
		return err
	}
	return r.take(response.Updates)
}

// patience is the context of a read. Where the follower ends while a session begins, the answer is waited for a little longer:
// without it nobody knows which session to end.
func (r *reader) patience(req *request) (context.Context, context.CancelFunc) {
	if req.Session != "" {
		return context.WithTimeout(r.ctx, answerWithin+r.cfg.Hold)
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.ctx), answerWithin)
	stop := context.AfterFunc(r.ctx, func() { time.AfterFunc(r.goodbyeWithin, cancel) })
	return ctx, func() {
		stop()
		cancel()
	}
}

// succeeded takes that a read has been answered.
func (r *reader) succeeded() {
	if r.open {
		r.picker.answered(r.current) // a session that goes on, not one that was only begun
	} else {
		r.open, r.opened = true, r.now()
	}
	if r.left != nil {
		r.farewell(r.ctx, r.left, reportTimeout)
		r.left = nil
	}
	r.startProbe()
}

// compose is the next read.
func (r *reader) compose(choice int) *request {
	r.sending.Lock()
	defer r.sending.Unlock()
	r.mu.Lock()
	defer r.mu.Unlock()
	req := &request{address: r.picker.relays[choice].address}
	req.FollowRequest.Follower, req.Kind, req.Session = r.cfg.Name, r.cfg.Kind, r.session
	req.HoldMs = r.cfg.Hold.Milliseconds()
	req.Positions, req.Unfollowed = r.due(r.session == "")
	r.stats.MessagesOut++
	return req
}

// heard takes that a relay has answered.
func (r *reader) heard(choice int, req *request, response *distribution.FollowResponse) {
	r.choosing.Lock()
	r.choice, r.cut = choice, response.Disconnected
	r.choosing.Unlock()

	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	r.stats.MessagesIn++
	if r.session != response.Session {
		r.stats.Sessions++
	}
	if r.relay != req.address {
		if r.relay != "" {
			r.stats.Switches++
		}
		r.relay = req.address
	}
	r.session = response.Session
	r.health = Health{Relay: req.address, LastAnswer: now, SourceAge: time.Duration(response.SourceAgeMs) * time.Millisecond, Disconnected: response.Disconnected}
	r.missedAt, r.saidAt = time.Time{}, time.Time{}
	if len(r.unreported) > 0 { // what else is to be said goes with the next read
		r.reportSoon()
	}
}

// failed takes that a read has failed: the next begins a session, here or at another relay.
func (r *reader) failed(err error) {
	now := r.now()
	early := r.open && now.Sub(r.opened) < r.cfg.Hold
	r.open, r.left = false, nil
	r.leave()
	// A relay that restarts knows no session, and a new one begins at once. One that ends as soon as it has begun is another
	// matter: a second process of the same name, say.
	if early || !errors.Is(err, distribution.ErrUnknownSession) {
		r.picker.failedNow(r.current, now, busy(err), r.cfg.Rand)
	}
	r.mu.Lock()
	if r.health.SilentSince.IsZero() {
		r.health.SilentSince = now
	}
	heard := r.health.LastAnswer
	r.mu.Unlock()
	if heard.IsZero() {
		heard = r.began
	}
	if now.Sub(r.saidAt) >= sayEvery {
		r.saidAt = now
		r.cfg.Log.Warn("distribution", "error", err, "silent", now.Sub(heard))
	}
	if now.Sub(heard) >= r.cfg.Hold+missedAfter && now.Sub(r.missedAt) >= r.cfg.Hold {
		r.missedAt = now
		r.missed()
	}
}

// leave ends the session on this side, and returns it.
func (r *reader) leave() *session {
	r.mu.Lock()
	defer r.mu.Unlock()
	left := &session{r.relay, r.session}
	r.session = ""
	return left
}

// goodbye tells the relay that this follower has ended.
func (r *reader) goodbye() {
	if left := r.leave(); left.id != "" {
		r.farewell(context.WithoutCancel(r.ctx), left, r.goodbyeWithin)
	}
}

// farewell ends a session at a relay that is left, lest its count have this follower for some holds more.
func (r *reader) farewell(ctx context.Context, to *session, timeout time.Duration) {
	req := &distribution.FollowRequest{Follower: r.cfg.Name, Kind: r.cfg.Kind, Session: to.id, Leave: true}
	r.mu.Lock()
	r.stats.MessagesOut++
	r.mu.Unlock()
	r.beside.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		_, _ = r.transport.Follow(ctx, to.address, req) // the session ends by itself too
	})
}

// reportLoop says what can't wait for the next read: what is followed anew, and statuses.
func (r *reader) reportLoop() {
	for {
		select {
		case <-r.reports:
		case <-r.ctx.Done():
			return
		}
		for {
			more, err := r.report()
			if err != nil && !sleep.For(r.ctx, reportAgain) {
				return
			}
			if !more {
				break
			}
		}
	}
}

// report sends what the session does not know, if there is any, and tells whether there is more.
func (r *reader) report() (more bool, err error) {
	r.sending.Lock()
	defer r.sending.Unlock()
	req := r.composeReport()
	if req == nil {
		return false, nil
	}
	ctx, cancel := context.WithTimeout(r.ctx, reportTimeout)
	defer cancel()
	_, err = r.transport.Follow(ctx, req.address, &req.FollowRequest)
	r.mu.Lock()
	defer r.mu.Unlock()
	if err == nil {
		r.stats.MessagesIn++
		return len(r.unreported) > 0, nil
	}
	if r.session != req.Session {
		return false, err // the next session says all
	}
	for i := range req.Positions {
		r.dirty[req.Positions[i].Resource] = true
	}
	for _, name := range req.Unfollowed {
		if r.subscribed[name] == nil {
			r.unfollowed[name] = true
		}
	}
	for i := range req.Statuses {
		r.unreported[req.Statuses[i].Resource] = true
	}
	return !errors.Is(err, distribution.ErrUnknownSession), err
}

// composeReport is the next report; nil: there is none.
func (r *reader) composeReport() *request {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.session == "" {
		return nil
	}
	req := &request{address: r.relay}
	req.FollowRequest.Follower, req.Kind, req.Session = r.cfg.Name, r.cfg.Kind, r.session
	req.Positions, req.Unfollowed = r.due(false)
	for name := range r.unreported {
		if len(req.Statuses) == mostStatuses {
			break
		}
		delete(r.unreported, name)
		if status := r.statuses[name]; status != nil && r.subscribed[name] != nil {
			req.Statuses = append(req.Statuses, *status)
		}
	}
	if len(req.Positions) == 0 && len(req.Unfollowed) == 0 && len(req.Statuses) == 0 {
		return nil
	}
	r.stats.MessagesOut++
	return req
}

// startProbe has other choices asked whether they are ready where one of them would be better.
func (r *reader) startProbe() {
	r.choosing.Lock()
	defer r.choosing.Unlock()
	if r.probing || r.candidates() == 0 {
		return
	}
	r.probing = true
	random := rand.New(rand.NewPCG(r.cfg.Rand.Uint64(), r.cfg.Rand.Uint64()))
	r.beside.Go(func() { r.probe(random) })
}

// candidates is how many choices, the first ones, may be better than the one that is read from: any while that is cut off,
// else the earlier ones. The lock choosing is held.
func (r *reader) candidates() int {
	if r.cut {
		return len(r.picker.relays)
	}
	return r.choice
}

// probe asks until no other choice would be better.
func (r *reader) probe(random *rand.Rand) {
	for {
		choice, candidates, cut := r.probed()
		if candidates == 0 {
			return
		}
		wait := probeEvery/2 + time.Duration(random.Int64N(int64(probeEvery)))
		if cut {
			wait = time.Duration(random.Int64N(int64(probeEvery / 2)))
		}
		if !sleep.For(r.ctx, wait) {
			return
		}
		to := r.firstReady(choice, candidates)
		if to < 0 {
			continue
		}
		if !cut {
			if !sleep.For(r.ctx, time.Duration(random.Int64N(int64(returnSpread)))) {
				return
			}
			if !r.ready(to) { // it has been cut off meanwhile
				continue
			}
		}
		r.choosing.Lock()
		r.preferred, r.moving = to, r.choice == choice
		r.choosing.Unlock()
	}
}

// probed is the choice that is read from, how many are to be asked (none: the probe ends), and whether it is cut off.
func (r *reader) probed() (choice, candidates int, cut bool) {
	r.choosing.Lock()
	defer r.choosing.Unlock()
	candidates = r.candidates()
	r.probing = candidates > 0
	return r.choice, candidates, r.cut
}

// firstReady is the first of some choices that is ready, but for the one that is read from; negative: none is.
func (r *reader) firstReady(choice, candidates int) int {
	for i := range candidates {
		if i != choice && r.ready(i) {
			return i
		}
	}
	return -1
}

func (r *reader) ready(choice int) bool {
	ctx, cancel := context.WithTimeout(r.ctx, probeTimeout)
	defer cancel()
	return r.transport.Ready(ctx, r.picker.relays[choice].address) == nil // addresses don't change
}

// moveTo is the choice to go to, if there is a better one.
func (r *reader) moveTo(choice int) (int, bool) {
	r.choosing.Lock()
	defer r.choosing.Unlock()
	moving := r.moving && r.preferred != choice
	r.moving = false
	return r.preferred, moving
}
