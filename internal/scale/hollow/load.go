package hollow

import (
	"context"
	"fmt"
	"runtime"
	"strconv"
	"sync"
	"time"

	"fernlanding/internal/core"
	"fernlanding/logic"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	callInterval = 5 * time.Millisecond
	// maxBacklog bounds the due calls of a worker that is behind schedule. Calls beyond it count as
	// skipped.
	maxBacklog  = time.Second
	callTimeout = time.Second
	maxLatency  = int64(time.Minute) // largest value of a histogram, in nanoseconds
	precision   = 3                  // significant digits of a histogram
	noTenant    = -1
)

// Load makes calls to a fleet at a constant rate, regardless of the outcomes.
type Load struct {
	workers []*callWorker
	stop    context.CancelFunc
	running sync.WaitGroup
}

// Calls counts calls by their outcome.
type Calls struct {
	Latency   *hdrhistogram.Histogram // latencies of all calls made, in nanoseconds
	Served    int64
	NotServed int64 // rejected or failed
	Skipped   int64 // due but not made
}

// callWorker makes the calls to some of the proxies.
type callWorker struct {
	fleet   *Fleet
	proxies []*proxy
	rate    float64 // calls per second over all proxies of the worker
	number  uint64  // number of the last call; the upper 16 bits identify the worker

	mu    sync.Mutex
	calls Calls
}

func newCalls() Calls { return Calls{Latency: hdrhistogram.New(1, maxLatency, precision)} }

// NewLoad starts calls to all proxies that have not failed. The rate callsPerSecond applies to each
// proxy. Close of the load or of the fleet stops the calls.
func NewLoad(f *Fleet, callsPerSecond float64) *Load {
	ctx, stop := f.newContext()
	l := &Load{stop: stop}
	all := f.alive()
	workers := min(len(all), runtime.GOMAXPROCS(0))
	for i := range workers {
		w := &callWorker{fleet: f, calls: newCalls(), number: uint64(i) << 48}
		for n := i; n < len(all); n += workers {
			w.proxies = append(w.proxies, all[n])
		}
		w.rate = callsPerSecond * float64(len(w.proxies))
		l.workers = append(l.workers, w)
		l.running.Go(func() { w.run(ctx) })
	}
	return l
}

// Take returns the outcomes of the calls since the last Take.
func (l *Load) Take() Calls {
	sum := newCalls()
	for _, w := range l.workers {
		w.mu.Lock()
		calls := w.calls
		w.calls = newCalls()
		w.mu.Unlock()
		sum.Latency.Merge(calls.Latency)
		sum.Served += calls.Served
		sum.NotServed += calls.NotServed
		sum.Skipped += calls.Skipped
	}
	return sum
}

// Close stops the calls and returns when no call is in progress.
func (l *Load) Close() {
	l.stop()
	l.running.Wait()
}

// run makes the due calls at each tick until ctx is done.
func (w *callWorker) run(ctx context.Context) {
	tick := time.NewTicker(callInterval)
	defer tick.Stop()
	due, last := 0.0, time.Now()
	for {
		select {
		case now := <-tick.C:
			due += now.Sub(last).Seconds() * w.rate
			last = now
			if most := maxBacklog.Seconds() * w.rate; due > most {
				w.skip(int64(due - most))
				due = most
			}
			for ; due >= 1 && ctx.Err() == nil; due-- {
				w.call()
			}
		case <-ctx.Done():
			return
		}
	}
}

// skip counts calls that were due but are not made.
func (w *callWorker) skip(calls int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.calls.Skipped += calls
}

// call makes the next call. It uses the proxies, and the services of each proxy, in turn.
func (w *callWorker) call() {
	w.number++
	turn := w.number & (1<<48 - 1)
	p := w.proxies[turn%uint64(len(w.proxies))]
	if p.failed.Load() || len(p.services) == 0 {
		w.skip(1)
		return
	}
	service := p.services[turn/uint64(len(w.proxies))%uint64(len(p.services))]
	startTime := time.Now()
	request := w.newRequest(p)
	isServed := false
	err := recoverPanic(func() error {
		outcome, err := p.sidecar.Do(service, request)
		if err != nil {
			return fmt.Errorf("call: %w", err)
		}
		isServed = outcome.Verdict == core.Served
		outcome.Response.Close()
		return nil
	})
	latency := time.Since(startTime)
	if err != nil {
		w.fleet.failProxy(p, err)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if isServed {
		w.calls.Served++
	} else {
		w.calls.NotServed++
	}
	// RecordValue fails only for values out of range.
	_ = w.calls.Latency.RecordValue(min(max(1, latency.Nanoseconds()), maxLatency))
}

// newRequest returns the request of the current call to a proxy.
func (w *callWorker) newRequest(p *proxy) *core.Request {
	return &core.Request{Request: logic.Request{
		ID:             strconv.FormatUint(w.number, 16),
		Tenant:         noTenant,
		ClientDeadline: p.sidecar.Clock().Now() + callTimeout.Microseconds(),
	}}
}
