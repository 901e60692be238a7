package contract

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"fernlanding/internal/membership"
)

// recordingSink keeps the list that a source yields, and the breaches of the contract.
type recordingSink struct {
	t *testing.T

	mu        sync.Mutex
	inCall    bool
	ended     bool // Run has returned
	hasList   bool
	version   int64
	endpoints map[string]membership.Endpoint // by name
	changed   chan struct{}                  // closed at the end of the next call
	breaches  []string
}

func newRecordingSink(t *testing.T) *recordingSink {
	t.Helper()
	return &recordingSink{t: t, endpoints: map[string]membership.Endpoint{}, changed: make(chan struct{})}
}

// enter begins a call. The lock is not held during a call, so that concurrent ones show.
func (s *recordingSink) enter() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inCall {
		s.breaches = append(s.breaches, "two calls at a time")
	}
	if s.ended {
		s.breaches = append(s.breaches, "a call after Run has returned")
	}
	s.inCall = true
}

// leave ends a call with what it does.
func (s *recordingSink) leave(update func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	update()
	s.inCall = false
	close(s.changed)
	s.changed = make(chan struct{})
}

// UpdateEndpoints implements membership.Sink.
func (s *recordingSink) UpdateEndpoints(list *membership.List) {
	s.enter()
	s.leave(func() {
		if !s.hasList && !list.Full {
			s.breaches = append(s.breaches, "the first list is not full")
		}
		if s.hasList && !list.Full && list.Version <= s.version {
			s.breaches = append(s.breaches, fmt.Sprintf("a delta of version %d after %d", list.Version, s.version))
		}
		s.hasList, s.version = true, list.Version
		if list.Full {
			clear(s.endpoints)
		}
		for _, e := range list.Endpoints {
			if e.Status == membership.Deleted {
				delete(s.endpoints, e.Name)
			} else {
				s.endpoints[e.Name] = e
			}
		}
	})
}

// UpdateFailed implements membership.Sink.
func (s *recordingSink) UpdateFailed() {
	s.enter()
	s.leave(func() {})
}

// end notes that Run has returned.
func (s *recordingSink) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
}

// list returns the list as one line.
func (s *recordingSink) list() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return format(slices.Collect(maps.Values(s.endpoints))...)
}

// format returns endpoints as one line, ordered by name.
func format(endpoints ...membership.Endpoint) string {
	sorted := slices.SortedFunc(slices.Values(endpoints), func(a, b membership.Endpoint) int {
		return strings.Compare(a.Name, b.Name)
	})
	var words []string
	for _, e := range sorted {
		words = append(words, fmt.Sprintf("%s@%s/%s/%d/%d/%g/%d",
			e.Name, e.Address, e.Zone, e.Cell, e.Status, e.Weight, e.StartedMs))
	}
	return strings.Join(words, " ")
}

// waitFor waits until the list has some endpoints and no others.
func (s *recordingSink) waitFor(what string, want ...membership.Endpoint) {
	s.t.Helper()
	late := time.After(timeout)
	for {
		s.mu.Lock()
		changed := s.changed
		s.mu.Unlock()
		got := s.list() // a later change closes the channel
		if got == format(want...) {
			return
		}
		select {
		case <-changed:
		case <-late:
			s.t.Fatalf("%s: the list is\n%s\nwant\n%s", what, got, format(want...))
		}
	}
}

// check fails the test for each breach of the contract.
func (s *recordingSink) check() {
	s.t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, breach := range s.breaches {
		s.t.Error(breach)
	}
}
