// Package standin provides stand-ins for the peers of a sidecar: backends (Backend, Worker, Fleet),
// discovery services (Discovery, Health, Registry) and clients (Load), with scripted faults. Tests,
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

const maxBodyBytes = 16 << 20 // limit of a request body; the rest of a longer body is not read

// Call is a request that a backend has received completely.
type Call struct {
	*http.Request
	Content      []byte          // request body
	Number       int             // number among the requests of the backend, from 1
	NumberOnConn int             // number among the requests of the connection, from 1
	Conn         net.Conn        // connection on which the request was received
	Done         <-chan struct{} // closed when the backend is closed
}

// Reply writes a complete response with a Content-Length. The header is a sequence of lines, each
// of which ends in CRLF.
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

// Handler writes any response to a call, or none, to the call's connection. It reports whether the
// connection stays open.
type Handler func(*Call) (keep bool)

// Backend is an HTTP/1.1 server on a loopback socket. It handles one request at a time on each
// connection.
type Backend struct {
	handler    atomic.Pointer[Handler]
	listener   net.Listener
	done       chan struct{}
	goroutines sync.WaitGroup

	requests, openedConns, openConns, peakConns atomic.Int64
	maxConns                                    atomic.Int64 // limit of open connections; 0 means no limit

	mu                   sync.Mutex
	conns                map[net.Conn]bool
	requestIDCounts      map[string]int // by Request-Id
	idempotencyKeyCounts map[string]int // by Idempotency-Key
}

// NewBackend starts a backend at a free loopback address. Close stops the backend.
func NewBackend(handler Handler) (*Backend, error) { return NewBackendAt("127.0.0.1:0", handler) }

// NewBackendAt starts a backend at an address. It returns an error for an address that is not a
// loopback address. Close stops the backend.
func NewBackendAt(address string, handler Handler) (*Backend, error) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, fmt.Errorf("backend: %w", err)
	}
	if ip := net.ParseIP(host); host != "localhost" && (ip == nil || !ip.IsLoopback()) {
		return nil, fmt.Errorf("backend: invalid address %q: not a loopback address", address)
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("backend: %w", err)
	}
	b := &Backend{
		listener: l, done: make(chan struct{}), conns: map[net.Conn]bool{},
		requestIDCounts: map[string]int{}, idempotencyKeyCounts: map[string]int{},
	}
	b.handler.Store(&handler)
	b.goroutines.Go(b.serve)
	return b, nil
}

// SetHandler sets the handler of all further calls.
func (b *Backend) SetHandler(h Handler) { b.handler.Store(&h) }

// LimitConns limits the open connections. The backend closes connections beyond the limit as soon
// as it has accepted them. 0 means no limit.
func (b *Backend) LimitConns(conns int) { b.maxConns.Store(int64(conns)) }

// Addr returns the address that the backend listens on.
func (b *Backend) Addr() string { return b.listener.Addr().String() }

// Done returns a channel that is closed when the backend is closed. A handler that waits has to
// return then, because Close waits for the handlers.
func (b *Backend) Done() <-chan struct{} { return b.done }

// Close closes the listener and all connections, as the end of the backend's process would, and
// waits for the handlers to return.
func (b *Backend) Close() {
	b.mu.Lock()
	select {
	case <-b.done:
	default:
		close(b.done)
	}
	_ = b.listener.Close()
	for c := range b.conns {
		_ = c.Close() // the peer sees a reset or EOF, as when a process has died
	}
	b.mu.Unlock()
	b.goroutines.Wait()
}

// Requests returns the number of requests that the backend has received completely.
func (b *Backend) Requests() int { return int(b.requests.Load()) }

// Conns returns the number of connections that have been opened, the number that are open, and the
// highest number that were open at the same time.
func (b *Backend) Conns() (opened, open, peak int) {
	return int(b.openedConns.Load()), int(b.openConns.Load()), int(b.peakConns.Load())
}

// RequestIDCounts returns how often the backend has received each Request-Id.
func (b *Backend) RequestIDCounts() map[string]int { return b.copyCounts(b.requestIDCounts) }

// IdempotencyKeyCounts returns how often the backend has received each Idempotency-Key.
func (b *Backend) IdempotencyKeyCounts() map[string]int { return b.copyCounts(b.idempotencyKeyCounts) }

// copyCounts returns a copy of one of the backend's maps of counts.
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
			_ = c.Close() // nothing was read or written: the error is of no use
			continue
		}
		b.goroutines.Go(func() { b.serveConn(c) })
	}
}

// admit registers a connection. It returns false if the backend is closed or at its connection
// limit.
func (b *Backend) admit(c net.Conn) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	select {
	case <-b.done:
		return false
	default:
	}
	if limit := b.maxConns.Load(); limit > 0 && b.openConns.Load() >= limit {
		return false
	}
	b.conns[c] = true
	b.openedConns.Add(1)
	b.peakConns.Store(max(b.peakConns.Load(), b.openConns.Add(1)))
	return true
}

// serveConn handles the requests of a connection, one after the other.
func (b *Backend) serveConn(c net.Conn) {
	defer func() {
		b.mu.Lock()
		delete(b.conns, c)
		b.mu.Unlock()
		b.openConns.Add(-1)
		_ = c.Close()
	}()
	r := bufio.NewReader(c)
	for n := 1; ; n++ {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		content, err := io.ReadAll(io.LimitReader(req.Body, maxBodyBytes))
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

// countRequest counts a request and returns its number among the requests of the backend.
func (b *Backend) countRequest(r *http.Request) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requestIDCounts[r.Header.Get("Request-Id")]++
	if key := r.Header.Get("Idempotency-Key"); key != "" {
		b.idempotencyKeyCounts[key]++
	}
	return int(b.requests.Add(1))
}

// RespondWith returns a Handler that writes the same bytes for every call. keep is whether the
// connection stays open after them.
func RespondWith(text string, keep bool) Handler {
	return func(c *Call) bool {
		_, err := io.WriteString(c.Conn, text)
		return keep && err == nil
	}
}

// Echo is a Handler that responds with 200 and the request's own method, target and body.
func Echo(c *Call) bool {
	body := append([]byte(c.Method+" "+c.RequestURI+"\n"), c.Content...)
	return c.Reply(http.StatusOK, "Content-Type: text/plain\r\n", body) == nil
}

// Hang is a Handler that writes no response. It returns when the backend is closed or the caller
// has disconnected.
func Hang(c *Call) bool {
	_, _ = c.Conn.Read(make([]byte, 1))
	return false
}
