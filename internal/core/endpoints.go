package core

import (
	"fernlanding/internal/membership"
	"fernlanding/logic"
)

// UpdateFromCache applies the list as the source last knew it, which may be long ago.
func (p *Pool) UpdateFromCache(list *membership.List) { p.applyEndpoints(logic.CachedSnapshot, list) }

// RestoreEndpoints applies the list as an earlier process knew it: see logic.RestoredSnapshot.
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

// applyEndpoints applies a list to the upstream's connections and then to the module: what the
// module selects next is what the upstream has listed. An empty list makes the pool ready only if
// the source has sent it as a snapshot.
func (p *Pool) applyEndpoints(kind logic.UpdateKind, list *membership.List) {
	p.runEvent(func() {
		p.upstream.UpdateEndpoints(kind != logic.Delta, list.Endpoints)
		p.balancer.UpdateEndpoints(p.clock.Now(), (*host)(p), kind, p.zones.endpoints(list.Endpoints))
		select {
		case <-p.ready:
		default:
			if kind == logic.Snapshot || len(list.Endpoints) > 0 {
				close(p.ready)
			}
		}
	})
}

// Ready returns a channel that is closed when the pool has a list.
func (p *Pool) Ready() <-chan struct{} { return p.ready }

// WatchRequested returns a channel that receives when the module wants a watch of the list opened.
func (p *Pool) WatchRequested() <-chan struct{} { return p.watchRequested }
