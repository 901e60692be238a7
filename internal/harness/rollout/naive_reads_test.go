package rollout_test

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"fernlanding/internal/distribution"
)

// naiveSession is the state of a follower at a node.
type naiveSession struct {
	kind      distribution.Kind
	positions map[string]distribution.Position
	statuses  map[string]distribution.ResourceStatus
	lastRead  time.Time
}

// follow answers one read.
func (n *naiveNode) follow(ctx context.Context, q distribution.FollowRequest) distribution.FollowResponse {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.recordRead(q)
	hold := time.NewTimer(time.Duration(q.HoldMs) * time.Millisecond)
	defer hold.Stop()
	for {
		if out := n.pending(q); len(out) > 0 {
			return distribution.FollowResponse{Session: naiveSessionID, Updates: out}
		}
		changed := n.changed
		n.mu.Unlock()
		holdEnded := false
		select {
		case <-changed:
		case <-n.recheck():
		case <-hold.C:
			holdEnded = true
		case <-ctx.Done():
			holdEnded = true
		}
		n.mu.Lock()
		if holdEnded {
			return distribution.FollowResponse{Session: naiveSessionID, Updates: n.heartbeat(q)}
		}
	}
}

// recheck returns a channel that receives a value when it is time to check again for updates that a
// bug delays. It returns nil if no bug delays updates.
func (n *naiveNode) recheck() <-chan time.Time {
	if n.bug != bugDelayUrgent && n.bug != bugBackwards {
		return nil
	}
	return time.After(naiveRetryDelay)
}

// recordRead records the state of a follower from its read and wakes the upstream read, which
// reports the state. The caller holds n.mu.
func (n *naiveNode) recordRead(q distribution.FollowRequest) {
	session := &naiveSession{
		kind:      q.Kind,
		positions: make(map[string]distribution.Position),
		statuses:  make(map[string]distribution.ResourceStatus),
		lastRead:  time.Now(),
	}
	for _, p := range q.Positions {
		session.positions[p.Resource] = p
		n.resource(p.Resource)
	}
	for _, s := range q.Statuses {
		session.statuses[s.Resource] = s
	}
	n.sessions[q.Follower] = session
	if n.upstream != nil {
		n.upstream.wake()
	}
}

// pending returns the updates that answer a read. The caller holds n.mu.
func (n *naiveNode) pending(q distribution.FollowRequest) (out []distribution.Update) {
	for _, p := range q.Positions {
		r := n.resources[p.Resource]
		has := p.InForce
		if p.Rejected.After(has) {
			has = p.Rejected
		}
		if has == r.version && n.goesBack(r, q.Kind) {
			out = append(out, *r.previous)
			r.previous = nil
			continue
		}
		if !r.version.After(has) || n.withholds(r, p) {
			continue
		}
		u := r.since(p.Resource, p.InForce)
		switch {
		case n.bug == bugSnapshotsOnly:
			u = r.snapshot(p.Resource)
		case n.bug == bugDropItem && !u.IsSnapshot() && len(u.Items) > 1 && q.Kind == distribution.KindProxy:
			u.Items = u.Items[1:]
		}
		out = append(out, u)
		if n.bug == bugUnboundedCache {
			data, _ := json.Marshal(u)
			n.cached += len(data)
		}
	}
	return out
}

// goesBack reports whether bugBackwards causes the node to send the previous version of a resource.
func (n *naiveNode) goesBack(r *naiveResource, kind distribution.Kind) bool {
	if n.bug != bugBackwards || n.upstream == nil || kind != distribution.KindProxy {
		return false
	}
	return r.previous != nil && time.Since(r.updatedAt) > naiveHold/2 && !r.previous.Version.IsZero()
}

// withholds reports whether a bug causes the node to withhold an update.
func (n *naiveNode) withholds(r *naiveResource, p distribution.Position) bool {
	switch n.bug {
	case bugDropUpdates:
		return n.upstream != nil && p.Resource == naiveDroppedResource && !p.InForce.IsZero()
	case bugDelayUrgent:
		return n.upstream != nil && r.urgent && time.Since(r.updatedAt) < naiveUrgentDelay
	default:
		return false
	}
}

// heartbeat returns the updates to send at the end of a hold. The caller holds n.mu.
func (n *naiveNode) heartbeat(q distribution.FollowRequest) (out []distribution.Update) {
	if n.bug != bugHeavyHeartbeat {
		return nil
	}
	for _, p := range q.Positions {
		if r := n.resources[p.Resource]; !r.version.IsZero() {
			out = append(out, r.snapshot(p.Resource))
		}
	}
	return out
}

// status returns the status of a resource at the followers that have read within the last three
// holds. The caller holds n.mu.
func (n *naiveNode) status(resource string) distribution.ResourceStatus {
	counts := map[distribution.Version]int{}
	out := distribution.ResourceStatus{Resource: resource}
	for name, session := range n.sessions {
		if time.Since(session.lastRead) > 3*naiveHold {
			delete(n.sessions, name)
			continue
		}
		if session.kind == distribution.KindRelay {
			for _, c := range session.statuses[resource].Counts {
				counts[c.Version] += c.Proxies
			}
			out.Rejections = append(out.Rejections, session.statuses[resource].Rejections...)
			continue
		}
		p, follows := session.positions[resource]
		if !follows || n.bug == bugOmitFollower && name == "follower-2" {
			continue
		}
		if n.bug == bugReportEarly {
			p.InForce = n.resource(resource).version
		}
		counts[p.InForce]++
		if p.Rejected.After(p.InForce) {
			rejection := distribution.Rejection{Follower: name, Version: p.Rejected, Reason: p.Reason}
			out.Rejections = append(out.Rejections, rejection)
		}
	}
	for v, c := range counts {
		out.Counts = append(out.Counts, distribution.VersionCount{Version: v, Proxies: c})
	}
	slices.SortFunc(out.Counts, func(a, b distribution.VersionCount) int { return b.Version.Compare(a.Version) })
	return out
}
