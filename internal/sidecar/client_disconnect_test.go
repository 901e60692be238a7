package sidecar

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"fernlanding/internal/standin/backendtest"
)

// hungListener returns a listener whose accept queue is full, so that dialing it hangs.
func hungListener(tb testing.TB) net.Listener {
	tb.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		tb.Fatal(err)
	}
	if err = syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err == nil {
		err = syscall.Listen(fd, 0)
	}
	if err != nil {
		tb.Fatal(err)
	}
	f := os.NewFile(uintptr(fd), "backend")
	defer func() { _ = f.Close() }()
	l, err := net.FileListener(f)
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { _ = l.Close() })
	for {
		c, err := net.DialTimeout("tcp", l.Addr().String(), 100*time.Millisecond)
		if err != nil {
			return l
		}
		tb.Cleanup(func() { _ = c.Close() })
	}
}

// awaitClose waits until the proxy cancels the attempt by closing its connection to the backend.
func awaitClose(w io.Writer) {
	conn := w.(net.Conn) //nolint:forcetypeassert // backendtest passes its connection
	_, _ = conn.Read(make([]byte, 1))
}

// disconnectStage is the state of a request when its client disconnects.
type disconnectStage struct {
	name     string
	trailing string // bytes that the client has sent after its request
	draining bool   // the sidecar is draining
	dialing  bool   // the connection to the backend is being dialed
}

// disconnectStages returns all stages, each with no, few and many bytes after the request.
func disconnectStages() []disconnectStage {
	var stages []disconnectStage
	for name, trailing := range map[string]string{
		"nothing": "", "a byte": "x", "noise": strings.Repeat("noise", 9000),
	} {
		stages = append(
			stages,
			disconnectStage{name: "asking, " + name, trailing: trailing},
			disconnectStage{name: "draining, " + name, trailing: trailing, draining: true},
			disconnectStage{name: "dialling, " + name, trailing: trailing, dialing: true},
		)
	}
	return stages
}

// disconnect disconnects a client in a stage. It returns the time until the pool has removed the
// request.
func (s disconnectStage) disconnect(tb testing.TB, n int) time.Duration {
	tb.Helper()
	ended := make(chan struct{}, 10)
	received := make(chan struct{}, 10)
	var addr string
	if s.dialing {
		addr = hungListener(tb).Addr().String()
	} else {
		addr = backendtest.Start(tb, func(w io.Writer, _ *http.Request, _ int) bool {
			received <- struct{}{}
			awaitClose(w)
			ended <- struct{}{}
			return false
		}).Addr
	}
	p := startProxy(tb, startDiscovery(tb).address, 200, listJSON(1, true, endpointJSON("a", addr, "SERVING")))
	c := connect(tb, p)
	c.send(tb, lookRequest(fmt.Sprint(n), 8000))
	requests := func() int { return p.platformService().pool.Stats().Requests }
	waitUntil(tb, func() bool { return requests() == 1 })
	if !s.dialing {
		receive(tb, "request", received)
	}
	if s.draining {
		p.stop()
		waitUntil(tb, func() bool { return p.stats().Draining })
	}
	c.send(tb, s.trailing)
	disconnected := time.Now()
	_ = c.Close()
	if !s.dialing {
		receive(tb, "end of the attempt", ended)
	}
	waitUntil(tb, func() bool { return requests() == 0 })
	return time.Since(disconnected)
}

// A client that disconnects cancels its open request, even if it has sent more bytes after the
// request.
func TestClientDisconnectEndsRequest(t *testing.T) {
	for n, s := range disconnectStages() {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			s.disconnect(t, n)
		})
	}
}

// A disconnect of the client cancels the attempt and makes it fail. There is no retry, although the
// request is idempotent.
func TestNoRetryAfterClientDisconnect(t *testing.T) {
	received := make(chan struct{}, 10)
	reply := func(w io.Writer, r *http.Request, _ int) bool {
		if r.Header.Get("Request-Id") != "1" {
			_, err := io.WriteString(w, servedResponse)
			return err == nil
		}
		received <- struct{}{}
		awaitClose(w)
		return false
	}
	a, b := backendtest.Start(t, reply), backendtest.Start(t, reply)
	p := startProxy(
		t, startDiscovery(t).address, 200,
		listJSON(1, true, endpointJSON("a", a.Addr, "SERVING"), endpointJSON("b", b.Addr, "SERVING")),
	)
	c, other := connect(t, p), connect(t, p)
	c.send(t, lookRequest("1", 8000)+"x")
	receive(t, "request", received)
	_ = c.Close()
	waitUntil(t, func() bool { return p.platformService().pool.Stats().Requests == 0 })
	other.send(t, lookRequest("2", 8000))
	if resp, body := other.readResponse(t); resp.StatusCode != 200 || body != "ok" {
		t.Errorf("got %s %q, want 200 with body ok", resp.Status, body)
	}
	if n := a.Requests.Load() + b.Requests.Load(); n != 2 {
		t.Errorf("backends got %d requests for two clients, want 2", n)
	}
}

// BenchmarkClientDisconnect measures the fraction of disconnects after which the request is removed
// within the required 0.3 s.
func BenchmarkClientDisconnect(b *testing.B) {
	for _, s := range disconnectStages() {
		b.Run(strings.ReplaceAll(s.name, ", ", "/"), func(b *testing.B) {
			within, worst := 0, time.Duration(0)
			for n := range b.N {
				took := s.disconnect(b, n)
				worst = max(worst, took)
				if took <= 300*time.Millisecond {
					within++
				}
			}
			b.ReportMetric(float64(within)/float64(b.N), "in-time")
			b.ReportMetric(float64(worst.Microseconds())/1000, "worst-ms")
		})
	}
}

// Many clients that send many requests and disconnect do not affect other clients, and all state of
// their requests is released.
func TestManyClientDisconnectsReleaseAllState(t *testing.T) {
	p, _ := startProxyWithBackend(t, func(w io.Writer, r *http.Request, _ int) bool {
		if strings.HasPrefix(r.Header.Get("Request-Id"), "usual") {
			_, err := io.WriteString(w, servedResponse)
			return err == nil
		}
		awaitClose(w)
		return false
	})
	for round := range 5 {
		for i := range 20 {
			c := connect(t, p)
			trailing := strings.Repeat(lookRequest("more", 8000), 100*(i%3))
			c.send(t, lookRequest(fmt.Sprint(round, "-", i), 8000)+trailing)
			_ = c.Close()
		}
		usual := connect(t, p)
		usual.send(t, lookRequest(fmt.Sprint("usual", round), 8000))
		if resp, body := usual.readResponse(t); resp.StatusCode != 200 || body != "ok" {
			t.Errorf("round %d: got %s %q, want 200 with body ok", round, resp.Status, body)
		}
		_ = usual.Close()
		waitUntil(t, func() bool { return p.stats().Open == 0 && p.platformService().pool.Stats().Requests == 0 })
	}
}

// A disconnect of the client cancels the attempt at the backend.
func TestClientDisconnectCancelsAttempt(t *testing.T) {
	received := make(chan struct{}, 1)
	ended := make(chan struct{}, 1)
	p, _ := startProxyWithBackend(t, func(w io.Writer, _ *http.Request, _ int) bool {
		received <- struct{}{}
		awaitClose(w)
		ended <- struct{}{}
		return false
	})
	c := connect(t, p)
	c.send(t, lookRequest("1", 8000))
	receive(t, "request", received)
	_ = c.Close()
	receive(t, "end of the attempt", ended)
	waitUntil(t, func() bool { return p.platformService().pool.Stats().Requests == 0 })
}

// A request whose client disconnects before the end of the body is not forwarded.
func TestClientDisconnectDuringBodyForwardsNothing(t *testing.T) {
	p, b := startProxyWithBackend(t, backendtest.RespondWith(servedResponse, true))
	c := connect(t, p)
	c.send(t, postHead("3", "Content-Length: 9")+"abc")
	waitUntil(t, func() bool { return p.stats().Open == 1 })
	_ = c.Close()
	waitUntil(t, func() bool { return p.stats().Open == 0 })
	if n := b.Requests.Load(); n != 0 {
		t.Errorf("%d requests forwarded, want none", n)
	}
}
