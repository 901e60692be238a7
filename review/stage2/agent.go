package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// agent is the discovery agent on the proxy's machine. It answers at once with what it has been
// sent, and holds a watch until there is something newer.
type agent struct {
	address string

	mu      sync.Mutex
	version int64
	list    []object
	changed chan struct{}
}

// startAgent starts an agent with a list.
func (s *stage) startAgent(list []object) *agent {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		s.fail("%v", err)
	}
	a := &agent{address: l.Addr().String(), version: 41, list: list, changed: make(chan struct{})}
	go func() { _ = http.Serve(l, a) }()
	return a
}

// set sends the agent a new list.
func (a *agent) set(list []object) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.version, a.list = a.version+1, list
	close(a.changed)
	a.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (a *agent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/catalog/members" {
		http.NotFound(w, r)
		return
	}
	from, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		from = -1
	}
	hold, _ := strconv.ParseInt(r.URL.Query().Get("hold_ms"), 10, 64)
	timeout := time.After(time.Duration(min(hold, 60_000)) * time.Millisecond)
	a.mu.Lock()
	for waiting := true; waiting && a.version <= from; {
		changed := a.changed
		a.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			waiting = false
		case <-r.Context().Done():
			return
		}
		a.mu.Lock()
	}
	answer := object{"index": a.version, "snapshot": true, "endpoints": a.list}
	if a.version <= from {
		answer = object{"index": a.version, "snapshot": false, "endpoints": []object{}}
	}
	a.mu.Unlock()
	data, _ := json.Marshal(answer)
	_, _ = w.Write(data)
}
