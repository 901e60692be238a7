package sidecar

import (
	"maps"
	"slices"
	"sync"

	"fernlanding/internal/core"
	"fernlanding/internal/membership"
)

// endpointList forwards updates to a pool and keeps the complete list. The list is cached, and is
// the initial list of a pool that replaces this one. It implements membership.Sink.
type endpointList struct {
	pool *core.Pool

	mu        sync.Mutex // guards the fields below
	version   int64
	endpoints map[string]membership.Endpoint // by name
}

// newEndpointList returns an empty list for a pool.
func newEndpointList(pool *core.Pool) *endpointList {
	return &endpointList{pool: pool, endpoints: map[string]membership.Endpoint{}}
}

// UpdateEndpoints implements membership.Sink.
func (l *endpointList) UpdateEndpoints(update *membership.List) {
	l.apply(update)
	l.pool.UpdateEndpoints(update)
}

// UpdateFailed implements membership.Sink.
func (l *endpointList) UpdateFailed() { l.pool.UpdateFailed() }

// updateFromCache applies the last known list; see core.Pool.UpdateFromCache.
func (l *endpointList) updateFromCache(list *membership.List) {
	l.apply(list)
	l.pool.UpdateFromCache(list)
}

// restore applies a list that an earlier process has cached; see core.Pool.RestoreEndpoints.
func (l *endpointList) restore(list *membership.List) {
	l.apply(list)
	l.pool.RestoreEndpoints(list)
}

// apply applies a snapshot or a delta to the complete list.
func (l *endpointList) apply(update *membership.List) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.version = update.Version
	if update.Full {
		clear(l.endpoints)
	}
	for _, endpoint := range update.Endpoints {
		if endpoint.Status == membership.Deleted {
			delete(l.endpoints, endpoint.Name)
		} else {
			l.endpoints[endpoint.Name] = endpoint
		}
	}
}

// snapshot returns the complete list, sorted by name, or nil if the list is empty.
func (l *endpointList) snapshot() *membership.List {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.endpoints) == 0 {
		return nil
	}
	list := &membership.List{Version: l.version, Full: true}
	for _, name := range slices.Sorted(maps.Keys(l.endpoints)) {
		list.Endpoints = append(list.Endpoints, l.endpoints[name])
	}
	return list
}
