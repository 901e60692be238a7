package consul

import (
	"context"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"

	"fernlanding/internal/membership"
	"fernlanding/internal/membership/contract"
	"fernlanding/internal/membership/reconcile"
	"fernlanding/internal/standin"
)

// registry implements contract.Registry with the stand-in for Consul.
type registry struct{ health *standin.Health }

func (r registry) Put(endpoints ...membership.Endpoint) { r.health.Put(standin.Members(endpoints)...) }

func (r registry) Delete(names ...string) { r.health.Delete(names...) }

func (r registry) ClearFault() { r.health.SetFault(standin.HealthOK) }

func (r registry) InjectFault(n int) (string, bool) {
	faults := []struct {
		what  string
		fault standin.HealthFault
	}{
		{"down", standin.HealthDown},
		{"silent", standin.HealthUnresponsive},
		{"no leader", standin.HealthNoLeader},
		{"truncated", standin.HealthTruncated},
		{"no index", standin.HealthNoIndex},
	}
	if n >= len(faults) {
		return "", false
	}
	r.health.SetFault(faults[n].fault)
	return faults[n].what, true
}

// newHealth starts a stand-in for the health API.
func newHealth(t *testing.T) *standin.Health {
	t.Helper()
	health, err := standin.NewHealth()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(health.Close)
	return health
}

func newSource(health *standin.Health) *Source {
	return New(Config{Address: health.Addr(), Service: "s", Log: slog.New(slog.DiscardHandler)})
}

func TestContract(t *testing.T) {
	contract.Test(t, func(t *testing.T) (membership.Source, contract.Registry) {
		t.Helper()
		health := newHealth(t)
		return newSource(health), registry{health: health}
	})
}

// listSink sends the lists that it receives to a channel.
type listSink chan *membership.List

func (s listSink) UpdateFailed() {}

func (s listSink) UpdateEndpoints(list *membership.List) { s <- list }

// run starts a source. Stop ends the source and waits until it has returned.
func run(t *testing.T, source *Source, sink membership.Sink) (stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { source.Run(ctx, sink) })
	stop = func() {
		cancel()
		running.Wait()
	}
	t.Cleanup(stop)
	return stop
}

// A decreasing index resets the queries. The next response is the list, so the source's list does
// not remain outdated.
func TestDecreasingIndexResetsQueries(t *testing.T) {
	health := newHealth(t)
	for range 50 {
		health.Put(standin.Member{Name: "a", Address: "127.0.0.1:1"})
	}
	lists := make(listSink, 100)
	run(t, newSource(health), lists)
	<-lists
	health.ResetIndex()
	health.Put(standin.Member{Name: "b", Address: "127.0.0.1:2"})
	for list := range lists {
		if len(list.Endpoints) == 2 {
			return
		}
	}
}

// Queries that return without a change are not updates, and they are spaced.
func TestQueriesWithoutChangeAreSpaced(t *testing.T) {
	health := newHealth(t)
	health.Put(standin.Member{Name: "a", Address: "127.0.0.1:1"})
	lists := make(listSink, 100)
	stop := run(t, newSource(health), lists)
	<-lists
	health.SetFault(standin.HealthSpurious)
	began, before := time.Now(), health.Reads()
	for health.Reads() < before+5 {
		time.Sleep(time.Millisecond) // polling, since there is no notification of reads
	}
	took := time.Since(began)
	stop()
	if len(lists) != 0 {
		t.Errorf("got %d lists without a change", len(lists))
	}
	if took < 3*minPause { // five queries have four pauses between them, and the first pause may have begun earlier
		t.Errorf("five queries took %v, want at least %v", took, 3*minPause)
	}
}

// Instances become entries. The reconciler leaves out invalid ones.
func TestInstancesBecomeEntries(t *testing.T) {
	entries, err := parse([]byte(`[
		{"Node":{"Address":"10.0.0.1","Datacenter":"d"},
			"Service":{"ID":"a","Port":80,"Weights":{"Passing":3,"Warning":1}},
			"Checks":[{"Status":"passing"}]},
		{"Node":{"Address":"10.0.0.1"},
			"Service":{"ID":"b","Address":"10.0.0.2","Port":81,"Meta":{"zone":"z","cell":"4","since":"9"},
				"Weights":{"Passing":3,"Warning":1}},
			"Checks":[{"Status":"warning"}]},
		{"Node":{"Address":"10.0.0.1"},
			"Service":{"ID":"c","Port":82},
			"Checks":[{"Status":"passing"},{"Status":"critical"}]},
		{"Node":{"Address":"10.0.0.1"},"Service":{"ID":"d","Port":82,"Meta":{"cell":"x"}}},
		{"Node":{"Address":"10.0.0.1"},"Service":{"ID":"e"}}, 7, {"Service":{"Port":"80"}}]`))
	if err != nil {
		t.Fatal(err)
	}
	snapshot := reconcile.Snapshot{Count: -1, Entries: entries}
	result, err := reconcile.New(reconcile.Config{}).ApplySnapshot(time.Now(), snapshot)
	if err != nil || len(result.List.Endpoints) != 3 || len(result.Invalid) != 4 {
		t.Fatalf("got %+v, %v", result, err)
	}
	for i, want := range []membership.Endpoint{
		{Name: "a", Address: "10.0.0.1:80", Zone: "d", Weight: 3},
		{Name: "b", Address: "10.0.0.2:81", Zone: "z", Cell: 4, Weight: 1, StartedMs: 9},
		{Name: "c", Address: "10.0.0.1:82", Weight: 1, Status: membership.Draining},
	} {
		if got := result.List.Endpoints[i]; got != want {
			t.Errorf("got %+v, want %+v", got, want)
		}
	}
	for _, bad := range []string{"", "{", "null", "{}", `"x"`} {
		if _, err := parse([]byte(bad)); err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("parse(%q): got error %v, want a one-line error", bad, err)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(`[
		{"Service":{"ID":"a/b","Port":-1,"Meta":{"status":"?"}}}, null, {"Service":{"Weights":{"Passing":-1}}}]`))
	f.Fuzz(func(t *testing.T, data []byte) {
		entries, err := parse(data)
		if err != nil {
			return
		}
		snapshot := reconcile.Snapshot{Count: -1, Entries: entries}
		if _, err := reconcile.New(reconcile.Config{}).ApplySnapshot(time.Time{}, snapshot); err != nil {
			t.Fatal(err)
		}
	})
}
