// Package standin holds stand-ins for what a sidecar meets: backends, discovery and clients, with faults that are
// scripted. Tests, benchmarks and `fernlanding try` share them. All of them listen on loopback addresses only.
package standin

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
)

const maxBody = 16 << 20 // bytes of a request

// Call is one request that has come whole to a backend.
type Call struct {
	*http.Request
	Content []byte // the body
	Number  int    // of the backend's requests, from 1
	OnConn  int    // of its connection's requests, from 1
	Conn    net.Conn
	Done    <-chan struct{} // closed when the backend ends
}

// Reply writes a whole answer with a length.
func (c *Call) Reply(status int, header string, body []byte) error {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n", status, http.StatusText(status), header, len(body))
	if c.Method != http.MethodHead {
		b.Write(body)
	}
	_, err := c.Conn.Write(b.Bytes())
	return err
}

// Handler answers a call on its connection, in whatever way, and returns whether that stays open.
type Handler func(*Call) (keep bool)

// Backend is an HTTP/1.1 server on a loopback socket that carries one request at a time on a connection.
type Backend struct {
	handler  atomic.Pointer[Handler]
	listener net.Listener
	done     chan struct{}
	all      sync.WaitGroup

	requests, opened, open, mostOpen atomic.Int64
	bound                            atomic.Int64 // connections at once; further ones are closed; 0: any number

	mu    sync.Mutex
	conns map[net.Conn]bool
	runs  map[string]int // by Request-Id
	keys  map[string]int // by Idempotency-Key
}

// NewBackend starts a backend. Close ends it.
func NewBackend(handler Handler) (*Backend, error) { return NewBackendAt("127.0.0.1:0", handler) }

// NewBackendAt starts a backend at an address, which has to be one of loopback.
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
	b.all.Go(b.serve)
	return b, nil
}

// SetHandler has the backend answer calls that come from now on in another way.
func (b *Backend) SetHandler(h Handler) { b.handler.Store(&h) }

// Bound has the backend close connections beyond so many; 0: none.
func (b *Backend) Bound(conns int) { b.bound.Store(int64(conns)) }

// Addr is where the backend listens.
func (b *Backend) Addr() string { return b.listener.Addr().String() }

// Done is closed when the backend ends; handlers that wait are to heed it.
func (b *Backend) Done() <-chan struct{} { return b.done }

// Close ends the backend and its connections, as the end of its process would, and waits for its handlers.
func (b *Backend) Close() {
	b.mu.Lock()
	select {
	case <-b.done:
	default:
		close(b.done)
	}
	b.listener.Close()
	for c := range b.conns {
		c.Close()
	}
	b.mu.Unlock()
	b.all.Wait()
}

// Requests is how many requests have come whole.
func (b *Backend) Requests() int { return int(b.requests.Load()) }

// Conns is how many connections have been opened, how many are open, and how many were at once.
func (b *Backend) Conns() (opened, open, most int) {
	return int(b.opened.Load()), int(b.open.Load()), int(b.mostOpen.Load())
}

// Runs is how often each Request-Id has come.
func (b *Backend) Runs() map[string]int { return b.copyOf(b.runs) }

// Keys is how often each Idempotency-Key has come.
func (b *Backend) Keys() map[string]int { return b.copyOf(b.keys) }

func (b *Backend) copyOf(m map[string]int) map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[string]int, len(m))
	for k, n := range m {
		out[k] = n
	}
	return out
}

func (b *Backend) serve() {
	for {
		c, err := b.listener.Accept()
		if err != nil {
			return
		}
		if !b.enter(c) {
			c.Close()
			continue
		}
		b.all.Go(func() { b.converse(c) })
	}
}

func (b *Backend) enter(c net.Conn) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	select {
	case <-b.done:
		return false
	default:
	}
	if most := b.bound.Load(); most > 0 && b.open.Load() >= most {
		return false
	}
	b.conns[c] = true
	b.opened.Add(1)
	b.mostOpen.Store(max(b.mostOpen.Load(), b.open.Add(1)))
	return true
}

func (b *Backend) converse(c net.Conn) {
	defer func() {
		b.mu.Lock()
		delete(b.conns, c)
		b.mu.Unlock()
		b.open.Add(-1)
		c.Close()
	}()
	for r, n := bufio.NewReader(c), 1; ; n++ {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		content, err := io.ReadAll(io.LimitReader(req.Body, maxBody))
		if err != nil {
			return
		}
		if !(*b.handler.Load())(&Call{Request: req, Content: content, Number: b.count(req), OnConn: n, Conn: c, Done: b.done}) {
			return
		}
	}
}

func (b *Backend) count(r *http.Request) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.runs[r.Header.Get("Request-Id")]++
	if k := r.Header.Get("Idempotency-Key"); k != "" {
		b.keys[k]++
	}
	return int(b.requests.Add(1))
}

// Says is a handler that writes the same bytes each time.
func Says(text string, keep bool) Handler {
	return func(c *Call) bool {
		_, err := io.WriteString(c.Conn, text)
		return keep && err == nil
	}
}

// Echo is a handler that serves each request with its own method, target and body.
func Echo(c *Call) bool {
	return c.Reply(http.StatusOK, "Content-Type: text/plain\r\n", append([]byte(c.Method+" "+c.RequestURI+"\n"), c.Content...)) == nil
}

// Hangs is a handler that answers nothing until the backend ends or the caller goes.
func Hangs(c *Call) bool {
	_, _ = c.Conn.Read(make([]byte, 1))
	return false
}
