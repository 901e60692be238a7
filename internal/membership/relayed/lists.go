package relayed

import (
	"log/slog"
	"sync"
	"time"

	"fernlanding/internal/distribution"
	"fernlanding/internal/distribution/follow"
)

// resourcePrefix begins the names of resources that are endpoint lists.
const resourcePrefix = "lists/"

// Resource returns the name of the resource that has the named list.
func Resource(list string) string { return resourcePrefix + list }

// Follower follows resources, usually a *follow.Follower.
type Follower interface {
	// Subscribe follows a resource from a version on until cancel is called.
	Subscribe(resource string, has distribution.Version, subscriber follow.Subscriber) (cancel func())
	// Health reports the state of the connection to the relays.
	Health() follow.Health
}

// Lists is all lists that a process follows, over one follower at a time. It is safe for concurrent
// use.
type Lists struct {
	log *slog.Logger
	now func() time.Time

	mu       sync.Mutex
	follower Follower // nil: none, the lists stand as they are
	lists    map[string]*followedList
}

// NewLists returns a Lists that follows nothing.
func NewLists(log *slog.Logger) *Lists {
	return &Lists{log: log, now: time.Now, lists: map[string]*followedList{}}
}

// SetFollower follows the lists with another follower; nil: with none. The one before must have
// ended. Each list resumes from the version that is in force.
func (l *Lists) SetFollower(follower Follower) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.follower = follower
	for _, list := range l.lists {
		list.follow(follower)
	}
}

// acquire returns the named list, which is followed until everyone who has acquired it has released
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
