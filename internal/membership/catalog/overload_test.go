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
	overloadTimeout  = 500 * time.Millisecond  // after which a call that waits is rejected
	overloadMaxQueue = 1250 * time.Millisecond // beyond which a call is rejected at once
	// maxRejectionsPerClient bounds the calls that may be rejected for each client until all are
	// answered. Clients that come back within the queue's length make some ten a second each, for
	// ever.
	maxRejectionsPerClient = 12
)

// overloadedService works off new watches in turn. It works on a call that it has rejected for its
// wait as on any other, as a service does that notices too late that nobody waits. Watches that go
// on cost it nothing.
type overloadedService struct {
	mu                sync.Mutex
	busyUntil         time.Time
	rejections        int
	tooManyRejections chan struct{} // closed once more calls have been rejected than is allowed
}

// enqueue takes a call into the queue, where it is short enough, and returns how long it will wait.
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

// newResumingClient returns a client that begins with a list of version 0.
func newResumingClient(addr string, seed uint64) *Client {
	requests := make(chan struct{}, 1)
	requests <- struct{}{}
	return New(Config{
		Address: addr, OnDemand: true, AwaitFirstRequest: true, KnownVersion: 0, WatchRequested: requests,
		Rand: rand.New(rand.NewPCG(seed, 1)), Log: slog.New(slog.DiscardHandler),
	})
}

// Clients that start together before a service that can't take all their calls at once leave it the
// time to work off its queue, and all of them are answered. Where they come back sooner than that,
// its queue stays longer than calls may wait, and nobody is answered any more.
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
			t.Fatalf("%d of %d clients are answered, and %d calls were rejected",
				answered, overloadClients, maxRejectionsPerClient*overloadClients)
		}
	}
}
