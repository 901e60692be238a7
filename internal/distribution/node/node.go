// Package node is a source or a relay at work: a Store and Sessions behind one lock, the reads that wait, and the clock.
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

// Bounds of what a node keeps and sends.
const (
	// DefaultStoreBytes bounds all keys and values.
	DefaultStoreBytes = 1 << 30
	// responseBytes is after how many bytes of updates the rest of them waits for the next read.
	responseBytes = 4 << 20
	// cacheBytes bounds the encoded updates that are kept for the next follower.
	cacheBytes = 16 << 20
	// firstReads is how many first reads are answered at a time, each of which may bring everything.
	firstReads = 64
	// firstRetryAfter is what further ones are told.
	firstRetryAfter = time.Second
	// sessionRetryAfter is told where there are too many sessions.
	sessionRetryAfter = 5 * time.Second
	// expireEvery is how often sessions that do not read any more are looked for.
	expireEvery = time.Second
	// cutHold is the longest hold of reads while the node is cut off from the source: their followers may go elsewhere.
	cutHold = time.Second
	// holdTick is of the times at which reads without news are answered, where holds are leastTicks of it at least.
	holdTick   = 200 * time.Millisecond
	leastTicks = 5
	// spreadShare is by how much of its hold the read after an update may be shortened.
	spreadShare = 0.75
)

// Config is what a Node is told.
type Config struct {
	Name       string
	StoreBytes int64 // 0: DefaultStoreBytes
	Limits     distribution.SessionLimits
	// Persist makes a write durable before it is in force: the resource as it is to be. Nil: not a source.
	Persist func(*distribution.Update) error
	// Epoch is that of a source's writes.
	Epoch uint64
	// Traffic counts the bytes of followers' connections; nil: nobody does.
	Traffic *httpapi.Traffic
	// Now is the clock; nil: the usual one.
	Now func() time.Time
}

// Node implements httpapi.Service.
type Node struct {
	cfg     Config
	now     func() time.Time
	prefix  string // of sessions: another process's are unknown
	firsts  chan struct{}
	writing sync.Mutex // held by a write

	traffic *httpapi.Traffic

	mu       sync.Mutex
	store    *distribution.Store
	sessions *distribution.Sessions
	readers  map[*distribution.Session]*waiter
	cache    *cache
	opened   uint64
	waiting  int
	revision uint64
	stats    distribution.Stats
	release  *time.Timer // of what is held back
	armed    bool
	age      func() time.Duration // of what the source said last
	cut      func() bool          // off from the source
	upstream func(*distribution.Stats)
	follows  func(resource string)
	changed  func(complete bool)
	closed   chan struct{}
	closing  sync.Once
}

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
	random := make([]byte, 6)
	_, _ = rand.Read(random) // never fails
	n := &Node{
		cfg: cfg, now: cfg.Now, traffic: cfg.Traffic, prefix: hex.EncodeToString(random), firsts: make(chan struct{}, firstReads),
		store: distribution.NewStore(cfg.StoreBytes), sessions: distribution.NewSessions(cfg.Limits),
		readers: make(map[*distribution.Session]*waiter), cache: newCache(cacheBytes), closed: make(chan struct{}),
		age: func() time.Duration { return 0 }, cut: func() bool { return false }, upstream: func(*distribution.Stats) {}, follows: func(string) {}, changed: func(bool) {},
	}
	n.release = time.AfterFunc(time.Hour, n.releaseHeld)
	n.release.Stop()
	return n
}

// Close ends all reads. Run has to have ended.
func (n *Node) Close() {
	n.closing.Do(func() { close(n.closed) })
	n.release.Stop()
}

// Run ends sessions that do not read any more, until the context ends.
func (n *Node) Run(ctx context.Context) {
	ticker := time.NewTicker(expireEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			n.expire()
		case <-ctx.Done():
			return
		}
	}
}

func (n *Node) expire() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, session := range n.sessions.Expire(n.now()) {
		n.stats.EndedSessions++
		n.ended(session)
	}
}

// ended wakes the read of a session that has ended, if there is one.
func (n *Node) ended(session *distribution.Session) {
	if w := n.readers[session]; w != nil {
		w.signal()
		delete(n.readers, session)
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
	return n.cut()
}

// Stats implements httpapi.Service.
func (n *Node) Stats() distribution.Stats {
	n.mu.Lock()
	defer n.mu.Unlock()
	s := n.stats
	s.Name = n.cfg.Name
	s.Sessions = n.sessions.Len()
	s.Resources = n.store.Len()
	s.StoreBytes = n.store.Bytes()
	s.CacheBytes = n.cache.bytes
	counters := n.sessions.Counters()
	s.CoalescedUpdates, s.RejectedUpdates = counters.Coalesced, counters.Rejected
	s.WaitingReads = n.waiting
	s.BytesIn, s.BytesOut = n.traffic.In.Load(), n.traffic.Out.Load()
	s.SourceAgeMs = n.age().Milliseconds()
	n.upstream(&s)
	return s
}
