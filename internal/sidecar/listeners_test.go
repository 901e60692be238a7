package sidecar

import (
	"fmt"
	"io"
	"net/http"
	"testing"

	"fernlanding/internal/standin/backendtest"
)

// Idle connections, of clients that have sent a request or none, are closed for new clients. They
// filled the proxy for good once; the rest waited in the kernel.
func TestIdleConnectionsAreEvictedForNewClients(t *testing.T) {
	p, most := startCrowdedProxy(t, backendtest.Says(served, true))
	for i := range most {
		c := connect(t, p)
		if i%2 == 0 {
			c.send(t, lookRequest(fmt.Sprint("i", i), 4000))
			c.answer(t)
		}
	}
	for i := range 2 * most {
		c := connect(t, p)
		c.send(t, lookRequest(fmt.Sprint("n", i), 4000))
		if resp, body := c.answer(t); resp.StatusCode != 200 || body != "ok" {
			t.Fatalf("new client %d: got %s", i, resp.Status)
		}
		if n := p.stats().Open; n > most {
			t.Fatalf("%d connections of at most %d", n, most)
		}
	}
}

// A connection with an open request is never closed for a new one.
func TestConnectionsWithOpenRequestsAreNotEvicted(t *testing.T) {
	release := make(chan struct{})
	p, most := startCrowdedProxy(t, func(w io.Writer, _ *http.Request, _ int) bool {
		<-release
		_, _ = io.WriteString(w, served)
		return true
	})
	var waiting []*client
	for i := range most {
		c := connect(t, p)
		c.send(t, lookRequest(fmt.Sprint(i), 8000))
		waiting = append(waiting, c)
	}
	waitUntil(t, func() bool {
		s := p.stats()
		return s.Open == most && s.Silent == 0
	})
	over := connect(t, p)
	if _, err := over.r.ReadByte(); err == nil {
		t.Error("a connection over the limit got an answer")
	}
	close(release)
	for i, c := range waiting {
		if resp, _ := c.answer(t); resp.StatusCode != 200 {
			t.Errorf("request %d: got %s", i, resp.Status)
		}
	}
}
