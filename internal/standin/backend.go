// Package standin holds stand-ins for what a sidecar meets: backends (Backend, Worker, Fleet),
// discovery (Discovery, Health, Registry) and clients (Load), with scripted faults. Tests,
// benchmarks and `fernlanding try` share them. All of them listen on loopback addresses only.
package standin

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
)

const maxBody = 16 << 20 // bytes of a request

// Call is one request that a backend has received completely.
type Call struct {
	*http.Request
	Content      []byte // the body
	Number       int    // of the backend's requests, from 1
	NumberOnConn int    // of its connection's requests, from 1
	Conn         net.Conn
	Done         <-chan struct{} // closed when the backend ends
}

// Reply writes a complete response with a length. Each line of the header ends in CRLF.
func (c *Call) Reply(status int, header string, body []byte) error {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n",
		status, http.StatusText(status), header, len(body))
	if c.Method != http.MethodHead {
		b.Write(body)
	}
	_, err := c.Conn.Write(b.Bytes())
	return err
}

// Handler answers a call on its connection, in whatever way, and reports whether that stays open.
type Handler func(*Call) (keep bool)

// Backend is an HTTP/1.1 server on a loopback socket that carries one request at a time on a
// connection.
type Backend struct {
	handler    atomic.Pointer[Handler]
	listener   net.Listener
	done       chan struct{}
	goroutines sync.WaitGroup

	requests, opened, open, mostOpen atomic.Int64
	maxConns                         atomic.Int64 // connections at once; further ones are closed; 0: no limit

	mu    sync.Mutex
	conns map[net.Conn]bool
	runs  map[string]int // by Request-Id
	keys  map[string]int // by Idempotency-Key
}

// NewBackend starts a backend. Close ends it.
func NewBackend(handler Handler) (*Backend, error) { return NewBackendAt("127.0.0.1:0", handler) }

// NewBackendAt starts a backend at an address, which has to be a loopback address.
func NewBackendAt(address string, handler Handler) (*Backend, error) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, fmt.Errorf("backend: %w", err)
	}
	if ip := net.ParseIP(host); host != "localhost" && (ip == nil || !ip.IsLoopback()) {
		return nil, fmt.Errorf("backend: %s is no loopback address", address)
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("backend: %w", err)
	}
	b := &Backend{
		listener: l, done: make(chan struct{}), conns: map[net.Conn]bool{},
		runs: map[string]int{}, keys: map[string]int{},
	}
	b.handler.Store(&handler)
	b.goroutines.Go(b.serve)
	return b, nil
}

// SetHandler replaces the handler of calls that come from now on.
func (b *Backend) SetHandler(h Handler) { b.handler.Store(&h) }

// LimitConns limits the connections at once: the backend closes further ones; 0: no limit.
func (b *Backend) LimitConns(conns int) { b.maxConns.Store(int64(conns)) }

// Addr returns the address that the backend listens on.
func (b *Backend) Addr() string { return b.listener.Addr().String() }

// Done returns a channel that is closed when the backend ends; handlers that wait have to watch it.
func (b *Backend) Done() <-chan struct{} { return b.done }

// Close ends the backend and its connections, as the end of its process would, and waits for its
// handlers.
func (b *Backend) Close() {
	b.mu.Lock()
	select {
	case <-b.done:
	default:
		close(b.done)
	}
	_ = b.listener.Close()
	for c := range b.conns {
		_ = c.Close() // its peer sees a reset or an end, as from a process that died
	}
	b.mu.Unlock()
	b.goroutines.Wait()
}

// Requests returns how many requests have been received completely.
func (b *Backend) Requests() int { return int(b.requests.Load()) }

// Conns returns how many connections have been opened, how many are open, and how many were open at
// once at most.
func (b *Backend) Conns() (opened, open, most int) {
	return int(b.opened.Load()), int(b.open.Load()), int(b.mostOpen.Load())
}

// RequestIDCounts returns how often each Request-Id has been received.
func (b *Backend) RequestIDCounts() map[string]int { return b.copyCounts(b.runs) }

// IdempotencyKeyCounts returns how often each Idempotency-Key has been received.
func (b *Backend) IdempotencyKeyCounts() map[string]int { return b.copyCounts(b.keys) }

// copyCounts returns a copy of one of the backend's maps.
func (b *Backend) copyCounts(counts map[string]int) map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return maps.Clone(counts)
}

// serve accepts connections until the listener is closed.
func (b *Backend) serve() {
	for {
		c, err := b.listener.Accept()
		if err != nil {
			return
		}
		if !b.admit(c) {
			_ = c.Close() // nothing has been read from it
			continue
		}
		b.goroutines.Go(func() { b.serveConn(c) })
	}
}

// admit counts a connection in; it returns false if the backend has ended or is at its limit.
func (b *Backend) admit(c net.Conn) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	select {
	case <-b.done:
		return false
	default:
	}
	if limit := b.maxConns.Load(); limit > 0 && b.open.Load() >= limit {
		return false
	}
	b.conns[c] = true
	b.opened.Add(1)
	b.mostOpen.Store(max(b.mostOpen.Load(), b.open.Add(1)))
	return true
}

// serveConn answers the requests of a connection, one after another.
func (b *Backend) serveConn(c net.Conn) {
	defer func() {
		b.mu.Lock()
		delete(b.conns, c)
		b.mu.Unlock()
		b.open.Add(-1)
		_ = c.Close()
	}()
	r := bufio.NewReader(c)
	for n := 1; ; n++ {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		content, err := io.ReadAll(io.LimitReader(req.Body, maxBody))
		if err != nil {
			return
		}
		call := &Call{
			Request: req, Content: content, Number: b.countRequest(req), NumberOnConn: n, Conn: c, Done: b.done,
		}
		if handle := *b.handler.Load(); !handle(call) {
			return
		}
	}
}

// countRequest counts a request and returns its number.
func (b *Backend) countRequest(r *http.Request) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.runs[r.Header.Get("Request-Id")]++
	if key := r.Header.Get("Idempotency-Key"); key != "" {
		b.keys[key]++
	}
	return int(b.requests.Add(1))
}

// RespondWith returns a handler that writes the same bytes each time.
func RespondWith(text string, keep bool) Handler {
	return func(c *Call) bool {
		_, err := io.WriteString(c.Conn, text)
		return keep && err == nil
	}
}

// Echo is a Handler that serves each request with its own method, target and body.
func Echo(c *Call) bool {
	body := append([]byte(c.Method+" "+c.RequestURI+"\n"), c.Content...)
	return c.Reply(http.StatusOK, "Content-Type: text/plain\r\n", body) == nil
}

// Hang is a Handler that answers nothing until the backend ends or the caller leaves.
func Hang(c *Call) bool {
	_, _ = c.Conn.Read(make([]byte, 1))
	return false
}
