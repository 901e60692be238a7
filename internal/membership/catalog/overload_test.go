package catalog

import (
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	overloadClients  = 100
	overloadCallCost = 20 * time.Millisecond
	overloadTimeout  = 500 * time.Millisecond  // wait after which a queued call is rejected
	overloadMaxQueue = 1250 * time.Millisecond // wait above which a call is rejected at once
	// maxRejectionsPerClient bounds the rejected calls per client until all clients are answered.
	// Clients that return within the length of the queue make about ten calls a second each,
	// without end.
	maxRejectionsPerClient = 12
)

// overloadedService processes new watches in order. It also processes a call that it has rejected
// for its wait, like a service that notices too late that the caller is gone. Open watches cost it
// nothing.
type overloadedService struct {
	mu                sync.Mutex
	busyUntil         time.Time
	rejections        int
	tooManyRejections chan struct{} // closed once the allowed number of calls has been rejected
}

// enqueue adds a call to the queue if the queue is short enough, and returns the wait of the call.
func (s *overloadedService) enqueue() (wait time.Duration, accepted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.busyUntil.Before(now) {
		s.busyUntil = now
	}
	wait = s.busyUntil.Add(overloadCallCost).Sub(now)
	if wait > overloadMaxQueue {
		return 0, false
	}
	s.busyUntil = now.Add(wait)
	return wait, true
}

func (s *overloadedService) reject(w http.ResponseWriter) {
	s.mu.Lock()
	s.rejections++
	if s.rejections == maxRejectionsPerClient*overloadClients {
		close(s.tooManyRejections)
	}
	s.mu.Unlock()
	w.WriteHeader(http.StatusServiceUnavailable)
}

func (s *overloadedService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Get("from") != "0" {
		<-r.Context().Done()
		return
	}
	wait, accepted := s.enqueue()
	if accepted {
		select {
		case <-time.After(min(wait, overloadTimeout)):
		case <-r.Context().Done():
			return
		}
	}
	if !accepted || wait > overloadTimeout {
		s.reject(w)
		return
	}
	answer(w, noChange)
}

// newResumingClient returns a client that starts with a list of version 0.
func newResumingClient(addr string, seed uint64) *Client {
	requests := make(chan struct{}, 1)
	requests <- struct{}{}
	return New(Config{
		Address: addr, OnDemand: true, AwaitFirstRequest: true, KnownVersion: 0, WatchRequested: requests,
		Rand: rand.New(rand.NewPCG(seed, 1)), Log: slog.New(slog.DiscardHandler),
	})
}

// A service can't process the calls of all clients that start together at once. Clients that back
// off leave the service time to shorten its queue, and all of them are answered. If clients
// returned sooner, the queue would stay longer than the allowed wait, and no client would be
// answered.
func TestClientsOfAnOverloadedServiceAreAllAnswered(t *testing.T) {
	t.Parallel()
	service := &overloadedService{tooManyRejections: make(chan struct{})}
	server := httptest.NewServer(service)
	t.Cleanup(server.Close)
	lists := make(listSink, overloadClients)
	for seed := range uint64(overloadClients) {
		run(t, newResumingClient(strings.TrimPrefix(server.URL, "http://"), seed), lists)
	}
	for answered := range overloadClients {
		select {
		case <-lists:
		case <-service.tooManyRejections:
			t.Fatalf("%d of %d clients were answered before %d calls were rejected",
				answered, overloadClients, maxRejectionsPerClient*overloadClients)
		}
	}
}
