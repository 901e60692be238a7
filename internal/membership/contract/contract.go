// Package contract is the test suite for the contract of membership.Source. It applies to sources
// of every kind of registry.
package contract

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"fernlanding/internal/membership"
)

// timeout is how long the suite waits for an expected event. Only a failing test waits that long.
const timeout = 20 * time.Second

// Registry is the registry that a source under test follows. The suite controls it.
type Registry interface {
	// Put adds or changes endpoints in one version.
	Put(...membership.Endpoint)
	// Delete removes endpoints in one version.
	Delete(names ...string)
	// InjectFault makes the registry fail with its n-th fault and returns a description of the
	// fault. If there is no n-th fault, ok is false.
	InjectFault(n int) (what string, ok bool)
	// ClearFault ends the fault.
	ClearFault()
}

// NewSource returns a source that has not run yet, and the empty registry that it follows.
type NewSource func(t *testing.T) (membership.Source, Registry)

// Test runs the suite.
func Test(t *testing.T, newSource NewSource) {
	t.Helper()
	t.Run("order", func(t *testing.T) { testOrder(t, newSource) })
	t.Run("breaks", func(t *testing.T) { testFaults(t, newSource) })
	t.Run("end", func(t *testing.T) { testEnd(t, newSource) })
}

// run starts a source. The returned function stop ends the source and waits until Run has returned.
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
			t.Error("Run does not return after its context has ended")
		}
		sink.markEnded()
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

// draining returns a copy of an endpoint with the status Draining.
func draining(e membership.Endpoint) membership.Endpoint {
	e.Status = membership.Draining
	return e
}

// testOrder tests that all changes of a registry arrive in order.
func testOrder(t *testing.T, newSource NewSource) {
	t.Helper()
	source, registry := newSource(t)
	a, b, c := endpoint(1), endpoint(2), endpoint(3)
	registry.Put(a, b)
	sink := newRecordingSink(t)
	run(t, source, sink)
	sink.waitFor("the first list", a, b)
	registry.Put(c)
	sink.waitFor("an added endpoint", a, b, c)
	registry.Put(draining(b))
	sink.waitFor("a draining endpoint", a, draining(b), c)
	registry.Delete("b2")
	sink.waitFor("a deleted endpoint", a, c)
	restarted := b
	restarted.StartedMs, restarted.Address = 77, "127.0.0.1:9999"
	registry.Put(restarted)
	sink.waitFor("a new process with a deleted name", a, restarted, c)
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
	sink.waitFor("three deletions in one version", want[3:]...)
	if h := source.Health(); h.Version == 0 || !h.SilentSince.IsZero() || h.Invalid != 0 {
		t.Errorf("health is %+v", h)
	}
	sink.check()
}

// testFaults tests each fault of a registry.
func testFaults(t *testing.T, newSource NewSource) {
	t.Helper()
	for n := 0; ; n++ {
		source, registry := newSource(t)
		what, ok := registry.InjectFault(n)
		if !ok {
			if n == 0 {
				t.Error("the registry has no faults")
			}
			return
		}
		registry.ClearFault()
		testFault(t, what, source, registry, n)
	}
}

// testFault tests the n-th fault of a registry. During the fault, the last list stays in use and
// the source counts as silent. After the fault, all changes made meanwhile arrive.
func testFault(t *testing.T, what string, source membership.Source, registry Registry, n int) {
	t.Helper()
	a, b, c := endpoint(1), endpoint(2), endpoint(3)
	registry.Put(a, b)
	sink := newRecordingSink(t)
	stop := run(t, source, sink)
	sink.waitFor(what+": the first list", a, b)
	registry.InjectFault(n)
	deadline := time.Now().Add(timeout)
	for source.Health().SilentSince.IsZero() && time.Now().Before(deadline) {
		time.Sleep(time.Millisecond) // polling, since there is no notification of health
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

// testEnd tests that a source ends with its context, even before its first list, and does not call
// its sink afterwards.
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
