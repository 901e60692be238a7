// Package http1 carries attempts to backends over HTTP/1.1, and keeps their connections for the next.
package http1

import (
	"bufio"
	"context"
	"errors"
	"fernlanding/internal/core"
	"fernlanding/internal/membership"
	"fernlanding/internal/socket"
	"fernlanding/internal/start"
	"fernlanding/logic"
	"fmt"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"
)

const (
	// UntrustedReuseDelay is the rest of a connection where backends may be spoilt. A second answer or noise may follow an
	// answer. It came within 2 ms where it was seen; a connection that is used again sooner could take it for the
	// next request's answer.
	UntrustedReuseDelay = 20 * time.Millisecond

	// freshFor is how long after a break under a kept connection what may not be sent again gets a fresh one. One such
	// request is lost in that time at most, for a handshake each.
	freshFor = 30 * time.Second

	reserveTries = 4 // at a connection for which others have to make room
)

// Quota is this upstream's part of the process's descriptors.
type Quota interface {
	// Acquire counts a connection in, if there is room or others can make some. It may close kept connections of other
	// upstreams, and is called with no lock held.
	Acquire() bool
	// Release counts a connection out.
	Release()
	// Overdrawn tells that kept connections are to be given back.
	Overdrawn() bool
}

// Memory is this upstream's part of the process's memory for bodies.
type Memory interface {
	// Reserve waits for n bytes until the context ends.
	Reserve(ctx context.Context, n int64) error
	// Release gives n bytes back.
	Release(n int64)
}

// Upstream holds the connections to all backends of a list. It stands in for http.Transport, which by
// itself sends a GET or a keyed request again when a kept connection turns out to be dead: an attempt that
// the module would not know of.
type Upstream struct {
	cfg      Config
	dialer   func(ctx context.Context, network, addr string) (net.Conn, error)
	freshFor time.Duration // see fresh
	idleFor  time.Duration // connections idle for longer are closed, well before the backend does it

	mu     sync.Mutex
	byName map[string]*backend
	open   int
	broke  time.Time // when a kept connection last broke under a request; zero if none has
}

// backend is one backend as the list now has it.
type backend struct {
	name    string
	addr    string
	started int64
	ready   bool
	epoch   int          // goes up when what the list says of it changes: drained, gone, restarted or moved; see begins
	begins  sync.RWMutex // held to read while a request begins, and together with Upstream.mu to change the epoch
	idle    []*conn      // the most recently used last

	unreachable bool              // the last connection has not come up
	dials       start.DialLimiter // with Config.LimitDials
	moved       chan struct{}     // closed when a connection has come up, has failed or stands idle; nil: nobody waits for that
}

// wake wakes those that wait for a connection.
func (b *backend) wake() {
	if b.moved != nil {
		close(b.moved)
		b.moved = nil
	}
}

// conn is a connection to a backend; it carries one request at a time.
type conn struct {
	net.Conn
	raw   syscall.RawConn // nil: it has none
	r     *bufio.Reader
	out   []byte // for the next request
	of    *backend
	epoch int // of the backend when it was opened
	since time.Time
	begun bool // an answer to the present request
}

// Config is what an Upstream is made of.
type Config struct {
	DialTimeout      time.Duration // a connection that is not up by then has failed
	IdleClose        time.Duration // a backend closes a connection that has been idle this long
	ReuseDelay       time.Duration // between an answer and the next request on its connection; see RestSpoilt
	Quota            Quota
	Memory           Memory
	MaxResponse      int64 // bytes of an answer's body; a longer one is an error
	UncountedBody    int64 // bytes of a body that is not counted in Memory
	HoldUntilRelease bool  // Memory is given back by the reply's Release, not once the body has been read
	// IsNonIdempotent tells whether a request of a class may not be sent again once it may have run; nil: none is such.
	IsNonIdempotent func(class int) bool
	PassAllStatuses bool // replies of all kinds go on with their header; otherwise those with 200 and Content-Type alone
	LimitDials      bool // connections to a backend that has not shown itself yet are opened a few at a time: see start.DialLimiter
}

// New returns an Upstream that knows no backend.
func New(cfg Config) *Upstream {
	d := net.Dialer{Timeout: cfg.DialTimeout, KeepAlive: -1}
	return &Upstream{cfg: cfg, dialer: d.DialContext, idleFor: cfg.IdleClose * 3 / 4, freshFor: freshFor, byName: map[string]*backend{}}
}

// UpdateEndpoints implements core.Upstream. Connections that stand idle to a backend which has restarted, moved,
// drained or gone are closed: nothing new is to go there, or the process at their other end is no more.
func (p *Upstream) UpdateEndpoints(full bool, entries []membership.Endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range entries {
		b := p.byName[e.Name]
		if b == nil {
			b = &backend{name: e.Name}
			p.byName[e.Name] = b
		}
		if ready := e.Status == membership.Serving; b.addr != e.Address || b.started != e.SinceMs || b.ready != ready {
			b.addr, b.started, b.ready = e.Address, e.SinceMs, ready
			p.turn(b)
		}
		if e.Status == membership.Deleted {
			delete(p.byName, e.Name)
		}
	}
	if !full {
		return
	}
	listed := make(map[string]bool, len(entries))
	for _, e := range entries {
		listed[e.Name] = true
	}
	for name, b := range p.byName {
		if !listed[name] {
			b.ready = false
			p.turn(b)
			delete(p.byName, name)
		}
	}
}

// turn begins a new epoch of a backend.
func (p *Upstream) turn(b *backend) {
	b.begins.Lock() // what has been seen to be current has begun by now
	b.epoch++
	b.begins.Unlock()
	b.unreachable = false
	b.dials.Reset()
	b.wake()
	for _, c := range b.idle {
		p.closeLocked(c)
	}
	b.idle = nil
}

// way is a backend as the list had it when the module chose it.
type way struct {
	pool    *Upstream
	backend *backend
	addr    string
	epoch   int
}

// RoundTripper implements core.Upstream.
func (p *Upstream) RoundTripper(name string) core.RoundTripper {
	p.mu.Lock()
	defer p.mu.Unlock()
	b := p.byName[name]
	if b == nil || !b.ready {
		return nil
	}
	return &way{p, b, b.addr, b.epoch}
}

// current tells whether the list says of b what it said in that epoch.
func (p *Upstream) current(b *backend, epoch int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return b.epoch == epoch
}

// reuse takes the most recently used idle connection that has rested and that its peer has left quiet.
func (p *Upstream) reuse(b *backend, epoch int) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if b.epoch != epoch {
		return nil
	}
	now := time.Now()
	for i := len(b.idle) - 1; i >= 0; i-- {
		c := b.idle[i]
		if now.Sub(c.since) < p.cfg.ReuseDelay {
			continue
		}
		b.idle = slices.Delete(b.idle, i, i+1)
		if now.Sub(c.since) < p.idleFor && socket.IsIdle(c.Conn) {
			return c
		}
		p.closeLocked(c)
	}
	return nil
}

// fresh tells whether a request is to have a connection of its own. Kept ones may have been closed by their other end, or by
// something between, with no word of it: that shows only under the next request, which may have run (RFC 9112, section
// 9.3.1). Where that has happened lately, what may not be sent again goes over a new connection, which costs a
// handshake and not the request.
func (p *Upstream) fresh(class int) bool {
	if p.cfg.IsNonIdempotent == nil || !p.cfg.IsNonIdempotent(class) {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.broke.IsZero() && time.Since(p.broke) < p.freshFor
}

// brokeKept takes the news that a kept connection broke under a request, before any answer.
func (p *Upstream) brokeKept() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.broke = time.Now()
}

var errNoSockets = errors.New("no socket left")

// dial opens a connection within the dial time-out and the context's time.
func (p *Upstream) dial(ctx context.Context, b *backend, addr string, epoch int) (*conn, error) {
	if !p.reserve() {
		return nil, errNoSockets
	}
	nc, err := p.dialer(ctx, "tcp", addr)
	var raw syscall.RawConn
	if sc, ok := nc.(syscall.Conn); ok && err == nil {
		if raw, err = sc.SyscallConn(); err != nil {
			nc.Close()
		}
	}
	p.mu.Lock()
	if b.epoch == epoch {
		b.unreachable = err != nil && ctx.Err() == nil
	}
	if err != nil {
		p.open--
	}
	p.mu.Unlock()
	if err != nil {
		p.cfg.Quota.Release()
		return nil, fmt.Errorf("dial %s: %w", b.name, err)
	}
	return &conn{Conn: nc, raw: raw, r: bufio.NewReaderSize(nc, answerHead), of: b, epoch: epoch}, nil
}

// reserve counts a connection in. At the limit the one that has been idle longest makes room.
func (p *Upstream) reserve() bool {
	for range reserveTries {
		if p.cfg.Quota.Acquire() {
			p.mu.Lock()
			p.open++
			p.mu.Unlock()
			return true
		}
		if !p.CloseOldestIdle() {
			return false
		}
	}
	return false
}

// CloseOldestIdle closes the connection that has been idle longest, and is false if there is none.
func (p *Upstream) CloseOldestIdle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	var oldest *backend
	for _, b := range p.byName {
		if len(b.idle) > 0 && (oldest == nil || b.idle[0].since.Before(oldest.idle[0].since)) {
			oldest = b
		}
	}
	if oldest == nil {
		return false
	}
	p.closeLocked(oldest.idle[0])
	oldest.idle = oldest.idle[1:]
	return true
}

// keep puts a connection back for reuse, unless its backend has changed since it was opened.
func (p *Upstream) keep(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.of.epoch != c.epoch || !c.of.ready || p.cfg.Quota.Overdrawn() {
		p.closeLocked(c)
		return
	}
	c.since = time.Now()
	c.of.idle = append(c.of.idle, c)
	c.of.wake()
}

// drop closes a connection.
func (p *Upstream) drop(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeLocked(c)
}

func (p *Upstream) closeLocked(c *conn) {
	c.Close()
	p.open--
	p.cfg.Quota.Release()
}

// CloseExpired closes the idle connections whose time is up or whose peer has closed them.
func (p *Upstream) CloseExpired(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, b := range p.byName {
		kept := b.idle[:0]
		for _, c := range b.idle {
			if now.Sub(c.since) < p.idleFor && socket.IsIdle(c.Conn) {
				kept = append(kept, c)
			} else {
				p.closeLocked(c)
			}
		}
		clear(b.idle[len(kept):])
		b.idle = kept
	}
}

// Stats counts the listed backends and the connections to them.
type Stats struct {
	Backends, Open, Idle int
	Unreachable          int // backends to which the last connection did not come up
}

// Stats returns the present counts.
func (p *Upstream) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := Stats{Backends: len(p.byName), Open: p.open}
	for _, b := range p.byName {
		s.Idle += len(b.idle)
		if b.unreachable {
			s.Unreachable++
		}
	}
	return s
}

// RoundTrip implements core.RoundTripper.
func (w *way) RoundTrip(a *core.Attempt) core.AttemptResult {
	fresh := w.pool.fresh(a.Class)
	c, kept, err := w.connect(a, fresh)
	if err != nil {
		if a.Canceled() || errors.Is(err, errNoSockets) || errors.Is(err, errMoved) {
			return core.AttemptResult{Status: logic.NotSent} // stopped before anything was sent, or no fault of the backend's
		}
		return core.AttemptResult{Status: logic.ConnectFailed}
	}
	// A dial takes time. What has ended, drained or gone meanwhile gets nothing new; send looks again.
	if a.Canceled() || a.DeadlinePassed() || !w.pool.current(w.backend, w.epoch) {
		w.pool.keep(c)
		return core.AttemptResult{Status: logic.NotSent}
	}
	res, keep := w.exchange(a, c)
	if kept && res.Status == logic.Reset && !c.begun {
		w.pool.brokeKept()
	}
	if keep && !fresh { // its like will not use it either
		w.pool.keep(c)
	} else {
		w.pool.drop(c)
	}
	return res
}

var (
	errMoved   = errors.New("the list has changed")
	errResting = errors.New("connections to it do not come up; none is opened for now")
)

// connect returns a kept connection, or else a new one. Where few may be opened at a time it waits for whichever comes
// first.
func (w *way) connect(a *core.Attempt, fresh bool) (c *conn, kept bool, err error) {
	p := w.pool
	if !fresh {
		if c = p.reuse(w.backend, w.epoch); c != nil {
			return c, true, nil
		}
	}
	ctx, done := a.Context()
	defer done()
	if !p.cfg.LimitDials {
		c, err = p.dial(ctx, w.backend, w.addr, w.epoch)
		return c, false, err
	}
	for {
		moved, err := w.turn()
		if err != nil {
			return nil, false, err
		}
		if moved == nil {
			c, err = p.dial(ctx, w.backend, w.addr, w.epoch)
			w.dialled(err, ctx.Err() != nil)
			return c, false, err
		}
		select {
		case <-moved:
		case <-ctx.Done():
			return nil, false, errMoved
		}
		if fresh {
			continue
		}
		if c = p.reuse(w.backend, w.epoch); c != nil {
			return c, true, nil
		}
	}
}

// turn counts a connection to the backend in; otherwise it returns what is closed when to try again.
func (w *way) turn() (moved <-chan struct{}, err error) {
	p, b := w.pool, w.backend
	p.mu.Lock()
	defer p.mu.Unlock()
	if b.epoch != w.epoch {
		return nil, errMoved
	}
	ok, wait := b.dials.Allow(time.Now())
	switch {
	case ok:
		return nil, nil
	case wait > 0:
		return nil, errResting
	}
	if b.moved == nil {
		b.moved = make(chan struct{})
	}
	return b.moved, nil
}

// dialled counts a connection out that has come up, or has not; given: its request's time was over first.
func (w *way) dialled(err error, given bool) {
	p, b := w.pool, w.backend
	p.mu.Lock()
	defer p.mu.Unlock()
	if b.epoch == w.epoch {
		failed := err != nil && !given && !errors.Is(err, errNoSockets)
		b.dials.Done(time.Now(), err == nil, failed)
	}
	b.wake()
}
