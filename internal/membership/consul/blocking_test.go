package consul

import (
	"context"
	"fernlanding/internal/membership"
	"fernlanding/internal/membership/contract"
	"fernlanding/internal/membership/reconcile"
	"fernlanding/internal/standin"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"
)

// registry is the stand-in in the hands of the contract's suite.
type registry struct{ h *standin.Health }

func (r registry) Put(all ...membership.Endpoint) { r.h.Put(standin.Members(all)...) }

func (r registry) Delete(names ...string) { r.h.Delete(names...) }
func (r registry) Mend()                  { r.h.Fail(standin.HealthOK) }

func (r registry) Break(n int) (string, bool) {
	ways := []struct {
		what string
		f    standin.HealthFault
	}{{"down", standin.HealthDown}, {"silent", standin.HealthSilent}, {"no leader", standin.HealthNoLeader}, {"cut short", standin.HealthTruncated}, {"no index", standin.HealthNoIndex}}
	if n >= len(ways) {
		return "", false
	}
	r.h.Fail(ways[n].f)
	return ways[n].what, true
}

func start(t *testing.T) *standin.Health {
	t.Helper()
	h, err := standin.NewHealth()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(h.Close)
	return h
}

func source(h *standin.Health) *Source {
	return New(Config{Address: h.Addr(), Service: "s", Log: slog.New(slog.DiscardHandler)})
}

func TestContract(t *testing.T) {
	contract.Test(t, func(t *testing.T) (membership.Source, contract.Registry) {
		h := start(t)
		return source(h), registry{h}
	})
}

// kept counts what a source yields.
type kept struct {
	mu    sync.Mutex
	lists int
	last  *membership.List
	news  chan struct{}
}

func (k *kept) UpdateFailed() {}
func (k *kept) UpdateEndpoints(l *membership.List) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.lists++
	k.last = l
	k.news <- struct{}{}
}

// An index that falls resets the read; what a second read says holds, and the source does not stay behind.
func TestAnIndexThatFalls(t *testing.T) {
	h := start(t)
	for range 50 {
		h.Put(standin.Member{Name: "a", Address: "127.0.0.1:1"})
	}
	s, k := source(h), &kept{news: make(chan struct{}, 100)}
	ctx, stop := context.WithCancel(context.Background())
	var all sync.WaitGroup
	defer all.Wait()
	defer stop()
	all.Go(func() { s.Run(ctx, k) })
	<-k.news
	h.Restart()
	h.Put(standin.Member{Name: "b", Address: "127.0.0.1:2"})
	for {
		<-k.news
		k.mu.Lock()
		n := len(k.last.Endpoints)
		k.mu.Unlock()
		if n == 2 {
			return
		}
	}
}

// Wake-ups without a change are no news, and no storm either.
func TestWakeUpsWithoutChange(t *testing.T) {
	h := start(t)
	h.Put(standin.Member{Name: "a", Address: "127.0.0.1:1"})
	s, k := source(h), &kept{news: make(chan struct{}, 100)}
	ctx, stop := context.WithCancel(context.Background())
	var all sync.WaitGroup
	all.Go(func() { s.Run(ctx, k) })
	<-k.news
	h.Fail(standin.HealthSpurious)
	began, before := time.Now(), h.Reads()
	for h.Reads() < before+5 {
		time.Sleep(time.Millisecond) // reads have no channel
	}
	took := time.Since(began)
	stop()
	all.Wait()
	if k.lists != 1 {
		t.Errorf("%d lists", k.lists)
	}
	if took < 3*idle { // five reads with four pauses between them, the first of which may have begun
		t.Errorf("five reads in %v", took)
	}
}

func TestEntriesOfTheAPI(t *testing.T) {
	entries, err := parse([]byte(`[
		{"Node":{"Address":"10.0.0.1","Datacenter":"d"},"Service":{"ID":"a","Port":80,"Weights":{"Passing":3,"Warning":1}},"Checks":[{"Status":"passing"}]},
		{"Node":{"Address":"10.0.0.1"},"Service":{"ID":"b","Address":"10.0.0.2","Port":81,"Meta":{"zone":"z","cell":"4","since":"9"},"Weights":{"Passing":3,"Warning":1}},"Checks":[{"Status":"warning"}]},
		{"Node":{"Address":"10.0.0.1"},"Service":{"ID":"c","Port":82},"Checks":[{"Status":"passing"},{"Status":"critical"}]},
		{"Node":{"Address":"10.0.0.1"},"Service":{"ID":"d","Port":82,"Meta":{"cell":"x"}}},
		{"Node":{"Address":"10.0.0.1"},"Service":{"ID":"e"}}, 7, {"Service":{"Port":"80"}}]`))
	if err != nil {
		t.Fatal(err)
	}
	told, err := reconcile.New(reconcile.Config{}).ApplySnapshot(time.Now(), reconcile.Snapshot{Count: -1, Entries: entries})
	if err != nil || len(told.List.Endpoints) != 3 || len(told.Invalid) != 4 {
		t.Fatalf("%+v, %v", told, err)
	}
	for i, want := range []membership.Endpoint{
		{Name: "a", Address: "10.0.0.1:80", Zone: "d", Weight: 3},
		{Name: "b", Address: "10.0.0.2:81", Zone: "z", Cell: 4, Weight: 1, SinceMs: 9},
		{Name: "c", Address: "10.0.0.1:82", Weight: 1, Status: membership.Draining},
	} {
		if got := told.List.Endpoints[i]; got != want {
			t.Errorf("got %+v, want %+v", got, want)
		}
	}
	for _, bad := range []string{"", "{", "null", "{}", `"x"`} {
		if _, err := parse([]byte(bad)); err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: %v", bad, err)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(`[{"Service":{"ID":"a/b","Port":-1,"Meta":{"status":"?"}}}, null, {"Service":{"Weights":{"Passing":-1}}}]`))
	f.Fuzz(func(t *testing.T, data []byte) {
		entries, err := parse(data)
		if err != nil {
			return
		}
		if _, err := reconcile.New(reconcile.Config{}).ApplySnapshot(time.Time{}, reconcile.Snapshot{Count: -1, Entries: entries}); err != nil {
			t.Fatal(err)
		}
	})
}
