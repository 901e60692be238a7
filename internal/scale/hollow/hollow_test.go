package hollow_test

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"fernlanding/internal/membership"
	"fernlanding/internal/scale/churn"
	"fernlanding/internal/scale/hollow"
	"fernlanding/internal/scale/result"
	"fernlanding/internal/scale/topology"
	"fernlanding/internal/standin"
)

const (
	backends = 5
	patience = 30 * time.Second // of a wait that ends as soon as its condition holds
)

// newRegistry returns a list service with services that have all their backends.
func newRegistry(t *testing.T, services int) *standin.Registry {
	t.Helper()
	var names []string
	for n := range services {
		names = append(names, topology.ServiceName(n))
	}
	r, err := standin.NewRegistry(names)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	for n := range services {
		for b := range backends {
			r.Service(topology.ServiceName(n)).Put(member(n, b, "SERVING"))
		}
	}
	return r
}

// member returns a backend as the registry lists it.
func member(service, backend int, status string) standin.Member {
	return standin.Member{
		Name:    churn.BackendName(topology.ServiceName(service), backend),
		Address: topology.BackendAddr(service, backend),
		Weight:  1,
		Status:  status,
	}
}

// newLayout returns the layout of a fleet whose proxies follow all services of one list service.
func newLayout(services int, lists string) *topology.Layout {
	return &topology.Layout{
		Source:       result.SourceConsul,
		Seed:         1,
		ListServices: []string{lists},
		Size:         result.Size{Services: services, TotalServices: services, Backends: backends},
	}
}

func start(t *testing.T, f *hollow.Fleet, l *topology.Layout, proxy int) {
	t.Helper()
	spec := hollow.ProxySpec{
		Name:      topology.ProxyName(proxy),
		Config:    l.Config(proxy),
		LocalAddr: topology.ClientAddr(proxy),
	}
	if err := f.Start(spec); err != nil {
		t.Fatal(err)
	}
}

// waitReady waits until all proxies have their lists.
func waitReady(t *testing.T, f *hollow.Fleet) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	if err := f.WaitReady(ctx); err != nil {
		t.Fatal(err)
	}
}

// waitUntil waits until a condition holds, which it describes where it does not.
func waitUntil(t *testing.T, description string, condition func() bool) {
	t.Helper()
	poll, timeout := time.NewTicker(5*time.Millisecond), time.NewTimer(patience)
	defer poll.Stop()
	defer timeout.Stop()
	for !condition() {
		select {
		case <-poll.C:
		case <-timeout.C:
			t.Fatalf("not within %v: %s", patience, description)
		}
	}
}

// waitArrivals waits until so many versions are in force.
func waitArrivals(t *testing.T, f *hollow.Fleet, want int) []hollow.AppliedVersion {
	t.Helper()
	var all []hollow.AppliedVersion
	waitUntil(t, fmt.Sprintf("%d versions in force", want), func() bool {
		more, lost := f.TakeAppliedVersions()
		all = append(all, more...)
		if lost > 0 {
			t.Fatalf("%d arrivals lost", lost)
		}
		return len(all) >= want
	})
	return all
}

// Each change is in force once in each proxy that follows its service, after it was made, and calls
// are decided by what is in force.
func TestChangesComeInForceAndCallsAreServed(t *testing.T) {
	const proxies, services = 6, 3
	r := newRegistry(t, services)
	l := newLayout(services, r.Addr())
	f := hollow.New(hollow.Config{BackendsPerService: backends})
	defer f.Close()
	for n := range proxies {
		start(t, f, l, n)
	}
	waitReady(t, f)
	load := hollow.NewLoad(f, 200)
	defer load.Close()
	began := hollow.MonotonicNow()
	r.Service(topology.ServiceName(1)).Put(member(1, 0, "DRAINING"))
	seen := map[hollow.AppliedVersion]int{}
	for _, a := range waitArrivals(t, f, proxies) {
		if a.At < began || a.At > hollow.MonotonicNow() {
			t.Errorf("arrived at %d, made at %d", a.At, began)
		}
		a.At = 0
		seen[a]++
	}
	if want := (hollow.AppliedVersion{Service: topology.ServiceName(1), Version: 1}); len(seen) != 1 || seen[want] != proxies {
		t.Errorf("arrivals %v", seen)
	}
	r.Service(topology.ServiceName(1)).Delete(churn.BackendName(topology.ServiceName(1), 0))
	r.Service(topology.ServiceName(1)).Put(member(1, backends, "SERVING"))
	for _, a := range waitArrivals(t, f, 2*proxies) {
		if a.Version != 2 && a.Version != 3 {
			t.Errorf("version %d", a.Version)
		}
	}
	var calls hollow.Calls
	waitUntil(t, "100 calls served", func() bool {
		taken := load.Take()
		calls.Served += taken.Served
		calls.NotServed += taken.NotServed
		return calls.Served >= 100
	})
	if calls.NotServed > 0 {
		t.Errorf("%d calls not served", calls.NotServed)
	}
	for n := range proxies {
		listener, err := net.Listen("tcp", topology.ListenAddr(n))
		if err != nil {
			t.Errorf("a hollow proxy listens: %v", err)
			continue
		}
		if err := listener.Close(); err != nil {
			t.Error(err)
		}
	}
	traffic := f.Traffic()
	if traffic.BytesIn == 0 || traffic.BytesOut == 0 ||
		traffic.MessagesOut < proxies*services || traffic.OpenConns < proxies*services {
		t.Errorf("traffic %+v", traffic)
	}
	if failures := f.Failures(); len(failures) > 0 {
		t.Error(failures)
	}
}

// A proxy whose configuration is rejected, one whose source receives garbage and one that panics do
// not affect others.
func TestFaultsAreContained(t *testing.T) {
	r := newRegistry(t, 1)
	var answers atomic.Int64
	garbage := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Consul-Index", fmt.Sprint(answers.Add(1)))
		_, _ = w.Write(bytes.Repeat([]byte(`{"no":"list"`), 100))
	}))
	defer garbage.Close()
	const healthy, panics, garbled, malformed = 0, 1, 2, 3
	f := hollow.New(hollow.Config{BackendsPerService: backends, OnList: func(proxy, _ string, l *membership.List) {
		if proxy == topology.ProxyName(panics) && churn.Version(l, backends) > 0 {
			panic("for the test")
		}
	}})
	defer f.Close()
	l := newLayout(1, r.Addr())
	start(t, f, l, healthy)
	start(t, f, l, panics)
	waitReady(t, f)
	start(t, f, newLayout(1, strings.TrimPrefix(garbage.URL, "http://")), garbled)
	text := append(l.Config(malformed), "nonsense = 1\n"...)
	err := f.Start(hollow.ProxySpec{Name: topology.ProxyName(malformed), Config: text})
	if err == nil || !strings.Contains(err.Error(), "nonsense: unknown field") {
		t.Errorf("bad configuration: %v", err)
	}
	if err := f.Start(hollow.ProxySpec{Name: "empty"}); err == nil {
		t.Error("an empty configuration was accepted")
	}
	waitUntil(t, "a second read of garbage", func() bool { return answers.Load() >= 2 })
	r.Service(topology.ServiceName(0)).Put(member(0, 0, "DRAINING"))
	waitUntil(t, "the panic among the failures", func() bool { return f.Failures()[topology.ProxyName(panics)] != "" })
	waitArrivals(t, f, 1)
	r.Service(topology.ServiceName(0)).Delete(churn.BackendName(topology.ServiceName(0), 0))
	for _, a := range waitArrivals(t, f, 1) {
		if a.Version != 1 && a.Version != 2 {
			t.Errorf("%+v", a)
		}
	}
	failures := f.Failures()
	for _, n := range []int{panics, malformed} {
		if failures[topology.ProxyName(n)] == "" {
			t.Errorf("%s: no failure", topology.ProxyName(n))
		}
	}
	reason := failures[topology.ProxyName(panics)]
	if !strings.Contains(reason, "for the test") || !strings.Contains(reason, "hollow_test.go") {
		t.Errorf("the panic is reported as %q", reason)
	}
	if len(failures) != 3 { // the empty one too
		t.Errorf("failures %v", failures)
	}
}
