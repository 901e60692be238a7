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

// maxSourceAge is how long the relays may be without contact to the distribution's source before a
// list counts as silent. A relay has contact with each blocking read, so this is several lost reads
// in a row.
const maxSourceAge = 15 * time.Second

// followedList is the state of one list and the sinks that receive it. It implements
// follow.Subscriber and is safe for concurrent use.
type followedList struct {
	name string
	log  *slog.Logger
	now  func() time.Time

	references int // guarded by Lists.mu

	followMu sync.Mutex
	follower Follower // nil if there is none
	cancel   func()   // cancels the subscription at follower; nil if there is none

	mu    sync.Mutex // held while sinks are called
	sinks []membership.Sink
	// The revisions of reconciler count the accepted updates, because a distribution.Version has
	// two parts.
	reconciler *reconcile.Reconciler
	inForce    distribution.Version // zero before the first version
	confirmed  time.Time            // when inForce was put in force; before that, when the list was created
	rejected   int64
	rejectedAt time.Time // when the last update was rejected; zero if it was accepted
}

func newFollowedList(name string, log *slog.Logger, now func() time.Time) *followedList {
	return &followedList{
		name: name, log: log.With("source", "relay", "list", name), now: now,
		reconciler: reconcile.New(reconcile.Config{}), confirmed: now(),
	}
}

// follow subscribes to a follower and cancels the previous subscription. With nil it only cancels.
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

// addSink adds a sink, which first receives the present list.
func (l *followedList) addSink(sink membership.Sink) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sinks = append(l.sinks, sink)
	if current := l.reconciler.List(); current != nil {
		sink.UpdateEndpoints(current)
	}
}

// removeSink removes a sink. It returns after a call of the sink that is in progress has returned.
func (l *followedList) removeSink(sink membership.Sink) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sinks = slices.DeleteFunc(l.sinks, func(s membership.Sink) bool { return s == sink })
}

// ApplyUpdate implements follow.Subscriber. After it returns without an error, all sinks have
// received the update, which is then in force.
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

// health returns the health of the sources of the list.
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
		lastContact := relays.LastResponse.Add(-relays.SourceAge) // the relays' last contact with the source
		if lastContact.After(confirmed) {
			confirmed = lastContact
		}
		stale = !relays.SilentSince.IsZero() || relays.LastResponse.IsZero() || l.now().Sub(lastContact) > maxSourceAge
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
