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
	loadTick  = 5 * time.Millisecond
	mostOwed  = time.Second // of calls that a worker which falls behind makes up for; further ones are counted as skipped
	callWait  = time.Second
	slowest   = int64(time.Minute) // in a histogram, in nanoseconds
	precision = 3                  // digits
	noTenant  = -1
)

// Load makes calls at a steady rate on a fleet, whatever becomes of them.
type Load struct {
	fleet   *Fleet
	workers []*loader
	stop    context.CancelFunc
	running sync.WaitGroup
}

// Calls is what became of calls.
type Calls struct {
	Took    *hdrhistogram.Histogram // nanoseconds from the call's coming to its answer
	Served  int64
	Others  int64 // refused or failed
	Skipped int64 // that fell due but were not made
}

// loader makes the calls of some proxies.
type loader struct {
	fleet   *Fleet
	proxies []*proxy
	rate    float64 // calls a second
	number  uint64

	mu    sync.Mutex
	calls Calls
}

func newCalls() Calls { return Calls{Took: hdrhistogram.New(1, slowest, precision)} }

// NewLoad starts calls on all proxies that are alive, at a rate for each. Close ends them.
func NewLoad(f *Fleet, callsPerSecond float64) *Load {
	ctx, stop := context.WithCancel(f.halt)
	l := &Load{fleet: f, stop: stop}
	all := f.alive()
	workers := min(len(all), runtime.GOMAXPROCS(0))
	for i := range workers {
		w := &loader{fleet: f, calls: newCalls(), number: uint64(i) << 48}
		for n := i; n < len(all); n += workers {
			w.proxies = append(w.proxies, all[n])
		}
		w.rate = callsPerSecond * float64(len(w.proxies))
		l.workers = append(l.workers, w)
		l.running.Go(func() { w.run(ctx) })
	}
	return l
}

// Take returns what has become of the calls since it was last called.
func (l *Load) Take() Calls {
	sum := newCalls()
	for _, w := range l.workers {
		w.mu.Lock()
		calls := w.calls
		w.calls = newCalls()
		w.mu.Unlock()
		sum.Took.Merge(calls.Took)
		sum.Served += calls.Served
		sum.Others += calls.Others
		sum.Skipped += calls.Skipped
	}
	return sum
}

// Close ends the calls.
func (l *Load) Close() {
	l.stop()
	l.running.Wait()
}

func (w *loader) run(ctx context.Context) {
	tick := time.NewTicker(loadTick)
	defer tick.Stop()
	owed, last := 0.0, time.Now()
	for {
		select {
		case now := <-tick.C:
			owed += now.Sub(last).Seconds() * w.rate
			last = now
			if most := mostOwed.Seconds() * w.rate; owed > most {
				w.skip(int64(owed - most))
				owed = most
			}
			for ; owed >= 1 && ctx.Err() == nil; owed-- {
				w.call()
			}
		case <-ctx.Done():
			return
		}
	}
}

func (w *loader) skip(calls int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.calls.Skipped += calls
}

// call makes the next call. Proxies and their services take turns.
func (w *loader) call() {
	w.number++
	turn := w.number & (1<<48 - 1)
	p := w.proxies[turn%uint64(len(w.proxies))]
	if p.over.Load() || len(p.services) == 0 {
		w.skip(1)
		return
	}
	service := p.services[turn/uint64(len(w.proxies))%uint64(len(p.services))]
	began := time.Now()
	clock := p.sidecar.Clock()
	request := &core.Request{Request: logic.Request{ID: strconv.FormatUint(w.number, 16), Tenant: noTenant, ClientDeadline: clock.Now() + callWait.Microseconds()}}
	served := false
	err := guard(func() error {
		answer, err := p.sidecar.Call(service, request)
		if err != nil {
			return fmt.Errorf("call: %w", err)
		}
		served = answer.Verdict == core.Served
		answer.Response.Close()
		return nil
	})
	took := time.Since(began)
	if err != nil {
		w.fleet.fail(p, err)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if served {
		w.calls.Served++
	} else {
		w.calls.Others++
	}
	_ = w.calls.Took.RecordValue(min(max(1, took.Nanoseconds()), slowest)) // in range
}
