// Package node is a source or a relay at work: it joins the state machines of package distribution
// (a Store and a Sessions) behind one lock, and adds what they lack: the reads that wait, timers
// and the clock.
//
// A [Node] is a source if its Config has a Persist. A [Relay] is a Node that follows an upstream
// with package follow. Both implement httpapi.Service. In short: a read (Follow) opens or resumes a
// session, and waits until an update is pending or its hold is over; a write (Put, or Apply at a
// relay) changes the store and wakes the reads it can answer.
package node

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"sync"
	"time"

	"fernlanding/internal/distribution"
	"fernlanding/internal/distribution/httpapi"
)

const (
	// DefaultStoreBytes bounds the keys and values of a Node.
	DefaultStoreBytes = 1 << 30
	// expireInterval is how often sessions are checked for expiry.
	expireInterval = time.Second
	// sessionPrefixBytes is the length of the random part of session IDs.
	sessionPrefixBytes = 6
)

// Config is what a Node is made of.
type Config struct {
	Name       string
	StoreBytes int64                      // 0: DefaultStoreBytes
	Limits     distribution.SessionLimits // no Sessions: DefaultSessionLimits
	// Persist makes a write durable before it is in force. It gets a snapshot of the resource as it
	// is to be. Nil: the node is not a source.
	Persist func(*distribution.Update) error
	// Epoch is the epoch of a source's writes.
	Epoch uint64
	// Traffic has the bytes of followers' connections, which httpapi.Listener counts; nil: none are
	// counted.
	Traffic *httpapi.Traffic
	// Now is the clock; nil: time.Now.
	Now func() time.Time
}

// Node is a source, or the serving side of a relay. It implements httpapi.Service.
type Node struct {
	cfg      Config
	now      func() time.Time
	traffic  *httpapi.Traffic
	upstream upstream
	// sessionPrefix begins the IDs of all sessions, so that those of an earlier process are
	// unknown.
	sessionPrefix string
	// openingReads is a semaphore of reads that open a session.
	openingReads chan struct{}
	closed       chan struct{}
	closeOnce    sync.Once

	// putMu is held by a Put, from its plan to its end. It is taken before mu.
	putMu sync.Mutex

	mu              sync.Mutex
	store           *distribution.Store
	sessions        *distribution.Sessions
	waiters         map[*distribution.Session]*waiter
	encoded         *updateCache
	lastSession     uint64 // the number of the last session
	lastRevision    uint64 // that a source has used
	waitingReads    int
	releaseTimer    *time.Timer // runs releaseCoalesced
	releaseTimerSet bool
	stats           distribution.Stats
}

// upstream is where a node's resources come from. All methods are called with the node's lock held.
type upstream interface {
	// sourceAge returns the time since the source was last heard from.
	sourceAge() time.Duration
	// disconnected reports whether no upstream is heard from, here or above.
	disconnected() bool
	// addStats fills in the upstream's part of the metrics.
	addStats(stats *distribution.Stats)
	// followed is called when a session follows a resource.
	followed(resource string)
	// statusChanged is called when in-force reports have arrived. Complete says that a version may
	// have just come into force at all proxies.
	statusChanged(complete bool)
}

// noUpstream is the upstream of a source.
type noUpstream struct{}

// sourceAge implements upstream: the source is its own.
func (noUpstream) sourceAge() time.Duration { return 0 }

// disconnected implements upstream.
func (noUpstream) disconnected() bool { return false }

// addStats implements upstream.
func (noUpstream) addStats(*distribution.Stats) {}

// followed implements upstream.
func (noUpstream) followed(string) {}

// statusChanged implements upstream.
func (noUpstream) statusChanged(bool) {}

// New returns a node without resources.
func New(cfg Config) *Node {
	if cfg.StoreBytes == 0 {
		cfg.StoreBytes = DefaultStoreBytes
	}
	if cfg.Limits.Sessions == 0 {
		cfg.Limits = distribution.DefaultSessionLimits()
	}
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Traffic == nil {
		cfg.Traffic = new(httpapi.Traffic)
	}
	n := &Node{
		cfg:           cfg,
		now:           cfg.Now,
		traffic:       cfg.Traffic,
		upstream:      noUpstream{},
		sessionPrefix: newSessionPrefix(),
		openingReads:  make(chan struct{}, maxOpeningReads),
		closed:        make(chan struct{}),
		store:         distribution.NewStore(cfg.StoreBytes),
		sessions:      distribution.NewSessions(cfg.Limits),
		waiters:       make(map[*distribution.Session]*waiter),
		encoded:       newUpdateCache(maxCacheBytes),
	}
	n.releaseTimer = time.AfterFunc(time.Hour, n.releaseCoalesced)
	n.releaseTimer.Stop() // it is set when there is something to release
	return n
}

// newSessionPrefix returns random hexadecimal digits.
func newSessionPrefix() string {
	random := make([]byte, sessionPrefixBytes)
	_, _ = rand.Read(random) // never fails
	return hex.EncodeToString(random)
}

// Close ends all reads. Run has to have ended.
func (n *Node) Close() {
	n.closeOnce.Do(func() { close(n.closed) })
	n.releaseTimer.Stop()
}

// Run expires sessions until the context ends.
func (n *Node) Run(ctx context.Context) {
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			n.expireSessions()
		case <-ctx.Done():
			return
		}
	}
}

// expireSessions closes the sessions whose followers do not read any more.
func (n *Node) expireSessions() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, session := range n.sessions.Expire(n.now()) {
		n.stats.ExpiredSessions++
		n.sessionEnded(session)
	}
}

// sessionEnded wakes the read of a session that has been closed, if one waits.
func (n *Node) sessionEnded(session *distribution.Session) {
	if w := n.waiters[session]; w != nil {
		w.signal()
		delete(n.waiters, session)
	}
}

// Status implements httpapi.Service.
func (n *Node) Status(resource string) distribution.ResourceStatus {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.sessions.Status(resource, n.store.Version(resource))
}

// Resource implements httpapi.Service.
func (n *Node) Resource(name string) *distribution.Update {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.store.Snapshot(name)
}

// Disconnected implements httpapi.Service.
func (n *Node) Disconnected() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.upstream.disconnected()
}

// Stats implements httpapi.Service.
func (n *Node) Stats() distribution.Stats {
	n.mu.Lock()
	defer n.mu.Unlock()
	stats := n.stats
	stats.Name = n.cfg.Name
	stats.Sessions = n.sessions.Len()
	stats.WaitingReads = n.waitingReads
	stats.Resources = n.store.Len()
	stats.StoreBytes = n.store.Bytes()
	stats.CacheBytes = n.encoded.bytes
	counters := n.sessions.Counters()
	stats.CoalescedUpdates = counters.Coalesced
	stats.RejectedUpdates = counters.Rejected
	stats.BytesIn = n.traffic.In.Load()
	stats.BytesOut = n.traffic.Out.Load()
	stats.SourceAgeMs = n.upstream.sourceAge().Milliseconds()
	n.upstream.addStats(&stats)
	return stats
}
