package relayed

import (
	"fernlanding/internal/distribution"
	"fernlanding/internal/distribution/follow"
	"log/slog"
	"sync"
	"time"
)

// resourcePrefix begins the names of resources that are lists.
const resourcePrefix = "lists/"

// Resource is the name of the resource that has a list.
func Resource(list string) string { return resourcePrefix + list }

// Follower follows resources, usually a *follow.Follower.
type Follower interface {
	// Subscribe follows a resource from a version on until cancel is called.
	Subscribe(resource string, has distribution.Version, s follow.Subscriber) (cancel func())
	// Health is that of the connection to the relays.
	Health() follow.Health
}

// Lists are all lists that a process follows, over one follower at a time.
type Lists struct {
	log *slog.Logger
	now func() time.Time

	mu       sync.Mutex
	follower Follower // nil: none, the lists stand as they are
	lists    map[string]*list
}

// NewLists returns one that follows nothing.
func NewLists(log *slog.Logger) *Lists {
	return &Lists{log: log, now: time.Now, lists: map[string]*list{}}
}

// SetFollower follows the lists with another follower; nil: with none. The one before must have ended. Each list goes on from the
// version that is in force.
func (l *Lists) SetFollower(f Follower) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.follower = f
	for _, one := range l.lists {
		one.follow(f)
	}
}

// acquire returns the list of a name, which is followed until each that has acquired it has released it.
func (l *Lists) acquire(name string) *list {
	l.mu.Lock()
	defer l.mu.Unlock()
	one := l.lists[name]
	if one == nil {
		one = newList(name, l.log, l.now)
		l.lists[name] = one
		one.follow(l.follower)
	}
	one.users++
	return one
}

func (l *Lists) release(one *list) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if one.users--; one.users == 0 {
		delete(l.lists, one.name)
		one.follow(nil)
	}
}
