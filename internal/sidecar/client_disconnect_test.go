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

// hungListener is a backend whose accept queue is full: dialing it hangs.
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

// awaitClose waits until the proxy closes a connection to a backend, by which it cancels the
// attempt.
func awaitClose(w io.Writer) {
	conn := w.(net.Conn) //nolint:forcetypeassert // backendtest passes its connection
	_, _ = conn.Read(make([]byte, 1))
}

// disconnectStage is when a client disconnects.
type disconnectStage struct {
	name     string
	trailing string // what the client has sent behind its request
	draining bool
	dialing  bool // while a connection to the backend is dialed
}

// disconnectStages returns all stages, each with nothing, little and much behind the request.
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

// disconnect has a client disconnect in a stage, and returns how long it took until nothing of its
// request was left.
func (s disconnectStage) disconnect(tb testing.TB, n int) time.Duration {
	tb.Helper()
	ended := make(chan struct{}, 10)
	came := make(chan struct{}, 10)
	var addr string
	if s.dialing {
		addr = hungListener(tb).Addr().String()
	} else {
		addr = backendtest.Start(tb, func(w io.Writer, _ *http.Request, _ int) bool {
			came <- struct{}{}
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
		receive(tb, "request", came)
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

// A client that disconnects while its request is open ends it, whatever it has sent behind it.
func TestClientDisconnectEndsRequest(t *testing.T) {
	for n, s := range disconnectStages() {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			s.disconnect(t, n)
		})
	}
}

// The attempt that a disconnect cancels has failed and its class is idempotent, but there is no
// retry.
func TestNoRetryAfterClientDisconnect(t *testing.T) {
	came := make(chan struct{}, 10)
	reply := func(w io.Writer, r *http.Request, _ int) bool {
		if r.Header.Get("Request-Id") != "1" {
			_, err := io.WriteString(w, served)
			return err == nil
		}
		came <- struct{}{}
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
	receive(t, "request", came)
	_ = c.Close()
	waitUntil(t, func() bool { return p.platformService().pool.Stats().Requests == 0 })
	other.send(t, lookRequest("2", 8000))
	if resp, body := other.answer(t); resp.StatusCode != 200 || body != "ok" {
		t.Errorf("got %s", resp.Status)
	}
	if n := a.Requests.Load() + b.Requests.Load(); n != 2 {
		t.Errorf("%d requests came for two clients", n)
	}
}

// BenchmarkClientDisconnect measures in how many of many disconnects nothing of the request was
// left within the 0.3 s that the operators state.
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

// Many clients that send much and disconnect do not affect the others, and leave nothing behind.
func TestManyClientDisconnectsLeaveNothing(t *testing.T) {
	p, _ := startProxyWithBackend(t, func(w io.Writer, r *http.Request, _ int) bool {
		if r.Header.Get("Request-Id") == "usual" {
			_, err := io.WriteString(w, served)
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
		usual.send(t, lookRequest("usual", 8000))
		if resp, body := usual.answer(t); resp.StatusCode != 200 || body != "ok" {
			t.Errorf("round %d: got %s", round, resp.Status)
		}
		_ = usual.Close()
		waitUntil(t, func() bool { return p.stats().Open == 0 && p.platformService().pool.Stats().Requests == 0 })
	}
}

// A client's disconnect cancels the attempt at the backend.
func TestClientDisconnectCancelsAttempt(t *testing.T) {
	came := make(chan struct{}, 1)
	ended := make(chan struct{}, 1)
	p, _ := startProxyWithBackend(t, func(w io.Writer, _ *http.Request, _ int) bool {
		came <- struct{}{}
		awaitClose(w)
		ended <- struct{}{}
		return false
	})
	c := connect(t, p)
	c.send(t, lookRequest("1", 8000))
	receive(t, "request", came)
	_ = c.Close()
	receive(t, "end of the attempt", ended)
	waitUntil(t, func() bool { return p.platformService().pool.Stats().Requests == 0 }) // nothing is left of it
}

// A request whose client disconnects before the end of the body is not forwarded.
func TestClientDisconnectDuringBodyForwardsNothing(t *testing.T) {
	p, b := startProxyWithBackend(t, backendtest.Says(served, true))
	c := connect(t, p)
	c.send(t, postHead("3", "Content-Length: 9")+"abc")
	waitUntil(t, func() bool { return p.stats().Open == 1 })
	_ = c.Close()
	waitUntil(t, func() bool { return p.stats().Open == 0 })
	if n := b.Requests.Load(); n != 0 {
		t.Errorf("%d requests were forwarded", n)
	}
}
