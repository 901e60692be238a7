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

// timeout is how long a test waits for what must happen. Only a failing test waits for it.
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

// sink records each list that it is notified of as one line: its version, "full", and the names;
// "~" follows a draining endpoint, "-" a deleted first.
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

// next returns what must come from a channel.
func next[T any](t *testing.T, what string, values <-chan T) T {
	t.Helper()
	select {
	case value := <-values:
		return value
	case <-time.After(timeout):
		t.Fatalf("no %s", what)
		panic("unreachable")
	}
}

func (s *sink) expect(t *testing.T, want string) {
	t.Helper()
	if got := next(t, "list", s.lists); got != want {
		t.Errorf("notified of %q, want %q", got, want)
	}
}

func (s *sink) expectNothing(t *testing.T) {
	t.Helper()
	select {
	case got := <-s.lists:
		t.Errorf("notified of %q, want nothing", got)
	default:
	}
}

// run runs a source until stop, which waits until it has ended. It returns once the sink is
// notified of the list.
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
			t.Fatal("the sink is not notified")
		}
		time.Sleep(time.Millisecond) // it has no channel
	}
	return stop
}

// hasSink reports whether a sink is notified of the list.
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

// deletedA deletes the item "a".
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

// newLists returns the lists of a process, and the follower that follows them.
func newLists() (*Lists, *fakeFollower) {
	lists, follower := NewLists(slog.New(slog.DiscardHandler)), newFakeFollower()
	lists.SetFollower(follower)
	return lists, follower
}

func apply(t *testing.T, subscriber follow.Subscriber, updates ...distribution.Update) {
	t.Helper()
	for _, update := range updates {
		if err := subscriber.ApplyUpdate(update); err != nil {
			t.Errorf("%s: %v", update.Version, err)
		}
	}
}
