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
	// programEnv is the environment variable with the path of the program to measure. If it is
	// empty, the program is built from this source tree.
	programEnv = "FERNLANDING"

	herdReplicas   = 200
	herdRate       = 50               // snapshots per second that the list service can serve
	herdQueue      = 100              // snapshots that may wait at the list service
	herdWindow     = 45 * time.Second // duration of the measurement of a start
	herdOutage     = 20 * time.Second
	herdSpacing    = 30 * time.Millisecond // between starts, so that the list service is not overloaded
	herdTimeout    = 2 * time.Minute
	herdPoll       = 20 * time.Millisecond
	herdHealthPoll = 250 * time.Millisecond
)

// BenchmarkListHerd measures the load that proxies of the platform without a known list put on a
// slow list service that they share: when all of them start at once, and during an outage, in which
// the service responds with 503. One iteration is enough:
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

// herdStart measures a start of all replicas at once.
func herdStart(b *testing.B, program, mode string) {
	b.Helper()
	h := newHerd(b, 0)
	start := time.Now()
	h.start(b, program, mode, 0)
	allReady := waitForAll(func() int { return int(h.ready.Load()) }, start.Add(herdWindow))
	time.Sleep(time.Until(start.Add(herdWindow)))
	ready := h.ready.Load()
	_, snapshots := h.callsSince(start)
	b.ReportMetric(float64(ready), "ready")
	b.ReportMetric(peakPerSecond(snapshots, start), "whole/s-peak")
	b.ReportMetric(float64(len(snapshots))/herdWindow.Seconds(), "whole/s-mean")
	b.ReportMetric(allReady.Sub(start).Seconds(), "s-until-all-ready-or-end")
	b.ReportMetric(float64(h.callsGivenUp()), "given-up")
	b.ReportMetric(0, "ns/op")
}

// herdInOutage measures an outage. Once all replicas have a list, the service responds with 503 for
// the duration of herdOutage. The list changes before the end of the outage.
func herdInOutage(b *testing.B, program, mode string, retryAfter time.Duration) {
	b.Helper()
	h := newHerd(b, retryAfter)
	h.start(b, program, mode, herdSpacing)
	waitForAll(func() int { return h.replicasAt(1) }, time.Now().Add(herdTimeout))
	if n := h.replicasAt(1); n < herdReplicas {
		b.Fatalf("replicas with a list before the outage: got %d, want %d", n, herdReplicas)
	}
	h.service.SetDown(true)
	outageStart := time.Now()
	time.Sleep(herdOutage)
	h.service.Put(standin.Member{Name: "late", Address: "127.0.0.1:1", Zone: "a"})
	calls, _ := h.callsSince(outageStart)
	h.service.SetDown(false)
	outageEnd := time.Now()
	allUpdated := waitForAll(func() int { return h.replicasAt(2) }, outageEnd.Add(herdTimeout))
	_, snapshots := h.callsSince(outageEnd)
	b.ReportMetric(peakPerSecond(calls, outageStart), "calls/s-peak")
	b.ReportMetric(float64(len(calls))/herdOutage.Seconds(), "calls/s-mean")
	b.ReportMetric(allUpdated.Sub(outageEnd).Seconds(), "s-until-all-have-it")
	b.ReportMetric(float64(len(snapshots)), "whole-after")
	b.ReportMetric(0, "ns/op")
}

// herdProgram returns the path of the program to measure.
func herdProgram(b *testing.B) string {
	b.Helper()
	if program := os.Getenv(programEnv); program != "" {
		return program
	}
	program := filepath.Join(b.TempDir(), "fernlanding")
	if out, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput(); err != nil {
		b.Fatalf("build: %v\n%s", err, out)
	}
	return program
}

// herd is the replicas and their list service. The list service has an address for each replica, to
// distinguish the replicas.
type herd struct {
	service   *standin.Discovery
	addresses []string
	ready     atomic.Int32 // replicas whose health check has passed

	mu       sync.Mutex              // guards the fields below
	replicas map[string]int          // replicas by the address of their connections
	versions []int64                 // latest version that each replica has received
	calls    []standin.DiscoveryCall // calls that have ended
}

// newHerd starts the list service.
func newHerd(b *testing.B, retryAfter time.Duration) *herd {
	b.Helper()
	h := &herd{replicas: map[string]int{}, versions: make([]int64, herdReplicas)}
	var err error
	h.service, err = standin.NewDiscoveryWith(standin.DiscoveryConfig{
		Rate: herdRate, QueueSize: herdQueue, RetryAfter: retryAfter, OnCallEnd: h.recordCall,
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

// listen opens the address of the service for a replica.
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

// recordCall records a call that has ended.
func (h *herd) recordCall(call standin.DiscoveryCall) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.calls = append(h.calls, call)
	if call.Status == http.StatusOK && !call.CallerDisconnected {
		replica := h.replicas[call.Caller]
		h.versions[replica] = max(h.versions[replica], call.Index)
	}
}

// start starts the replicas with a time between the starts.
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
		go h.watchHealth(b.Context(), listen)
		b.Cleanup(func() {
			_ = cmd.Process.Kill()
			_ = cmd.Wait()
		})
		time.Sleep(spacing)
	}
}

// watchHealth polls the health check of a replica and counts the replica once the check passes.
func (h *herd) watchHealth(ctx context.Context, listen string) {
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

// replicasAt returns the number of replicas that have received a version of the list or a later
// one.
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

// callsGivenUp returns the number of calls whose caller had disconnected before the response.
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

// waitForAll polls until a count includes all replicas or the deadline has passed. It returns the
// time at which it saw the full count, or the deadline.
func waitForAll(count func() int, deadline time.Time) time.Time {
	for ; time.Now().Before(deadline); time.Sleep(herdPoll) {
		if count() == herdReplicas {
			return time.Now()
		}
	}
	return deadline
}

// callsSince returns the start times of all calls since a time, and of the calls for a snapshot
// among them. Calls that have not ended, and so were not rejected, are not included.
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

// peakPerSecond returns the highest number of times within one second, where seconds are counted
// from a start time.
func peakPerSecond(times []time.Time, from time.Time) float64 {
	counts, peak := map[int]int{}, 0
	for _, t := range times {
		second := int(t.Sub(from) / time.Second)
		counts[second]++
		peak = max(peak, counts[second])
	}
	return float64(peak)
}
