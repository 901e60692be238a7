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
	patience = 30 * time.Second // of a wait that ends as soon as what it is for has come
)

// registry is a list service with services that have all their backends.
func registry(t *testing.T, services int) *standin.Registry {
	t.Helper()
	var names []string
	for n := range services {
		names = append(names, topology.Service(n))
	}
	r, err := standin.NewRegistry(names)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	for n := range services {
		for b := range backends {
			r.Service(topology.Service(n)).Put(member(n, b, "SERVING"))
		}
	}
	return r
}

func member(service, backend int, status string) standin.Member {
	return standin.Member{Name: churn.Name(topology.Service(service), backend), Address: topology.BackendAddr(service, backend), Weight: 1, Status: status}
}

func plan(services int, lists string) *topology.Layout {
	return &topology.Layout{
		Source: result.SourceConsul, Seed: 1, Lists: []string{lists},
		Size: result.Size{Services: services, ServicesInAll: services, Backends: backends},
	}
}

func start(t *testing.T, f *hollow.Fleet, l *topology.Layout, proxy int) {
	t.Helper()
	if err := f.Start(hollow.Spec{Name: topology.Proxy(proxy), File: l.Config(proxy), From: topology.ClientAddr(proxy)}); err != nil {
		t.Fatal(err)
	}
}

func ready(t *testing.T, f *hollow.Fleet) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	if err := f.WaitReady(ctx); err != nil {
		t.Fatal(err)
	}
}

// until waits for what is to come.
func until(t *testing.T, what string, come func() bool) {
	t.Helper()
	look, late := time.NewTicker(5*time.Millisecond), time.NewTimer(patience)
	defer look.Stop()
	defer late.Stop()
	for !come() {
		select {
		case <-look.C:
		case <-late.C:
			t.Fatalf("not within %v: %s", patience, what)
		}
	}
}

// arrivals waits until so many versions have come in force.
func arrivals(t *testing.T, f *hollow.Fleet, want int) (all []hollow.Arrival) {
	t.Helper()
	until(t, fmt.Sprintf("%d versions in force", want), func() bool {
		more, lost := f.Arrivals()
		if all = append(all, more...); lost > 0 {
			t.Fatalf("%d arrivals lost", lost)
		}
		return len(all) >= want
	})
	return all
}

// Each change comes in force once in each proxy that follows its service, after it was made, and calls are decided by what
// is in force.
func TestChangesAndCalls(t *testing.T) {
	const proxies, services = 6, 3
	r := registry(t, services)
	l := plan(services, r.Addr())
	f := hollow.New(hollow.Config{Backends: backends})
	defer f.Close()
	for n := range proxies {
		start(t, f, l, n)
	}
	ready(t, f)
	load := hollow.NewLoad(f, 200)
	defer load.Close()
	began := hollow.Now()
	r.Service(topology.Service(1)).Put(member(1, 0, "DRAINING"))
	seen := map[hollow.Arrival]int{}
	for _, a := range arrivals(t, f, proxies) {
		if a.At < began || a.At > hollow.Now() {
			t.Errorf("arrived at %d, made at %d", a.At, began)
		}
		a.At = 0
		seen[a]++
	}
	if want := (hollow.Arrival{Service: topology.Service(1), Version: 1}); len(seen) != 1 || seen[want] != proxies {
		t.Errorf("arrivals %v", seen)
	}
	r.Service(topology.Service(1)).Delete(churn.Name(topology.Service(1), 0))
	r.Service(topology.Service(1)).Put(member(1, backends, "SERVING"))
	for _, a := range arrivals(t, f, 2*proxies) {
		if a.Version != 2 && a.Version != 3 {
			t.Errorf("version %d", a.Version)
		}
	}
	var calls hollow.Calls
	until(t, "100 calls served", func() bool {
		taken := load.Take()
		calls.Served, calls.Others = calls.Served+taken.Served, calls.Others+taken.Others
		return calls.Served >= 100
	})
	if calls.Others > 0 {
		t.Errorf("%d calls not served", calls.Others)
	}
	for n := range proxies {
		free, err := net.Listen("tcp", topology.ListenAddr(n))
		if err != nil {
			t.Errorf("a hollow proxy listens: %v", err)
			continue
		}
		free.Close()
	}
	traffic := f.Traffic()
	if traffic.BytesIn == 0 || traffic.BytesOut == 0 || traffic.MessagesOut < proxies*services || traffic.Open < proxies*services {
		t.Errorf("traffic %+v", traffic)
	}
	if failures := f.Failures(); len(failures) > 0 {
		t.Error(failures)
	}
}

// A proxy whose configuration is refused, one whose source gets garbage and one that panics harm no other.
func TestFaultsStayWithTheirProxies(t *testing.T) {
	r := registry(t, 1)
	var answers atomic.Int64
	garbage := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Consul-Index", fmt.Sprint(answers.Add(1)))
		_, _ = w.Write(bytes.Repeat([]byte(`{"no":"list"`), 100))
	}))
	defer garbage.Close()
	const well, panics, spoilt, bad = 0, 1, 2, 3
	f := hollow.New(hollow.Config{Backends: backends, OnList: func(proxy, _ string, l *membership.List) {
		if proxy == topology.Proxy(panics) && churn.Version(l, backends) > 0 {
			panic("for the test")
		}
	}})
	defer f.Close()
	l := plan(1, r.Addr())
	start(t, f, l, well)
	start(t, f, l, panics)
	ready(t, f)
	start(t, f, plan(1, strings.TrimPrefix(garbage.URL, "http://")), spoilt)
	text := append(l.Config(bad), "nonsense = 1\n"...)
	if err := f.Start(hollow.Spec{Name: topology.Proxy(bad), File: text}); err == nil || !strings.Contains(err.Error(), "nonsense: unknown field") {
		t.Errorf("bad configuration: %v", err)
	}
	if err := f.Start(hollow.Spec{Name: "empty"}); err == nil {
		t.Error("an empty configuration was taken")
	}
	until(t, "a second read of garbage", func() bool { return answers.Load() >= 2 })
	r.Service(topology.Service(0)).Put(member(0, 0, "DRAINING"))
	until(t, "the panic among the failures", func() bool { return f.Failures()[topology.Proxy(panics)] != "" })
	arrivals(t, f, 1)
	r.Service(topology.Service(0)).Delete(churn.Name(topology.Service(0), 0))
	for _, a := range arrivals(t, f, 1) {
		if a.Version != 1 && a.Version != 2 {
			t.Errorf("%+v", a)
		}
	}
	failures := f.Failures()
	for _, n := range []int{panics, bad} {
		if failures[topology.Proxy(n)] == "" {
			t.Errorf("%s: no failure", topology.Proxy(n))
		}
	}
	if why := failures[topology.Proxy(panics)]; !strings.Contains(why, "for the test") || !strings.Contains(why, "hollow_test.go") {
		t.Errorf("the panic is told as %q", why)
	}
	if len(failures) != 3 { // the empty one too
		t.Errorf("failures %v", failures)
	}
}
