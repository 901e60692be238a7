package relayed

import (
	"errors"
	"testing"
	"time"

	"fernlanding/internal/distribution"
	"fernlanding/internal/distribution/follow"
	"fernlanding/internal/membership"
)

// Sinks receive full lists as full and deltas as deltas, numbered by the source's own count. An
// invalid entry is left out. An endpoint whose entry becomes invalid is draining.
func TestSinkReceivesUpdates(t *testing.T) {
	lists, follower := newLists()
	source, sink := NewSource(lists, "s"), newSink()
	run(t, source, sink)
	sub := next(t, "subscription", follower.subscribed)
	if sub.resource != "lists/s" || !sub.has.IsZero() {
		t.Fatalf("got subscription %+v", sub)
	}
	apply(t, sub.subscriber, full(7, item("a"), item("b"), invalidItem("c")))
	sink.expect(t, "1 full a b")
	apply(t, sub.subscriber,
		delta(7, 9, item("d"), drainingItem("a")), delta(9, 20, deletedA(), invalidItem("b")))
	sink.expect(t, "2 a~ d")
	sink.expect(t, "3 a- b~")
	if health := source.Health(); health != (membership.Health{Version: 3, Invalid: 2}) {
		t.Errorf("health is %+v", health)
	}
	apply(t, sub.subscriber, full(21, item("d")))
	sink.expect(t, "4 full d")
	apply(t, sub.subscriber, full(22))
	sink.expect(t, "5 full")
}

// An update that is invalid as a whole is rejected with its reason and changes nothing. The next
// update is applied.
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
			t.Errorf("update %+v: got error %v, want %v", test.update, err, test.want)
		}
		sink.expectNothing(t)
	}
	if health := source.Health(); health.Rejected != 6 || health.SilentSince.IsZero() || health.Version != 1 {
		t.Errorf("health after rejected updates is %+v", health)
	}
	apply(t, sub.subscriber, delta(7, 9, deletedA()))
	sink.expect(t, "2 a-")
	if health := source.Health(); !health.SilentSince.IsZero() {
		t.Errorf("health after an accepted update is %+v", health)
	}
}

// Sources of one list share a subscription. A source that runs later starts with the present list.
// The subscription ends with the last source.
func TestSourcesShareSubscription(t *testing.T) {
	lists, follower := newLists()
	first, second := newSink(), newSink()
	stopFirst := run(t, NewSource(lists, "s"), first)
	sub := next(t, "subscription", follower.subscribed)
	apply(t, sub.subscriber, full(7, item("a")), delta(7, 8, item("b")))
	first.expect(t, "1 full a")
	first.expect(t, "2 b")
	stopSecond := run(t, NewSource(lists, "s"), second)
	second.expect(t, "2 full a b")
	later := NewSource(lists, "s") // created before the others end, run afterwards
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
		t.Error("got another subscription, another cancel, or a failure at a source that has ended")
	}
}

// A new follower resumes from the version in force, and the source's own count of lists continues.
func TestNewFollowerResumes(t *testing.T) {
	lists, follower := newLists()
	source, sink := NewSource(lists, "s"), newSink()
	run(t, source, sink)
	apply(t, next(t, "subscription", follower.subscribed).subscriber, full(7, item("a")))
	sink.expect(t, "1 full a")
	lists.SetFollower(nil)
	next(t, "cancel of the subscription", follower.canceled)
	if health := source.Health(); health.SilentSince.IsZero() {
		t.Errorf("health without a follower is %+v", health)
	}
	other := newFakeFollower()
	lists.SetFollower(other)
	sub := next(t, "subscription", other.subscribed)
	if sub.has != version(7) {
		t.Errorf("subscription resumes at %s, want version 7", sub.has)
	}
	apply(t, sub.subscriber, delta(7, 8, item("b")))
	sink.expect(t, "2 b")
}

// The age of a list is the time since the last contact with the distribution's source. This holds
// for silent relays, for relays without their source, and before the first answer.
func TestListAge(t *testing.T) {
	lists, follower := newLists()
	at := time.Now()
	anHour := at.Add(time.Hour)
	lists.now = func() time.Time { return at }
	source, sink := NewSource(lists, "s"), newSink()
	if age := source.Health().Age(at.Add(time.Second)); age != time.Second {
		t.Errorf("age before Run is %v", age)
	}
	run(t, source, sink)
	sub := next(t, "subscription", follower.subscribed)
	follower.setHealth(follow.Health{})
	if age := source.Health().Age(at.Add(time.Minute)); age != time.Minute {
		t.Errorf("age before the first list is %v", age)
	}
	apply(t, sub.subscriber, full(7, item("a")))
	sink.expect(t, "1 full a")
	for _, test := range []struct {
		what   string
		health follow.Health
		now    time.Duration // since the list was put in force
		age    time.Duration
	}{
		{"fresh", follow.Health{LastResponse: at}, time.Second, 0},
		{"idle for an hour", follow.Health{LastResponse: anHour}, time.Hour + time.Second, 0},
		{
			"silent relays",
			follow.Health{LastResponse: anHour, SilentSince: anHour.Add(time.Second)},
			2 * time.Hour, time.Hour,
		},
		{
			"relays without their source",
			follow.Health{LastResponse: anHour, SourceAge: time.Minute},
			time.Hour, time.Minute,
		},
		{"relays that have just lost it", follow.Health{LastResponse: anHour, SourceAge: time.Second}, time.Hour, 0},
		{"no response received", follow.Health{}, time.Hour, time.Hour},
	} {
		follower.setHealth(test.health)
		source.list.mu.Lock()
		source.list.now = func() time.Time { return at.Add(test.now) }
		source.list.mu.Unlock()
		if age := source.Health().Age(at.Add(test.now)); age != test.age {
			t.Errorf("%s: age is %v, want %v", test.what, age, test.age)
		}
	}
}
