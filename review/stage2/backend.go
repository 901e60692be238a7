package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// call is a request whose last byte has come.
type call struct {
	*http.Request
	body []byte
	conn net.Conn
}

// backend is a backend on a loopback socket. Its handler writes the answer; the connection is closed
// if the handler returns false.
type backend struct {
	name    string
	cell    int
	since   int64 // Unix time in milliseconds; 0 for long ago
	address string
	handle  func(b *backend, c *call) bool

	listener net.Listener
	mu       sync.Mutex
	conns    map[net.Conn]bool
	dead     bool
}

// startBackend starts a backend. An empty address is a free one.
func (s *stage) startBackend(name string, cell int, address string, handle func(*backend, *call) bool) *backend {
	if address == "" {
		address = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		s.fail("%v", err)
	}
	b := &backend{
		name: name, cell: cell, address: l.Addr().String(), handle: handle, listener: l, conns: map[net.Conn]bool{},
	}
	go b.accept()
	return b
}

func (b *backend) accept() {
	for {
		c, err := b.listener.Accept()
		if err != nil {
			return
		}
		b.mu.Lock()
		if b.dead {
			reset(c)
		}
		b.conns[c] = true
		b.mu.Unlock()
		go b.serve(c)
	}
}

func (b *backend) serve(c net.Conn) {
	defer func() {
		b.mu.Lock()
		delete(b.conns, c)
		b.mu.Unlock()
		_ = c.Close()
	}()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil || !b.handle(b, &call{Request: req, body: body, conn: c}) {
			return
		}
	}
}

// die ends the backend as the end of its process would: its connections are reset, and new ones are
// refused.
func (b *backend) die() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.dead = true
	_ = b.listener.Close()
	for c := range b.conns {
		reset(c)
	}
}

// reset resets a connection.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// entry returns the backend's entry in the list.
func (b *backend) entry() object {
	return object{
		"name": b.name, "address": b.address, "zone": "diliman-room1", "type": "gw-mid", "group": b.cell,
		"status": "SERVING", "weight": 1.0, "since_ms": b.since,
	}
}

// serveWith answers 200 with a body.
func (c *call) serveWith(body string) bool {
	_, err := fmt.Fprintf(c.conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	return err == nil
}

// ledger counts how often the effect of a key happened. The backends of one group recall a key for
// the window, from when the first of its requests began there.
type ledger struct {
	window time.Duration

	mu      sync.Mutex
	begun   map[string]time.Time // by group and key: when the key was last taken for new
	effects map[string][]effect  // by key
}

// effect is one time that a key took effect.
type effect struct {
	at      time.Time
	backend string
	group   string
	request string
}

func newLedger(window time.Duration) *ledger {
	return &ledger{window: window, begun: map[string]time.Time{}, effects: map[string][]effect{}}
}

// begin begins a request. A repeat of a key that the group recalls has no effect.
func (l *ledger) begin(b *backend, group string, c *call) {
	key := c.Header.Get("Idempotency-Key")
	l.mu.Lock()
	defer l.mu.Unlock()
	first, known := l.begun[group+" "+key]
	if known && time.Since(first) < l.window {
		return
	}
	l.begun[group+" "+key] = time.Now()
	l.effects[key] = append(l.effects[key], effect{time.Now(), b.name, group, c.Header.Get("Request-Id")})
}

// of returns the effects of a key.
func (l *ledger) of(key string) []effect {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]effect(nil), l.effects[key]...)
}
