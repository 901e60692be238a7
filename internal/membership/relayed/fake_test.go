package relayed

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"fernlanding/internal/distribution"
	"fernlanding/internal/distribution/follow"
	"fernlanding/internal/membership"
)

// timeout is how long a test waits for an expected event. Only a failing test waits that long.
const timeout = 20 * time.Second

// subscription is a subscription at a fakeFollower.
type subscription struct {
	resource   string
	has        distribution.Version
	subscriber follow.Subscriber
}

// fakeFollower is a Follower that a test controls.
type fakeFollower struct {
	subscribed chan subscription
	canceled   chan string // resources

	mu     sync.Mutex
	health follow.Health
}

func newFakeFollower() *fakeFollower {
	return &fakeFollower{
		subscribed: make(chan subscription, 10), canceled: make(chan string, 10),
		health: follow.Health{LastResponse: time.Now()},
	}
}

func (f *fakeFollower) Subscribe(
	resource string, has distribution.Version, subscriber follow.Subscriber,
) (cancel func()) {
	f.subscribed <- subscription{resource: resource, has: has, subscriber: subscriber}
	return func() { f.canceled <- resource }
}

func (f *fakeFollower) Health() follow.Health {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.health
}

func (f *fakeFollower) setHealth(health follow.Health) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.health = health
}

// sink records each list that it receives as one line of its version, "full" for a full list, and
// the names. "~" follows a draining endpoint, "-" a deleted one.
type sink struct {
	lists    chan string
	failures chan struct{}
}

func newSink() *sink { return &sink{lists: make(chan string, 10), failures: make(chan struct{}, 10)} }

func (s *sink) UpdateEndpoints(list *membership.List) {
	words := []string{fmt.Sprint(list.Version)}
	if list.Full {
		words = append(words, "full")
	}
	for _, e := range list.Endpoints {
		words = append(words, e.Name+[...]string{"", "~", "-"}[e.Status])
	}
	s.lists <- strings.Join(words, " ")
}

func (s *sink) UpdateFailed() { s.failures <- struct{}{} }

// next returns the next value of a channel, or fails the test after timeout.
func next[T any](t *testing.T, what string, values <-chan T) T {
	t.Helper()
	select {
	case value := <-values:
		return value
	case <-time.After(timeout):
		t.Fatalf("no %s within the timeout", what)
		panic("unreachable")
	}
}

func (s *sink) expect(t *testing.T, want string) {
	t.Helper()
	if got := next(t, "list", s.lists); got != want {
		t.Errorf("got list %q, want %q", got, want)
	}
}

func (s *sink) expectNothing(t *testing.T) {
	t.Helper()
	select {
	case got := <-s.lists:
		t.Errorf("got list %q, want none", got)
	default:
	}
}

// run starts a source and returns after the source has added the sink. Stop ends the source and
// waits until it has returned.
func run(t *testing.T, source *Source, sink membership.Sink) (stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		source.Run(ctx, sink)
	}()
	stop = sync.OnceFunc(func() {
		cancel()
		next(t, "end of Run", done)
	})
	t.Cleanup(stop)
	deadline := time.Now().Add(timeout)
	for !source.list.hasSink(sink) {
		if time.Now().After(deadline) {
			t.Fatal("the source has not added the sink")
		}
		time.Sleep(time.Millisecond) // polling, since there is no notification of added sinks
	}
	return stop
}

// hasSink reports whether the list has the sink.
func (l *followedList) hasSink(sink membership.Sink) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Contains(l.sinks, sink)
}

func version(revision uint64) distribution.Version {
	return distribution.Version{Epoch: 1, Revision: revision}
}

func item(name string) distribution.Item {
	return distribution.Item{Key: name, Value: json.RawMessage(`{"address":"127.0.0.1:9000"}`)}
}

func drainingItem(name string) distribution.Item {
	value := json.RawMessage(`{"address":"127.0.0.1:9000","status":"draining"}`)
	return distribution.Item{Key: name, Value: value, Urgent: true}
}

// deletedA returns an item that deletes the item "a".
func deletedA() distribution.Item {
	return distribution.Item{Key: "a", Deleted: true, Urgent: true}
}

func invalidItem(name string) distribution.Item {
	return distribution.Item{Key: name, Value: json.RawMessage(`{"address":7}`)}
}

func full(to uint64, items ...distribution.Item) distribution.Update {
	return distribution.Update{Resource: "lists/s", Version: version(to), Items: items}
}

func delta(from, to uint64, items ...distribution.Item) distribution.Update {
	return distribution.Update{Resource: "lists/s", From: version(from), Version: version(to), Items: items}
}

// newLists returns a Lists and its follower.
func newLists() (*Lists, *fakeFollower) {
	lists, follower := NewLists(slog.New(slog.DiscardHandler)), newFakeFollower()
	lists.SetFollower(follower)
	return lists, follower
}

func apply(t *testing.T, subscriber follow.Subscriber, updates ...distribution.Update) {
	t.Helper()
	for _, update := range updates {
		if err := subscriber.ApplyUpdate(update); err != nil {
			t.Errorf("apply version %s: %v", update.Version, err)
		}
	}
}
