package node

import (
	"fmt"

	"fernlanding/internal/distribution"
	"fernlanding/internal/distribution/httpapi"
)

// Put implements httpapi.Service. A write is durable before it is in force. The errors include
// httpapi.ErrNotSource, *distribution.ConflictError, distribution.ErrFull and errors of Persist.
func (n *Node) Put(req *distribution.PutRequest) (distribution.Version, error) {
	if n.cfg.Persist == nil {
		return distribution.Version{}, httpapi.ErrNotSource
	}
	n.putMu.Lock()
	defer n.putMu.Unlock()
	plan, err := n.planPut(req)
	if err != nil {
		return distribution.Version{}, err
	}
	if plan.update == nil {
		return plan.current, nil
	}
	if err := n.cfg.Persist(plan.snapshot); err != nil {
		return distribution.Version{}, fmt.Errorf("%s: not written: %w", req.Resource, err)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if err := n.apply(plan.update); err != nil {
		return distribution.Version{}, err
	}
	n.stats.Puts++
	return plan.update.Version, nil
}

// putPlan is the result of planning a write.
type putPlan struct {
	current  distribution.Version // version of the resource before the write
	update   *distribution.Update // nil means that the write changes nothing
	snapshot *distribution.Update // snapshot of the resource after the update
}

// planPut plans a write, and assigns a revision if the write changes anything.
func (n *Node) planPut(req *distribution.PutRequest) (putPlan, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.stats.MessagesIn++
	n.stats.MessagesOut++
	next := distribution.Version{Epoch: n.cfg.Epoch, Revision: n.lastRevision + 1}
	update, err := n.store.Plan(req, next)
	if err != nil {
		return putPlan{}, err
	}
	plan := putPlan{current: n.store.Version(req.Resource), update: update}
	if update != nil {
		plan.snapshot = n.store.Preview(update)
		// A revision is never reused, even if the write fails, because the failed write may be on
		// disk nevertheless.
		n.lastRevision = next.Revision
	}
	return plan, nil
}

// Apply applies an update from the upstream and wakes the reads that the update answers.
func (n *Node) Apply(u *distribution.Update) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.apply(u)
}

// apply applies an update and wakes the reads that the update answers. The caller holds n.mu.
func (n *Node) apply(u *distribution.Update) error {
	previous := n.store.Version(u.Resource)
	applied, err := n.store.Apply(u)
	if err != nil || !applied {
		return err
	}
	now := n.now()
	urgent := n.store.UrgentSince(u.Resource, previous)
	for _, session := range n.sessions.ResourceChanged(u.Resource, urgent, now) {
		w := n.waiters[session]
		if urgent && w.urgentSince.IsZero() {
			w.urgentSince = now
		}
		w.signal()
	}
	n.setReleaseTimer(now)
	return nil
}

// Load restores a resource from its persisted snapshot. It must be called before the node serves.
func (n *Node) Load(u *distribution.Update) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, err := n.store.Apply(u); err != nil {
		return err
	}
	n.lastRevision = max(n.lastRevision, u.Version.Revision)
	return nil
}
