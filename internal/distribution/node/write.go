package node

import (
	"fmt"
	"time"

	"fernlanding/internal/distribution"
	"fernlanding/internal/distribution/httpapi"
)

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
	for _, session := range n.sessions.ResourceChanged(u.Resource, urgent, now) {
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
	wake, next := n.sessions.ReleaseCoalesced(now)
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
	if n.cfg.Persist == nil {
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
	if err := n.cfg.Persist(whole); err != nil {
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
