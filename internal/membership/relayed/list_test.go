package relayed

import (
	"context"
	"encoding/json"
	"errors"
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
		health: follow.Health{LastAnswer: time.Now()},
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

// Sinks are notified of full lists and deltas as such, numbered by the source's own count; an
// invalid entry is left out, and one that was valid before drains.
func TestSinkIsNotifiedOfUpdates(t *testing.T) {
	lists, follower := newLists()
	source, sink := NewSource(lists, "s"), newSink()
	run(t, source, sink)
	sub := next(t, "subscription", follower.subscribed)
	if sub.resource != "lists/s" || !sub.has.IsZero() {
		t.Fatalf("subscribed to %+v", sub)
	}
	apply(t, sub.subscriber, full(7, item("a"), item("b"), invalidItem("c")))
	sink.expect(t, "1 full a b")
	apply(t, sub.subscriber,
		delta(7, 9, item("d"), drainingItem("a")), delta(9, 20, deletedA(), invalidItem("b")))
	sink.expect(t, "2 a~ d")
	sink.expect(t, "3 a- b~")
	if health := source.Health(); health != (membership.Health{Version: 3, Invalid: 2}) {
		t.Errorf("health %+v", health)
	}
	apply(t, sub.subscriber, full(21, item("d")))
	sink.expect(t, "4 full d")
	apply(t, sub.subscriber, full(22))
	sink.expect(t, "5 full")
}

// An update that is invalid as a whole is rejected with its reason, and changes nothing; what
// follows is applied.
func TestInvalidUpdatesAreRejected(t *testing.T) {
	lists, follower := newLists()
	source, sink := NewSource(lists, "s"), newSink()
	run(t, source, sink)
	sub := next(t, "subscription", follower.subscribed)
	apply(t, sub.subscriber, full(7, item("a"), item("b")))
	sink.expect(t, "1 full a b")
	other := full(8, item("a"))
	other.Resource = "lists/t"
	for _, test := range []struct {
		update distribution.Update
		want   error
	}{
		{full(7, item("c")), errVersion},
		{delta(7, 6, item("c")), errVersion},
		{delta(6, 8, item("c")), errBase},
		{other, errResource},
		{full(8, deletedA()), errDeleted},
		{full(8, invalidItem("a"), invalidItem("b")), errNoValidEntry},
	} {
		if err := sub.subscriber.ApplyUpdate(test.update); !errors.Is(err, test.want) {
			t.Errorf("%+v: %v, want %v", test.update, err, test.want)
		}
		sink.expectNothing(t)
	}
	if health := source.Health(); health.Rejected != 6 || health.SilentSince.IsZero() || health.Version != 1 {
		t.Errorf("health %+v", health)
	}
	apply(t, sub.subscriber, delta(7, 9, deletedA()))
	sink.expect(t, "2 a-")
	if health := source.Health(); !health.SilentSince.IsZero() {
		t.Errorf("health %+v", health)
	}
}

// Sources of one list share a subscription. One that comes later is notified of the list as it
// stands, and the subscription ends with the last of them.
func TestSourcesShareASubscription(t *testing.T) {
	lists, follower := newLists()
	first, second := newSink(), newSink()
	stopFirst := run(t, NewSource(lists, "s"), first)
	sub := next(t, "subscription", follower.subscribed)
	apply(t, sub.subscriber, full(7, item("a")), delta(7, 8, item("b")))
	first.expect(t, "1 full a")
	first.expect(t, "2 b")
	stopSecond := run(t, NewSource(lists, "s"), second)
	second.expect(t, "2 full a b")
	later := NewSource(lists, "s") // made before the others end, run after
	apply(t, sub.subscriber, delta(8, 9, drainingItem("a")))
	first.expect(t, "3 a~")
	second.expect(t, "3 a~")
	stopFirst()
	apply(t, sub.subscriber, delta(9, 10, deletedA()))
	second.expect(t, "4 a-")
	sub.subscriber.UpdateFailed()
	next(t, "failure", second.failures)
	first.expectNothing(t)
	stopSecond()
	apply(t, sub.subscriber, delta(10, 11, item("c")))
	third := newSink()
	stopThird := run(t, later, third)
	third.expect(t, "5 full b c")
	stopThird()
	next(t, "cancel of the subscription", follower.canceled)
	apply(t, sub.subscriber, delta(11, 12, item("d"))) // sent before the subscription ended
	second.expectNothing(t)
	third.expectNothing(t)
	if len(follower.subscribed) > 0 || len(follower.canceled) > 0 || len(first.failures) > 0 {
		t.Error("another subscription, another cancel, or a failure to a source that has ended")
	}
}

// Another follower resumes from the version in force, and the count of lists goes on with it.
func TestAnotherFollowerResumes(t *testing.T) {
	lists, follower := newLists()
	source, sink := NewSource(lists, "s"), newSink()
	run(t, source, sink)
	apply(t, next(t, "subscription", follower.subscribed).subscriber, full(7, item("a")))
	sink.expect(t, "1 full a")
	lists.SetFollower(nil)
	next(t, "cancel of the subscription", follower.canceled)
	if health := source.Health(); health.SilentSince.IsZero() {
		t.Errorf("health without a follower: %+v", health)
	}
	other := newFakeFollower()
	lists.SetFollower(other)
	sub := next(t, "subscription", other.subscribed)
	if sub.has != version(7) {
		t.Errorf("resumes at %s", sub.has)
	}
	apply(t, sub.subscriber, delta(7, 8, item("b")))
	sink.expect(t, "2 b")
}

// A list is as old as the last answer of the distribution's source: through silent relays, through
// relays without their source, and before the first answer.
func TestAgeOfAList(t *testing.T) {
	lists, follower := newLists()
	at := time.Now()
	anHour := at.Add(time.Hour)
	lists.now = func() time.Time { return at }
	source, sink := NewSource(lists, "s"), newSink()
	if age := source.Health().Age(at.Add(time.Second)); age != time.Second {
		t.Errorf("before Run: %v", age)
	}
	run(t, source, sink)
	sub := next(t, "subscription", follower.subscribed)
	follower.setHealth(follow.Health{})
	if age := source.Health().Age(at.Add(time.Minute)); age != time.Minute {
		t.Errorf("before the first list: %v", age)
	}
	apply(t, sub.subscriber, full(7, item("a")))
	sink.expect(t, "1 full a")
	for _, test := range []struct {
		what   string
		health follow.Health
		now    time.Duration // after the list was put in force
		age    time.Duration
	}{
		{"fresh", follow.Health{LastAnswer: at}, time.Second, 0},
		{"at rest for an hour", follow.Health{LastAnswer: anHour}, time.Hour + time.Second, 0},
		{
			"silent relays",
			follow.Health{LastAnswer: anHour, SilentSince: anHour.Add(time.Second)},
			2 * time.Hour, time.Hour,
		},
		{
			"relays without their source",
			follow.Health{LastAnswer: anHour, SourceAge: time.Minute},
			time.Hour, time.Minute,
		},
		{"relays that have just lost it", follow.Health{LastAnswer: anHour, SourceAge: time.Second}, time.Hour, 0},
		{"a follower that has heard nothing", follow.Health{}, time.Hour, time.Hour},
	} {
		follower.setHealth(test.health)
		source.list.mu.Lock()
		source.list.now = func() time.Time { return at.Add(test.now) }
		source.list.mu.Unlock()
		if age := source.Health().Age(at.Add(test.now)); age != test.age {
			t.Errorf("%s: %v old, want %v", test.what, age, test.age)
		}
	}
}
