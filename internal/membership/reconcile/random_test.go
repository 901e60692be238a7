package reconcile

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"fernlanding/internal/membership"
)

// After random updates in a random order, the pool that applies the results has the endpoints of
// the registry's entries.
func TestListMatchesRegistryAfterRandomUpdates(t *testing.T) {
	for seed := range uint64(1000) {
		r := &randomRun{
			T: t, seed: seed, random: rand.New(rand.NewPCG(seed, 1)), reconciler: newReconciler(0),
			registry: map[string]Entry{}, pool: map[string]membership.Endpoint{},
		}
		r.applySnapshot()
		for range 60 {
			for range 1 + r.random.IntN(3) {
				r.change()
			}
			switch r.random.IntN(4) {
			case 0: // a snapshot replaces the pending changes
				r.applySnapshot()
				r.pending = nil
			case 1:
				r.applyDelta()
				r.applyDuplicate()
				r.pending = nil
			case 2:
				r.applyDelta()
				r.pending = nil
			}
		}
		r.applyDelta()
		r.compare()
	}
}

// randomRun has a registry that changes at random, and a pool that applies the results of a
// reconciler that follows the registry.
type randomRun struct {
	*testing.T
	seed       uint64
	random     *rand.Rand
	reconciler *Reconciler
	registry   map[string]Entry // by key
	revision   int64
	pending    []Event // changes that the reconciler has not seen
	pool       map[string]membership.Endpoint
}

// change deletes an entry of the registry or puts one.
func (r *randomRun) change() {
	r.revision++
	instance := fmt.Sprint(r.random.IntN(6))
	if r.random.IntN(3) == 0 {
		delete(r.registry, "/app/s/"+instance)
		r.pending = append(r.pending, deletion(r.revision, instance))
		return
	}
	address := fmt.Sprintf("h:%d", 1+r.random.IntN(9))
	since := fmt.Sprintf(`,"since":%d`, r.random.IntN(3))
	more := []string{"", `,"status":"draining"`, `,"name":"n"`, since}[r.random.IntN(4)]
	e := entry(instance, address, more)
	r.registry[e.Key] = e
	r.pending = append(r.pending, put(r.revision, e))
}

// applySnapshot applies a full read of the registry.
func (r *randomRun) applySnapshot() {
	r.Helper()
	entries := slices.Collect(maps.Values(r.registry))
	result, err := r.reconciler.ApplySnapshot(start, snapshot(r.revision, entries...))
	if err != nil {
		r.Fatalf("seed %d: %v", r.seed, err)
	}
	r.updatePool(result)
}

// applyDelta applies the pending changes.
func (r *randomRun) applyDelta() {
	r.Helper()
	result, err := r.reconciler.ApplyDelta(delta(r.revision, r.pending...))
	if err != nil {
		r.Fatal(err)
	}
	r.updatePool(result)
}

// applyDuplicate applies the pending changes a second time, which must change nothing.
func (r *randomRun) applyDuplicate() {
	r.Helper()
	result, err := r.reconciler.ApplyDelta(delta(r.revision, r.pending...))
	if err != nil || result.List != nil {
		r.Fatalf("seed %d: duplicate delta changes the list to %s, error %v", r.seed, format(result.List), err)
	}
}

func (r *randomRun) updatePool(result Result) {
	if result.List == nil {
		return
	}
	if result.List.Full {
		clear(r.pool)
	}
	for _, e := range result.List.Endpoints {
		if e.Status == membership.Deleted {
			delete(r.pool, e.Name)
		} else {
			r.pool[e.Name] = e
		}
	}
}

// compare compares the pool with the registry.
func (r *randomRun) compare() {
	r.Helper()
	serving := 0
	for _, e := range r.pool {
		if e.Status == membership.Serving {
			serving++
		}
	}
	if serving != r.reconciler.serving {
		r.Fatalf("seed %d: %d endpoints serve, reconciler counts %d", r.seed, serving, r.reconciler.serving)
	}
	for name, e := range r.pool {
		if name == "n" {
			continue // several keys may claim this name
		}
		want, err := r.reconciler.cfg.decode(r.registry["/app/s/"+name])
		if err != nil || want.Name == name && want != e {
			r.Fatalf("seed %d: %s is %+v, want %+v, error %v", r.seed, name, e, want, err)
		}
	}
	for key, e := range r.registry {
		want, _ := r.reconciler.cfg.decode(e)
		if _, ok := r.pool[want.Name]; !ok {
			r.Fatalf("seed %d: %s is missing", r.seed, key)
		}
	}
}

func FuzzSnapshot(f *testing.F) {
	f.Add(
		"/app/s/a", []byte(`{"address":"h:1","weight":1e999}`),
		"/app/s/b", []byte(`{"address":"[::1]:80","name":"a","status":"draining"}`),
	)
	f.Add("/app/s/", []byte(`null`), "/app/s/b/c", []byte(`[]`))
	f.Fuzz(func(t *testing.T, key1 string, value1 []byte, key2 string, value2 []byte) {
		r := newReconciler(0)
		entries := []Entry{{Key: key1, Value: value1}, {Key: key2, Value: value2}}
		result, err := r.ApplySnapshot(start, snapshot(1, entries...))
		if err != nil {
			t.Fatal(err)
		}
		for _, e := range result.List.Endpoints {
			if e.Name == "" || e.Address == "" || !(e.Weight >= 0) {
				t.Fatalf("invalid endpoint %+v", e)
			}
		}
		changed := Event{Entry: Entry{Key: key1, Value: value2}, Revision: 2}
		deleted := Event{Entry: Entry{Key: key2}, Revision: 2, Deleted: true}
		if _, err := r.ApplyDelta(delta(2, changed, deleted)); err != nil {
			t.Fatal(err)
		}
	})
}
