// Package node runs a source or a relay. It combines the state machines of package distribution, a
// Store and a Sessions, under one lock, and adds waiting reads, timers and the clock.
//
// A [Node] is a source if its Config has a Persist function. A [Relay] is a Node that follows an
// upstream with package follow. Both implement httpapi.Service. A read (Follow) opens or resumes a
// session and waits until an update is pending or the hold of the read has ended. A write (Put, or
// Apply at a relay) changes the store and wakes the reads that it answers.
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
	// DefaultStoreBytes is the default limit on the size of the keys and values of a Node.
	DefaultStoreBytes = 1 << 30
	// expireInterval is the interval at which expired sessions are closed.
	expireInterval = time.Second
	// sessionPrefixBytes is the size of the random part of session IDs, before hex encoding.
	sessionPrefixBytes = 6
)

// Config configures a Node.
type Config struct {
	Name       string
	StoreBytes int64                      // limit on keys and values; 0 means DefaultStoreBytes
	Limits     distribution.SessionLimits // zero Sessions means DefaultSessionLimits
	// Persist makes a write durable before the write is in force. Its argument is a snapshot of the
	// resource after the write. Nil means that the node is not a source.
	Persist func(*distribution.Update) error
	// Epoch is the epoch of the writes of a source.
	Epoch uint64
	// Traffic counts the bytes of followers' connections and is updated by httpapi.Listener. Nil
	// means that no bytes are counted.
	Traffic *httpapi.Traffic
	// Now is the clock. Nil means time.Now.
	Now func() time.Time
}

// Node is a source, or the part of a relay that serves followers. It implements httpapi.Service.
type Node struct {
	cfg      Config
	now      func() time.Time
	traffic  *httpapi.Traffic
	upstream upstream
	// sessionPrefix is the random prefix of all session IDs, so that the sessions of an earlier
	// process are unknown.
	sessionPrefix string
	// openingReads is a semaphore that limits the reads that open a session.
	openingReads chan struct{}
	closed       chan struct{}
	closeOnce    sync.Once

	// putMu serializes writes. Put holds it from planning to applying. It is locked before mu.
	putMu sync.Mutex

	mu              sync.Mutex
	store           *distribution.Store
	sessions        *distribution.Sessions
	waiters         map[*distribution.Session]*waiter
	encoded         *updateCache
	lastSession     uint64 // number of the last session
	lastRevision    uint64 // last revision that a source has used
	waitingReads    int
	releaseTimer    *time.Timer // runs releaseCoalesced
	releaseTimerSet bool
	stats           distribution.Stats
}

// upstream provides the resources of a node. All methods are called with the node's lock held.
type upstream interface {
	// sourceAge returns the time since the source last responded.
	sourceAge() time.Duration
	// disconnected reports whether this node, or a relay upstream of it, has no upstream that
	// responds.
	disconnected() bool
	// addStats sets the upstream metrics in stats.
	addStats(stats *distribution.Stats)
	// followed is called when a session follows a resource.
	followed(resource string)
	// statusChanged is called when in-force reports have arrived. The argument complete reports
	// whether a version may now be in force at all proxies.
	statusChanged(complete bool)
}

// noUpstream is the upstream of a source, which has none.
type noUpstream struct{}

// sourceAge implements upstream. It returns 0, because the node is the source.
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
	n.releaseTimer.Stop() // set again when updates are delayed
	return n
}

// newSessionPrefix returns random hexadecimal digits.
func newSessionPrefix() string {
	random := make([]byte, sessionPrefixBytes)
	_, _ = rand.Read(random) // never fails
	return hex.EncodeToString(random)
}

// Close ends all waiting reads. It must be called after the context of Run has ended.
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

// expireSessions closes the sessions that have been idle for too long.
func (n *Node) expireSessions() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, session := range n.sessions.Expire(n.now()) {
		n.stats.ExpiredSessions++
		n.sessionEnded(session)
	}
}

// sessionEnded wakes the waiting read of a session that has been closed, if there is one.
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
