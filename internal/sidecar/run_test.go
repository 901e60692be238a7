package sidecar

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"runtime"
	"sync"
	"testing"
	"time"

	"fernlanding/internal/standin"
	"fernlanding/internal/standin/backendtest"
)

// holdPrefixed returns the reply function of a backend that serves requests. Requests whose ID
// starts with h wait until release is closed.
func holdPrefixed(release <-chan struct{}) func(io.Writer, *http.Request, int) bool {
	return func(w io.Writer, r *http.Request, _ int) bool {
		if r.Header.Get("Request-Id")[0] == 'h' {
			<-release
		}
		_, _ = io.WriteString(w, servedResponse)
		return true
	}
}

// After SIGTERM clients are served on existing and on new connections. In the closing phase at the
// end of the drain each response closes its connection. If each connection is closed with its next
// response from the start of the drain, two proxies that drain one after the other leave clients
// without a proxy for two seconds.
func TestDrainUnderLoadLosesNoRequests(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	p, b := startProxyWithBackend(t, holdPrefixed(release))
	idle := connect(t, p)
	idle.send(t, lookRequest("1", 8000))
	idle.readResponse(t)
	var held []*client
	for i := range 10 {
		held = append(held, connect(t, p))
		held[i].send(t, lookRequest(fmt.Sprint("h", i), 8000))
	}
	waitUntil(t, func() bool { return b.Requests.Load() == 11 })
	unused := connect(t, p)
	p.stop()
	waitUntil(t, func() bool { return p.stats().Draining })
	for i, c := range []*client{idle, connect(t, p)} {
		for n := range 5 {
			c.send(t, lookRequest(fmt.Sprint("n", i, n), 8000))
			if resp, body := c.readResponse(t); resp.StatusCode != 200 || body != "ok" || resp.Close {
				t.Fatalf("after SIGTERM: got %s, close %v, want 200, close false", resp.Status, resp.Close)
			}
		}
	}
	waitUntil(t, func() bool { return p.stats().Closing })
	close(release)
	var all sync.WaitGroup
	for _, c := range held {
		all.Go(func() {
			if resp, body := c.readResponse(t); resp.StatusCode != 200 || body != "ok" || !resp.Close {
				t.Errorf("held request: got %s, close %v, want 200, close true", resp.Status, resp.Close)
			}
		})
	}
	all.Wait()
	if err := receive(t, "end of Run", p.done); err != nil {
		t.Error(err)
	}
	if _, err := unused.r.ReadByte(); err == nil {
		t.Error("an unused connection got a response")
	}
}

// During a drain some connections stay free of slow requests. A request on one of them is shed at
// once with a Retry-After, and the connection can be reused. If all connections are in use and no
// new connections are possible, the next client considers the proxy gone two seconds before its
// end.
func TestDrainKeepsConnectionsFree(t *testing.T) {
	release := make(chan struct{})
	p, b := startProxyWithBackend(t, holdPrefixed(release))
	var all []*client
	for i := range 8 {
		all = append(all, connect(t, p))
		all[i].send(t, lookRequest(fmt.Sprint(i), 8000))
		all[i].readResponse(t)
	}
	waitUntil(t, func() bool { return p.stats().Idle == len(all) })
	p.stop()
	waitUntil(t, func() bool { return p.stats().NoNewConnections })
	for i, c := range all[:5] {
		c.send(t, lookRequest(fmt.Sprint("h", i), 8000))
	}
	waitUntil(t, func() bool { return b.Requests.Load() == 13 })
	for i := range 3 {
		all[5].send(t, lookRequest(fmt.Sprint("h", 5+i), 8000))
		resp, _ := all[5].readResponse(t)
		if resp.StatusCode != 503 || resp.Header.Get("Retry-After") == "" || resp.Close {
			t.Fatalf(
				"with 5 of 8 connections held: got %s %v, close %v, want 503 with Retry-After, close false",
				resp.Status, resp.Header, resp.Close,
			)
		}
	}
	close(release)
	for _, c := range all[:5] {
		if resp, body := c.readResponse(t); resp.StatusCode != 200 || body != "ok" {
			t.Errorf("held request: got %s %q, want 200 with body ok", resp.Status, body)
		}
	}
	all[5].send(t, lookRequest("s", 8000))
	if resp, _ := all[5].readResponse(t); resp.StatusCode != 200 {
		t.Errorf("with free connections: got %s, want 200", resp.Status)
	}
}

// A drain fails requests to a hung backend before SIGKILL.
func TestDrainEndsHungRequests(t *testing.T) {
	t.Parallel()
	p, b := startProxyWithBackend(t, backendtest.Hang(t))
	c := connect(t, p)
	c.send(t, lookRequest("1", 8000))
	waitUntil(t, func() bool { return b.Requests.Load() == 1 })
	start := time.Now()
	p.stop()
	if resp, _ := c.readResponse(t); resp.StatusCode == 200 {
		t.Errorf("got %s, want an error", resp.Status)
	}
	if err := receive(t, "end of Run", p.done); err != nil {
		t.Error(err)
	}
	if took := time.Since(start); took > maxDrainWindow+5*time.Second {
		t.Errorf("ended %v after SIGTERM, want at most %v", took, maxDrainWindow+5*time.Second)
	}
}

// A stopped sidecar leaves no goroutines, and no descriptors or memory in use.
func TestStoppedSidecarLeaksNothing(t *testing.T) {
	b := startBackend(t, standin.Echo)
	before := runtime.NumGoroutine()
	for range 3 {
		app := decodeVersion1(
			t, 200, routeTo("s")+routeTo("r"),
			serviceTOML{name: "s", classes: safeClass, source: endpointsAt(b.Addr())},
			serviceTOML{name: "r", classes: keyedClass, source: endpointsAt(b.Addr())},
		)
		s, err := New(app, slog.New(slog.DiscardHandler))
		if err != nil {
			t.Fatal(err)
		}
		ctx, stop := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- s.Run(ctx) }()
		p := &runningSidecar{Sidecar: s, app: app}
		for i := range 20 {
			sendRequest(t, p, "GET", "/s")
			sendRequest(t, p, "POST", "/r", fmt.Sprintf("Idempotency-Key: %d", i))
		}
		mustReload(
			t, p,
			decodeVersion1(
				t, 200, routeTo("s"),
				serviceTOML{name: "s", classes: safeClass, source: endpointsAt(b.Addr()), extra: "attempts = 2"},
			),
		)
		sendRequest(t, p, "GET", "/s")
		stop()
		if err := receive(t, "end of Run", ended); err != nil {
			t.Error(err)
		}
		if inUse := s.shared.descriptors.inUse(); inUse != 0 {
			t.Errorf("%d descriptors in use, want none", inUse)
		}
		if inUse := s.shared.memory.inUse(); inUse != 0 {
			t.Errorf("%d bytes of memory in use, want none", inUse)
		}
		if err := s.Reload(app); err == nil {
			t.Error("reload of a stopped sidecar: got no error")
		}
	}
	waitUntil(t, func() bool { _, open, _ := b.Conns(); return open == 0 && runtime.NumGoroutine() <= before })
}
