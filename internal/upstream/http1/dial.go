package http1

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"syscall"
	"time"

	"fernlanding/internal/core"
)

const maxAcquireAttempts = 4 // at a descriptor for which an idle connection has to be closed

// connect returns a connection for an attempt, and whether it is a kept one: an idle one unless
// forceNew, or else a new one. With Config.LimitDials it waits for whichever comes first.
func (rt *roundTripper) connect(a *core.Attempt, forceNew bool) (c *conn, reused bool, err error) {
	if !forceNew {
		c = rt.upstream.takeIdle(rt.endpoint, rt.epoch)
		if c != nil {
			return c, true, nil
		}
	}
	ctx, release := a.Context()
	defer release()
	if rt.upstream.cfg.LimitDials {
		return rt.connectLimited(ctx, forceNew)
	}
	c, err = rt.upstream.dial(ctx, rt.endpoint, rt.addr, rt.epoch)
	return c, false, err
}

// connectLimited dials once the endpoint's limiter allows it. Until then it takes an idle
// connection as soon as there is one, unless forceNew.
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
		select {
		case <-change:
		case <-ctx.Done():
			return nil, false, errAttemptEnded
		}
		if forceNew {
			continue
		}
		c = rt.upstream.takeIdle(rt.endpoint, rt.epoch)
		if c != nil {
			return c, true, nil
		}
	}
}

// beginDial counts a dial in. If none is allowed now it returns a channel that is closed when to
// try again; while the endpoint is backed off it returns errDialBackoff.
func (rt *roundTripper) beginDial() (change <-chan struct{}, err error) {
	u, e := rt.upstream, rt.endpoint
	u.mu.Lock()
	defer u.mu.Unlock()
	if e.epoch != rt.epoch {
		return nil, errEndpointChanged
	}
	allowed, wait := e.dials.Allow(time.Now())
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

// endDial counts a dial out that ended with dialErr. A dial whose attempt ended first, or for which
// there was no descriptor, says nothing of the endpoint.
func (rt *roundTripper) endDial(dialErr error, attemptEnded bool) {
	u, e := rt.upstream, rt.endpoint
	u.mu.Lock()
	defer u.mu.Unlock()
	if e.epoch == rt.epoch {
		failed := dialErr != nil && !attemptEnded && !errors.Is(dialErr, errNoDescriptor)
		e.dials.Done(time.Now(), dialErr == nil, failed)
	}
	e.notifyWaiters()
}

// dial opens a connection within the dial timeout and the context's time.
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
		u.open--
	}
	u.mu.Unlock()
	if err != nil {
		u.cfg.Quota.Release()
		return nil, fmt.Errorf("dial %s: %w", e.name, err)
	}
	reader := bufio.NewReaderSize(netConn, maxResponseHead)
	return &conn{Conn: netConn, raw: raw, reader: reader, endpoint: e, epoch: epoch}, nil
}

// dialRaw opens a connection. The raw connection is nil if it has none.
func (u *Upstream) dialRaw(ctx context.Context, addr string) (net.Conn, syscall.RawConn, error) {
	netConn, err := u.dialer(ctx, "tcp", addr)
	if err != nil {
		return nil, nil, err
	}
	sc, ok := netConn.(syscall.Conn)
	if !ok {
		return netConn, nil, nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		_ = netConn.Close() // the error that counts is the one above
		return nil, nil, err
	}
	return netConn, raw, nil
}

// acquireDescriptor counts a connection in. At the limit the one that has been idle longest makes
// room.
func (u *Upstream) acquireDescriptor() bool {
	for range maxAcquireAttempts {
		if u.cfg.Quota.Acquire() {
			u.mu.Lock()
			u.open++
			u.mu.Unlock()
			return true
		}
		if !u.CloseOldestIdle() {
			return false
		}
	}
	return false
}
