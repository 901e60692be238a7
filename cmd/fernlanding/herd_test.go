package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"fernlanding/internal/standin"
)

const (
	programVar     = "FERNLANDING" // the environment variable with the program to measure; empty: built from this tree
	herdReplicas   = 200
	herdRate       = 50 // snapshots a second that the list service can serve
	herdQueue      = 100
	herdWindow     = 45 * time.Second // of a measurement of a start
	herdOutage     = 20 * time.Second
	herdSpacing    = 30 * time.Millisecond // between starts, which the list service can bear
	herdTimeout    = 2 * time.Minute
	herdPoll       = 20 * time.Millisecond
	herdHealthPoll = 250 * time.Millisecond
)

// BenchmarkListHerd measures how proxies of the platform that share one slow list service poll it
// without a known list: all of them started at once, and in an outage of the service, which then
// answers 503. One iteration is enough:
//
//	go test -run - -bench ListHerd -benchtime 1x -timeout 30m ./cmd/fernlanding
func BenchmarkListHerd(b *testing.B) {
	program := herdProgram(b)
	for _, mode := range []string{"automatic", "subscribe"} {
		b.Run(mode+"/start", func(b *testing.B) {
			for b.Loop() {
				herdStart(b, program, mode)
			}
		})
		for name, retryAfter := range map[string]time.Duration{"outage": 0, "outage-retry-after-2s": 2 * time.Second} {
			b.Run(mode+"/"+name, func(b *testing.B) {
				for b.Loop() {
					herdInOutage(b, program, mode, retryAfter)
				}
			})
		}
	}
}

// herdStart starts all replicas at once.
func herdStart(b *testing.B, program, mode string) {
	b.Helper()
	h := newHerd(b, 0)
	began := time.Now()
	h.start(b, program, mode, 0)
	allReady := waitForAll(func() int { return int(h.ready.Load()) }, began.Add(herdWindow))
	time.Sleep(time.Until(began.Add(herdWindow)))
	ready := h.ready.Load()
	_, snapshots := h.callsSince(began)
	b.ReportMetric(float64(ready), "ready")
	b.ReportMetric(peakPerSecond(snapshots, began), "whole/s-peak")
	b.ReportMetric(float64(len(snapshots))/herdWindow.Seconds(), "whole/s-mean")
	b.ReportMetric(allReady.Sub(began).Seconds(), "s-until-all-ready-or-end")
	b.ReportMetric(float64(h.callsGivenUp()), "given-up")
	b.ReportMetric(0, "ns/op")
}

// herdInOutage has the service answer 503 for herdOutage once all replicas have a list, with a
// change of the list before the end.
func herdInOutage(b *testing.B, program, mode string, retryAfter time.Duration) {
	b.Helper()
	h := newHerd(b, retryAfter)
	h.start(b, program, mode, herdSpacing)
	waitForAll(func() int { return h.replicasAt(1) }, time.Now().Add(herdTimeout))
	if n := h.replicasAt(1); n < herdReplicas {
		b.Fatalf("%d of %d replicas have a list before the outage", n, herdReplicas)
	}
	h.service.SetDown(true)
	began := time.Now()
	time.Sleep(herdOutage)
	h.service.Put(standin.Member{Name: "late", Address: "127.0.0.1:1", Zone: "a"})
	calls, _ := h.callsSince(began)
	h.service.SetDown(false)
	ended := time.Now()
	allUpdated := waitForAll(func() int { return h.replicasAt(2) }, ended.Add(herdTimeout))
	_, snapshots := h.callsSince(ended)
	b.ReportMetric(peakPerSecond(calls, began), "calls/s-peak")
	b.ReportMetric(float64(len(calls))/herdOutage.Seconds(), "calls/s-mean")
	b.ReportMetric(allUpdated.Sub(ended).Seconds(), "s-until-all-have-it")
	b.ReportMetric(float64(len(snapshots)), "whole-after")
	b.ReportMetric(0, "ns/op")
}

// herdProgram returns the program to measure.
func herdProgram(b *testing.B) string {
	b.Helper()
	if program := os.Getenv(programVar); program != "" {
		return program
	}
	program := filepath.Join(b.TempDir(), "fernlanding")
	if out, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput(); err != nil {
		b.Fatalf("build: %v\n%s", err, out)
	}
	return program
}

// herd is the replicas and their list service, which has an address for each of them to tell them
// apart.
type herd struct {
	service   *standin.Discovery
	addresses []string
	ready     atomic.Int32 // replicas whose health check has passed

	mu       sync.Mutex     // guards what follows
	replicas map[string]int // by the address of their connections
	versions []int64        // the newest that each replica has got
	calls    []standin.DiscoveryCall
}

// newHerd starts the list service.
func newHerd(b *testing.B, retryAfter time.Duration) *herd {
	b.Helper()
	h := &herd{replicas: map[string]int{}, versions: make([]int64, herdReplicas)}
	var err error
	h.service, err = standin.NewDiscoveryWith(standin.DiscoveryConfig{
		Rate: herdRate, QueueSize: herdQueue, RetryAfter: retryAfter, OnCallEnd: h.report,
	})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(h.service.Close)
	h.service.Put(standin.Member{Name: "a", Address: "127.0.0.1:1", Zone: "a"})
	for i := range herdReplicas {
		h.addresses = append(h.addresses, h.listen(b, i))
	}
	return h
}

// listen opens the service's address for one replica.
func (h *herd) listen(b *testing.B, replica int) string {
	b.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	handler := func(w http.ResponseWriter, r *http.Request) {
		h.mu.Lock()
		h.replicas[r.RemoteAddr] = replica
		h.mu.Unlock()
		h.service.ServeHTTP(w, r)
	}
	server := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(handler)}
	go func() { _ = server.Serve(l) }()
	b.Cleanup(func() { _ = server.Close() })
	return l.Addr().String()
}

// report records a call that has ended.
func (h *herd) report(call standin.DiscoveryCall) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.calls = append(h.calls, call)
	if call.Status == http.StatusOK && !call.CallerDisconnected {
		replica := h.replicas[call.Caller]
		h.versions[replica] = max(h.versions[replica], call.Index)
	}
}

// start starts the replicas, some time apart.
func (h *herd) start(b *testing.B, program, mode string, spacing time.Duration) {
	b.Helper()
	for i, address := range h.addresses {
		file := filepath.Join(b.TempDir(), "config.json")
		listen := freeAddress(b)
		if err := os.WriteFile(file, []byte(herdConfig(i, listen, address, mode)), 0o600); err != nil {
			b.Fatal(err)
		}
		cmd := exec.Command(program)
		cmd.Env = append(os.Environ(), "LB_CONFIG="+file)
		if err := cmd.Start(); err != nil {
			b.Fatal(err)
		}
		go h.watch(b.Context(), listen)
		b.Cleanup(func() {
			_ = cmd.Process.Kill()
			_ = cmd.Wait()
		})
		time.Sleep(spacing)
	}
}

// watch counts a replica once its health check passes.
func (h *herd) watch(ctx context.Context, listen string) {
	poll := time.NewTicker(herdHealthPoll)
	defer poll.Stop()
	for {
		select {
		case <-poll.C:
		case <-ctx.Done():
			return
		}
		resp, err := http.Get("http://" + listen + "/_health")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			h.ready.Add(1)
			return
		}
	}
}

// herdConfig returns the configuration of a replica.
func herdConfig(replica int, listen, discovery, mode string) string {
	return fmt.Sprintf(`{"name":"n%d","listen":%q,"discovery":%q,"seed":"%x",
"limits":{"cores":1,"memory_mb":64,"sockets":256},"known":null,
"settings":{"contract":{"ask_every_us":10000000},"failure_domains":["a"],
"limits":{"dial_timeout_us":1000000,"idle_close_us":10000000,"try_limit":2},"membership_mode":%q,
"profiles":[{"give_up_us":9000000,"name":"look","objective_us":9000000,"repeat":"idempotent","worth":1}],
"siblings":%d}}`,
		replica, listen, discovery, 1000+replica, mode, herdReplicas)
}

// replicasAt returns how many replicas have got a version of the list, or a later one.
func (h *herd) replicasAt(version int64) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	count := 0
	for _, v := range h.versions {
		if v >= version {
			count++
		}
	}
	return count
}

// callsGivenUp returns how many calls were served after their caller had given up.
func (h *herd) callsGivenUp() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	count := 0
	for _, c := range h.calls {
		if c.CallerDisconnected {
			count++
		}
	}
	return count
}

// waitForAll waits until a count includes all replicas, and returns when that was seen, or the
// deadline.
func waitForAll(count func() int, deadline time.Time) time.Time {
	for ; time.Now().Before(deadline); time.Sleep(herdPoll) {
		if count() == herdReplicas {
			return time.Now()
		}
	}
	return deadline
}

// callsSince returns when the calls since a time began, and those for a snapshot among them. Calls
// that are open, and so were not rejected, are not included.
func (h *herd) callsSince(since time.Time) (all, snapshots []time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, c := range h.calls {
		if c.StartTime.Before(since) {
			continue
		}
		all = append(all, c.StartTime)
		if c.From < 0 {
			snapshots = append(snapshots, c.StartTime)
		}
	}
	return all, snapshots
}

// peakPerSecond returns how many of some times fall into one second at most; seconds are counted
// from a time on.
func peakPerSecond(times []time.Time, from time.Time) float64 {
	counts, peak := map[int]int{}, 0
	for _, t := range times {
		second := int(t.Sub(from) / time.Second)
		counts[second]++
		peak = max(peak, counts[second])
	}
	return float64(peak)
}
