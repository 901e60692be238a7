// Package contract is the test suite of the contract of membership.Source, whatever registry a
// source follows.
package contract

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"fernlanding/internal/membership"
)

// timeout is how long the suite waits for what must happen. Only a failing test waits for it.
const timeout = 20 * time.Second

// Registry is the registry that a source under test follows, controlled by the suite.
type Registry interface {
	// Put adds or changes endpoints, in one version.
	Put(...membership.Endpoint)
	// Delete removes endpoints, in one version.
	Delete(names ...string)
	// InjectFault has the registry fail in its n-th way, and returns that in words; ok is false where it
	// has no such way.
	InjectFault(n int) (what string, ok bool)
	// ClearFault ends the failure.
	ClearFault()
}

// NewSource returns a source that has not run, and its empty registry.
type NewSource func(t *testing.T) (membership.Source, Registry)

// Test runs the suite.
func Test(t *testing.T, newSource NewSource) {
	t.Helper()
	t.Run("order", func(t *testing.T) { testOrder(t, newSource) })
	t.Run("breaks", func(t *testing.T) { testBreaks(t, newSource) })
	t.Run("end", func(t *testing.T) { testEnd(t, newSource) })
}

// run runs a source until stop, which waits until it has ended.
func run(t *testing.T, source membership.Source, sink *recordingSink) (stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		source.Run(ctx, sink)
	}()
	stop = sync.OnceFunc(func() {
		cancel()
		select {
		case <-done:
		case <-time.After(timeout):
			t.Error("Run does not return")
		}
		sink.end()
	})
	t.Cleanup(stop)
	return stop
}

// endpoint returns the n-th endpoint.
func endpoint(n int) membership.Endpoint {
	return membership.Endpoint{
		Name: fmt.Sprintf("b%d", n), Address: fmt.Sprintf("127.0.0.1:%d", 9000+n),
		Zone: "a", Cell: n % 2, Weight: 1, StartedMs: int64(n),
	}
}

// draining returns an endpoint as one that drains.
func draining(e membership.Endpoint) membership.Endpoint {
	e.Status = membership.Draining
	return e
}

// testOrder tests that everything that a registry says arrives, in its order.
func testOrder(t *testing.T, newSource NewSource) {
	t.Helper()
	source, registry := newSource(t)
	a, b, c := endpoint(1), endpoint(2), endpoint(3)
	registry.Put(a, b)
	sink := newRecordingSink(t)
	run(t, source, sink)
	sink.waitFor("the first list", a, b)
	registry.Put(c)
	sink.waitFor("one more", a, b, c)
	registry.Put(draining(b))
	sink.waitFor("a drain", a, draining(b), c)
	registry.Delete("b2")
	sink.waitFor("one less", a, c)
	restarted := b
	restarted.StartedMs, restarted.Address = 77, "127.0.0.1:9999"
	registry.Put(restarted)
	sink.waitFor("the name again, another process", a, restarted, c)
	moved := a
	moved.Zone, moved.Weight = "b", 2.5
	registry.Put(moved)
	sink.waitFor("another zone and weight", moved, restarted, c)
	for n := 10; n < 60; n++ { // a burst: each change is a version
		registry.Put(endpoint(n))
		if n%2 == 0 {
			registry.Delete(fmt.Sprintf("b%d", n))
		}
	}
	want := []membership.Endpoint{moved, restarted, c}
	for n := 11; n < 60; n += 2 {
		want = append(want, endpoint(n))
	}
	sink.waitFor("after a burst", want...)
	registry.Delete("b1", "b2", "b3")
	sink.waitFor("three in one step", want[3:]...)
	if h := source.Health(); h.Version == 0 || !h.SilentSince.IsZero() || h.Invalid != 0 {
		t.Errorf("health: %+v", h)
	}
	sink.check()
}

// testBreaks tests each way in which a registry fails.
func testBreaks(t *testing.T, newSource NewSource) {
	t.Helper()
	for n := 0; ; n++ {
		source, registry := newSource(t)
		what, ok := registry.InjectFault(n)
		if !ok {
			if n == 0 {
				t.Error("a registry that can't fail")
			}
			return
		}
		registry.ClearFault()
		testBreak(t, what, source, registry, n)
	}
}

// testBreak tests that while a registry fails in its n-th way, the last list stands and the source
// counts as silent, and that what changed meanwhile arrives afterwards, all of it.
func testBreak(t *testing.T, what string, source membership.Source, registry Registry, n int) {
	t.Helper()
	a, b, c := endpoint(1), endpoint(2), endpoint(3)
	registry.Put(a, b)
	sink := newRecordingSink(t)
	stop := run(t, source, sink)
	sink.waitFor(what+": the first list", a, b)
	registry.InjectFault(n)
	deadline := time.Now().Add(timeout)
	for source.Health().SilentSince.IsZero() && time.Now().Before(deadline) {
		time.Sleep(time.Millisecond) // health has no channel
	}
	if h := source.Health(); h.SilentSince.IsZero() || h.Age(time.Now()) <= 0 {
		t.Errorf("%s: the source does not count as silent: %+v", what, h)
	}
	if list := sink.list(); list != format(a, b) {
		t.Errorf("%s: the list is %s", what, list)
	}
	registry.ClearFault()
	registry.Put(draining(a), c)
	registry.Delete("b2")
	sink.waitFor(what+": afterwards", draining(a), c)
	stop()
	sink.check()
}

// testEnd tests that a source ends with its context, before its first list too, and calls its sink
// no more.
func testEnd(t *testing.T, newSource NewSource) {
	t.Helper()
	source, registry := newSource(t)
	registry.InjectFault(0)
	sinkWithoutList := newRecordingSink(t)
	stop := run(t, source, sinkWithoutList)
	stop()
	source, registry = newSource(t)
	registry.Put(endpoint(1))
	sink := newRecordingSink(t)
	stop = run(t, source, sink)
	sink.waitFor("the first list", endpoint(1))
	stop()
	registry.Put(endpoint(2))
	sinkWithoutList.check()
	sink.check()
}
