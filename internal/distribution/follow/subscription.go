package follow

import (
	"cmp"
	"slices"

	"fernlanding/internal/distribution"
)

// subscription is a followed resource. Its subscriber is called only by the goroutine of Run.
type subscription struct {
	subscriber Subscriber
	position   distribution.Position
}

// Subscribe follows a resource until cancel is called. The argument has is the version that the
// subscriber has, or zero if it has none. A subscriber may follow several resources. A resource has
// one subscriber at a time: a second subscriber replaces the first. The subscriber may still be
// called once after cancel has returned, if that call was about to begin.
func (f *Follower) Subscribe(resource string, has distribution.Version, s Subscriber) (cancel func()) {
	sub := &subscription{subscriber: s, position: distribution.Position{Resource: resource, InForce: has}}
	f.mu.Lock()
	f.subscriptions[resource] = sub
	f.unsentPositions[resource] = true
	delete(f.unsentUnfollowed, resource)
	f.mu.Unlock()
	f.wakeReports()
	return func() { f.unsubscribe(resource, sub) }
}

// unsubscribe ends a subscription, unless another one has replaced it.
func (f *Follower) unsubscribe(resource string, sub *subscription) {
	f.mu.Lock()
	if f.subscriptions[resource] == sub {
		delete(f.subscriptions, resource)
		delete(f.unsentPositions, resource)
		delete(f.statuses, resource)
		f.unsentUnfollowed[resource] = true
	}
	f.mu.Unlock()
	f.wakeReports()
}

// takeUnsentPositions returns the unsent positions and unfollowed resources, and marks them as
// sent. The caller holds f.mu.
func (f *Follower) takeUnsentPositions() (positions []distribution.Position, unfollowed []string) {
	for name := range f.unsentPositions {
		if sub := f.subscriptions[name]; sub != nil {
			positions = append(positions, sub.position)
		}
	}
	for name := range f.unsentUnfollowed {
		unfollowed = append(unfollowed, name)
	}
	clear(f.unsentPositions)
	clear(f.unsentUnfollowed)
	slices.SortFunc(positions, func(a, b distribution.Position) int { return cmp.Compare(a.Resource, b.Resource) })
	return positions, unfollowed
}

// markAllUnsent marks all positions and statuses as unsent for a new session. The caller holds
// f.mu.
func (f *Follower) markAllUnsent() {
	clear(f.unsentUnfollowed)
	for name := range f.subscriptions {
		f.unsentPositions[name] = true
	}
	for name := range f.statuses {
		f.unsentStatuses[name] = true
	}
}

// notifyUpdateFailed calls UpdateFailed of all subscribers.
func (f *Follower) notifyUpdateFailed() {
	f.mu.Lock()
	subs := make([]*subscription, 0, len(f.subscriptions))
	for _, sub := range f.subscriptions {
		subs = append(subs, sub)
	}
	f.mu.Unlock()
	for _, sub := range subs {
		sub.subscriber.UpdateFailed()
	}
}
