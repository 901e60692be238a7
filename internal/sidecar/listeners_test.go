package sidecar

import (
	"fmt"
	"io"
	"net/http"
	"testing"

	"fernlanding/internal/standin/backendtest"
)

// Idle connections, of clients that have or have not sent a request, are closed for new clients.
// Otherwise idle connections fill the proxy permanently and new clients wait in the kernel.
func TestIdleConnectionsAreEvictedForNewClients(t *testing.T) {
	p, maxConns := startProxyWithFewConnections(t, backendtest.RespondWith(servedResponse, true))
	for i := range maxConns {
		c := connect(t, p)
		if i%2 == 0 {
			c.send(t, lookRequest(fmt.Sprint("i", i), 4000))
			c.readResponse(t)
		}
	}
	for i := range 2 * maxConns {
		c := connect(t, p)
		c.send(t, lookRequest(fmt.Sprint("n", i), 4000))
		if resp, body := c.readResponse(t); resp.StatusCode != 200 || body != "ok" {
			t.Fatalf("new client %d: got %s %q, want 200 with body ok", i, resp.Status, body)
		}
		if n := p.stats().Open; n > maxConns {
			t.Fatalf("%d connections, want at most %d", n, maxConns)
		}
	}
}

// A connection with an open request is never closed for a new one.
func TestConnectionsWithOpenRequestsAreNotEvicted(t *testing.T) {
	release := make(chan struct{})
	p, maxConns := startProxyWithFewConnections(t, func(w io.Writer, _ *http.Request, _ int) bool {
		<-release
		_, _ = io.WriteString(w, servedResponse)
		return true
	})
	var waiting []*client
	for i := range maxConns {
		c := connect(t, p)
		c.send(t, lookRequest(fmt.Sprint(i), 8000))
		waiting = append(waiting, c)
	}
	waitUntil(t, func() bool {
		s := p.stats()
		return s.Open == maxConns && s.Silent == 0
	})
	over := connect(t, p)
	if _, err := over.r.ReadByte(); err == nil {
		t.Error("a connection over the limit got a response")
	}
	close(release)
	for i, c := range waiting {
		if resp, _ := c.readResponse(t); resp.StatusCode != 200 {
			t.Errorf("request %d: got %s, want 200", i, resp.Status)
		}
	}
}
