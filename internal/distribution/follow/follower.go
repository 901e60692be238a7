// Package follow implements the follower's side of package distribution. A [Follower] keeps one
// long poll for all resources of a process open at one of several relays. If that relay fails, the
// Follower fails over to another relay, and later returns to a preferred relay. Subscribers receive
// the updates in order, and the version of a resource never decreases.
//
// The parts of the package are in separate files:
//   - Follower, with the state that its goroutines share
//   - reader, the loop of reads and failover
//   - the reports that can't wait for the next read
//   - relayPicker, which orders the relays and backs off from failed relays, without I/O or clock
//   - relayProber, which looks for a better relay than the current one
package follow

import (
	"context"
	"sync"
	"time"

	"fernlanding/internal/distribution"
	"fernlanding/internal/distribution/httpapi"
)

// Follower follows resources at relays. Its methods are safe for concurrent use.
type Follower struct {
	cfg       Config
	transport Transport
	traffic   *httpapi.Traffic
	now       func() time.Time
	// leaveTimeout is the timeout of the request that closes the session when the follower ends.
	leaveTimeout time.Duration
	// reportPending wakes sendReports, because a report can't wait for the next read.
	reportPending chan struct{}

	// sendMu is held while a read is composed, and by a report until its response has arrived.
	// Otherwise a request with older content could arrive after a newer one. It is locked before
	// mu.
	sendMu sync.Mutex

	mu            sync.Mutex
	subscriptions map[string]*subscription // by resource
	sessionID     string                   // empty without a session
	relay         string                   // address of the relay that responded last

	// The next three fields contain the resources about which the session has not been informed.

	unsentPositions  map[string]bool // resources with a changed position
	unsentUnfollowed map[string]bool // resources that are no longer followed
	unsentStatuses   map[string]bool // resources with a changed status
	statuses         map[string]*distribution.ResourceStatus
	health           Health
	stats            Stats
}

// New returns a follower that calls relays over HTTP. The follower is inactive until Run is called.
func New(cfg Config) *Follower {
	traffic := new(httpapi.Traffic)
	return newFollower(cfg, httpapi.NewClient(traffic.Dial(cfg.Dial)), traffic)
}

// newFollower returns a follower that calls relays by a transport. The traffic counts the bytes of
// that transport.
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

// Run follows resources until the context ends. It must be called only once.
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

// Health returns the state of the follower's connection to its relays.
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
