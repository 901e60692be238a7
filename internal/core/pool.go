// Package core runs the life of a request in one pool: the pool takes the request, the module
// (package logic) decides, an upstream carries each attempt out, and the request gets exactly one
// final answer. It knows no protocol.
//
// # Ownership
//
// A Pool owns one Balancer, the table of requests and the timers. The owner is a lock and not a
// goroutine: whoever brings an event handles it under the lock, with all that follows from it, so
// that a request that is forwarded and served at once changes goroutines nowhere. The module sees
// events in the order in which the lock was taken. A method whose name ends in Locked is called
// with the lock held.
//
// A request's attempts are carried out by the goroutine that called Pool.Do, one at a time and with
// the lock released. The only goroutine of the pool itself is its caller's in Pool.Run, which runs
// timers, closes idle connections and logs traces.
//
// # One final answer
//
// Pool.answerLocked is the only place that answers a request that a pool has taken. It does so
// once: Request.answered, which the lock guards, is set there and never cleared. See
// docs/design/routing.md.
package core

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"fernlanding/logic"
)

const (
	idleSweepInterval = time.Second // between two looks for idle connections to close
	// An attempt's timeout at the request's deadline is the module's to answer and to learn from;
	// this much later the request is answered whatever the module decides.
	deadlineGrace = 10 * time.Millisecond
	idleWakeup    = time.Hour // of the wakeup timer while no timer is set
)

// Pool is one service's requests, Balancer and backends. Its methods may be called from any
// goroutine.
type Pool struct {
	clock           Clock
	upstream        Upstream
	zones           zoneNumbers
	log             *slog.Logger
	duplicateIDWait time.Duration // of Config
	maxSendDelay    int64         // of Settings, in microseconds
	classes         []logic.Class // of Settings
	watchRequested  chan struct{} // holds one while the module's request to watch the list is not taken up
	ready           chan struct{} // closed when there is a list; see applyEndpoints
	traceStarted    chan struct{} // holds one when Run is to begin a trace
	wakeup          *time.Timer   // wakes Run for the earliest timer
	activeCalls     sync.WaitGroup

	mu            sync.Mutex // guards what follows, and the unexported fields of all requests
	balancer      *logic.Balancer
	requests      map[string]*Request // by ID, until answered and without an attempt in flight
	timers        timerHeap
	wakeupAt      int64      // when wakeup fires, in microseconds of the clock; 0: when nothing waits for it
	unsent        []*Attempt // that can't be carried out; the module learns of them after the present event
	deadlineLimit int64      // from LimitDeadlines on: no request's deadline is later; else 0
	closed        bool       // admits no more requests
	tracer        tracer
}

// Config configures a pool.
type Config struct {
	Settings logic.Settings
	Seed     uint64   // of all random draws
	Zones    []string // by the module's numbers
	Upstream Upstream
	Clock    Clock
	Log      *slog.Logger
	// DuplicateIDWait is how long a request waits for the end of an earlier one with the same ID. A
	// caller that has given up an attempt may retry before this pool has seen the client leave. 0:
	// the request is rejected at once.
	DuplicateIDWait time.Duration
}

// New returns a pool without a list of endpoints. Its timers do not run before Run.
func New(cfg Config) (*Pool, error) {
	balancer, err := logic.New(cfg.Settings, cfg.Seed)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return &Pool{
		clock:           cfg.Clock,
		upstream:        cfg.Upstream,
		zones:           newZoneNumbers(cfg.Zones),
		log:             cfg.Log,
		duplicateIDWait: cfg.DuplicateIDWait,
		maxSendDelay:    cfg.Settings.MaxSendDelay,
		classes:         cfg.Settings.Classes,
		watchRequested:  make(chan struct{}, 1),
		ready:           make(chan struct{}),
		traceStarted:    make(chan struct{}, 1),
		wakeup:          time.NewTimer(idleWakeup),
		balancer:        balancer,
		requests:        map[string]*Request{},
	}, nil
}

// Run runs timers until the context ends. Then it cancels every request that is left, and returns
// when no call of Do is active. It is called once.
func (p *Pool) Run(ctx context.Context) {
	defer p.wakeup.Stop()
	sweep := time.NewTicker(idleSweepInterval)
	defer sweep.Stop()
	traceTicker := time.NewTicker(traceInterval)
	defer traceTicker.Stop()
	traceTicker.Stop() // until a trace begins
	for {
		select {
		case <-p.traceStarted:
			traceTicker.Reset(traceInterval)
		case now := <-traceTicker.C:
			if !p.logTrace(now) {
				traceTicker.Stop()
			}
		case <-p.wakeup.C:
			p.runEvent(func() { p.wakeupAt = 0 })
		case now := <-sweep.C:
			p.upstream.CloseExpired(now)
		case <-ctx.Done():
			p.Close()
			p.cancelAll()
			p.activeCalls.Wait()
			return
		}
	}
}

// runEvent handles one event under the lock, and what follows from it.
func (p *Pool) runEvent(event func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	event()
	p.finishEventLocked()
}

// finishEventLocked handles what follows from an event: attempts that can't be carried out, timers
// that are due, and the wakeup for the next timer.
func (p *Pool) finishEventLocked() {
	p.reportUnsentLocked()
	p.runTimersLocked()
	p.scheduleWakeupLocked()
}

// Clock returns the clock that the pool's times are of.
func (p *Pool) Clock() Clock { return p.clock }

// Stats counts what a pool holds.
type Stats struct {
	Requests int // including those that are answered while an attempt is in flight
	Timers   int
	Zones    int // names that have a number
}

// Stats returns the present counts.
func (p *Pool) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Stats{Requests: len(p.requests), Timers: len(p.timers), Zones: len(p.zones)}
}
