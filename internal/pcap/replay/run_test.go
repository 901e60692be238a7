package replay

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	nethttp "net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"

	"fernlanding/internal/pcap/http"
)

// server counts the requests that it receives, by request ID.
type server struct {
	mu     sync.Mutex
	counts map[string]int
	bodies map[string]string
}

// requestCounts returns the number of times that each request was received.
func (s *server) requestCounts() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.counts)
}

// startServer starts a server that counts each request and then calls the handler.
func startServer(t *testing.T, handler nethttp.HandlerFunc) (*server, netip.AddrPort) {
	t.Helper()
	s := &server{counts: map[string]int{}, bodies: map[string]string{}}
	web := httptest.NewServer(nethttp.HandlerFunc(func(w nethttp.ResponseWriter, r *nethttp.Request) {
		body, _ := io.ReadAll(r.Body)
		id := r.Header.Get("Request-Id")
		s.mu.Lock()
		s.counts[id]++
		s.bodies[id] = string(body)
		s.mu.Unlock()
		handler(w, r)
	}))
	t.Cleanup(web.Close)
	return s, netip.MustParseAddrPort(web.Listener.Addr().String())
}

// Each captured request reaches the server once and unchanged, and the capture of the replay
// contains the same requests.
func TestReplayAndItsCapture(t *testing.T) {
	largeBody := strings.Repeat("0123456789", 9000)
	var conns []sentBytes
	for i := range 20 {
		post := fmt.Sprintf("POST /u HTTP/1.1\r\nHost: b\r\nRequest-Id: a%d\r\nIdempotency-Key: k\r\n"+
			"Content-Length: %d\r\n\r\n%s", i, len(largeBody), largeBody)
		get := fmt.Sprintf("GET /t HTTP/1.1\r\nHost: b\r\nRequest-Id: b%d\r\n\r\n", i)
		conns = append(conns, sentBytes{
			client: post + get,
			server: okResponse + "HTTP/1.1 404 N\r\nContent-Length: 1\r\n\r\nx",
		})
	}
	exchanges := captureOf(t, conns...)
	for _, pipeline := range []bool{false, true} {
		t.Run(fmt.Sprintf("pipeline %v", pipeline), func(t *testing.T) {
			testReplayAndItsCapture(t, exchanges, largeBody, pipeline)
		})
	}
}

func testReplayAndItsCapture(t *testing.T, exchanges []*http.Exchange, largeBody string, pipeline bool) {
	t.Helper()
	s, addr := startServer(t, func(w nethttp.ResponseWriter, r *nethttp.Request) {
		if r.Method == nethttp.MethodGet {
			w.WriteHeader(nethttp.StatusNotFound)
			_, _ = io.WriteString(w, "y")
			return
		}
		_, _ = io.WriteString(w, "ok")
	})
	var buf bytes.Buffer
	file := newCaptureFile(t, &buf)
	results := newPlan(t, Options{Speed: -1}, exchanges).Run(context.Background(),
		Target{Addr: addr, MaxConnections: 4, Pipeline: pipeline, Capture: file})
	if len(results) != 40 {
		t.Fatalf("got %d results, want 40", len(results))
	}
	for _, r := range results {
		if r.Err != nil || !r.Sent || r.Replayed.StatusCode != r.Step.Captured.StatusCode ||
			r.BodyEqual != (r.Step.Method == nethttp.MethodPost) {
			t.Errorf("%s: replayed %+v, captured %+v, error %v", r.Step.Target, r.Replayed, r.Step.Captured, r.Err)
		}
	}
	s.mu.Lock()
	for i := range 20 {
		post, get := fmt.Sprint("a", i), fmt.Sprint("b", i)
		if s.counts[post] != 1 || s.counts[get] != 1 || s.bodies[post] != largeBody {
			t.Errorf("connection %d: the requests were received %d and %d times", i, s.counts[post], s.counts[get])
		}
	}
	s.mu.Unlock()
	replayed := readCapture(t, file, &buf)
	if len(replayed) != 40 {
		t.Fatalf("got %d exchanges in the capture of the replay, want 40", len(replayed))
	}
	for _, e := range replayed {
		body, err := e.Request.Body.Bytes()
		if err != nil || e.Request.Method == nethttp.MethodPost && string(body) != largeBody {
			t.Errorf("got a body of %d bytes in the capture of the replay, error %v", len(body), err)
		}
	}
}

// If a connection breaks after a request was sent, the request has no response and is not sent
// again. The requests that were not started are sent over a new connection.
func TestBrokenConnectionIsNotRetried(t *testing.T) {
	second := strings.Replace(keyedRequest, "u1", "u2", 1)
	third := strings.Replace(keyedRequest, "u1", "u3", 1)
	exchanges := captureOf(t, sentBytes{
		client: keyedRequest + second + third, server: okResponse + okResponse + okResponse,
	})
	for _, pipeline := range []bool{false, true} {
		s, addr := startServer(t, func(w nethttp.ResponseWriter, r *nethttp.Request) {
			if r.Header.Get("Request-Id") == "u1" {
				panic(nethttp.ErrAbortHandler)
			}
			_, _ = io.WriteString(w, "ok")
		})
		target := Target{Addr: addr, Pipeline: pipeline}
		results := newPlan(t, Options{Speed: -1}, exchanges).Run(context.Background(), target)
		if results[0].Err == nil || !results[0].Sent {
			t.Errorf("request on the broken connection: got result %+v", results[0])
		}
		for id, n := range s.requestCounts() {
			if n > 1 {
				t.Errorf("request %s was received %d times", id, n)
			}
		}
		if !pipeline && (results[1].Err != nil || results[2].Err != nil) {
			t.Errorf("requests on the new connection: got errors %v and %v", results[1].Err, results[2].Err)
		}
	}
}

// When its context ends, a replay returns with an error for each request that has no response.
func TestReplayEndsWithContext(t *testing.T) {
	addr, received := startSilentServer(t)
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-received
		cancel()
	}()
	exchanges := captureOf(t,
		sentBytes{client: idempotentRequest + idempotentRequest, server: okResponse + okResponse},
		sentBytes{client: idempotentRequest, server: okResponse})
	results := newPlan(t, Options{Speed: -1}, exchanges).Run(ctx, Target{Addr: addr, MaxConnections: 1})
	for i, r := range results {
		if r.Err == nil {
			t.Errorf("request %d: got result %+v, want an error", i, r)
		}
	}
}

// startSilentServer starts a server that accepts connections and never responds. The channel gets a
// value for each connection on which the server has received data.
func startSilentServer(t *testing.T) (netip.AddrPort, <-chan struct{}) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	received := make(chan struct{}, 8)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			defer func() { _ = conn.Close() }()
			go func() {
				b := make([]byte, 1)
				if _, err := conn.Read(b); err == nil {
					received <- struct{}{}
				}
			}()
		}
	}()
	return netip.MustParseAddrPort(listener.Addr().String()), received
}
