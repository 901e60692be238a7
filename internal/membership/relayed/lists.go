package relayed

import (
	"log/slog"
	"sync"
	"time"

	"fernlanding/internal/distribution"
	"fernlanding/internal/distribution/follow"
)

// resourcePrefix is the prefix of the names of resources that are endpoint lists.
const resourcePrefix = "lists/"

// Resource returns the resource name of the named list.
func Resource(list string) string { return resourcePrefix + list }

// Follower follows resources. It is usually a *follow.Follower.
type Follower interface {
	// Subscribe follows a resource from a version until cancel is called.
	Subscribe(resource string, has distribution.Version, subscriber follow.Subscriber) (cancel func())
	// Health returns the state of the connection to the relays.
	Health() follow.Health
}

// Lists has all lists that a process follows, with one follower at a time. It is safe for
// concurrent use.
type Lists struct {
	log *slog.Logger
	now func() time.Time

	mu       sync.Mutex
	follower Follower // nil if there is none; the lists then keep their state
	lists    map[string]*followedList
}

// NewLists returns a Lists without lists and without a follower.
func NewLists(log *slog.Logger) *Lists {
	return &Lists{log: log, now: time.Now, lists: map[string]*followedList{}}
}

// SetFollower replaces the follower of the lists. With nil, the lists are not followed. The
// previous follower must have ended. Each list resumes from the version in force.
func (l *Lists) SetFollower(follower Follower) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.follower = follower
	for _, list := range l.lists {
		list.follow(follower)
	}
}

// acquire returns the named list. The list is followed until every caller of acquire has released
// it.
func (l *Lists) acquire(name string) *followedList {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := l.lists[name]
	if list == nil {
		list = newFollowedList(name, l.log, l.now)
		l.lists[name] = list
		list.follow(l.follower)
	}
	list.references++
	return list
}

// release undoes one acquire.
func (l *Lists) release(list *followedList) {
	l.mu.Lock()
	defer l.mu.Unlock()
	list.references--
	if list.references == 0 {
		delete(l.lists, list.name)
		list.follow(nil)
	}
}
