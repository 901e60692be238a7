package main

import (
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"fernlanding/internal/standin"
)

const (
	maxBody         = 64 << 10
	backendLatency  = 100 * time.Millisecond
	usualClients    = 10
	usualInterval   = 50 * time.Millisecond
	longHead        = 15 << 10 // bytes of fields, within the limit of a head
	requestFraction = 3        // a third of the descriptors carries requests
)

// shortFields returns the lines of very many short fields.
func shortFields() string {
	var b strings.Builder
	for i := 0; b.Len() < longHead; i++ {
		b.WriteString("x" + strconv.Itoa(i) + ":\r\n")
	}
	return b.String()
}

// longField returns the line of one long field.
func longField() string { return "X: " + strings.Repeat("x", longHead) + "\r\n" }

// slowBackend responds to each request after backendLatency.
func slowBackend(c *standin.Call) bool {
	timer := time.NewTimer(backendLatency)
	defer timer.Stop()
	select {
	case <-timer.C:
		return c.Reply(200, "", []byte("ok")) == nil
	case <-c.Done:
		return false
	}
}

// unsoundClient is a client that costs the process something and whose request is not valid, or not
// complete.
type unsoundClient struct {
	name string
	text func(p *platformProcess) string // what the client sends
}

// unsoundClients returns the kinds of unsound clients.
func unsoundClients() []unsoundClient {
	body := strings.Repeat("x", maxBody-1)
	length := "Content-Length: " + strconv.Itoa(maxBody) + "\r\n"
	return []unsoundClient{
		{"half a body", func(p *platformProcess) string { return p.head("POST", "post", length) + "\r\n" + body }},
		{"short fields and half a body", func(p *platformProcess) string {
			return p.head("POST", "post", length, shortFields()) + "\r\n" + body
		}},
		{"a long field and half a body", func(p *platformProcess) string {
			return p.head("POST", "post", length, longField()) + "\r\n" + body
		}},
		{"half a head of short fields", func(p *platformProcess) string {
			return p.head("GET", "look", shortFields())
		}},
		{"half a head of one long field", func(p *platformProcess) string {
			return p.head("GET", "look", longField())
		}},
	}
}

// sendUsualRequest sends a request that has to be served or refused, and returns the status.
func (p *platformProcess) sendUsualRequest(t *testing.T) int {
	t.Helper()
	status, err := p.send(p.head("POST", "post", "Content-Length: 2\r\n") + "\r\n{}")
	if err != nil || status != 200 && status != 503 {
		t.Errorf("usual client: got status %d, %v, want 200 or 503", status, err)
	}
	return status
}

// usualTraffic is the requests of usual clients, each of which has to get an answer.
type usualTraffic struct {
	stop    chan struct{}
	clients sync.WaitGroup
	served  atomic.Int64
}

// startUsualTraffic starts usual clients.
func (p *platformProcess) startUsualTraffic(t *testing.T) *usualTraffic {
	t.Helper()
	u := &usualTraffic{stop: make(chan struct{})}
	for range usualClients {
		u.clients.Go(func() {
			ticker := time.NewTicker(usualInterval)
			defer ticker.Stop()
			for {
				if p.sendUsualRequest(t) == 200 {
					u.served.Add(1)
				}
				select {
				case <-u.stop:
					return
				case <-ticker.C:
				}
			}
		})
	}
	return u
}

// end stops the clients. Some of them must have been served.
func (u *usualTraffic) end(t *testing.T) {
	t.Helper()
	close(u.stop)
	u.clients.Wait()
	if u.served.Load() == 0 {
		t.Error("no usual client was served")
	}
}

// runUnsoundClients runs clients of one kind and waits for their end. Each has to get an error or a
// close.
func (p *platformProcess) runUnsoundClients(t *testing.T, kind unsoundClient, count int) {
	t.Helper()
	var all sync.WaitGroup
	for range count {
		all.Go(func() {
			if status, err := p.send(kind.text(p)); err != nil || status != 0 && status < 400 {
				t.Errorf("%s: got status %d, %v, want an error or a close", kind.name, status, err)
			}
		})
	}
	all.Wait()
}

// Hundreds of clients that stop in the middle of their requests do not take the process beyond its
// memory limit: it was killed (review case 8). Each of them gets an error or a close, and usual
// clients are served meanwhile.
func TestUnfinishedRequestsStayWithinMemoryLimit(t *testing.T) {
	program := filepath.Join(buildPrograms(t), "fernlanding")
	for _, limits := range []processLimits{{32, 256}, {32, 1024}, {64, 1024}} {
		for _, kind := range unsoundClients() {
			t.Run(limits.String()+", "+kind.name, func(t *testing.T) {
				p := startPlatformProcess(t, program, limits, slowBackend)
				usual := p.startUsualTraffic(t)
				p.runUnsoundClients(t, kind, limits.sockets/requestFraction-usualClients)
				usual.end(t)
				p.checkMemory(t)
			})
		}
	}
}
