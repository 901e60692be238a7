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
	// reportInterval is the interval at which a relay reports the statuses that have changed.
	reportInterval = time.Second
	// minReportInterval is the minimum time between two reports, even if a version has come into
	// force at all proxies.
	minReportInterval = 50 * time.Millisecond
	// unfollowDelay is the time for which a relay continues to follow a resource that no session
	// follows.
	unfollowDelay = time.Minute
	// disconnectedDelay is the time without a response of an upstream after which the relay counts
	// as disconnected. It is long enough for a failover to another upstream.
	disconnectedDelay = 500 * time.Millisecond
)

// Relay is a Node whose resources come from an upstream. It follows only the resources that its own
// followers follow.
type Relay struct {
	*Node
	follower  *follow.Follower
	startedAt time.Time
	// reportNow triggers a report, because a version may have come into force at all proxies.
	reportNow chan struct{}

	followMu  sync.Mutex           // locked after the node's lock
	cancels   map[string]func()    // end the subscriptions, by resource
	idleSince map[string]time.Time // time since which no session follows a resource
}

// NewRelay returns a relay. It sets the Name and Kind of upstream.
func NewRelay(cfg Config, upstream follow.Config) *Relay {
	upstream.Name = cfg.Name
	upstream.Kind = distribution.KindRelay
	if upstream.Log == nil {
		upstream.Log = slog.New(slog.DiscardHandler)
	}
	r := &Relay{
		Node:      New(cfg),
		follower:  follow.New(upstream),
		reportNow: make(chan struct{}, 1),
		cancels:   make(map[string]func()),
		idleSince: make(map[string]time.Time),
	}
	r.startedAt = r.now()
	r.upstream = &relayUpstream{relay: r}
	return r
}

// Run follows the upstream until the context ends.
func (r *Relay) Run(ctx context.Context) {
	var running sync.WaitGroup
	running.Go(func() { r.Node.Run(ctx) })
	running.Go(func() { r.follower.Run(ctx) })
	running.Go(func() { r.reportLoop(ctx) })
	running.Wait()
}

// UpstreamHealth returns the state of the relay's connection to its upstreams.
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
				r.answerAll() // informs the followers at once
			}
		case <-r.reportNow:
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

// report sends the statuses that have changed to the upstream.
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

// unfollowIdle unfollows and drops the resources that no session has followed for unfollowDelay.
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

// relayUpstream is the upstream of a relay's Node. It also applies the updates of the resources
// that the relay follows.
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

// disconnected implements upstream. A relay is disconnected until an upstream has responded, while
// no upstream has responded for disconnectedDelay, and while the responding upstream is itself
// disconnected.
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

// followed implements upstream. It makes the relay follow the resource.
func (u *relayUpstream) followed(resource string) {
	r := u.relay
	r.followMu.Lock()
	defer r.followMu.Unlock()
	delete(r.idleSince, resource)
	if r.cancels[resource] == nil {
		r.cancels[resource] = r.follower.Subscribe(resource, r.store.Version(resource), u)
	}
}

// statusChanged implements upstream. A version that has come into force at all proxies is reported
// at once.
func (u *relayUpstream) statusChanged(complete bool) {
	if !complete {
		return
	}
	select {
	case u.relay.reportNow <- struct{}{}:
	default:
	}
}

// ApplyUpdate implements follow.Subscriber.
func (u *relayUpstream) ApplyUpdate(update distribution.Update) error { return u.relay.Apply(&update) }

// UpdateFailed implements follow.Subscriber. It does nothing: the relay continues to serve its
// resources and reports the source age.
func (u *relayUpstream) UpdateFailed() {}
