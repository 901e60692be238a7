package relayed

import (
	"log/slog"
	"slices"
	"sync"
	"time"

	"fernlanding/internal/distribution"
	"fernlanding/internal/membership"
	"fernlanding/internal/membership/reconcile"
	"fernlanding/internal/membership/staleness"
)

// maxSourceAge is how long the relays may have heard nothing from the distribution's source before
// a list counts as silent. A relay hears from it with each blocking read, so this is some lost
// reads in a row.
const maxSourceAge = 15 * time.Second

// followedList is the state of one list, and the sinks that are notified of it. It implements
// follow.Subscriber. It is safe for concurrent use.
type followedList struct {
	name string
	log  *slog.Logger
	now  func() time.Time

	references int // guarded by Lists.mu

	followMu sync.Mutex
	follower Follower // nil: none
	cancel   func()   // of the subscription there; nil: none

	mu    sync.Mutex // held while sinks are notified
	sinks []membership.Sink
	// reconciler's revisions count accepted updates, since a version of distribution has two parts.
	reconciler *reconcile.Reconciler
	inForce    distribution.Version // zero: none yet
	confirmed  time.Time            // when that was put in force; before, when the list was made
	rejected   int64
	rejectedAt time.Time // of the last update, if it was rejected; else zero
}

func newFollowedList(name string, log *slog.Logger, now func() time.Time) *followedList {
	return &followedList{
		name: name, log: log.With("source", "relay", "list", name), now: now,
		reconciler: reconcile.New(reconcile.Config{}), confirmed: now(),
	}
}

// follow subscribes to a follower instead of the one before; nil: to none.
func (l *followedList) follow(follower Follower) {
	l.followMu.Lock()
	defer l.followMu.Unlock()
	if l.cancel != nil {
		l.cancel()
		l.cancel = nil
	}
	l.follower = follower
	if follower != nil {
		l.cancel = follower.Subscribe(Resource(l.name), l.versionInForce(), l)
	}
}

func (l *followedList) versionInForce() distribution.Version {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inForce
}

// addSink has a sink notified of the list, first as it stands.
func (l *followedList) addSink(sink membership.Sink) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sinks = append(l.sinks, sink)
	if current := l.reconciler.List(); current != nil {
		sink.UpdateEndpoints(current)
	}
}

// removeSink has a sink notified no more, once a call of it that is under way has returned.
func (l *followedList) removeSink(sink membership.Sink) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sinks = slices.DeleteFunc(l.sinks, func(s membership.Sink) bool { return s == sink })
}

// ApplyUpdate implements follow.Subscriber. Once it has returned without an error, the update is in
// force: all sinks have been notified.
func (l *followedList) ApplyUpdate(update distribution.Update) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	result, err := l.reconcile(&update)
	if err != nil {
		l.rejected++
		l.rejectedAt = l.now()
		return err
	}
	l.inForce, l.confirmed, l.rejectedAt = update.Version, l.now(), time.Time{}
	staleness.LogInvalid(l.log, &result)
	staleness.LogMajorityRemoved(l.log, &result)
	if result.List == nil {
		return nil
	}
	for _, sink := range l.sinks {
		sink.UpdateEndpoints(result.List)
	}
	return nil
}

// UpdateFailed implements follow.Subscriber.
func (l *followedList) UpdateFailed() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, sink := range l.sinks {
		sink.UpdateFailed()
	}
}

// health returns the health of a source of the list.
func (l *followedList) health() membership.Health {
	l.followMu.Lock()
	follower := l.follower
	l.followMu.Unlock()

	l.mu.Lock()
	defer l.mu.Unlock()
	health := membership.Health{
		Version: l.reconciler.Revision(), Invalid: l.reconciler.InvalidCount(), Rejected: l.rejected,
	}
	confirmed, stale := l.confirmed, true
	if follower != nil {
		relays := follower.Health()
		heard := relays.LastResponse.Add(-relays.SourceAge) // from the distribution's source
		if heard.After(confirmed) {
			confirmed = heard
		}
		stale = !relays.SilentSince.IsZero() || relays.LastResponse.IsZero() || l.now().Sub(heard) > maxSourceAge
	}
	switch {
	case health.Version == 0:
		health.SilentSince = l.confirmed
	case !l.rejectedAt.IsZero():
		health.SilentSince = l.rejectedAt
	case stale:
		health.SilentSince = confirmed
	}
	return health
}
