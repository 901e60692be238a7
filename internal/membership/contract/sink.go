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

// recordingSink records the list of a source, and the source's violations of the contract.
type recordingSink struct {
	t *testing.T

	mu         sync.Mutex
	inCall     bool
	ended      bool // Run has returned
	hasList    bool
	version    int64
	endpoints  map[string]membership.Endpoint // by name
	changed    chan struct{}                  // closed at the end of the next call
	violations []string
}

func newRecordingSink(t *testing.T) *recordingSink {
	t.Helper()
	return &recordingSink{t: t, endpoints: map[string]membership.Endpoint{}, changed: make(chan struct{})}
}

// beginCall begins a call. The lock is not held during the call, so that concurrent calls are
// detected.
func (s *recordingSink) beginCall() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inCall {
		s.violations = append(s.violations, "concurrent calls of the sink")
	}
	if s.ended {
		s.violations = append(s.violations, "call of the sink after Run has returned")
	}
	s.inCall = true
}

// endCall applies update and ends a call.
func (s *recordingSink) endCall(update func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	update()
	s.inCall = false
	close(s.changed)
	s.changed = make(chan struct{})
}

// UpdateEndpoints implements membership.Sink.
func (s *recordingSink) UpdateEndpoints(list *membership.List) {
	s.beginCall()
	s.endCall(func() {
		if !s.hasList && !list.Full {
			s.violations = append(s.violations, "first list is not full")
		}
		if s.hasList && !list.Full && list.Version <= s.version {
			s.violations = append(s.violations, fmt.Sprintf("delta of version %d after %d", list.Version, s.version))
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
	s.beginCall()
	s.endCall(func() {})
}

// markEnded records that Run has returned.
func (s *recordingSink) markEnded() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
}

// list returns the list formatted by format.
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

// waitFor waits until the list has exactly the given endpoints.
func (s *recordingSink) waitFor(what string, want ...membership.Endpoint) {
	s.t.Helper()
	deadline := time.After(timeout)
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
		case <-deadline:
			s.t.Fatalf("%s: the list is\n%s\nwant\n%s", what, got, format(want...))
		}
	}
}

// check fails the test for each violation of the contract.
func (s *recordingSink) check() {
	s.t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, violation := range s.violations {
		s.t.Error(violation)
	}
}
