package http1

import (
	"errors"

	"fernlanding/internal/core"
	"fernlanding/logic"
)

// roundTripper reaches an endpoint as it was listed when the decision module selected it.
type roundTripper struct {
	upstream *Upstream
	endpoint *endpoint
	addr     string
	epoch    int
}

// RoundTrip implements core.RoundTripper. It sends the request at most once.
func (rt *roundTripper) RoundTrip(a *core.Attempt) core.AttemptResult {
	u := rt.upstream
	forceNew := u.requiresNewConn(a.Class)
	c, reused, err := rt.connect(a, forceNew)
	if err != nil {
		if a.Canceled() || errors.Is(err, errNotSent) {
			return core.AttemptResult{Status: logic.NotSent}
		}
		return core.AttemptResult{Status: logic.ConnectFailed}
	}
	// During the dial, the attempt may have ended, or the endpoint may have drained or left.
	// Nothing is sent then. beginWrite checks the endpoint again.
	if a.Canceled() || a.DeadlinePassed() || !u.isCurrent(rt.endpoint, rt.epoch) {
		u.putIdle(c)
		return core.AttemptResult{Status: logic.NotSent}
	}
	res, reusable := rt.exchange(a, c)
	if reused && res.Status == logic.Reset && !c.responded {
		u.recordReuseFailure()
	}
	if reusable && !forceNew { // with forceNew, other requests of the class do not reuse it either
		u.putIdle(c)
	} else {
		u.closeConn(c)
	}
	return res
}

// exchange writes the request and reads the response. reusable reports whether the connection can
// carry another request.
func (rt *roundTripper) exchange(a *core.Attempt, c *conn) (res core.AttemptResult, reusable bool) {
	c.setDeadline(a.Deadline)
	if !a.SetCanceler(c) {
		return core.AttemptResult{Status: logic.NotSent}, false
	}
	defer func() {
		if !a.ClearCanceler() {
			reusable = false
		}
	}()
	c.requestOpen = true
	if err := rt.writeRequest(a, c); err != nil {
		// The last byte was not written, so the backend cannot have started the request.
		if errors.Is(err, errNotSent) || a.Canceled() {
			return core.AttemptResult{Status: logic.NotSent}, false // not evidence against the backend
		}
		return core.AttemptResult{Status: logic.ConnectFailed}, false
	}
	res, reusable, err := rt.readResponse(a, c)
	switch {
	case err == nil:
		return res, reusable
	case a.DeadlinePassed():
		return core.AttemptResult{Status: logic.TimedOut}, false
	case a.Canceled():
		return core.AttemptResult{Status: logic.Canceled}, false
	}
	return core.AttemptResult{Status: logic.Reset}, false
}
