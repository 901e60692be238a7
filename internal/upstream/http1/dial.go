package http1

import (
	"context"
	"errors"
	"fmt"
	"net"
	"syscall"
	"time"

	"fernlanding/internal/core"
	"fernlanding/internal/socket"
)

// maxAcquireTries is the maximum number of tries to acquire a descriptor. Each failed try closes an
// idle connection.
const maxAcquireTries = 4

// connect returns a connection for an attempt and whether it is a reused one. It takes an idle
// connection, unless forceNew is set, and otherwise dials a new one. With Config.LimitDials, it
// waits for whichever is available first.
func (rt *roundTripper) connect(a *core.Attempt, forceNew bool) (c *conn, reused bool, err error) {
	if c = rt.takeIdle(forceNew); c != nil {
		return c, true, nil
	}
	ctx, release := a.Context()
	defer release()
	if rt.upstream.cfg.LimitDials {
		return rt.connectLimited(ctx, forceNew)
	}
	c, err = rt.upstream.dial(ctx, rt.endpoint, rt.addr, rt.epoch)
	return c, false, err
}

// connectLimited dials once the endpoint's dial limiter allows it. Until then, it takes an idle
// connection as soon as there is one, unless forceNew is set.
func (rt *roundTripper) connectLimited(ctx context.Context, forceNew bool) (c *conn, reused bool, err error) {
	for {
		change, err := rt.beginDial()
		if err != nil {
			return nil, false, err
		}
		if change == nil {
			c, err = rt.upstream.dial(ctx, rt.endpoint, rt.addr, rt.epoch)
			rt.endDial(err, ctx.Err() != nil)
			return c, false, err
		}
		// A connection that became idle before change existed is announced no more.
		if c = rt.takeIdle(forceNew); c != nil {
			return c, true, nil
		}
		select {
		case <-change:
		case <-ctx.Done():
			return nil, false, errAttemptEnded
		}
		if c = rt.takeIdle(forceNew); c != nil {
			return c, true, nil
		}
	}
}

// takeIdle takes an idle connection. It returns nil if there is none, or if forceNew is set.
func (rt *roundTripper) takeIdle(forceNew bool) *conn {
	if forceNew {
		return nil
	}
	return rt.upstream.takeIdle(rt.endpoint, rt.epoch)
}

// beginDial counts a dial with the dial limiter. If no dial is allowed yet, it returns a channel
// that is closed when the caller has to try again. During the dial backoff of the endpoint, it
// returns errDialBackoff.
func (rt *roundTripper) beginDial() (change <-chan struct{}, err error) {
	u, e := rt.upstream, rt.endpoint
	u.mu.Lock()
	defer u.mu.Unlock()
	if e.epoch != rt.epoch {
		return nil, errEndpointChanged
	}
	allowed, wait := e.dialLimiter.Allow(time.Now())
	switch {
	case allowed:
		return nil, nil
	case wait > 0:
		return nil, errDialBackoff
	}
	if e.connChange == nil {
		e.connChange = make(chan struct{})
	}
	return e.connChange, nil
}

// endDial informs the dial limiter that a dial has ended with dialErr. A dial whose attempt ended
// first, or for which there was no descriptor, is not evidence about the endpoint.
func (rt *roundTripper) endDial(dialErr error, attemptEnded bool) {
	u, e := rt.upstream, rt.endpoint
	u.mu.Lock()
	defer u.mu.Unlock()
	if e.epoch == rt.epoch {
		failed := dialErr != nil && !attemptEnded && !errors.Is(dialErr, errNoDescriptor)
		e.dialLimiter.Done(time.Now(), dialErr == nil, failed)
	}
	e.notifyWaiters()
}

// dial opens a connection within the dial timeout and the context's deadline.
func (u *Upstream) dial(ctx context.Context, e *endpoint, addr string, epoch int) (*conn, error) {
	if !u.acquireDescriptor() {
		return nil, errNoDescriptor
	}
	netConn, raw, err := u.dialRaw(ctx, addr)
	u.mu.Lock()
	if e.epoch == epoch {
		e.unreachable = err != nil && ctx.Err() == nil
	}
	if err != nil {
		u.openConns--
	}
	u.mu.Unlock()
	if err != nil {
		u.cfg.Quota.Release()
		return nil, fmt.Errorf("dial %s: %w", e.name, err)
	}
	return &conn{Conn: netConn, connBuffers: takeBuffers(netConn), raw: raw, endpoint: e, epoch: epoch}, nil
}

// dialRaw opens a connection and returns its raw connection, which is nil if there is none. Any end
// of the connection resets it, the end of this process included; closeLocked excepts connections
// without an open request.
func (u *Upstream) dialRaw(ctx context.Context, addr string) (net.Conn, syscall.RawConn, error) {
	netConn, err := u.dialer(ctx, "tcp", addr)
	if err != nil {
		return nil, nil, err
	}
	socket.SetResetOnClose(netConn, true)
	sc, ok := netConn.(syscall.Conn)
	if !ok {
		return netConn, nil, nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		_ = netConn.Close() // the error of SyscallConn is returned
		return nil, nil, err
	}
	return netConn, raw, nil
}

// acquireDescriptor takes a descriptor for a new connection and counts the connection as open. At
// the limit, it closes the connection that has been idle longest to make room.
func (u *Upstream) acquireDescriptor() bool {
	for range maxAcquireTries {
		if u.cfg.Quota.Acquire() {
			u.mu.Lock()
			u.openConns++
			u.mu.Unlock()
			return true
		}
		if !u.CloseOldestIdle() {
			return false
		}
	}
	return false
}
