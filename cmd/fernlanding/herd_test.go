package main

import (
	"context"
	"fernlanding/internal/standin"
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
)

const (
	programVar     = "FERNLANDING" // the program to measure; empty: built from this tree
	herdCopies     = 200
	herdRate       = 50 // whole readings a second that the list service works off
	herdQueue      = 100
	herdStretch    = 45 * time.Second
	herdOutage     = 20 * time.Second
	herdSpacing    = 30 * time.Millisecond // between starts that the service bears
	herdPatience   = 2 * time.Minute
	herdPoll       = 20 * time.Millisecond
	herdHealthPoll = 250 * time.Millisecond
)

// BenchmarkListHerd plays processes of the platform's form that share one slow list service and know of no list: all of them started
// at once, and an outage of the service, which then answers 503. One round of each is enough:
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

// herdStart starts all copies at once.
func herdStart(b *testing.B, program, mode string) {
	h := newHerd(b, 0)
	began := time.Now()
	h.start(b, program, mode, 0)
	all := waitForAll(func() int { return int(h.ready.Load()) }, began.Add(herdStretch))
	time.Sleep(time.Until(began.Add(herdStretch)))
	ready := h.ready.Load()
	_, whole := h.since(began)
	b.ReportMetric(float64(ready), "ready")
	b.ReportMetric(peakPerSecond(whole, began), "whole/s-peak")
	b.ReportMetric(float64(len(whole))/herdStretch.Seconds(), "whole/s-mean")
	b.ReportMetric(all.Sub(began).Seconds(), "s-until-all-ready-or-end")
	b.ReportMetric(float64(h.givenUp()), "given-up")
	b.ReportMetric(0, "ns/op")
}

// herdInOutage has the service answer 503 for a while once all copies have a list, with a change before its end.
func herdInOutage(b *testing.B, program, mode string, retryAfter time.Duration) {
	h := newHerd(b, retryAfter)
	h.start(b, program, mode, herdSpacing)
	waitForAll(func() int { return h.have(1) }, time.Now().Add(herdPatience))
	if n := h.have(1); n < herdCopies {
		b.Fatalf("%d of %d copies have a list before the outage", n, herdCopies)
	}
	h.service.Down(true)
	began := time.Now()
	time.Sleep(herdOutage)
	h.service.Put(standin.Member{Name: "late", Address: "127.0.0.1:1", Zone: "a"})
	calls, _ := h.since(began)
	h.service.Down(false)
	ended := time.Now()
	last := waitForAll(func() int { return h.have(2) }, ended.Add(herdPatience))
	_, whole := h.since(ended)
	b.ReportMetric(peakPerSecond(calls, began), "calls/s-peak")
	b.ReportMetric(float64(len(calls))/herdOutage.Seconds(), "calls/s-mean")
	b.ReportMetric(last.Sub(ended).Seconds(), "s-until-all-have-it")
	b.ReportMetric(float64(len(whole)), "whole-after")
	b.ReportMetric(0, "ns/op")
}

// herdProgram is the program that is measured.
func herdProgram(b *testing.B) string {
	if program := os.Getenv(programVar); program != "" {
		return program
	}
	program := filepath.Join(b.TempDir(), "fernlanding")
	if out, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput(); err != nil {
		b.Fatalf("build: %v\n%s", err, out)
	}
	return program
}

// herd is the copies, and the list service before which each has an address of its own, by which it is known.
type herd struct {
	service   *standin.Discovery
	addresses []string
	ready     atomic.Int32 // copies whose health was seen to be good

	mu    sync.Mutex
	of    map[string]int // the copy at the other end of a connection, by its address
	index []int64        // the newest version that a copy was told
	calls []standin.DiscoveryCall
}

func newHerd(b *testing.B, retryAfter time.Duration) *herd {
	h := &herd{of: map[string]int{}, index: make([]int64, herdCopies)}
	var err error
	h.service, err = standin.NewDiscoveryWith(standin.DiscoveryConfig{Rate: herdRate, Queue: herdQueue, RetryAfter: retryAfter, Report: h.report})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(h.service.Close)
	h.service.Put(standin.Member{Name: "a", Address: "127.0.0.1:1", Zone: "a"})
	for i := range herdCopies {
		h.addresses = append(h.addresses, h.listen(b, i))
	}
	return h
}

// listen opens the service's address for one copy.
func (h *herd) listen(b *testing.B, i int) string {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	s := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h.mu.Lock()
		h.of[r.RemoteAddr] = i
		h.mu.Unlock()
		h.service.ServeHTTP(w, r)
	})}
	go func() { _ = s.Serve(l) }()
	b.Cleanup(func() { _ = s.Close() })
	return l.Addr().String()
}

// report takes the end of a call.
func (h *herd) report(call standin.DiscoveryCall) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.calls = append(h.calls, call)
	if copied := h.of[call.Caller]; call.Status == http.StatusOK && !call.CallerLeft {
		h.index[copied] = max(h.index[copied], call.Index)
	}
}

// start starts the copies, some time apart.
func (h *herd) start(b *testing.B, program, mode string, apart time.Duration) {
	for i, address := range h.addresses {
		file := filepath.Join(b.TempDir(), "config.json")
		listen := herdAddress(b)
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
		time.Sleep(apart)
	}
}

// watch notes when a copy says that it is ready.
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

// herdAddress is a loopback address that nobody listens on.
func herdAddress(b *testing.B) string {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// herdConfig is the configuration of a copy.
func herdConfig(i int, listen, address, mode string) string {
	return fmt.Sprintf(`{"name":"n%d","listen":%q,"discovery":%q,"seed":"%x","limits":{"cores":1,"memory_mb":64,"sockets":256},"known":null,
"settings":{"contract":{"ask_every_us":10000000},"failure_domains":["a"],"limits":{"dial_timeout_us":1000000,"idle_close_us":10000000,"try_limit":2},
"membership_mode":%q,"profiles":[{"give_up_us":9000000,"name":"look","objective_us":9000000,"repeat":"idempotent","worth":1}],"siblings":%d}}`,
		i, listen, address, 1000+i, mode, herdCopies)
}

// have is how many copies were told a version.
func (h *herd) have(index int64) (n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, v := range h.index {
		if v >= index {
			n++
		}
	}
	return n
}

// givenUp is how many calls were worked off after their caller had gone.
func (h *herd) givenUp() (n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, c := range h.calls {
		if c.CallerLeft {
			n++
		}
	}
	return n
}

// waitForAll waits until a count is that of all copies, and returns when that was seen, or the time until which it waits.
func waitForAll(count func() int, until time.Time) time.Time {
	for ; time.Now().Before(until); time.Sleep(herdPoll) {
		if count() == herdCopies {
			return time.Now()
		}
	}
	return until
}

// since is when the calls were made that were made since a time, and those for the whole list among them. Calls that are open, and
// so were not turned away, are not counted.
func (h *herd) since(began time.Time) (all, whole []time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, c := range h.calls {
		if c.Began.Before(began) {
			continue
		}
		if all = append(all, c.Began); c.From < 0 {
			whole = append(whole, c.Began)
		}
	}
	return all, whole
}

// peakPerSecond is the most of some times that fall into one second from a time on.
func peakPerSecond(at []time.Time, began time.Time) float64 {
	count, most := map[int]int{}, 0
	for _, t := range at {
		second := int(t.Sub(began) / time.Second)
		count[second]++
		most = max(most, count[second])
	}
	return float64(most)
}
