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
	// reportInterval is how often a relay reports how far its resources are in force, if that has
	// changed.
	reportInterval = time.Second
	// minReportInterval is the least time between two reports, even if a version has come into
	// force at all proxies.
	minReportInterval = 50 * time.Millisecond
	// unfollowDelay is how long a relay follows a resource that no session follows any more.
	unfollowDelay = time.Minute
	// disconnectedDelay is how long no upstream answers until the relay counts as disconnected:
	// long enough to fail over.
	disconnectedDelay = 500 * time.Millisecond
)

// Relay is a Node whose resources come from an upstream. It follows what its own followers follow,
// and nothing else.
type Relay struct {
	*Node
	follower  *follow.Follower
	startedAt time.Time
	// inForce wakes the reports: a version may have come into force at all proxies.
	inForce chan struct{}

	followMu  sync.Mutex // taken after the node's lock
	cancels   map[string]func()
	idleSince map[string]time.Time // since when no session has followed a resource
}

// NewRelay returns a relay. The Name and Kind of upstream are filled in.
func NewRelay(cfg Config, upstream follow.Config) *Relay {
	upstream.Name = cfg.Name
	upstream.Kind = distribution.KindRelay
	if upstream.Log == nil {
		upstream.Log = slog.New(slog.DiscardHandler)
	}
	r := &Relay{
		Node:      New(cfg),
		follower:  follow.New(upstream),
		inForce:   make(chan struct{}, 1),
		cancels:   make(map[string]func()),
		idleSince: make(map[string]time.Time),
	}
	r.startedAt = r.now()
	r.upstream = &relayUpstream{relay: r}
	return r
}

// Run follows the upstream until the context ends.
func (r *Relay) Run(ctx context.Context) {
	var parts sync.WaitGroup
	parts.Go(func() { r.Node.Run(ctx) })
	parts.Go(func() { r.follower.Run(ctx) })
	parts.Go(func() { r.reportLoop(ctx) })
	parts.Wait()
}

// UpstreamHealth returns how the relay stands with its upstreams.
func (r *Relay) UpstreamHealth() follow.Health { return r.follower.Health() }

// reportLoop reports statuses to the upstream until the context ends.
func (r *Relay) reportLoop(ctx context.Context) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	pause := time.NewTimer(minReportInterval)
	defer pause.Stop()
	wasDisconnected := false
	for {
		select {
		case <-ticker.C:
			r.unfollowIdle()
			disconnected := r.Disconnected()
			if disconnected != wasDisconnected {
				wasDisconnected = disconnected
				r.answerAll() // so that the followers know at once
			}
		case <-r.inForce:
		case <-ctx.Done():
			return
		}
		r.report()
		pause.Reset(minReportInterval)
		select {
		case <-pause.C:
		case <-ctx.Done():
			return
		}
	}
}

// report reports the statuses that have changed.
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

// unfollowIdle unfollows and forgets the resources that no session has followed for unfollowDelay.
func (r *Relay) unfollowIdle() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.followMu.Lock()
	defer r.followMu.Unlock()
	now := r.now()
	for name, cancel := range r.cancels {
		since, idle := r.idleSince[name]
		switch {
		case r.sessions.IsFollowed(name):
			delete(r.idleSince, name)
		case !idle:
			r.idleSince[name] = now
		case now.Sub(since) >= unfollowDelay:
			cancel()
			delete(r.cancels, name)
			delete(r.idleSince, name)
			r.store.Drop(name)
		}
	}
}

// relayUpstream is the upstream of a relay's Node, and applies what the relay follows.
type relayUpstream struct{ relay *Relay }

// sourceAge implements upstream.
func (u *relayUpstream) sourceAge() time.Duration {
	r := u.relay
	health := r.follower.Health()
	if health.LastResponse.IsZero() {
		return r.now().Sub(r.startedAt)
	}
	return max(0, r.now().Sub(health.LastResponse)) + health.SourceAge
}

// disconnected implements upstream. A relay is disconnected until an upstream has answered, while
// none has for some time, and while the one that answers is itself disconnected.
func (u *relayUpstream) disconnected() bool {
	health := u.relay.follower.Health()
	if health.LastResponse.IsZero() || health.Disconnected {
		return true
	}
	return !health.SilentSince.IsZero() && u.relay.now().Sub(health.SilentSince) >= disconnectedDelay
}

// addStats implements upstream.
func (u *relayUpstream) addStats(stats *distribution.Stats) {
	own := u.relay.follower.Stats()
	stats.UpstreamBytesIn = own.BytesIn
	stats.UpstreamBytesOut = own.BytesOut
	stats.UpstreamMessages = own.MessagesOut
	stats.UpstreamSwitches = own.Switches
}

// followed implements upstream: the relay follows the resource too.
func (u *relayUpstream) followed(resource string) {
	r := u.relay
	r.followMu.Lock()
	defer r.followMu.Unlock()
	delete(r.idleSince, resource)
	if r.cancels[resource] == nil {
		r.cancels[resource] = r.follower.Subscribe(resource, r.store.Version(resource), u)
	}
}

// statusChanged implements upstream: a version that has come into force at all proxies is reported
// at once.
func (u *relayUpstream) statusChanged(complete bool) {
	if !complete {
		return
	}
	select {
	case u.relay.inForce <- struct{}{}:
	default:
	}
}

// ApplyUpdate implements follow.Subscriber.
func (u *relayUpstream) ApplyUpdate(update distribution.Update) error { return u.relay.Apply(&update) }

// UpdateFailed implements follow.Subscriber. The relay serves on what it has, and reports its age.
func (u *relayUpstream) UpdateFailed() {}
