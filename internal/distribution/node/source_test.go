package node

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"

	"fernlanding/internal/distribution"
	"fernlanding/internal/distribution/httpapi"
	"fernlanding/internal/distribution/statedir"
)

// After a restart a source has its resources with the same versions, and further writes have a
// later epoch.
func TestSourceRestart(t *testing.T) {
	dir := t.TempDir()
	source := startSource(t, dir, "")
	relay := startRelay(t, "relay", "", source.address)
	p := startProxy(t, "p1", relay.address)
	before := put(t, source.address, item("b1", "1"))
	p.awaitVersion(before)
	source.kill()
	p.awaitSourceAge(relay)
	source = startSource(t, dir, source.address)
	if v := source.store.Version(resource); v != before {
		t.Errorf("after the restart: got version %v, want %v", v, before)
	}
	after := put(t, source.address, item("b1", "2"))
	if after.Epoch <= before.Epoch || after.Revision <= before.Revision {
		t.Errorf("write after the restart: got version %v, want a later epoch and revision than %v", after, before)
	}
	p.awaitVersion(after)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.snapshots != 1 || p.deltas != 1 {
		t.Errorf("got %d snapshots and %d deltas, want 1 and 1", p.snapshots, p.deltas)
	}
}

// A source fails after a write is durable and before it responds. After the restart the source has
// the write, and a publisher that retries with the version expected before receives a conflict.
func TestSourceFailsAfterPersist(t *testing.T) {
	dir := t.TempDir()
	d, err := statedir.Open(dir, 1)
	if err != nil {
		t.Fatal(err)
	}
	errDied := errors.New("died")
	n := New(Config{Name: "source", Epoch: d.Epoch(), Persist: func(u *distribution.Update) error {
		if err := d.Save(u); err != nil || u.Resource == resource {
			return err
		}
		return errDied
	}})
	source := serve(t, n, n, "")
	source.state = d
	p := startProxy(t, "p1", source.address)
	put(t, source.address, item("b1", "1"))
	c := httpapi.NewClient(nil)
	defer c.Close()
	second := &distribution.PutRequest{
		Resource: "service-b",
		Expected: &distribution.Version{},
		Items:    []distribution.Item{item("b1", "1")},
	}
	_, err = c.Put(context.Background(), source.address, second)
	if err == nil || !strings.Contains(err.Error(), "died") {
		t.Errorf("got error %v, want the error of Persist", err)
	}
	if source.store.Version("service-b") != (distribution.Version{}) {
		t.Error("a failed write is in force")
	}
	source.kill()
	source = startSource(t, dir, source.address)
	c.Close() // the connection to the old process is broken
	var conflict *distribution.ConflictError
	_, err = c.Put(context.Background(), source.address, second)
	if !errors.As(err, &conflict) || conflict.Found.IsZero() {
		t.Errorf("got error %v, want a conflict with the durable write", err)
	}
	p.awaitVersion(put(t, source.address, item("b1", "2")))
}

// Of two writes that expect the same version exactly one succeeds. A relay rejects all writes.
func TestConditionalPut(t *testing.T) {
	source := startSource(t, t.TempDir(), "")
	relay := startRelay(t, "relay", "", source.address)
	c := httpapi.NewClient(nil)
	defer c.Close()
	v := put(t, source.address, item("b1", "1"))
	results := make(chan error)
	for i := range 2 {
		go func() {
			_, err := c.Put(context.Background(), source.address, &distribution.PutRequest{
				Resource: resource,
				Expected: &v,
				Items:    []distribution.Item{item("b1", fmt.Sprint("by ", i))},
			})
			results <- err
		}()
	}
	first, second := <-results, <-results
	if first != nil {
		first, second = second, first
	}
	var conflict *distribution.ConflictError
	if first != nil || !errors.As(second, &conflict) {
		t.Fatalf("got errors %v and %v, want one conflict", first, second)
	}
	if conflict.Expected != v || conflict.Found != source.store.Version(resource) {
		t.Errorf("got conflict %v", conflict)
	}
	_, err := c.Put(context.Background(), relay.address, &distribution.PutRequest{Resource: resource})
	if err == nil || !strings.Contains(err.Error(), "not the source") {
		t.Errorf("write at a relay: got error %v, want not the source", err)
	}
}

// At the limit on sessions or on reads that open one, a node rejects followers with a Retry-After.
func TestTooManySessions(t *testing.T) {
	limits := distribution.DefaultSessionLimits()
	limits.Sessions = 1
	n := New(Config{Name: "source", Limits: limits, Persist: func(*distribution.Update) error { return nil }})
	source := serve(t, n, n, "")
	startProxy(t, "p1", source.address).awaitAnswer()
	c := httpapi.NewClient(nil)
	defer c.Close()
	open := &distribution.FollowRequest{Follower: "p2", Kind: distribution.KindProxy, HoldMs: 100}
	_, err := c.Follow(context.Background(), source.address, open)
	var overloaded *httpapi.OverloadedError
	if !errors.As(err, &overloaded) || overloaded.RetryAfter != sessionRetryAfter {
		t.Errorf("too many sessions: got error %v, want Retry-After %v", err, sessionRetryAfter)
	}
	for range maxOpeningReads {
		n.openingReads <- struct{}{}
	}
	open.Follower = "p1"
	_, err = c.Follow(context.Background(), source.address, open)
	if !errors.As(err, &overloaded) || overloaded.RetryAfter != openingRetryAfter {
		t.Errorf("too many opening reads: got error %v, want Retry-After %v", err, openingRetryAfter)
	}
}
