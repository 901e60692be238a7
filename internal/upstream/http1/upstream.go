// Package http1 carries attempts to backends over HTTP/1.1, and keeps their connections for the next.
package http1

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"fernlanding/internal/core"
	"fernlanding/internal/membership"
	"fernlanding/internal/sock"
	"fernlanding/logic"
)

const (
	maxBody   = 64 << 10 // of a request, and of an answer without a Content-Length
	maxAnswer = 1 << 20  // of an answer that gives one: some hundred KiB have been seen, 3 GB too
)

const (
	answerHead = 8 << 10 // of a backend's answer, before its body
	mostEarly  = 8       // 1xx answers ahead of one, at most

	// Once an answer has begun, the rest of it is on its way; one whose length does not fit never ends.
	answerStall = 500 * time.Millisecond
	// RestSpoilt is the rest of a connection where backends may be spoilt. A second answer or noise may follow an
	// answer. It came within 2 ms where it was seen; a connection that is used again sooner could take it for the
	// next request's answer.
	RestSpoilt = 20 * time.Millisecond
)

// Upstream holds the connections to all backends of a list. It stands in for http.Transport, which by
// itself sends a GET or a keyed request again when a kept connection turns out to be dead: an attempt that
// the module would not know of.
type Upstream struct {
	dialer  func(ctx context.Context, network, addr string) (net.Conn, error)
	idleFor time.Duration // connections idle for longer are closed, well before the backend does it
	rest    time.Duration // after an answer, before the next request
	most    int           // open connections, those being opened included
	large   chan struct{} // holds one for each large answer that is being read

	mu     sync.Mutex
	byName map[string]*backend
	open   int
}

// backend is one backend as the list now has it.
type backend struct {
	name    string
	addr    string
	started int64
	ready   bool
	epoch   int     // goes up when what the list says of it changes: drained, gone, restarted or moved
	idle    []*conn // the most recently used last
}

// conn is a connection to a backend; it carries one request at a time.
type conn struct {
	net.Conn
	r     *bufio.Reader
	of    *backend
	epoch int // of the backend when it was opened
	since time.Time
}

// Config is what an Upstream is made of.
type Config struct {
	DialTimeout time.Duration // a connection that is not up by then has failed
	IdleClose   time.Duration // a backend closes a connection that has been idle this long
	Most        int           // connections at most, those being opened included
	Large       int           // large answers that are read at a time
	Rest        time.Duration // between an answer and the next request on its connection; see RestSpoilt
}

// New returns an Upstream that knows no backend.
func New(cfg Config) *Upstream {
	d := net.Dialer{Timeout: cfg.DialTimeout, KeepAlive: -1}
	return &Upstream{dialer: d.DialContext, idleFor: cfg.IdleClose * 3 / 4, rest: cfg.Rest, most: cfg.Most,
		large: make(chan struct{}, cfg.Large), byName: map[string]*backend{}}
}

// Apply implements core.Upstream. Connections that stand idle to a backend which has restarted, moved,
// drained or gone are closed: nothing new is to go there, or the process at their other end is no more.
func (p *Upstream) Apply(full bool, entries []membership.Endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	listed := make(map[string]bool, len(entries))
	for _, e := range entries {
		listed[e.Name] = true
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
	for name, b := range p.byName {
		if full && !listed[name] {
			b.ready = false
			p.turn(b)
			delete(p.byName, name)
		}
	}
}

// turn begins a new epoch of a backend.
func (p *Upstream) turn(b *backend) {
	b.epoch++
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

// Open implements core.Upstream.
func (p *Upstream) Open(name string) core.Way {
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
		if now.Sub(c.since) < p.rest {
			continue
		}
		b.idle = slices.Delete(b.idle, i, i+1)
		if now.Sub(c.since) < p.idleFor && sock.Quiet(c.Conn) {
			return c
		}
		p.closeLocked(c)
	}
	return nil
}

var errNoSockets = errors.New("no socket left")

// dial opens a connection within the dial time-out and the context's time.
func (p *Upstream) dial(ctx context.Context, b *backend, addr string, epoch int) (*conn, error) {
	if !p.reserve() {
		return nil, errNoSockets
	}
	nc, err := p.dialer(ctx, "tcp", addr)
	if err != nil {
		p.mu.Lock()
		p.open--
		p.mu.Unlock()
		return nil, fmt.Errorf("dial %s: %w", b.name, err)
	}
	return &conn{Conn: nc, r: bufio.NewReaderSize(nc, answerHead), of: b, epoch: epoch}, nil
}

// reserve counts a connection in. At the limit the one that has been idle longest makes room.
func (p *Upstream) reserve() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open >= p.most {
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
	}
	p.open++
	return true
}

// keep puts a connection back for reuse, unless its backend has changed since it was opened.
func (p *Upstream) keep(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.of.epoch != c.epoch || !c.of.ready {
		p.closeLocked(c)
		return
	}
	c.since = time.Now()
	c.of.idle = append(c.of.idle, c)
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
}

// Sweep closes the idle connections whose time is up or whose peer has closed them.
func (p *Upstream) Sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, b := range p.byName {
		kept := b.idle[:0]
		for _, c := range b.idle {
			if now.Sub(c.since) < p.idleFor && sock.Quiet(c.Conn) {
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
type Stats struct{ Backends, Open, Idle int }

// Stats returns the present counts.
func (p *Upstream) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := Stats{Backends: len(p.byName), Open: p.open}
	for _, b := range p.byName {
		s.Idle += len(b.idle)
	}
	return s
}

// Break ends reads and writes on the connection; it is then closed, never used again.
func (c *conn) Break() { _ = c.SetDeadline(time.Unix(1, 0)) }

// Carry implements core.Way.
func (w *way) Carry(a *core.Attempt) core.Result {
	c := w.pool.reuse(w.backend, w.epoch)
	if c == nil {
		var err error
		if c, err = w.dial(a); err != nil {
			if a.Stopped() || errors.Is(err, errNoSockets) {
				return core.Result{Status: logic.Moot} // stopped before anything was sent, or no fault of the backend's
			}
			return core.Result{Status: logic.ConnectFailed}
		}
	}
	// A dial takes time. What has ended, drained or gone meanwhile gets nothing new.
	if a.Stopped() || a.Late() || !w.pool.current(w.backend, w.epoch) {
		w.pool.keep(c)
		return core.Result{Status: logic.Moot}
	}
	res, keep := w.exchange(a, c)
	if keep {
		w.pool.keep(c)
	} else {
		w.pool.drop(c)
	}
	return res
}

func (w *way) dial(a *core.Attempt) (*conn, error) {
	ctx, done := a.Context()
	defer done()
	return w.pool.dial(ctx, w.backend, w.addr, w.epoch)
}

// exchange writes the request and reads the answer; keep tells whether the connection can serve again.
func (w *way) exchange(a *core.Attempt, c *conn) (res core.Result, keep bool) {
	_ = c.SetDeadline(a.Deadline)
	if !a.Hook(c) {
		return core.Result{Status: logic.Moot}, false
	}
	defer func() {
		if !a.Unhook() {
			keep = false
		}
	}()
	head, err := encode(a)
	if err != nil {
		return core.Result{Status: logic.Moot}, true
	}
	if _, err := c.Write(head); err != nil {
		// The last byte was not written, so the backend cannot have begun.
		return core.Result{Status: logic.ConnectFailed}, false
	}
	res, keep, err = w.read(a, c)
	switch {
	case err == nil:
		return res, keep
	case a.Late():
		return core.Result{Status: logic.TimedOut}, false
	case a.Stopped():
		return core.Result{Status: logic.Cancelled}, false
	}
	return core.Result{Status: logic.Reset}, false
}

// encode writes the whole request into one buffer, so that one write tells whether its last byte went out.
func encode(a *core.Attempt) ([]byte, error) {
	r := a.Request
	left := max(1, time.Until(a.Deadline).Milliseconds())
	header := make(http.Header, len(r.Header)+1)
	for _, f := range r.Header {
		header[f.Name] = append(header[f.Name], f.Value)
	}
	header["Request-Timeout-Ms"] = []string{strconv.FormatInt(left, 10)}
	if header["User-Agent"] == nil {
		header["User-Agent"] = []string{""} // none of ours in its place
	}
	path, query, _ := strings.Cut(r.Target, "?")
	out := http.Request{Method: r.Method, Host: r.Host, Header: header, ContentLength: int64(len(r.Body)),
		URL: &url.URL{Opaque: path, RawQuery: query, ForceQuery: strings.HasSuffix(r.Target, "?")}}
	if len(r.Body) > 0 {
		out.Body = io.NopCloser(bytes.NewReader(r.Body))
	}
	var buf bytes.Buffer
	if err := out.Write(&buf); err != nil {
		return nil, fmt.Errorf("encode request: %w", err)
	}
	return buf.Bytes(), nil
}

// head looks at the next head as it came, and leaves it to be read. What net/http makes of it no longer shows
// whether it gave two framings, of which one is wrong.
func (c *conn) head() error {
	for n := 1; ; {
		_, err := c.r.Peek(n)
		b, _ := c.r.Peek(c.r.Buffered())
		if end := bytes.Index(b, []byte("\r\n\r\n")); end >= 0 {
			h := bytes.ToLower(b[:end])
			if bytes.Contains(h, []byte("\ncontent-length")) && bytes.Contains(h, []byte("\ntransfer-encoding")) {
				return errors.New("two framings")
			}
			return nil
		}
		if err != nil { // also a head that does not end
			return err
		}
		n = len(b) + 1
	}
}

var errStopped = errors.New("stopped")

// extend gives the connection until then, unless the attempt has been stopped meanwhile.
func (c *conn) extend(a *core.Attempt, until time.Time) error {
	_ = c.SetDeadline(until)
	if a.Stopped() {
		return errStopped
	}
	return nil
}

// read takes the whole answer: one that breaks off has not been given.
func (w *way) read(a *core.Attempt, c *conn) (res core.Result, keep bool, err error) {
	if _, err := c.r.Peek(1); err != nil {
		return res, false, fmt.Errorf("read answer: %w", err)
	}
	if until := time.Now().Add(answerStall); until.Before(a.Deadline) {
		if err := c.extend(a, until); err != nil {
			return res, false, err
		}
	}
	var resp *http.Response
	for early := 0; resp == nil || resp.StatusCode < 200; early++ {
		if early > mostEarly {
			return res, false, errors.New("read answer: early words without end")
		}
		if err = c.head(); err == nil {
			resp, err = http.ReadResponse(c.r, &http.Request{Method: a.Method})
		}
		if err != nil {
			return res, false, fmt.Errorf("read answer: %w", err)
		}
	}
	defer resp.Body.Close()
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		// Its end would look the same as a break.
		return res, false, errors.New("read answer: length not given")
	}
	var body []byte
	if resp.ContentLength > maxAnswer {
		return core.Result{Status: logic.Error}, false, nil
	}
	if resp.ContentLength > maxBody {
		body, err = w.readLarge(a, c, resp)
	} else if resp.ContentLength >= 0 {
		body = make([]byte, resp.ContentLength)
		_, err = io.ReadFull(resp.Body, body)
	} else if body, err = io.ReadAll(io.LimitReader(resp.Body, maxBody+1)); len(body) > maxBody {
		return core.Result{Status: logic.Error}, false, nil
	}
	if err != nil {
		return res, false, fmt.Errorf("read body: %w", err)
	}
	keep = !resp.Close && c.r.Buffered() == 0
	switch resp.StatusCode {
	case http.StatusOK:
		return core.Result{Status: logic.OK, Body: body, Content: resp.Header.Get("Content-Type")}, keep, nil
	case http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		if resp.Header.Get("Not-Started") == "1" {
			return core.Result{Status: logic.FullUp}, keep, nil
		}
	}
	if c := resp.StatusCode; c >= 400 && c < 500 && c != http.StatusRequestTimeout && c != http.StatusTooManyRequests {
		return core.Result{Status: logic.Error, Fault: c}, keep, nil
	}
	return core.Result{Status: logic.Error}, keep, nil // it may have run
}

// readLarge reads a large body. Only a few are read at a time, lest their memory add up, and each part of one
// has as long as a small answer.
func (w *way) readLarge(a *core.Attempt, c *conn, resp *http.Response) ([]byte, error) {
	ctx, done := a.Context()
	defer done()
	select {
	case w.pool.large <- struct{}{}:
		defer func() { <-w.pool.large }()
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if !a.Hook(c) {
		return nil, errStopped
	}
	body := make([]byte, resp.ContentLength)
	for read := 0; read < len(body); {
		until := time.Now().Add(answerStall)
		if a.Deadline.Before(until) {
			until = a.Deadline
		}
		if err := c.extend(a, until); err != nil {
			return nil, err
		}
		n, err := io.ReadFull(resp.Body, body[read:min(len(body), read+maxBody)])
		if err != nil {
			return nil, err
		}
		read += n
	}
	return body, nil
}
