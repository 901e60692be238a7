// Package follow is the follower's side of distribution. A [Follower] keeps one long poll open, for
// all resources that a process follows, at one of several relays; it fails over to another relay
// where that one fails, and returns to a preferred one later. Subscribers get the updates in order;
// the version of a resource never goes back.
//
// The parts, each in its own file: Follower and the state that its goroutines share; reader, the
// loop of reads and failover; the reports that can't wait for the next read; relayPicker (pure),
// which orders the relays and backs off from those that fail; and relayProber, which looks for a
// better relay than the current one.
package follow

import (
	"context"
	"sync"
	"time"

	"fernlanding/internal/distribution"
	"fernlanding/internal/distribution/httpapi"
)

// Follower follows resources. Its methods are safe for concurrent use.
type Follower struct {
	cfg       Config
	transport Transport
	traffic   *httpapi.Traffic
	now       func() time.Time
	// leaveTimeout bounds the request that ends the session when the follower ends.
	leaveTimeout time.Duration
	// reportPending wakes the reports: there is something that the relay should know before the
	// next read.
	reportPending chan struct{}

	// sending is held while a read is composed, and by a report until its request is answered, so
	// that a later request does not overtake an earlier one that says something older. It is taken
	// before mu.
	sending sync.Mutex

	mu            sync.Mutex
	subscriptions map[string]*subscription // by resource
	sessionID     string                   // empty: no session
	relay         string                   // that answered last
	// What the session does not know yet.
	unsentPositions  map[string]bool // resources
	unsentUnfollowed map[string]bool // resources that the session need not follow any more
	unsentStatuses   map[string]bool // of statuses
	statuses         map[string]*distribution.ResourceStatus
	health           Health
	stats            Stats
}

// New returns a follower that calls relays over HTTP. It does nothing before Run.
func New(cfg Config) *Follower {
	traffic := new(httpapi.Traffic)
	return newFollower(cfg, httpapi.NewClient(traffic.Dial(cfg.Dial)), traffic)
}

// newFollower returns a follower that calls relays by a transport, whose bytes traffic counts.
func newFollower(cfg Config, transport Transport, traffic *httpapi.Traffic) *Follower {
	return &Follower{
		cfg:              cfg.withDefaults(),
		transport:        transport,
		traffic:          traffic,
		now:              time.Now,
		leaveTimeout:     endLeaveTimeout,
		reportPending:    make(chan struct{}, 1),
		subscriptions:    make(map[string]*subscription),
		unsentPositions:  make(map[string]bool),
		unsentUnfollowed: make(map[string]bool),
		unsentStatuses:   make(map[string]bool),
		statuses:         make(map[string]*distribution.ResourceStatus),
	}
}

// Run follows until the context ends. It is called once.
func (f *Follower) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	var reports sync.WaitGroup
	defer f.transport.Close()
	defer reports.Wait()
	defer cancel()
	if len(f.cfg.Relays) == 0 {
		f.cfg.Log.Error("distribution: no relay is configured")
		<-ctx.Done()
		return
	}
	r := newReader(f)
	reports.Go(func() { f.sendReports(ctx) })
	r.run(ctx)
}

// Health returns how the follower stands with its relays.
func (f *Follower) Health() Health {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.health
}

// Stats returns the counters.
func (f *Follower) Stats() Stats {
	f.mu.Lock()
	defer f.mu.Unlock()
	stats := f.stats
	stats.BytesIn = f.traffic.In.Load()
	stats.BytesOut = f.traffic.Out.Load()
	return stats
}
