package harness_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"sync"
	"syscall"
	"time"

	"fernlanding/internal/config"
	"fernlanding/internal/standin"
)

// naiveProxy is a stand-in sidecar with at most one bug. It forwards each request once, to a
// random backend.
type naiveProxy struct {
	bug          string
	listAddr     string
	snapshotFile string // file with the last endpoint list; the bug "strays" uses it after a restart
	client       *http.Client

	mu           sync.Mutex
	members      map[string]standin.Member
	lastResponse []byte // body of the last successful response
	requests     int
	posts        int
}

// runNaiveProxy runs a naive proxy with a sidecar's configuration file until SIGTERM.
func runNaiveProxy(file, bug string) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	app, err := config.Decode(file, data)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	p := &naiveProxy{
		bug:          bug,
		listAddr:     app.Services[0].Source.Address,
		snapshotFile: file + ".members",
		client:       &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
	}
	if bug == "strays" {
		if data, err := os.ReadFile(p.snapshotFile); err == nil {
			_ = json.Unmarshal(data, &p.members)
		}
	}
	go p.pollList(ctx)
	listener, err := net.Listen("tcp", app.Listeners[0].Address)
	if err != nil {
		return err
	}
	if bug == "crash" {
		time.AfterFunc(700*time.Millisecond, func() { os.Exit(3) })
	}
	server := &http.Server{Handler: p}
	go func() { _ = server.Serve(listener) }()
	<-ctx.Done()
	shutdown, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	return server.Shutdown(shutdown)
}

// pollList requests the complete endpoint list at a fixed interval until ctx is done.
func (p *naiveProxy) pollList(ctx context.Context) {
	interval := 100 * time.Millisecond
	if p.bug == "reads" {
		interval = 20 * time.Millisecond
	}
	for ctx.Err() == nil {
		resp, err := p.client.Get("http://" + p.listAddr + "/catalog/members")
		if err == nil {
			var list struct{ Endpoints []standin.Member }
			err = json.NewDecoder(resp.Body).Decode(&list)
			_ = resp.Body.Close() // the body has been read
			if err == nil {
				p.setMembers(list.Endpoints)
			}
		}
		select {
		case <-time.After(interval):
		case <-ctx.Done():
		}
	}
}

// setMembers replaces the endpoints that requests are forwarded to.
func (p *naiveProxy) setMembers(all []standin.Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.bug == "drains" && p.members != nil { // the bug: the first list is never replaced
		return
	}
	p.members = map[string]standin.Member{}
	for _, member := range all {
		if member.Status == "SERVING" {
			p.members[member.Name] = member
		}
	}
	if p.bug == "strays" {
		if data, err := json.Marshal(p.members); err == nil {
			_ = os.WriteFile(p.snapshotFile, data, 0o600)
		}
	}
}

// pick picks a random warm backend. With the bug "cold", it prefers cold backends.
func (p *naiveProxy) pick() (member standin.Member, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var warm []standin.Member
	for _, candidate := range p.members {
		isCold := candidate.StartedMs > 0
		if p.bug == "cold" && isCold {
			return candidate, true
		}
		if !isCold {
			warm = append(warm, candidate)
		}
	}
	if len(warm) == 0 {
		return standin.Member{}, false
	}
	return warm[rand.IntN(len(warm))], true
}

// ServeHTTP implements http.Handler.
func (p *naiveProxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/_health" {
		p.mu.Lock()
		ready := len(p.members) > 0
		p.mu.Unlock()
		if !ready {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	body, _ := io.ReadAll(r.Body)
	member, ok := p.pick()
	if !ok {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	status, data := p.forward(r, member, body)
	p.mu.Lock()
	p.requests++
	isTwentieth := p.requests%20 == 0
	// The bug "twice" acts on every fifth POST and not on the POSTs among every twentieth request:
	// a run has only about four of the latter, and sometimes none.
	if r.Method == http.MethodPost {
		p.posts++
	}
	isRepeated := r.Method == http.MethodPost && p.posts%5 == 0
	lastResponse := p.lastResponse
	if status == http.StatusOK {
		p.lastResponse = data
	}
	p.mu.Unlock()
	switch {
	case p.bug == "twice" && isRepeated:
		if other, ok := p.pick(); ok {
			status, data = p.forward(r, other, body)
		}
	case p.bug == "forget" && isTwentieth:
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	case p.bug == "swap" && isTwentieth && lastResponse != nil:
		data = lastResponse
	}
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

// forward makes one attempt at a backend and returns the response's status and body.
func (p *naiveProxy) forward(r *http.Request, member standin.Member, body []byte) (status int, data []byte) {
	ctx, cancel := context.WithTimeout(r.Context(), time.Second)
	defer cancel()
	url := fmt.Sprintf("http://%s%s", member.Address, r.RequestURI)
	req, err := http.NewRequestWithContext(ctx, r.Method, url, bytes.NewReader(body))
	if err != nil {
		return http.StatusInternalServerError, nil
	}
	for _, field := range []string{"Request-Id", "Idempotency-Key"} {
		if value := r.Header.Get(field); value != "" {
			req.Header.Set(field, value)
		}
	}
	req.GetBody = nil // prevents retries by the transport
	resp, err := p.client.Do(req)
	if err != nil {
		if strings.Contains(err.Error(), "refused") {
			return http.StatusServiceUnavailable, nil
		}
		return http.StatusBadGateway, nil
	}
	defer func() { _ = resp.Body.Close() }() // read errors are handled below
	data, err = io.ReadAll(resp.Body)
	if err != nil {
		return http.StatusBadGateway, nil
	}
	return resp.StatusCode, data
}
