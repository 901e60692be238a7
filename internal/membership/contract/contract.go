// Package contract tests that a source of lists keeps to membership.Source's contract, whatever registry it follows.
package contract

import (
	"context"
	"fernlanding/internal/membership"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

// patience is how long something may take that is to happen. Only a failing test waits for it.
const patience = 20 * time.Second

// Registry is what a source follows, in the hands of the suite.
type Registry interface {
	// Put enters backends or changes them, in one version.
	Put(...membership.Endpoint)
	// Delete takes backends out, in one version.
	Delete(names ...string)
	// Break has the registry fail in its n-th way, or is false where it has no such way.
	Break(n int) (what string, ok bool)
	// Mend ends that.
	Mend()
}

// Test runs the suite. make returns a source that has not run and its empty registry.
func Test(t *testing.T, make func(t *testing.T) (membership.Source, Registry)) {
	t.Run("order", func(t *testing.T) { order(t, make) })
	t.Run("breaks", func(t *testing.T) { breaks(t, make) })
	t.Run("end", func(t *testing.T) { end(t, make) })
}

// sink keeps what a source yields, and judges it.
type sink struct {
	t *testing.T

	mu     sync.Mutex
	in     bool
	over   bool
	first  bool
	last   int64
	all    map[string]membership.Endpoint
	news   chan struct{} // closed at the next call
	faults []string
}

func newSink(t *testing.T) *sink {
	return &sink{t: t, all: map[string]membership.Endpoint{}, news: make(chan struct{})}
}

func (s *sink) enter() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.in {
		s.faults = append(s.faults, "two calls at a time")
	}
	if s.over {
		s.faults = append(s.faults, "a call after Run has returned")
	}
	s.in = true
}

func (s *sink) leave(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
	s.in = false
	close(s.news)
	s.news = make(chan struct{})
}

// UpdateEndpoints implements membership.Sink.
func (s *sink) UpdateEndpoints(l *membership.List) {
	s.enter()
	s.leave(func() {
		if !s.first && !l.Full {
			s.faults = append(s.faults, "the first list is not whole")
		}
		if s.first && !l.Full && l.Version <= s.last {
			s.faults = append(s.faults, fmt.Sprintf("a change of version %d after %d", l.Version, s.last))
		}
		s.first, s.last = true, l.Version
		if l.Full {
			clear(s.all)
		}
		for _, e := range l.Endpoints {
			if s.all[e.Name] = e; e.Status == membership.Deleted {
				delete(s.all, e.Name)
			}
		}
	})
}

// UpdateFailed implements membership.Sink.
func (s *sink) UpdateFailed() {
	s.enter()
	s.leave(func() {})
}

// say is the list as one line.
func (s *sink) say() string {
	var words []string
	for _, name := range slices.Sorted(maps.Keys(s.all)) {
		e := s.all[name]
		words = append(words, fmt.Sprintf("%s@%s/%s/%d/%d/%g/%d", name, e.Address, e.Zone, e.Cell, e.Status, e.Weight, e.SinceMs))
	}
	return strings.Join(words, " ")
}

// until waits until the list is that of some backends.
func (s *sink) until(what string, want ...membership.Endpoint) {
	s.t.Helper()
	w := newSink(s.t)
	for _, e := range want {
		w.all[e.Name] = e
	}
	late := time.After(patience)
	for {
		s.mu.Lock()
		got, news := s.say(), s.news
		s.mu.Unlock()
		if got == w.say() {
			return
		}
		select {
		case <-news:
		case <-late:
			s.t.Fatalf("%s: the list is\n%s\nwant\n%s", what, got, w.say())
		}
	}
}

func (s *sink) check() {
	s.t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, f := range s.faults {
		s.t.Error(f)
	}
}

// run runs a source until stop, which waits until it has ended.
func run(t *testing.T, src membership.Source, s *sink) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		src.Run(ctx, s)
	}()
	stop = sync.OnceFunc(func() {
		cancel()
		select {
		case <-done:
		case <-time.After(patience):
			t.Error("Run does not return")
		}
		s.mu.Lock()
		s.over = true
		s.mu.Unlock()
	})
	t.Cleanup(stop)
	return stop
}

// one is a backend.
func one(n int) membership.Endpoint {
	return membership.Endpoint{Name: fmt.Sprintf("b%d", n), Address: fmt.Sprintf("127.0.0.1:%d", 9000+n), Zone: "a", Cell: n % 2, Weight: 1, SinceMs: int64(n)}
}

func with(e membership.Endpoint, f func(*membership.Endpoint)) membership.Endpoint {
	f(&e)
	return e
}

// order: everything that a registry says arrives, and in its order.
func order(t *testing.T, make func(t *testing.T) (membership.Source, Registry)) {
	src, reg := make(t)
	a, b, c := one(1), one(2), one(3)
	reg.Put(a, b)
	s := newSink(t)
	run(t, src, s)
	s.until("the first list", a, b)
	reg.Put(c)
	s.until("one more", a, b, c)
	drained := with(b, func(e *membership.Endpoint) { e.Status = membership.Draining })
	reg.Put(drained)
	s.until("a drain", a, drained, c)
	reg.Delete("b2")
	s.until("one less", a, c)
	again := with(b, func(e *membership.Endpoint) { e.SinceMs, e.Address = 77, "127.0.0.1:9999" })
	reg.Put(again)
	s.until("the name again, another process", a, again, c)
	moved := with(a, func(e *membership.Endpoint) { e.Zone, e.Weight = "b", 2.5 })
	reg.Put(moved)
	s.until("other figures", moved, again, c)
	for n := 10; n < 60; n++ { // a burst: each change is a version
		reg.Put(one(n))
		if n%2 == 0 {
			reg.Delete(fmt.Sprintf("b%d", n))
		}
	}
	want := []membership.Endpoint{moved, again, c}
	for n := 11; n < 60; n += 2 {
		want = append(want, one(n))
	}
	s.until("after a burst", want...)
	reg.Delete("b1", "b2", "b3")
	s.until("three in one step", want[3:]...)
	if h := src.Health(); h.Version == 0 || !h.SilentSince.IsZero() || h.Invalid != 0 {
		t.Errorf("health: %+v", h)
	}
	s.check()
}

// breaks: while a registry fails, the last list stands and the source counts as silent; what changed meanwhile is told
// afterwards, the lot.
func breaks(t *testing.T, make func(t *testing.T) (membership.Source, Registry)) {
	for n := 0; ; n++ {
		src, reg := make(t)
		what, ok := reg.Break(n)
		if !ok {
			if n == 0 {
				t.Error("a registry that can't fail")
			}
			return
		}
		reg.Mend()
		a, b, c := one(1), one(2), one(3)
		reg.Put(a, b)
		s := newSink(t)
		stop := run(t, src, s)
		s.until(what+": the first list", a, b)
		reg.Break(n)
		late := time.Now().Add(patience)
		for src.Health().SilentSince.IsZero() && time.Now().Before(late) {
			time.Sleep(time.Millisecond) // health has no channel
		}
		h := src.Health()
		if h.SilentSince.IsZero() || h.Age(time.Now()) <= 0 {
			t.Errorf("%s: the source does not count as silent: %+v", what, h)
		}
		s.mu.Lock()
		stands := s.say()
		s.mu.Unlock()
		if w := newSink(t); true {
			w.all["b1"], w.all["b2"] = a, b
			if stands != w.say() {
				t.Errorf("%s: the list is %s", what, stands)
			}
		}
		reg.Mend()
		drained := with(a, func(e *membership.Endpoint) { e.Status = membership.Draining })
		reg.Put(drained, c)
		reg.Delete("b2")
		s.until(what+": afterwards", drained, c)
		stop()
		s.check()
	}
}

// end: a source ends with its context, before its first list too, and yields nothing afterwards.
func end(t *testing.T, make func(t *testing.T) (membership.Source, Registry)) {
	src, reg := make(t)
	reg.Break(0)
	s := newSink(t)
	run(t, src, s)()
	src, reg = make(t)
	reg.Put(one(1))
	s2 := newSink(t)
	stop := run(t, src, s2)
	s2.until("the first list", one(1))
	stop()
	reg.Put(one(2))
	s.check()
	s2.check()
}
