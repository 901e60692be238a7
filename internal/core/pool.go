// Package core implements the lifecycle of a request in one pool. The pool accepts the request, a
// [logic.Balancer] makes the decisions, an [Upstream] executes each attempt, and the request gets
// exactly one final answer. The package is independent of protocols.
//
// # Ownership
//
// A [Pool] owns one Balancer, the table of requests and the timers, and guards them by a lock. No
// goroutine owns this state: the goroutine that brings an event handles the event and its
// consequences under the lock. A request that is forwarded and served at once therefore needs no
// switch between goroutines. The Balancer sees events in the order in which the lock was acquired.
// Methods whose names end in Locked are called with the lock held.
//
// The goroutine that calls [Pool.Do] executes the request's attempts, one at a time and with the
// lock released. The pool starts no goroutines. The goroutine that calls [Pool.Run] runs timers,
// closes idle connections and logs traces.
//
// # Exactly one final answer
//
// Pool.answerLocked is the only function that answers a request in the pool. It answers each
// request once, because it sets Request.answered, which is guarded by the lock and never cleared.
// See docs/design/routing.md.
package core

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"fernlanding/internal/membership"
	"fernlanding/logic"
)

const (
	// idleSweepInterval is the interval between sweeps that close idle connections.
	idleSweepInterval = time.Second
	// deadlineGrace is the time from a request's deadline until the pool answers the request
	// without the balancer. It lets the balancer answer, and learn from, an attempt that times out
	// at the deadline.
	deadlineGrace = 10 * time.Millisecond
	// idleWakeup is the delay of the wakeup timer while no timer is set.
	idleWakeup = time.Hour
)

// Pool holds the requests, the Balancer and the backends of one service. Its methods are safe for
// concurrent use.
type Pool struct {
	clock           Clock
	upstream        Upstream
	zones           zoneNumbers
	log             *slog.Logger
	duplicateIDWait time.Duration // Config.DuplicateIDWait
	maxSendDelay    int64         // Settings.MaxSendDelay, in microseconds
	classes         []logic.Class // Settings.Classes
	watchRequested  chan struct{} // holds a value until the balancer's request for a watch is received
	ready           chan struct{} // closed once there is an endpoint list; see applyEndpoints
	traceStarted    chan struct{} // holds a value when Run has to start a trace
	wakeup          *time.Timer   // wakes Run for the earliest timer
	activeCalls     sync.WaitGroup

	mu            sync.Mutex // guards the fields below and the unexported fields of all requests
	balancer      *logic.Balancer
	requests      map[string]*Request // by ID; a request stays until it is answered and has no attempt in flight
	idHolders     map[string]*Request // by ID: the requests in the pool, and those whose body is being read
	addressOwners *membership.AddressOwners
	timers        timerHeap
	wakeupAt      int64      // time at which wakeup fires, in microseconds of the clock; 0 if it is not set for a timer
	unsent        []*Attempt // attempts that cannot be sent, reported to the balancer after the current event
	deadlineLimit int64      // latest deadline of any request, set by LimitDeadlines; 0 means no limit
	closed        bool       // no more requests are admitted
	tracer        tracer

	// forwardedIDs and unforwardedIDs are the IDs of requests that have ended, with and without an
	// attempt. A client that sends many requests that are shed thus displaces none with an attempt.
	// Both are nil if IDs may come again.
	forwardedIDs, unforwardedIDs *recentIDs
}

// Config configures a pool.
type Config struct {
	Settings logic.Settings
	Seed     uint64   // seed of the balancer's random numbers
	Zones    []string // zone names, indexed by the balancer's zone numbers
	Upstream Upstream
	Clock    Clock
	Log      *slog.Logger
	// DuplicateIDWait is the longest time that a request waits for the end of an earlier request
	// with the same ID. The wait is needed because a caller that has abandoned an attempt may retry
	// before this pool has noticed that the client has gone. 0 means that the request is rejected
	// at once.
	DuplicateIDWait time.Duration
	// RecentIDWindow is how long the ID of a request that has ended is not accepted again. The
	// window is for clients that send each ID once: a copy may still be on its way. 0 means that
	// the ID is accepted at once.
	RecentIDWindow time.Duration
}

// New returns a pool without an endpoint list. Timers do not run before Run is called.
func New(cfg Config) (*Pool, error) {
	balancer, err := logic.New(cfg.Settings, cfg.Seed)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	p := &Pool{
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
		idHolders:       map[string]*Request{},
		addressOwners:   membership.NewAddressOwners(),
	}
	if cfg.RecentIDWindow > 0 {
		p.forwardedIDs = newRecentIDs(cfg.RecentIDWindow.Microseconds())
		p.unforwardedIDs = newRecentIDs(cfg.RecentIDWindow.Microseconds())
	}
	return p, nil
}

// Run runs timers until the context is done. Then Run closes the pool, cancels all remaining
// requests and returns when no call of Do is active. Run must be called only once.
func (p *Pool) Run(ctx context.Context) {
	defer p.wakeup.Stop()
	sweep := time.NewTicker(idleSweepInterval)
	defer sweep.Stop()
	traceTicker := time.NewTicker(traceInterval)
	defer traceTicker.Stop()
	traceTicker.Stop() // until a trace starts
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

// runEvent handles an event and its consequences under the lock.
func (p *Pool) runEvent(event func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	event()
	p.finishEventLocked()
}

// finishEventLocked handles the consequences of an event: it reports attempts that cannot be sent,
// runs the timers that are due and schedules the wakeup for the next timer.
func (p *Pool) finishEventLocked() {
	p.reportUnsentLocked()
	p.runTimersLocked()
	p.scheduleWakeupLocked()
}

// Clock returns the clock of the pool's times.
func (p *Pool) Clock() Clock { return p.clock }

// Stats holds the sizes of a pool's tables.
type Stats struct {
	Requests int // includes answered requests with an attempt in flight
	Timers   int
	Zones    int // zone names that have a number of their own
}

// Stats returns the current sizes.
func (p *Pool) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Stats{Requests: len(p.requests), Timers: len(p.timers), Zones: len(p.zones)}
}
