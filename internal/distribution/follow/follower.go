// Package follow is the follower's half of distribution: one blocking read of all resources that a process follows, from
// one of several relays, and the next relay where that fails. A resource never goes back to an older version.
package follow

import (
	"context"
	"errors"
	"fernlanding/internal/distribution"
	"fernlanding/internal/distribution/httpapi"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"
)

const (
	// DefaultHold is how long a read waits for news.
	DefaultHold = 4 * time.Second
	// answerWithin is how much later than its hold a read may be answered; else it is broken.
	answerWithin = time.Second
	// reportTimeout is of a request that does not wait.
	reportTimeout = time.Second
	// goodbyeTimeout is of what a follower says at its end, which nobody is to wait for.
	goodbyeTimeout = 250 * time.Millisecond
	// reportAgain is when a report that failed is repeated.
	reportAgain = 200 * time.Millisecond
	// probeTimeout is of a health check.
	probeTimeout = 500 * time.Millisecond
	// Earlier choices are asked so often whether they are ready while a later one is read from, and returned to after a
	// further wait of up to returnSpread, so that not all their followers come back at once. All others are asked while the
	// relay that is read from is cut off from the source, and gone to at once.
	probeEvery   = 2 * time.Second
	returnSpread = 5 * time.Second
	// missedAfter is how long after a hold no relay has answered until that is news.
	missedAfter = 2 * time.Second
	// sayEvery is how often the log has that no relay answers.
	sayEvery = 5 * time.Second
)

// Subscriber takes what is followed. Its calls come one at a time and in order, all from Run.
type Subscriber interface {
	// ApplyUpdate puts an update in force; an error refuses it: what stood stays in force, and the error's text is reported.
	ApplyUpdate(distribution.Update) error
	// UpdateFailed takes the news that no relay has answered for some time. What stood stays in force.
	UpdateFailed()
}

// Transport calls relays.
type Transport interface {
	// Follow reads. Errors: distribution.ErrUnknownSession, *httpapi.OverloadedError, others.
	Follow(ctx context.Context, address string, req *distribution.FollowRequest) (*distribution.FollowResponse, error)
	// Ready asks whether a relay answers and hears from the source.
	Ready(ctx context.Context, address string) error
	Close()
}

// Config is what a Follower is told.
type Config struct {
	Name   string // of this follower, unique in the fleet, the same after a restart
	Kind   distribution.Kind
	Relays []string      // host:port
	Hold   time.Duration // of a read, a minute at most; 0: DefaultHold
	Rand   *rand.Rand    // nil: a seed of its own
	Log    *slog.Logger  // nil: none
	// Dial opens connections; nil: the usual one.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Health is what a Follower says of itself.
type Health struct {
	Relay        string        // that it reads from; empty before the first answer
	SilentSince  time.Time     // since when no relay has answered; zero while one does
	LastAnswer   time.Time     // the last answer
	SourceAge    time.Duration // how long before Heard the source was last heard
	Disconnected bool          // the relay, or one above it, hears from no upstream
}

// Stats count since the start.
type Stats struct {
	BytesIn, BytesOut       int64 // on all connections
	MessagesIn, MessagesOut int64 // answers and requests
	Updates, FullUpdates    int64 // that were put in force; of them, whole resources
	Rejected                int64 // updates that were not put in force
	Sessions                int64 // that were begun, each with all positions
	Switches                int64 // from one relay to another
}

// Follower follows resources. Its methods may be called at any time.
type Follower struct {
	cfg       Config
	transport Transport
	// goodbyeWithin is how long the last request may take.
	goodbyeWithin time.Duration
	wire          *wireCounter
	now           func() time.Time
	reports       chan struct{} // something is to be reported at once

	mu         sync.Mutex
	subscribed map[string]*subscription
	session    string
	relay      string
	dirty      map[string]bool // resources whose position the session does not know
	unfollowed map[string]bool // resources that the session need not follow
	statuses   map[string]*distribution.ResourceStatus
	unreported map[string]bool // of statuses
	health     Health
	stats      Stats
}

// subscription is a resource that is followed. Its subscriber is called by Run's goroutine alone.
type subscription struct {
	subscriber Subscriber
	position   distribution.Position
}

// New returns a follower.
func New(cfg Config) *Follower {
	wire := &wireCounter{dial: cfg.Dial}
	return newFollower(cfg, httpapi.NewClient(wire.connect), wire)
}

func newFollower(cfg Config, transport Transport, wire *wireCounter) *Follower {
	if cfg.Hold == 0 {
		cfg.Hold = DefaultHold
	}
	cfg.Hold = min(cfg.Hold, distribution.MaxHoldMs*time.Millisecond)
	if cfg.Rand == nil {
		cfg.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if cfg.Log == nil {
		cfg.Log = slog.New(slog.DiscardHandler)
	}
	return &Follower{
		cfg: cfg, transport: transport, goodbyeWithin: goodbyeTimeout, wire: wire, now: time.Now, reports: make(chan struct{}, 1),
		subscribed: make(map[string]*subscription), dirty: make(map[string]bool), unfollowed: make(map[string]bool),
		statuses: make(map[string]*distribution.ResourceStatus), unreported: make(map[string]bool),
	}
}

// Subscribe follows a resource, of which the subscriber has a version (zero: none), until cancel is called. A subscriber
// may follow several resources. A resource has one subscriber at a time: another
// takes its place. A call that was about to begin may still come after cancel has returned.
func (f *Follower) Subscribe(resource string, has distribution.Version, s Subscriber) (cancel func()) {
	sub := &subscription{subscriber: s, position: distribution.Position{Resource: resource, InForce: has}}
	f.mu.Lock()
	f.subscribed[resource] = sub
	f.dirty[resource] = true
	delete(f.unfollowed, resource)
	f.mu.Unlock()
	f.reportSoon()
	return func() { f.unsubscribe(resource, sub) }
}

func (f *Follower) unsubscribe(resource string, sub *subscription) {
	f.mu.Lock()
	if f.subscribed[resource] == sub {
		delete(f.subscribed, resource)
		delete(f.dirty, resource)
		delete(f.statuses, resource)
		f.unfollowed[resource] = true
	}
	f.mu.Unlock()
	f.reportSoon()
}

// Report has a status of the followers behind a relay reported. The latest of each resource counts.
func (f *Follower) Report(statuses []distribution.ResourceStatus) {
	f.mu.Lock()
	for i := range statuses {
		if f.subscribed[statuses[i].Resource] == nil {
			continue // nobody up there takes it
		}
		f.statuses[statuses[i].Resource] = &statuses[i]
		f.unreported[statuses[i].Resource] = true
	}
	f.mu.Unlock()
	f.reportSoon()
}

func (f *Follower) reportSoon() {
	select {
	case f.reports <- struct{}{}:
	default:
	}
}

// Health may be asked at any time.
func (f *Follower) Health() Health {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.health
}

// Stats may be asked at any time.
func (f *Follower) Stats() Stats {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.stats
	s.BytesIn, s.BytesOut = f.wire.in.Load(), f.wire.out.Load()
	return s
}

// Run follows until the context ends. It is called once.
func (f *Follower) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	var others sync.WaitGroup
	defer f.transport.Close()
	defer others.Wait()
	defer cancel()
	if len(f.cfg.Relays) == 0 {
		f.cfg.Log.Error("distribution", "error", "no relay is told")
		<-ctx.Done()
		return
	}
	r := newReader(f, ctx)
	others.Go(func() { r.reportLoop() })
	r.readLoop()
}

// due takes what the session does not know. All takes all positions, for a new session.
func (f *Follower) due(all bool) (positions []distribution.Position, unfollowed []string) {
	if all {
		clear(f.unfollowed)
		for name := range f.subscribed {
			f.dirty[name] = true
		}
		for name := range f.statuses {
			f.unreported[name] = true
		}
	}
	for name := range f.dirty {
		if sub := f.subscribed[name]; sub != nil {
			positions = append(positions, sub.position)
		}
	}
	for name := range f.unfollowed {
		unfollowed = append(unfollowed, name)
	}
	clear(f.dirty)
	clear(f.unfollowed)
	slices.SortFunc(positions, func(a, b distribution.Position) int {
		if a.Resource < b.Resource {
			return -1
		}
		return 1
	})
	return positions, unfollowed
}

// take puts updates in force, and tells whether they fit what stands.
func (f *Follower) take(updates []distribution.Update) error {
	for i := range updates {
		if err := f.put(&updates[i]); err != nil {
			return err
		}
	}
	return nil
}

func (f *Follower) put(u *distribution.Update) error {
	f.mu.Lock()
	sub := f.subscribed[u.Resource]
	if sub == nil {
		f.unfollowed[u.Resource] = true // said again, should it have crossed the read
		f.mu.Unlock()
		return nil
	}
	stands, unsaid := sub.position.InForce, f.dirty[u.Resource]
	f.mu.Unlock()
	if err := fits(u, stands); err != nil {
		if unsaid {
			return nil // the relay did not know what stands: its answer crossed a new subscription
		}
		return err
	}
	err := sub.subscriber.ApplyUpdate(*u)

	f.mu.Lock()
	defer f.mu.Unlock()
	if f.subscribed[u.Resource] != sub {
		return nil
	}
	f.dirty[u.Resource] = true
	if err != nil {
		f.stats.Rejected++
		sub.position.Rejected, sub.position.Reason = u.Version, reason(err)
		f.cfg.Log.Warn("distribution", "resource", u.Resource, "version", u.Version.String(), "refused", err)
		return nil
	}
	f.stats.Updates++
	if u.Full() {
		f.stats.FullUpdates++
	}
	sub.position = distribution.Position{Resource: u.Resource, InForce: u.Version}
	return nil
}

// fits tells whether an update leads on from the version that stands.
func fits(u *distribution.Update, stands distribution.Version) error {
	if !u.Version.After(stands) {
		return fmt.Errorf("%s: version %v found, one after %v expected", u.Resource, u.Version, stands)
	}
	if !u.Full() && u.From != stands {
		return &distribution.BaseError{Resource: u.Resource, Current: stands, From: u.From}
	}
	return nil
}

// reason is an error's text, cut to what is taken.
func reason(err error) string {
	text := err.Error()
	for cut := min(len(text), distribution.MaxReasonBytes); ; cut-- {
		if cut == len(text) || cut == 0 || text[cut]&0xc0 != 0x80 {
			return text[:cut]
		}
	}
}

// missed tells all subscribers.
func (f *Follower) missed() {
	f.mu.Lock()
	subs := make([]*subscription, 0, len(f.subscribed))
	for _, sub := range f.subscribed {
		subs = append(subs, sub)
	}
	f.mu.Unlock()
	for _, sub := range subs {
		sub.subscriber.UpdateFailed()
	}
}

// busy is how long an error asks to wait; 0: it does not.
func busy(err error) time.Duration {
	var b *httpapi.OverloadedError
	if errors.As(err, &b) {
		return b.RetryAfter
	}
	return 0
}
