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
	rounds      = 3
	runDuration = 2 * time.Second // duration of one run
	numBackends = 4
)

// run is the parameters of one measurement of a proxy.
type run struct {
	kind        string
	conns       int
	duration    time.Duration
	interval    time.Duration // between the starts of a connection's requests; 0 means without pause
	serviceTime time.Duration // time that a backend takes for each request
}

// measure starts backends and a proxy in front of them, sends load for a quarter of the duration to
// warm up, measures a run of the whole duration, and stops them.
func (r run) measure(tb testing.TB) result {
	tb.Helper()
	var inFlight inFlightCounter
	var backends []*server
	var addrs []string
	for range numBackends {
		s, err := newServer(r.serviceTime, &inFlight)
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
	res.maxInFlight = inFlight.peak.Load()
	return res
}

// BenchmarkProxies sends the same load through the sidecar and through httputil.ReverseProxy,
// alternating between them, to the same kind of backends. It reports the median of the ratio of the
// two over three rounds:
//
//	go test -run - -bench Proxies -benchtime 1x -timeout 20m ./internal/bench
func BenchmarkProxies(b *testing.B) {
	for _, kind := range []string{kindSidecar, kindSmall, kindUntrusted} {
		for _, conns := range []int{1, 16, 64, 512} {
			if kind == kindSmall && conns > 64 {
				continue // more connections than file descriptors
			}
			b.Run(fmt.Sprintf("%s/conns=%d", kind, conns), func(b *testing.B) {
				for b.Loop() {
					compareWithReverseProxy(b, kind, conns)
				}
			})
		}
	}
}

// compareWithReverseProxy measures a kind of proxy and httputil.ReverseProxy in turn, and reports
// the ratios.
func compareWithReverseProxy(b *testing.B, kind string, conns int) {
	b.Helper()
	var rate, p99, cpu []float64
	notServed := 0
	for range rounds {
		sidecar := run{kind: kind, conns: conns, duration: runDuration}.measure(b)
		reverseProxy := run{kind: kindReverseProxy, conns: conns, duration: runDuration}.measure(b)
		b.Logf("%-9s %v", kind, sidecar)
		b.Logf("%-9s %v", kindReverseProxy, reverseProxy)
		rate = append(rate, sidecar.rate/reverseProxy.rate)
		p99 = append(p99, float64(sidecar.p99)/float64(reverseProxy.p99))
		cpu = append(cpu, float64(sidecar.cpu)/float64(reverseProxy.cpu))
		notServed += sidecar.notServed
	}
	if conns == 1 && kind == kindSidecar {
		b.Logf("%-9s %v", kindDirect, run{kind: kindDirect, conns: conns, duration: runDuration}.measure(b))
	}
	b.ReportMetric(median(rate), "x-rate")
	b.ReportMetric(median(p99), "x-p99")
	b.ReportMetric(median(cpu), "x-cpu")
	b.ReportMetric(float64(notServed), "not-served")
	b.ReportMetric(0, "ns/op")
}

// median returns the median, or the upper one of an even number of values.
func median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[len(sorted)/2]
}

// BenchmarkConnections reports the ratio of backend connections to requests in flight, at 2,500
// requests per second that take 5 ms each, with trusted and with untrusted backends and with
// httputil.ReverseProxy:
//
//	go test -run - -bench Connections -benchtime 1x ./internal/bench
func BenchmarkConnections(b *testing.B) {
	for _, kind := range []string{kindSidecar, kindUntrusted, kindReverseProxy} {
		b.Run(kind, func(b *testing.B) {
			const conns, rate = 100, 2500
			r := run{
				kind: kind, conns: conns, duration: runDuration,
				interval: conns * time.Second / rate, serviceTime: 5 * time.Millisecond,
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

// BenchmarkIdle reports the resident memory of an idle sidecar's process, and the time from its
// start to its first response.
func BenchmarkIdle(b *testing.B) {
	for b.Loop() {
		start := time.Now()
		p, err := startProxy(kindSidecar, []string{"127.0.0.1:1"})
		if err != nil {
			b.Fatal(err)
		}
		_, _ = sendLoad(p.addr, 1, 0, 0) // only connects, because no backend is listening
		b.ReportMetric(milliseconds(time.Since(start)), "start-ms")
		b.ReportMetric(float64(p.residentBytes(b))/(1<<20), "idle-MiB")
		p.stop()
	}
	b.ReportMetric(0, "ns/op")
}

// Each proxy serves all requests of a short run. Otherwise the figures of the benchmarks would mean
// nothing.
func TestAllProxiesServe(t *testing.T) {
	if runtime.GOOS != "linux" {
		t.Skip("needs /proc of Linux")
	}
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur < 1024 {
		t.Skip("needs a limit of at least 1024 file descriptors")
	}
	for _, kind := range []string{kindDirect, kindReverseProxy, kindSidecar, kindSmall} {
		res := run{kind: kind, conns: 4, duration: 200 * time.Millisecond}.measure(t)
		if res.served == 0 || res.notServed > 0 {
			t.Errorf("%s: got %v, want all requests served", kind, res)
		}
	}
}
