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
	patience = 30 * time.Second // maximum wait for a condition
)

// newRegistry returns a list service whose services have all their backends.
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

// newLayout returns a layout in which every proxy follows all services of one list service.
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

// waitReady waits until all proxies have received their lists.
func waitReady(t *testing.T, f *hollow.Fleet) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	if err := f.WaitReady(ctx); err != nil {
		t.Fatal(err)
	}
}

// waitUntil waits until a condition holds. It fails the test with the description on a timeout.
func waitUntil(t *testing.T, description string, condition func() bool) {
	t.Helper()
	poll, timeout := time.NewTicker(5*time.Millisecond), time.NewTimer(patience)
	defer poll.Stop()
	defer timeout.Stop()
	for !condition() {
		select {
		case <-poll.C:
		case <-timeout.C:
			t.Fatalf("timeout after %v: %s", patience, description)
		}
	}
}

// waitAppliedVersions waits until the fleet has recorded the wanted number of applied versions.
func waitAppliedVersions(t *testing.T, f *hollow.Fleet, want int) []hollow.AppliedVersion {
	t.Helper()
	var all []hollow.AppliedVersion
	waitUntil(t, fmt.Sprintf("%d applied versions", want), func() bool {
		more, dropped := f.TakeAppliedVersions()
		all = append(all, more...)
		if dropped > 0 {
			t.Fatalf("%d applied versions dropped", dropped)
		}
		return len(all) >= want
	})
	return all
}

// Each proxy that follows a service applies each change of its list once, after the change was made.
// Calls are served with the applied lists.
func TestChangesAreAppliedAndCallsServed(t *testing.T) {
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
	startTime := hollow.MonotonicNow()
	r.Service(topology.ServiceName(1)).Put(member(1, 0, "DRAINING"))
	seen := map[hollow.AppliedVersion]int{}
	for _, a := range waitAppliedVersions(t, f, proxies) {
		if a.At < startTime || a.At > hollow.MonotonicNow() {
			t.Errorf("applied at %d, want between the change at %d and now", a.At, startTime)
		}
		a.At = 0
		seen[a]++
	}
	want := hollow.AppliedVersion{Service: topology.ServiceName(1), Version: 1}
	if len(seen) != 1 || seen[want] != proxies {
		t.Errorf("applied versions %v, want %v from %d proxies", seen, want, proxies)
	}
	r.Service(topology.ServiceName(1)).Delete(churn.BackendName(topology.ServiceName(1), 0))
	r.Service(topology.ServiceName(1)).Put(member(1, backends, "SERVING"))
	for _, a := range waitAppliedVersions(t, f, 2*proxies) {
		if a.Version != 2 && a.Version != 3 {
			t.Errorf("version %d, want 2 or 3", a.Version)
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
			t.Errorf("a hollow proxy occupies its listen address: %v", err)
			continue
		}
		if err := listener.Close(); err != nil {
			t.Error(err)
		}
	}
	traffic := f.Traffic()
	if traffic.BytesIn == 0 || traffic.BytesOut == 0 ||
		traffic.MessagesOut < proxies*services || traffic.OpenConns < proxies*services {
		t.Errorf("traffic %+v, want bytes both ways, at least %d sent messages and connections",
			traffic, proxies*services)
	}
	if failures := f.Failures(); len(failures) > 0 {
		t.Error(failures)
	}
}

// An invalid configuration, a source that receives invalid data and a panic end the affected proxy
// only.
func TestFailuresAreIsolated(t *testing.T) {
	r := newRegistry(t, 1)
	var responses atomic.Int64
	invalidSource := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Consul-Index", fmt.Sprint(responses.Add(1)))
		_, _ = w.Write(bytes.Repeat([]byte(`{"no":"list"`), 100))
	}))
	defer invalidSource.Close()
	const healthy, panics, invalidData, malformed = 0, 1, 2, 3
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
	start(t, f, newLayout(1, strings.TrimPrefix(invalidSource.URL, "http://")), invalidData)
	text := append(l.Config(malformed), "nonsense = 1\n"...)
	err := f.Start(hollow.ProxySpec{Name: topology.ProxyName(malformed), Config: text})
	if err == nil || !strings.Contains(err.Error(), "nonsense: unknown field") {
		t.Errorf("invalid configuration: got error %v, want an unknown field", err)
	}
	if err := f.Start(hollow.ProxySpec{Name: "empty"}); err == nil {
		t.Error("no error for an empty configuration")
	}
	waitUntil(t, "a second read of invalid data", func() bool { return responses.Load() >= 2 })
	r.Service(topology.ServiceName(0)).Put(member(0, 0, "DRAINING"))
	waitUntil(t, "the panic among the failures", func() bool { return f.Failures()[topology.ProxyName(panics)] != "" })
	waitAppliedVersions(t, f, 1)
	r.Service(topology.ServiceName(0)).Delete(churn.BackendName(topology.ServiceName(0), 0))
	for _, a := range waitAppliedVersions(t, f, 1) {
		if a.Version != 1 && a.Version != 2 {
			t.Errorf("applied version %+v, want version 1 or 2", a)
		}
	}
	failures := f.Failures()
	for _, n := range []int{panics, malformed} {
		if failures[topology.ProxyName(n)] == "" {
			t.Errorf("%s: no failure recorded", topology.ProxyName(n))
		}
	}
	reason := failures[topology.ProxyName(panics)]
	if !strings.Contains(reason, "for the test") || !strings.Contains(reason, "hollow_test.go") {
		t.Errorf("failure %q, want the value and the location of the panic", reason)
	}
	if len(failures) != 3 { // including the empty configuration
		t.Errorf("failures %v, want 3", failures)
	}
}
