package core

import (
	"fernlanding/internal/membership"
	"fernlanding/logic"
)

// UpdateFromCache applies the last endpoint list known to the source, which may be stale.
func (p *Pool) UpdateFromCache(list *membership.List) { p.applyEndpoints(logic.CachedSnapshot, list) }

// RestoreEndpoints applies an endpoint list that an earlier process has stored. See
// [logic.RestoredSnapshot].
func (p *Pool) RestoreEndpoints(list *membership.List) {
	p.applyEndpoints(logic.RestoredSnapshot, list)
}

// UpdateEndpoints implements membership.Sink.
func (p *Pool) UpdateEndpoints(list *membership.List) {
	if list.Full {
		p.applyEndpoints(logic.Snapshot, list)
	} else {
		p.applyEndpoints(logic.Delta, list)
	}
}

// UpdateFailed implements membership.Sink.
func (p *Pool) UpdateFailed() {
	p.runEvent(func() { p.balancer.UpdateEndpoints(p.clock.Now(), (*host)(p), logic.UpdateFailed, nil) })
}

// applyEndpoints applies an endpoint list first to the upstream and then to the balancer, so that
// the balancer selects only endpoints that the upstream knows. Neither gets an endpoint whose address
// has been taken over. An empty list makes the pool ready only if the list is a snapshot from the
// source.
func (p *Pool) applyEndpoints(kind logic.UpdateKind, list *membership.List) {
	p.runEvent(func() {
		owners := p.addressOwners.Apply(list)
		p.upstream.UpdateEndpoints(kind != logic.Delta, owners.Endpoints)
		p.balancer.UpdateEndpoints(p.clock.Now(), (*host)(p), kind, p.zones.endpoints(owners.Endpoints))
		select {
		case <-p.ready:
		default:
			if kind == logic.Snapshot || len(list.Endpoints) > 0 {
				close(p.ready)
			}
		}
	})
}

// Ready returns a channel that is closed once the pool has an endpoint list.
func (p *Pool) Ready() <-chan struct{} { return p.ready }

// WatchRequested returns a channel that receives a value when the balancer requests a watch of the
// endpoint list.
func (p *Pool) WatchRequested() <-chan struct{} { return p.watchRequested }
