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

// naiveProxy is a stand-in sidecar with at most one bug. It sends each request once, to a backend drawn at random.
type naiveProxy struct {
	bug    string
	list   string
	kept   string // file of the last list, which the bug "strays" begins with
	client *http.Client

	mu      sync.Mutex
	members map[string]standin.Member
	held    map[string]int
	last    []byte // answer that was passed on last
	n       int
	posts   int // requests that are no GET
}

// naive serves by a sidecar's file until SIGTERM.
func naive(file, bug string) error {
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
		bug: bug, list: app.Services[0].Source.Address, held: map[string]int{},
		client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
	}
	if p.kept = file + ".members"; bug == "strays" {
		if data, err := os.ReadFile(p.kept); err == nil {
			_ = json.Unmarshal(data, &p.members)
		}
	}
	go p.follow(ctx)
	l, err := net.Listen("tcp", app.Listeners[0].Address)
	if err != nil {
		return err
	}
	if bug == "crash" {
		time.AfterFunc(700*time.Millisecond, func() { os.Exit(3) })
	}
	server := &http.Server{Handler: p}
	go func() { _ = server.Serve(l) }()
	<-ctx.Done()
	end, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	return server.Shutdown(end)
}

// follow reads the whole list again and again.
func (p *naiveProxy) follow(ctx context.Context) {
	every := 100 * time.Millisecond
	if p.bug == "reads" {
		every = 20 * time.Millisecond
	}
	for ctx.Err() == nil {
		resp, err := p.client.Get("http://" + p.list + "/catalog/members")
		if err == nil {
			var l struct{ Endpoints []standin.Member }
			err = json.NewDecoder(resp.Body).Decode(&l)
			resp.Body.Close()
			if err == nil {
				p.take(l.Endpoints)
			}
		}
		select {
		case <-time.After(every):
		case <-ctx.Done():
		}
	}
}

func (p *naiveProxy) take(all []standin.Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.bug == "drains" && p.members != nil { // it goes on by the first list
		return
	}
	p.members = map[string]standin.Member{}
	for _, m := range all {
		if m.Status == "SERVING" {
			p.members[m.Name] = m
		}
	}
	if p.bug == "strays" {
		if data, err := json.Marshal(p.members); err == nil {
			_ = os.WriteFile(p.kept, data, 0o600)
		}
	}
}

// choose draws a backend. A cold one is spared, but for the bug.
func (p *naiveProxy) choose() (m standin.Member, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var all []standin.Member
	for _, x := range p.members {
		fresh := x.SinceMs > 0
		if p.bug == "cold" && fresh {
			p.held[x.Name]++
			return x, true
		}
		if !fresh {
			all = append(all, x)
		}
	}
	if len(all) == 0 {
		return m, false
	}
	m = all[rand.IntN(len(all))]
	p.held[m.Name]++
	return m, true
}

func (p *naiveProxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/_health" {
		p.mu.Lock()
		ok := len(p.members) > 0
		p.mu.Unlock()
		if !ok {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	body, _ := io.ReadAll(r.Body)
	m, ok := p.choose()
	if !ok {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	status, data := p.send(r, m, body)
	p.mu.Lock()
	p.n++
	odd := p.n%20 == 0
	// Every fifth POST, not what every twentieth request happens to be: a play has some four POSTs among those, and none at times.
	if r.Method == http.MethodPost {
		p.posts++
	}
	repeated := r.Method == http.MethodPost && p.posts%5 == 0
	last := p.last
	if status == http.StatusOK {
		p.last = data
	}
	p.mu.Unlock()
	switch {
	case p.bug == "twice" && repeated:
		if other, ok := p.choose(); ok {
			status, data = p.send(r, other, body)
		}
	case p.bug == "forget" && odd:
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	case p.bug == "swap" && odd && last != nil:
		data = last
	}
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func (p *naiveProxy) send(r *http.Request, m standin.Member, body []byte) (int, []byte) {
	ctx, cancel := context.WithTimeout(r.Context(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, r.Method, fmt.Sprintf("http://%s%s", m.Address, r.RequestURI), bytes.NewReader(body))
	if err != nil {
		return http.StatusInternalServerError, nil
	}
	for _, f := range []string{"Request-Id", "Idempotency-Key"} {
		if v := r.Header.Get(f); v != "" {
			req.Header.Set(f, v)
		}
	}
	req.GetBody = nil
	resp, err := p.client.Do(req)
	if err != nil {
		if strings.Contains(err.Error(), "refused") {
			return http.StatusServiceUnavailable, nil
		}
		return http.StatusBadGateway, nil
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return http.StatusBadGateway, nil
	}
	return resp.StatusCode, data
}
