package cache

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"fernlanding/internal/membership"
)

// pool is a Sink that holds a full list.
type pool struct {
	list atomic.Pointer[membership.List]
	// afterRead, if not nil, is called after the list has been read.
	afterRead func()
}

func (p *pool) UpdateEndpoints(list *membership.List) { p.list.Store(list) }

func (p *pool) UpdateFailed() {}

// current returns the present list.
func (p *pool) current() *membership.List {
	list := p.list.Load()
	if p.afterRead != nil {
		p.afterRead()
	}
	return list
}

// fullList returns a full list of endpoints with the given names.
func fullList(version int64, names ...string) *membership.List {
	list := &membership.List{Version: version, Full: true}
	for _, name := range names {
		list.Endpoints = append(list.Endpoints, membership.Endpoint{Name: name, Address: "127.0.0.1:1"})
	}
	return list
}

// stored returns the names of the endpoints in a store's list, or "none".
func stored(t *testing.T, store *Store) string {
	t.Helper()
	list, _, err := store.Load(time.Now(), time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	if list == nil {
		return "none"
	}
	var names []string
	for _, e := range list.Endpoints {
		names = append(names, e.Name)
	}
	return fmt.Sprint(names)
}

func newTestRecorder(t *testing.T) (*Recorder, *Store, *pool) {
	t.Helper()
	store, sink := NewStore(t.TempDir(), "x", ""), &pool{}
	return NewRecorder(sink, store, sink.current, slog.New(slog.DiscardHandler)), store, sink
}

// A new list is written after a short delay. A list that removes an endpoint removes the older file
// at once. An unchanged list is written again only to update the time of its confirmation. The last
// list is written at the end.
func TestRecorderWritesCurrentList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		recorder, store, sink := newTestRecorder(t)
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		running.Go(func() { recorder.Run(ctx) })
		expectAfter := func(d time.Duration, want string) {
			t.Helper()
			time.Sleep(d) // with the clock of the synctest bubble
			synctest.Wait()
			if got := stored(t, store); got != want {
				t.Errorf("stored list is %s, want %s", got, want)
			}
		}
		expectAfter(time.Minute, "none")
		recorder.UpdateEndpoints(fullList(1, "a", "b"))
		expectAfter(0, "none")
		expectAfter(writeDelay+time.Millisecond, "[a b]")
		recorder.UpdateEndpoints(fullList(2, "b"))
		expectAfter(0, "none")
		expectAfter(writeDelay+time.Millisecond, "[b]")
		for range 30 {
			recorder.UpdateEndpoints(&membership.List{Version: 2})
			sink.list.Store(fullList(2, "b"))
			expectAfter(time.Second, "[b]")
			if _, age, _ := store.Load(time.Now(), time.Hour); age > confirmInterval+2*time.Second {
				t.Errorf("stored list was confirmed %v ago", age)
			}
		}
		recorder.UpdateEndpoints(fullList(3, "c"))
		cancel()
		running.Wait()
		expectAfter(0, "[c]")
	})
}

// A list that removes an endpoint while an older list is being written is not overwritten by the
// older list.
func TestOlderListDoesNotOverwriteRemoval(t *testing.T) {
	recorder, store, sink := newTestRecorder(t)
	expect := func(what, want string) {
		t.Helper()
		if got := stored(t, store); got != want {
			t.Errorf("%s: stored list is %s, want %s", what, got, want)
		}
	}
	recorder.UpdateEndpoints(fullList(1, "a", "b"))
	recorder.write()
	expect("the first list", "[a b]")
	added := membership.Endpoint{Name: "c", Address: "127.0.0.1:1"}
	recorder.UpdateEndpoints(&membership.List{Version: 2, Endpoints: []membership.Endpoint{added}})
	sink.list.Store(fullList(2, "a", "b", "c"))
	sink.afterRead = func() { // the writer has already read the list before this update
		sink.afterRead = nil
		recorder.UpdateEndpoints(fullList(3, "b", "c"))
	}
	recorder.write()
	expect("after the removal", "none")
	recorder.write()
	expect("after the next write", "[b c]")
	recorder.Stop()
	recorder.UpdateEndpoints(fullList(4, "d"))
	recorder.write()
	expect("after Stop", "[b c]")
}
