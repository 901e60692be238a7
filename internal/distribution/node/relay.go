package node

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"fernlanding/internal/distribution"
	"fernlanding/internal/distribution/follow"
)

const (
	// reportEvery is how often a relay reports how far its resources are in force, where that has changed.
	reportEvery = time.Second
	// reportGap is the least time between two reports, also where a version has come into force everywhere.
	reportGap = 50 * time.Millisecond
	// unfollowAfter is how long a relay follows a resource that nobody behind it follows any more.
	unfollowAfter = time.Minute
	// cutAfter is how long no upstream may answer until the relay counts as cut off: time to go to the next one.
	cutAfter = 500 * time.Millisecond
)

// Relay is a Node that follows its upstream: what its followers follow, and nothing else.
type Relay struct {
	*Node
	follower *follow.Follower
	began    time.Time
	complete chan struct{} // a version may have come into force everywhere
	log      *slog.Logger

	following sync.Mutex // taken after the node's lock
	cancels   map[string]func()
	idle      map[string]time.Time // since when nobody has followed a resource
}

// NewRelay returns a relay that follows by a Config of package follow, whose Kind and Name are filled in.
func NewRelay(cfg Config, upstream follow.Config) *Relay {
	upstream.Name, upstream.Kind = cfg.Name, distribution.KindRelay
	if upstream.Log == nil {
		upstream.Log = slog.New(slog.DiscardHandler)
	}
	r := &Relay{
		Node: New(cfg), follower: follow.New(upstream), complete: make(chan struct{}, 1), log: upstream.Log,
		cancels: make(map[string]func()), idle: make(map[string]time.Time),
	}
	r.began = r.now()
	r.Node.age, r.Node.upstream, r.Node.cut = r.sourceAge, r.upstreamStats, r.cutOff
	r.Node.follows, r.Node.changed = r.followToo, r.statusChanged
	return r
}

// Run follows until the context ends.
func (r *Relay) Run(ctx context.Context) {
	var parts sync.WaitGroup
	parts.Go(func() { r.Node.Run(ctx) })
	parts.Go(func() { r.follower.Run(ctx) })
	parts.Go(func() { r.reportLoop(ctx) })
	parts.Wait()
}

// Upstream is how the relay itself follows.
func (r *Relay) Upstream() follow.Health { return r.follower.Health() }

// followToo follows what a follower follows. The node's lock is held.
func (r *Relay) followToo(resource string) {
	r.following.Lock()
	defer r.following.Unlock()
	delete(r.idle, resource)
	if r.cancels[resource] == nil {
		r.cancels[resource] = r.follower.Subscribe(resource, r.store.Version(resource), &relayed{r})
	}
}

// statusChanged has a version that has come into force everywhere reported at once. The node's lock is held.
func (r *Relay) statusChanged(complete bool) {
	if !complete {
		return
	}
	select {
	case r.complete <- struct{}{}:
	default:
	}
}

// cutOff tells whether no upstream has answered yet, or for some time, or the one that does is cut off. The node's lock is held.
func (r *Relay) cutOff() bool {
	h := r.follower.Health()
	return h.LastAnswer.IsZero() || h.Disconnected || !h.SilentSince.IsZero() && r.now().Sub(h.SilentSince) >= cutAfter
}

// sourceAge is since when the source was last heard. The node's lock is held.
func (r *Relay) sourceAge() time.Duration {
	h := r.follower.Health()
	if h.LastAnswer.IsZero() {
		return r.now().Sub(r.began)
	}
	return max(0, r.now().Sub(h.LastAnswer)) + h.SourceAge
}

// upstreamStats fills in the counters of the relay's own reads. The node's lock is held.
func (r *Relay) upstreamStats(s *distribution.Stats) {
	up := r.follower.Stats()
	s.UpstreamBytesIn, s.UpstreamBytesOut = up.BytesIn, up.BytesOut
	s.UpstreamMessages, s.UpstreamSwitches = up.MessagesOut, up.Switches
}

// reportLoop reports statuses upwards.
func (r *Relay) reportLoop(ctx context.Context) {
	ticker := time.NewTicker(reportEvery)
	defer ticker.Stop()
	gap := time.NewTimer(reportGap)
	defer gap.Stop()
	wasCut := false
	for {
		select {
		case <-ticker.C:
			r.unfollow()
			if cut := r.Disconnected(); cut != wasCut {
				wasCut = cut
				r.hurry()
			}
		case <-r.complete:
		case <-ctx.Done():
			return
		}
		r.report()
		gap.Reset(reportGap)
		select {
		case <-gap.C:
		case <-ctx.Done():
			return
		}
	}
}

func (r *Relay) report() {
	r.mu.Lock()
	var statuses []distribution.ResourceStatus
	for _, name := range r.sessions.DrainChanged() {
		statuses = append(statuses, r.sessions.Status(name, r.store.Version(name)))
	}
	r.mu.Unlock()
	if len(statuses) > 0 {
		r.follower.Report(statuses)
	}
}

// unfollow ends what nobody has followed for long.
func (r *Relay) unfollow() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.following.Lock()
	defer r.following.Unlock()
	now := r.now()
	for name, cancel := range r.cancels {
		since, idle := r.idle[name]
		switch {
		case r.sessions.IsFollowed(name):
			delete(r.idle, name)
		case !idle:
			r.idle[name] = now
		case now.Sub(since) >= unfollowAfter:
			cancel()
			delete(r.cancels, name)
			delete(r.idle, name)
			r.store.Drop(name)
		}
	}
}

// relayed takes what a relay follows.
type relayed struct{ relay *Relay }

// ApplyUpdate implements follow.Subscriber.
func (s *relayed) ApplyUpdate(u distribution.Update) error { return s.relay.Apply(&u) }

// UpdateFailed implements follow.Subscriber: what stands is served on, and its age is told.
func (s *relayed) UpdateFailed() {}
