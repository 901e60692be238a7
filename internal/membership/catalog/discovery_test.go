package catalog

import (
	"context"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"fernlanding/internal/membership"
)

// The responses of scripted services.
const (
	servingList   = `{"index":1,"snapshot":true,"endpoints":[{"name":"a","address":"127.0.0.1:1","status":"SERVING"}]}`
	drainingList  = `{"index":2,"snapshot":true,"endpoints":[{"name":"a","address":"127.0.0.1:1","status":"DRAINING"}]}`
	drainingDelta = `{"index":2,"snapshot":false,` +
		`"endpoints":[{"name":"a","address":"127.0.0.1:1","status":"DRAINING"}]}`
	deletedDelta = `{"index":3,"snapshot":false,"endpoints":[{"name":"a","status":"DELETED"}]}`
	noChange     = `{"index":1,"snapshot":false,"endpoints":[]}`
)

// answer writes a response. The error is ignored because the client may have disconnected.
func answer(w http.ResponseWriter, list string) { _, _ = io.WriteString(w, list) }

// serve starts a discovery. The handler also receives the number of the call, from 1.
func serve(t *testing.T, handler func(n int, w http.ResponseWriter, r *http.Request)) (addr string) {
	t.Helper()
	calls := make(chan int, 1)
	calls <- 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n := 1 + <-calls
		calls <- n
		handler(n, w, r)
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// newPushedClient returns a client in the pushed mode.
func newPushedClient(addr string) *Client {
	return New(Config{Address: addr, Rand: rand.New(rand.NewPCG(1, 1)), Log: slog.New(slog.DiscardHandler)})
}

// newOnDemandClient returns a client in the on-demand mode. The balancer never requests a call.
func newOnDemandClient(addr string) *Client {
	return New(Config{
		Address: addr, OnDemand: true, WatchRequested: make(chan struct{}),
		Rand: rand.New(rand.NewPCG(1, 1)), Log: slog.New(slog.DiscardHandler),
	})
}

// run runs a client until the test ends.
func run(t *testing.T, client *Client, sink membership.Sink) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { client.Run(ctx, sink) })
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
}

// listSink sends the lists that it receives to a channel.
type listSink chan *membership.List

func (s listSink) UpdateEndpoints(list *membership.List) { s <- list }

func (s listSink) UpdateFailed() {}

// next returns the next list, or fails the test after 20 s.
func (s listSink) next(t *testing.T, what string) *membership.List {
	t.Helper()
	select {
	case list := <-s:
		return list
	case <-time.After(20 * time.Second):
		t.Fatalf("%s: none within 20 s", what)
		return nil
	}
}

// requestingSink is a listSink whose balancer requests a call as soon as one fails.
type requestingSink struct {
	listSink
	requests chan<- struct{}
}

func (s requestingSink) UpdateFailed() { s.requests <- struct{}{} }

// rejectionLog measures the delay between each rejection and the next call.
type rejectionLog struct {
	mu           sync.Mutex
	lastRejected time.Time
	delays       []time.Duration
}

// recordCall records a call.
func (l *rejectionLog) recordCall() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.lastRejected.IsZero() {
		l.delays = append(l.delays, time.Since(l.lastRejected))
		l.lastRejected = time.Time{}
	}
}

// reject rejects a call, with a Retry-After header unless retryAfter is empty.
func (l *rejectionLog) reject(w http.ResponseWriter, retryAfter string) {
	l.mu.Lock()
	l.lastRejected = time.Now()
	l.mu.Unlock()
	if retryAfter != "" {
		w.Header().Set("Retry-After", retryAfter)
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

// expectDelays fails the test if a call followed a rejection sooner than least.
func (l *rejectionLog) expectDelays(t *testing.T, least ...time.Duration) {
	t.Helper()
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.delays) != len(least) {
		t.Fatalf("delays after rejections are %v, want %d of them", l.delays, len(least))
	}
	for i, delay := range l.delays {
		if delay < least[i] {
			t.Errorf("delay after rejection %d is %v, want at least %v", i+1, delay, least[i])
		}
	}
}

// reply is the response of a scripted service to one call.
type reply struct {
	body       string // empty: the call is rejected
	retryAfter string
}

// The replies in scripts.
var (
	listReply     = reply{body: servingList}
	noChangeReply = reply{body: noChange}
	rejectReply   = reply{}
)

// serveScript starts a service that gives each call the next reply and holds the calls after the
// last reply. After the service has sent the list, calls must be from the list's version.
func (l *rejectionLog) serveScript(t *testing.T, replies ...reply) (addr string) {
	t.Helper()
	listCall := -1 // the number of the call that got the list
	for i, reply := range replies {
		if reply == listReply {
			listCall = i + 1
			break
		}
	}
	return serve(t, func(n int, w http.ResponseWriter, req *http.Request) {
		l.recordCall()
		if from := req.URL.Query().Get("from"); listCall > 0 && n > listCall && from != "1" {
			t.Errorf("call %d requests %s", n, req.URL)
		}
		switch {
		case n > len(replies):
			<-req.Context().Done()
		case replies[n-1].body == "":
			l.reject(w, replies[n-1].retryAfter)
		default:
			answer(w, replies[n-1].body)
		}
	})
}
