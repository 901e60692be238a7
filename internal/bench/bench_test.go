package bench

import (
	"fmt"
	"runtime"
	"slices"
	"syscall"
	"testing"
	"time"
)

const (
	rounds   = 3
	duration = 2 * time.Second // of a run
	servers  = 4
)

// run is one measurement of a proxy.
type run struct {
	kind     string
	conns    int
	duration time.Duration
	interval time.Duration // from the begin of a request to that of the next; 0: as fast as it goes
	work     time.Duration // of a backend for each request
}

// measure starts a proxy before backends, sends a quarter of the load to warm up and then the load,
// and ends them.
func (r run) measure(tb testing.TB) result {
	tb.Helper()
	var counts load
	var backends []*server
	var addrs []string
	for range servers {
		s, err := newServer(r.work, &counts)
		if err != nil {
			tb.Fatal(err)
		}
		defer func() { _ = s.Close() }()
		backends, addrs = append(backends, s), append(addrs, s.Addr().String())
	}
	addr := addrs[0]
	cpuTime := func() time.Duration { return 0 }
	if r.kind != kindDirect {
		p, err := startProxy(r.kind, addrs)
		if err != nil {
			tb.Fatal(err)
		}
		defer p.stop()
		addr = p.addr
		cpuTime = func() time.Duration { return p.cpuTime(tb) }
	}
	if _, err := sendLoad(addr, r.conns, r.duration/4, r.interval); err != nil {
		tb.Fatal(err)
	}
	cpuBefore := cpuTime()
	res, err := sendLoad(addr, r.conns, r.duration, r.interval)
	if err != nil {
		tb.Fatal(err)
	}
	if n := res.served + res.notServed; n > 0 {
		res.cpu = (cpuTime() - cpuBefore) / time.Duration(n)
	}
	for _, s := range backends {
		res.maxConns += s.maxOpen.Load()
		res.openedConns += s.opened.Load()
	}
	res.maxInFlight = counts.maxInFlight.Load()
	return res
}

// BenchmarkProxies sends the same load through the sidecar and through httputil.ReverseProxy, in
// turn, before the same kind of backends, and reports the medians of the ratios of three rounds:
//
//	go test -run - -bench Proxies -benchtime 1x -timeout 20m ./internal/bench
func BenchmarkProxies(b *testing.B) {
	for _, kind := range []string{kindSidecar, kindSmall, kindUntrusted} {
		for _, conns := range []int{1, 16, 64, 512} {
			if kind == kindSmall && conns > 64 {
				continue // more clients than descriptors
			}
			b.Run(fmt.Sprintf("%s/conns=%d", kind, conns), func(b *testing.B) {
				for b.Loop() {
					compareWithPeer(b, kind, conns)
				}
			})
		}
	}
}

// compareWithPeer measures a kind and the peer in turn and reports the ratios.
func compareWithPeer(b *testing.B, kind string, conns int) {
	b.Helper()
	var rate, p99, cpu []float64
	notServed := 0
	for range rounds {
		ours := run{kind: kind, conns: conns, duration: duration}.measure(b)
		peer := run{kind: kindPeer, conns: conns, duration: duration}.measure(b)
		b.Logf("%-9s %v", kind, ours)
		b.Logf("%-9s %v", kindPeer, peer)
		rate = append(rate, ours.rate/peer.rate)
		p99 = append(p99, float64(ours.p99)/float64(peer.p99))
		cpu = append(cpu, float64(ours.cpu)/float64(peer.cpu))
		notServed += ours.notServed
	}
	if conns == 1 && kind == kindSidecar {
		b.Logf("%-9s %v", kindDirect, run{kind: kindDirect, conns: conns, duration: duration}.measure(b))
	}
	b.ReportMetric(median(rate), "x-rate")
	b.ReportMetric(median(p99), "x-p99")
	b.ReportMetric(median(cpu), "x-cpu")
	b.ReportMetric(float64(notServed), "not-served")
	b.ReportMetric(0, "ns/op")
}

// median returns the upper median.
func median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[len(sorted)/2]
}

// BenchmarkConnections reports the backend connections for each request in flight, at 2,500
// requests a second of 5 ms: with trusted and with untrusted backends.
//
//	go test -run - -bench Connections -benchtime 1x ./internal/bench
func BenchmarkConnections(b *testing.B) {
	for _, kind := range []string{kindSidecar, kindUntrusted, kindPeer} {
		b.Run(kind, func(b *testing.B) {
			const conns, rate = 100, 2500
			r := run{
				kind: kind, conns: conns, duration: duration,
				interval: conns * time.Second / rate, work: 5 * time.Millisecond,
			}
			for b.Loop() {
				res := r.measure(b)
				b.Logf("%v, at most %d in flight", res, res.maxInFlight)
				b.ReportMetric(res.rate, "req/s")
				b.ReportMetric(float64(res.maxConns)/float64(res.maxInFlight), "conns/at-work")
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}

// BenchmarkIdle reports the resident memory of an idle sidecar's process and its time to the first
// response.
func BenchmarkIdle(b *testing.B) {
	for b.Loop() {
		start := time.Now()
		p, err := startProxy(kindSidecar, []string{"127.0.0.1:1"})
		if err != nil {
			b.Fatal(err)
		}
		_, _ = sendLoad(p.addr, 1, 0, 0) // connects: no backend answers
		b.ReportMetric(milliseconds(time.Since(start)), "start-ms")
		b.ReportMetric(float64(p.residentBytes(b))/(1<<20), "idle-MiB")
		p.stop()
	}
	b.ReportMetric(0, "ns/op")
}

// A short run through each proxy is served completely, or else the figures would mean nothing.
func TestAllProxiesServe(t *testing.T) {
	if runtime.GOOS != "linux" {
		t.Skip("reads /proc")
	}
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur < 1024 {
		t.Skip("few descriptors here")
	}
	for _, kind := range []string{kindDirect, kindPeer, kindSidecar, kindSmall} {
		res := run{kind: kind, conns: 4, duration: 200 * time.Millisecond}.measure(t)
		if res.served == 0 || res.notServed > 0 {
			t.Errorf("%s: %v", kind, res)
		}
	}
}
