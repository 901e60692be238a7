package proxy

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
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

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
	// A second answer or noise may follow an answer. It came within 2 ms where it was seen; a connection that
	// is used again sooner could take it for the next request's answer.
	restFor = 20 * time.Millisecond
)

// backends holds the connections to all backends of the list. It stands in for http.Transport, which by
// itself sends a GET or a keyed request again when a kept connection turns out to be dead: an attempt that
// the module would not know of.
type backends struct {
	dialer  func(ctx context.Context, network, addr string) (net.Conn, error)
	idleFor time.Duration // connections idle for longer are closed, well before the backend does it
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

func newBackends(dialTimeout, idleClose time.Duration, most, large int) *backends {
	d := net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	return &backends{dialer: d.DialContext, idleFor: idleClose * 3 / 4, most: most,
		large: make(chan struct{}, large), byName: map[string]*backend{}}
}

// apply takes a list or its changes. Connections that stand idle to a backend which has restarted, moved,
// drained or gone are closed: nothing new is to go there, or the process at their other end is no more.
func (p *backends) apply(full bool, entries []endpoint) {
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
		if ready := e.Status == statusServing; b.addr != e.Address || b.started != e.SinceMs || b.ready != ready {
			b.addr, b.started, b.ready = e.Address, e.SinceMs, ready
			p.turn(b)
		}
		if e.Status == statusDeleted {
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
func (p *backends) turn(b *backend) {
	b.epoch++
	for _, c := range b.idle {
		p.closeLocked(c)
	}
	b.idle = nil
}

// find returns a listed backend that takes new requests, with its address and epoch.
func (p *backends) find(name string) (b *backend, addr string, epoch int, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if b = p.byName[name]; b == nil || !b.ready {
		return nil, "", 0, false
	}
	return b, b.addr, b.epoch, true
}

// current tells whether the list says of b what it said in that epoch.
func (p *backends) current(b *backend, epoch int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return b.epoch == epoch
}

// reuse takes the most recently used idle connection that has rested and that its peer has left quiet.
func (p *backends) reuse(b *backend, epoch int) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if b.epoch != epoch {
		return nil
	}
	now := time.Now()
	for i := len(b.idle) - 1; i >= 0; i-- {
		c := b.idle[i]
		if now.Sub(c.since) < restFor {
			continue
		}
		b.idle = slices.Delete(b.idle, i, i+1)
		if now.Sub(c.since) < p.idleFor && quiet(c.Conn) {
			return c
		}
		p.closeLocked(c)
	}
	return nil
}

var errNoSockets = errors.New("no socket left")

// dial opens a connection within the dial time-out and the context's time.
func (p *backends) dial(ctx context.Context, b *backend, addr string, epoch int) (*conn, error) {
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
func (p *backends) reserve() bool {
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
func (p *backends) keep(c *conn) {
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
func (p *backends) drop(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeLocked(c)
}

func (p *backends) closeLocked(c *conn) {
	c.Close()
	p.open--
}

// sweep closes the idle connections whose time is up or whose peer has closed them.
func (p *backends) sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, b := range p.byName {
		kept := b.idle[:0]
		for _, c := range b.idle {
			if now.Sub(c.since) < p.idleFor && quiet(c.Conn) {
				kept = append(kept, c)
			} else {
				p.closeLocked(c)
			}
		}
		clear(b.idle[len(kept):])
		b.idle = kept
	}
}

// quiet tells whether a connection is open with nothing to read: an idle peer that has closed it, or sends
// what nobody asked for, shows here without a wait.
func quiet(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	// Control, not Read: Read waits for any other reader, and the server always has one on an idle client.
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = errors.Is(err, syscall.EAGAIN)
	})
	return err == nil && open
}

// attempt is one Send of the module on its way.
type attempt struct {
	req      *request
	number   int
	sent     int64 // when the module decided
	deadline time.Time
	pool     *backends
	backend  *backend
	addr     string
	epoch    int
	ctx      context.Context // its end stops the attempt
	stop     context.CancelFunc
}

// result is how an attempt ended.
type result struct {
	status  logic.Status
	fault   int    // the backend's 4xx: the request makes no sense, whoever gets it; else 0
	body    []byte // of a backend's 200
	content string // and its Content-Type
}

// run carries the attempt out; it returns exactly one result, when nothing of the attempt is left.
func (a *attempt) run() result {
	c := a.pool.reuse(a.backend, a.epoch)
	if c == nil {
		var err error
		if c, err = a.dial(); err != nil {
			if a.ctx.Err() != nil || errors.Is(err, errNoSockets) {
				return result{status: logic.Moot} // stopped before anything was sent, or no fault of the backend's
			}
			return result{status: logic.ConnectFailed}
		}
	}
	// A dial takes time. What has ended, drained or gone meanwhile gets nothing new.
	if a.ctx.Err() != nil || a.late() || !a.pool.current(a.backend, a.epoch) {
		a.pool.keep(c)
		return result{status: logic.Moot}
	}
	res, keep := a.exchange(c)
	if keep {
		a.pool.keep(c)
	} else {
		a.pool.drop(c)
	}
	return res
}

func (a *attempt) late() bool { return !time.Now().Before(a.deadline) }

func (a *attempt) dial() (*conn, error) {
	ctx, cancel := context.WithDeadline(a.ctx, a.deadline)
	defer cancel()
	return a.pool.dial(ctx, a.backend, a.addr, a.epoch)
}

// exchange writes the request and reads the answer; keep tells whether the connection can serve again.
func (a *attempt) exchange(c *conn) (res result, keep bool) {
	// Stopping the attempt ends its reads and writes; the connection is then closed, never used again.
	unhook := context.AfterFunc(a.ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	defer func() {
		if !unhook() {
			keep = false
		}
	}()
	_ = c.SetDeadline(a.deadline)
	if a.ctx.Err() != nil { // stopped while the deadline was set
		return result{status: logic.Moot}, false
	}
	head, err := a.encode()
	if err != nil {
		return result{status: logic.Moot}, true
	}
	if _, err := c.Write(head); err != nil {
		// The last byte was not written, so the backend cannot have begun.
		return result{status: logic.ConnectFailed}, false
	}
	res, keep, err = a.read(c)
	switch {
	case err == nil:
		return res, keep
	case a.late():
		return result{status: logic.TimedOut}, false
	case a.ctx.Err() != nil:
		return result{status: logic.Cancelled}, false
	}
	return result{status: logic.Reset}, false
}

// encode writes the whole request into one buffer, so that one write tells whether its last byte went out.
func (a *attempt) encode() ([]byte, error) {
	r := a.req
	left := max(1, time.Until(a.deadline).Milliseconds())
	r.header.Set("Request-Timeout-Ms", strconv.FormatInt(left, 10))
	path, query, _ := strings.Cut(r.uri, "?")
	out := http.Request{Method: r.method, Host: r.host, Header: r.header, ContentLength: int64(len(r.body)),
		URL: &url.URL{Opaque: path, RawQuery: query, ForceQuery: strings.HasSuffix(r.uri, "?")}}
	if len(r.body) > 0 {
		out.Body = io.NopCloser(bytes.NewReader(r.body))
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

// read takes the whole answer: one that breaks off has not been given.
func (a *attempt) read(c *conn) (res result, keep bool, err error) {
	if _, err := c.r.Peek(1); err != nil {
		return res, false, fmt.Errorf("read answer: %w", err)
	}
	if until := time.Now().Add(answerStall); until.Before(a.deadline) {
		_ = c.SetDeadline(until)
		if a.ctx.Err() != nil { // stopped while the deadline was set
			return res, false, a.ctx.Err()
		}
	}
	var resp *http.Response
	for early := 0; resp == nil || resp.StatusCode < 200; early++ {
		if early > mostEarly {
			return res, false, errors.New("read answer: early words without end")
		}
		if err = c.head(); err == nil {
			resp, err = http.ReadResponse(c.r, &http.Request{Method: a.req.method})
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
		return result{status: logic.Error}, false, nil
	}
	if resp.ContentLength > maxBody {
		body, err = a.readLarge(c, resp)
	} else if resp.ContentLength >= 0 {
		body = make([]byte, resp.ContentLength)
		_, err = io.ReadFull(resp.Body, body)
	} else if body, err = io.ReadAll(io.LimitReader(resp.Body, maxBody+1)); len(body) > maxBody {
		return result{status: logic.Error}, false, nil
	}
	if err != nil {
		return res, false, fmt.Errorf("read body: %w", err)
	}
	keep = !resp.Close && c.r.Buffered() == 0
	switch resp.StatusCode {
	case http.StatusOK:
		return result{status: logic.OK, body: body, content: resp.Header.Get("Content-Type")}, keep, nil
	case http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		if resp.Header.Get("Not-Started") == "1" {
			return result{status: logic.FullUp}, keep, nil
		}
	}
	if c := resp.StatusCode; c >= 400 && c < 500 && c != http.StatusRequestTimeout && c != http.StatusTooManyRequests {
		return result{status: logic.Error, fault: c}, keep, nil
	}
	return result{status: logic.Error}, keep, nil // it may have run
}

// readLarge reads a large body. Only a few are read at a time, lest their memory add up, and each part of one
// has as long as a small answer.
func (a *attempt) readLarge(c *conn, resp *http.Response) ([]byte, error) {
	select {
	case a.pool.large <- struct{}{}:
		defer func() { <-a.pool.large }()
	case <-a.ctx.Done():
		return nil, a.ctx.Err()
	case <-time.After(time.Until(a.deadline)):
		return nil, os.ErrDeadlineExceeded
	}
	body := make([]byte, resp.ContentLength)
	for read := 0; read < len(body); {
		if until := time.Now().Add(answerStall); until.Before(a.deadline) {
			_ = c.SetDeadline(until)
		} else {
			_ = c.SetDeadline(a.deadline)
		}
		if a.ctx.Err() != nil { // stopped while the deadline was set
			return nil, a.ctx.Err()
		}
		n, err := io.ReadFull(resp.Body, body[read:min(len(body), read+maxBody)])
		if err != nil {
			return nil, err
		}
		read += n
	}
	return body, nil
}
