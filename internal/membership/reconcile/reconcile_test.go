package reconcile

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"fernlanding/internal/membership"
)

var start = time.Unix(1_000_000_000, 0)

func newReconciler(restoreAfter time.Duration) *Reconciler {
	return New(Config{Prefix: "/app/", Service: "s", RestoreAfter: restoreAfter})
}

// entry returns the entry of an instance. The argument more is the rest of its JSON value.
func entry(name, address, more string) Entry {
	return Entry{Key: "/app/s/" + name, Value: fmt.Appendf(nil, `{"address":%q%s}`, address, more)}
}

func snapshot(revision int64, entries ...Entry) Snapshot {
	return Snapshot{Cluster: "c", Revision: revision, Count: int64(len(entries)), Entries: entries}
}

func delta(revision int64, events ...Event) Delta {
	return Delta{Cluster: "c", Revision: revision, Events: events}
}

func put(revision int64, e Entry) Event { return Event{Entry: e, Revision: revision} }

func deletion(revision int64, name string) Event {
	return Event{Entry: Entry{Key: "/app/s/" + name}, Revision: revision, Deleted: true}
}

// format returns a list as one line of its version, "full" for a full list, and the names. "~"
// follows a draining endpoint, "-" a deleted one.
func format(list *membership.List) string {
	if list == nil {
		return "nothing"
	}
	words := []string{fmt.Sprintf("%d", list.Version)}
	if list.Full {
		words = append(words, "full")
	}
	for _, e := range list.Endpoints {
		words = append(words, e.Name+[...]string{"", "~", "-"}[e.Status])
	}
	return strings.Join(words, " ")
}

func expect(t *testing.T, what, want string, result Result, err error) {
	t.Helper()
	if got := format(result.List); got != want || err != nil {
		t.Errorf("%s: got %q, %v; want %q", what, got, err, want)
	}
}

// A rejected update changes nothing: the last list stays in use, and the next update is applied to
// the state before the rejected one.
func TestRejectedUpdatesChangeNothing(t *testing.T) {
	a, b, c := entry("a", "h:1", ""), entry("b", "h:2", ""), entry("c", "h:3", "")
	r := newReconciler(0)
	result, err := r.ApplySnapshot(start, snapshot(10, a, b))
	expect(t, "first", "10 full a b", result, err)
	truncated := snapshot(12, a)
	truncated.Count = 2
	for _, test := range []struct {
		what     string
		snapshot Snapshot
		want     error
	}{
		{"older", snapshot(9, c), ErrStaleRevision},
		{"truncated", truncated, ErrCountMismatch},
		{"another cluster", Snapshot{Cluster: "d", Revision: 12, Count: 1, Entries: []Entry{c}}, ErrClusterChanged},
		{
			"too many",
			Snapshot{Cluster: "c", Revision: 12, Count: -1, Entries: make([]Entry, maxEntries+1)},
			ErrTooManyEntries,
		},
	} {
		result, err := r.ApplySnapshot(start, test.snapshot)
		if !errors.Is(err, test.want) || result.List != nil {
			t.Errorf("%s: got list %v, error %v", test.what, format(result.List), err)
		}
	}
	if _, err := r.ApplyDelta(Delta{Cluster: "d", Revision: 12}); !errors.Is(err, ErrClusterChanged) {
		t.Errorf("delta of another cluster: got error %v", err)
	}
	for _, events := range [][]Event{{put(14, c)}, {put(12, c), deletion(11, "a")}} {
		if _, err := r.ApplyDelta(delta(13, events...)); !errors.Is(err, ErrOutOfOrder) {
			t.Errorf("delta out of order: got error %v", err)
		}
	}
	result, err = r.ApplyDelta(delta(10, deletion(10, "a")))
	expect(t, "duplicate", "nothing", result, err)
	result, err = r.ApplyDelta(delta(8, deletion(8, "a")))
	expect(t, "late", "nothing", result, err)
	result, err = r.ApplyDelta(delta(12, put(11, c), deletion(12, "a")))
	expect(t, "valid", "12 a- c", result, err)
	result, err = r.ApplyDelta(delta(20))
	expect(t, "progress", "nothing", result, err)
	if r.Revision() != 20 {
		t.Errorf("revision is %d, want 20", r.Revision())
	}
}

// A registry that was restored from a backup is accepted after AcceptNext.
func TestRestoredRegistryIsAcceptedByOperator(t *testing.T) {
	a, b := entry("a", "h:1", ""), entry("b", "h:2", "")
	r := newReconciler(0)
	_, _ = r.ApplySnapshot(start, snapshot(100, a))
	for i := range 100 {
		now := start.Add(time.Duration(i) * time.Hour)
		if _, err := r.ApplySnapshot(now, snapshot(50, b)); !errors.Is(err, ErrStaleRevision) {
			t.Fatalf("got error %v", err)
		}
	}
	r.AcceptNext()
	result, err := r.ApplySnapshot(start, snapshot(50, b))
	expect(t, "accepted", "50 full b", result, err)
	if _, err := r.ApplySnapshot(start, snapshot(49, b)); !errors.Is(err, ErrStaleRevision) {
		t.Errorf("AcceptNext accepted a second snapshot: got error %v", err)
	}
	r.AcceptNext()
	result, err = r.ApplySnapshot(start, Snapshot{Cluster: "d", Revision: 3, Count: 1, Entries: []Entry{a}})
	expect(t, "another cluster accepted", "3 full a", result, err)
}

// A registry that was restored from a backup is accepted after it has reported the lower revision
// for the configured time, but not after occasional stale responses.
func TestRestoredRegistryIsAcceptedAfterTime(t *testing.T) {
	a, b := entry("a", "h:1", ""), entry("b", "h:2", "")
	r := newReconciler(time.Minute)
	_, _ = r.ApplySnapshot(start, snapshot(100, a))
	apply := func(seconds time.Duration, revision int64) error {
		_, err := r.ApplySnapshot(start.Add(seconds*time.Second), snapshot(revision, b))
		return err
	}
	for _, test := range []struct {
		seconds  time.Duration
		revision int64
		accepted bool
	}{
		{0, 50, false},
		{59, 51, false},
		{61, 40, false}, // decreases again: the time restarts
		{100, 41, false},
		{-50, 42, false}, // the clock steps back
		{9, 43, false},
		{10, 44, true},
	} {
		if err := apply(test.seconds, test.revision); (err == nil) != test.accepted {
			t.Errorf("after %d s, revision %d: got error %v", test.seconds, test.revision, err)
		}
	}
	if err := apply(30, 101); err != nil { // a response of a current member after stale ones
		t.Error(err)
	}
	if err := apply(31, 60); err == nil {
		t.Error("a single stale response was accepted")
	}
}

// An invalid entry is left out and reported once. The other entries are kept. An entry that was
// valid before is draining.
func TestInvalidEntries(t *testing.T) {
	for _, test := range []struct {
		entry Entry
		want  string
	}{
		{Entry{Key: "/app/s/x", Value: []byte("{")}, "value: "},
		{Entry{Key: "/app/s/x"}, "value: "},
		{entry("x", "h", ""), "address"},
		{entry("x", ":1", ""), "address"},
		{entry("x", "h:0", ""), "port"},
		{entry("x", "h:1", `,"status":"up"`), "status"},
		{entry("x", "h:1", `,"weight":-1`), "weight"},
		{entry("x/y", "h:1", ""), "pattern"},
		{Entry{Key: "/app/t/x", Value: []byte(`{"address":"h:1"}`)}, "pattern"},
		{entry("x", "h:1", `,"zone":"`+strings.Repeat("z", 1<<20)+`"`), "bytes"},
		{entry("x", "h:1", `,"name":"a"`), "another key"},
		{entry("x", "h:1", `,"cell":"1"`), "value: "},
		{entry(strings.Repeat("x", 300), "h:1", ""), "pattern"},
	} {
		r := newReconciler(0)
		result, err := r.ApplySnapshot(start, snapshot(1, entry("a", "h:1", ""), test.entry))
		expect(t, test.want, "1 full a", result, err)
		if len(result.Invalid) != 1 || !strings.Contains(result.Invalid[0].Err.Error(), test.want) ||
			len(result.Invalid[0].Err.Error()) > 500 || r.InvalidCount() != 1 {
			t.Errorf("%s: got invalid entries %v", test.want, result.Invalid)
		}
		result, _ = r.ApplySnapshot(start, snapshot(2, entry("a", "h:1", ""), test.entry))
		if len(result.Invalid) != 0 {
			t.Errorf("%s: invalid entry is reported twice", test.want)
		}
		if test.entry.Key == "/app/s/x" {
			testEntryBecomesInvalid(t, test.want, test.entry)
		}
	}
}

// testEntryBecomesInvalid tests that the endpoint of a valid entry x is draining from the time the
// entry becomes invalid until it is valid again.
func testEntryBecomesInvalid(t *testing.T, what string, invalid Entry) {
	t.Helper()
	r := newReconciler(0)
	_, _ = r.ApplySnapshot(start, snapshot(1, entry("a", "h:1", ""), entry("x", "h:9", "")))
	result, err := r.ApplyDelta(delta(2, put(2, invalid)))
	expect(t, what, "2 x~", result, err)
	if result.RemovedServing != 1 || result.ServingBefore != 2 {
		t.Errorf("removed %d of %d", result.RemovedServing, result.ServingBefore)
	}
	result, err = r.ApplySnapshot(start, snapshot(3, entry("a", "h:1", ""), invalid))
	expect(t, what, "3 full a x~", result, err)
	result, err = r.ApplyDelta(delta(4, put(4, entry("x", "h:9", ""))))
	expect(t, what, "4 x", result, err)
}

// If two keys claim a name, the first key owns it. When the first key is deleted, the other one
// owns it.
func TestNameClaimedByTwoKeys(t *testing.T) {
	r := newReconciler(0)
	first, second := entry("a", "h:1", `,"name":"n"`), entry("b", "h:2", `,"name":"n"`)
	result, err := r.ApplySnapshot(start, snapshot(1, first, second))
	expect(t, "both", "1 full n", result, err)
	result, err = r.ApplyDelta(delta(2, deletion(2, "a")))
	expect(t, "the first is deleted", "2 n", result, err)
	if result.List.Endpoints[0].Address != "h:2" || r.InvalidCount() != 0 {
		t.Errorf("got endpoints %+v, %d invalid entries", result.List.Endpoints, r.InvalidCount())
	}
	result, err = r.ApplyDelta(delta(4, deletion(3, "b"), put(4, entry("b", "h:3", `,"since":7`))))
	expect(t, "deleted and put again", "4 b n-", result, err)
	if result.List.Endpoints[0].StartedMs != 7 {
		t.Errorf("got endpoints %+v, want a start time of 7", result.List.Endpoints)
	}
}

// RemovedServing is the number of serving endpoints that one update stops from serving, even if it
// stops all of them.
func TestRemovedServingIsCounted(t *testing.T) {
	r := newReconciler(0)
	var all []Entry
	for i := range 10 {
		all = append(all, entry(fmt.Sprint(i), "h:1", ""))
	}
	_, _ = r.ApplySnapshot(start, snapshot(1, all...))
	result, _ := r.ApplyDelta(delta(3, deletion(2, "1"), put(3, entry("2", "h:1", `,"status":"draining"`))))
	if result.RemovedServing != 2 || result.ServingBefore != 10 {
		t.Errorf("removed %d of %d", result.RemovedServing, result.ServingBefore)
	}
	result, err := r.ApplySnapshot(start, snapshot(4))
	expect(t, "all", "4 full", result, err)
	if result.RemovedServing != 8 || result.ServingBefore != 8 {
		t.Errorf("removed %d of %d", result.RemovedServing, result.ServingBefore)
	}
}

// BenchmarkChange measures one change of one entry among many.
func BenchmarkChange(b *testing.B) {
	for _, n := range []int{100, 1000, 10_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			r := newReconciler(0)
			var all []Entry
			for i := range n {
				all = append(all, entry(fmt.Sprint(i), "h:1", ""))
			}
			_, _ = r.ApplySnapshot(start, snapshot(1, all...))
			revision := int64(1)
			for b.Loop() {
				revision++
				change := put(revision, entry(fmt.Sprint(revision%int64(n)), "h:2", ""))
				result, err := r.ApplyDelta(delta(revision, change))
				if err != nil || len(result.List.Endpoints) != 1 {
					b.Fatal(err)
				}
			}
		})
	}
}
