// Package node is a source or a relay at work: a Store and Sessions behind one lock, the reads that wait, and the clock.
package node

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	mathrand "math/rand/v2"
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
	// Keep makes a write durable before it is in force: the resource as it is to be. Nil: not a source.
	Keep func(*distribution.Update) error
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
	upstream func(*distribution.Stats)
	follows  func(resource string)
	changed  func(complete bool)
	closed   chan struct{}
	closing  sync.Once
}

// waiter is the read of a session that was opened last.
type waiter struct {
	wake   chan struct{}
	read   uint64
	urgent time.Time // since when an urgent item has been due to it; zero: none is
	// updated: the read before was answered with updates.
	updated bool
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
	n := &Node{cfg: cfg, now: cfg.Now, traffic: cfg.Traffic, prefix: hex.EncodeToString(random), firsts: make(chan struct{}, firstReads),
		store: distribution.NewStore(cfg.StoreBytes), sessions: distribution.NewSessions(cfg.Limits),
		readers: make(map[*distribution.Session]*waiter), cache: newCache(cacheBytes), closed: make(chan struct{}),
		age: func() time.Duration { return 0 }, upstream: func(*distribution.Stats) {}, follows: func(string) {}, changed: func(bool) {}}
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

func (w *waiter) signal() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// Follow implements httpapi.Service.
func (n *Node) Follow(ctx context.Context, req *distribution.FollowRequest) (*httpapi.Answer, func(), error) {
	done := func() {}
	if req.Session == "" {
		select {
		case n.firsts <- struct{}{}:
			done = func() { <-n.firsts }
		default:
			return nil, nil, n.turnAway("too many first reads at a time", firstRetryAfter)
		}
	}
	answer, err := n.follow(ctx, req)
	if err != nil {
		done()
		return nil, nil, err
	}
	return answer, done, nil
}

func (n *Node) turnAway(reason string, retryAfter time.Duration) error {
	n.mu.Lock()
	n.stats.RefusedSessions++
	n.mu.Unlock()
	return &httpapi.BusyError{RetryAfter: retryAfter, Reason: reason}
}

func (n *Node) follow(ctx context.Context, req *distribution.FollowRequest) (*httpapi.Answer, error) {
	began := n.now()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.stats.MessagesIn++
	session, err := n.take(req, began)
	if err != nil {
		return nil, err
	}
	switch {
	case req.Session == "": // answered at once, so that the follower knows its session
		return n.wait(ctx, session, began)
	case req.HoldMs == 0: // a report beside a read
		return n.answer(session, nil), nil
	}
	return n.wait(ctx, session, n.holdUntil(session, began, time.Duration(req.HoldMs)*time.Millisecond))
}

// take takes what a follower says.
func (n *Node) take(req *distribution.FollowRequest, now time.Time) (*distribution.Session, error) {
	session, err := n.session(req, now)
	if err != nil {
		return nil, err
	}
	for i := range req.Positions {
		n.follows(req.Positions[i].Resource)
	}
	if len(req.Positions) > 0 || len(req.Statuses) > 0 {
		n.changed(n.complete(req))
	}
	if w := n.readers[session]; w != nil && len(req.Positions) > 0 {
		w.signal() // a report may bring what is due to the read
	}
	return session, nil
}

func (n *Node) session(req *distribution.FollowRequest, now time.Time) (*distribution.Session, error) {
	if req.Session != "" {
		session, err := n.sessions.Take(req, now)
		if errors.Is(err, distribution.ErrUnknownSession) {
			n.stats.UnknownSessions++
		}
		return session, err
	}
	n.opened++
	session, replaced, err := n.sessions.Open(fmt.Sprintf("%s%x", n.prefix, n.opened), req, now)
	if replaced != nil {
		n.ended(replaced)
	}
	if err != nil {
		n.stats.RefusedSessions++
		return nil, &httpapi.BusyError{RetryAfter: sessionRetryAfter, Reason: err.Error()}
	}
	return session, nil
}

// complete tells whether the last proxy of a resource has just got its latest version.
func (n *Node) complete(req *distribution.FollowRequest) bool {
	for i := range req.Positions {
		name := req.Positions[i].Resource
		if n.sessions.Complete(name, n.store.Version(name)) {
			return true
		}
	}
	for i := range req.Statuses {
		name := req.Statuses[i].Resource
		if n.sessions.Complete(name, n.store.Version(name)) {
			return true
		}
	}
	return false
}

// holdUntil is when a read without news is answered, after its hold at the latest. Answers that come together in ticks cost
// a fraction of the same answers one by one. Where an update has gone to many followers at once, their next reads end at
// times that are drawn over the hold, so that they do not come back together each time.
func (n *Node) holdUntil(session *distribution.Session, began time.Time, hold time.Duration) time.Time {
	if w := n.readers[session]; w != nil && w.updated {
		w.updated = false
		hold -= time.Duration(float64(hold) * spreadShare * mathrand.Float64())
	}
	until := began.Add(hold)
	if hold < leastTicks*holdTick {
		return until
	}
	return until.Add(-time.Duration(until.UnixNano()) % holdTick)
}

// wait answers a read with what is due, or with nothing once its hold is over. The lock is held, but while it waits.
func (n *Node) wait(ctx context.Context, session *distribution.Session, until time.Time) (*httpapi.Answer, error) {
	w := n.begin(session)
	mine := w.read
	var timer *time.Timer
	for {
		now := n.now()
		due, _ := n.sessions.Due(session, n.store, now)
		if len(due) > 0 || !now.Before(until) {
			n.finish(session, w, now)
			w.updated = len(due) > 0
			return n.answer(session, due), nil
		}
		n.arm(now)
		if timer == nil {
			timer = time.NewTimer(until.Sub(now))
			defer timer.Stop()
		}
		err := n.sleep(ctx, w, timer)
		switch {
		case session.Gone():
			return nil, distribution.ErrUnknownSession
		case w.read != mine:
			w.signal() // it may have been the later read's
			return nil, httpapi.ErrSuperseded
		case err != nil:
			n.finish(session, w, now)
			return nil, err
		}
	}
}

// sleep waits, without the lock, until there may be something due or the hold is over; an error: nobody waits any more.
func (n *Node) sleep(ctx context.Context, w *waiter, timer *time.Timer) error {
	n.waiting++
	n.mu.Unlock()
	defer func() {
		n.mu.Lock()
		n.waiting--
	}()
	select {
	case <-w.wake:
		return nil
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-n.closed:
		return &httpapi.BusyError{Reason: "closing"}
	}
}

// begin makes a read its session's, in place of an earlier one.
func (n *Node) begin(session *distribution.Session) *waiter {
	w := n.readers[session]
	if w == nil {
		w = &waiter{wake: make(chan struct{}, 1)}
		n.readers[session] = w
	} else {
		w.signal()
	}
	w.read++
	return w
}

// finish ends a session's read.
func (n *Node) finish(session *distribution.Session, w *waiter, now time.Time) {
	n.sessions.Answered(session)
	if !w.urgent.IsZero() {
		n.stats.UrgentHeldUs = max(n.stats.UrgentHeldUs, now.Sub(w.urgent).Microseconds())
		w.urgent = time.Time{}
	}
}

// answer encodes what is due.
func (n *Node) answer(session *distribution.Session, due []distribution.Due) *httpapi.Answer {
	a := &httpapi.Answer{Session: session.ID, SourceAge: n.age()}
	size := 0
	for _, d := range due {
		if size >= responseBytes {
			break
		}
		encoded, whole := n.encode(d)
		size += len(encoded)
		a.Updates = append(a.Updates, encoded)
		if whole {
			n.stats.WholeUpdates++
		} else {
			n.stats.DeltaUpdates++
		}
	}
	n.stats.MessagesOut++
	return a
}

// encode is an update as JSON, shared by all followers that get the same.
func (n *Node) encode(d distribution.Due) (encoded []byte, whole bool) {
	key := cacheKey{d.Resource, d.From, n.store.Version(d.Resource)}
	if e, found := n.cache.get(key); found {
		return e.data, e.whole
	}
	update := n.store.Since(d.Resource, d.From)
	data, err := json.Marshal(update)
	if err != nil { // not possible: values were decoded from JSON
		return nil, false
	}
	n.stats.Encodings++
	n.cache.put(key, cached{data, update.Whole()})
	return data, update.Whole()
}

// Apply takes an update of the upstream, and wakes who waits for it.
func (n *Node) Apply(u *distribution.Update) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.apply(u)
}

func (n *Node) apply(u *distribution.Update) error {
	had := n.store.Version(u.Resource)
	news, err := n.store.Apply(u)
	if err != nil || !news {
		return err
	}
	now := n.now()
	urgent := n.store.Urgent(u.Resource, had)
	for _, session := range n.sessions.Changed(u.Resource, urgent, now) {
		w := n.readers[session]
		if urgent && w.urgent.IsZero() {
			w.urgent = now
		}
		w.signal()
	}
	n.arm(now)
	return nil
}

// arm sets the timer of what is held back.
func (n *Node) arm(now time.Time) {
	if n.armed {
		return
	}
	wake, next := n.sessions.Release(now)
	n.signal(wake)
	if !next.IsZero() {
		n.armed = true
		n.release.Reset(next.Sub(now))
	}
}

func (n *Node) releaseHeld() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.armed = false
	n.arm(n.now())
}

func (n *Node) signal(wake []*distribution.Session) {
	for _, session := range wake {
		if w := n.readers[session]; w != nil {
			w.signal()
		}
	}
}

// Put implements httpapi.Service.
func (n *Node) Put(req *distribution.PutRequest) (distribution.Version, error) {
	if n.cfg.Keep == nil {
		return distribution.Version{}, httpapi.ErrNotSource
	}
	n.writing.Lock()
	defer n.writing.Unlock()
	n.mu.Lock()
	n.stats.MessagesIn++
	n.stats.MessagesOut++
	next := distribution.Version{Epoch: n.cfg.Epoch, Revision: n.revision + 1}
	update, err := n.store.Plan(req, next)
	stands := n.store.Version(req.Resource)
	var whole *distribution.Update
	if update != nil {
		whole = n.store.Preview(update)
		n.revision = next.Revision // never used again, also where the write fails: it may be on the disk all the same
	}
	n.mu.Unlock()
	if err != nil {
		return distribution.Version{}, err
	}
	if update == nil {
		return stands, nil
	}
	if err := n.cfg.Keep(whole); err != nil {
		return distribution.Version{}, fmt.Errorf("%s: not written: %w", req.Resource, err)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if err := n.apply(update); err != nil {
		return distribution.Version{}, err
	}
	n.stats.Puts++
	return next, nil
}

// Load takes a resource as it was kept, before anything else.
func (n *Node) Load(u *distribution.Update) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, err := n.store.Apply(u); err != nil {
		return err
	}
	n.revision = max(n.revision, u.Version.Revision)
	return nil
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
	return n.store.Whole(name)
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
	s.CoalescedUpdates, s.RefusedUpdates = counters.Coalesced, counters.Refused
	s.WaitingReads = n.waiting
	s.BytesIn, s.BytesOut = n.traffic.In.Load(), n.traffic.Out.Load()
	s.SourceAgeMs = n.age().Milliseconds()
	n.upstream(&s)
	return s
}
