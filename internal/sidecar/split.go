package sidecar

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"

	"fernlanding/internal/config"
	"fernlanding/internal/front"
	"fernlanding/internal/route"
	"fernlanding/logic"
)

const (
	maxStickyKeys     = 1 << 16 // requests that are idempotent by key whose arm is remembered: some 5 MB
	maxPreviousSplits = 16      // of a route
)

// splitArm is one service and class that a route leads to.
type splitArm struct {
	service  string
	pool     front.Pool
	class    int
	settings logic.Class
	policy   config.ClassPolicy // what the class's owner states about retries
	maxBody  int64              // in bytes
	tenants  map[string]int
	memory   front.Memory
}

// keyLifetime returns how long after its arrival a request's key may be in a dedup window, in
// microseconds. The window begins with the attempt that has run, at the latest at the deadline.
func (a *splitArm) keyLifetime() int64 {
	return a.settings.Deadline + a.policy.DedupWindow.Microseconds()
}

// previousSplit is a split that a route had before, while keys that it assigned may still be in a
// dedup window.
type previousSplit struct {
	route *activeRoute
	until int64 // in microseconds of the clock
}

// inheritSplits takes over the split of the route of the same name in the previous configuration,
// and the splits before that; nil: there is none.
func (r *activeRoute) inheritSplits(previous *activeRoute, now int64) {
	if previous == nil {
		return
	}
	for _, earlier := range previous.previousSplits {
		if earlier.until > now {
			r.previousSplits = append(r.previousSplits, earlier)
		}
	}
	lifetime := int64(0)
	for _, arm := range previous.arms {
		lifetime = max(lifetime, arm.keyLifetime())
	}
	r.previousSplits = append(r.previousSplits, previousSplit{
		route: &activeRoute{Route: previous.Route, split: previous.split, arms: previous.arms},
		until: now + lifetime,
	})
	// More than this many in one window are too many to look at for each request: the oldest are
	// dropped.
	r.previousSplits = r.previousSplits[max(0, len(r.previousSplits)-maxPreviousSplits):]
}

// assignArm returns the index of the arm of a request: by the route's sticky field, else by the
// key, else at random.
func (r *activeRoute) assignArm(req *http.Request, key string) int {
	if r.split == nil {
		return 0
	}
	if r.Sticky != "" {
		if value := firstValue(req.Header, r.Sticky); value != "" {
			return r.split.ForKey(value)
		}
	}
	if key != "" {
		return r.split.ForKey(key)
	}
	return r.split.Pick(rand.Uint64())
}

// wasAssignedElsewhere reports whether a previous split would have sent a request to another
// service.
func (r *activeRoute) wasAssignedElsewhere(req *http.Request, key, service string, now int64) bool {
	for _, earlier := range r.previousSplits {
		if earlier.until <= now {
			continue
		}
		arm := earlier.route.assignArm(req, key)
		if earlier.route.arms[arm].service != service {
			return true
		}
	}
	return false
}

// chooseArm returns the arm of a request. A retry of a request that is idempotent by key goes where
// its key went before, as long as the key may be in the dedup window there.
func (c *activeConfig) chooseArm(r *activeRoute, req *http.Request) (splitArm, *front.RequestError) {
	// All arms agree on this, and on the key's field from version 2 of the format on.
	policy := &r.arms[0].policy
	keyField := policy.Key
	if keyField == "" {
		keyField = config.DefaultKey
	}
	key := firstValue(req.Header, keyField)
	assigned := r.assignArm(req, key)
	if key == "" || policy.Idempotency != logic.IdempotentByKey {
		return r.arms[assigned], nil
	}
	now := r.arms[assigned].pool.Clock().Now()
	wasElsewhere := func(service string) bool { return r.wasAssignedElsewhere(req, key, service, now) }
	return c.sticky.choose(r, assigned, route.Hash(r.Name, key), now, wasElsewhere)
}

// stickyAssignments remembers the arms of requests that are idempotent by key; it outlives
// configurations.
type stickyAssignments struct {
	mu          sync.Mutex // guards what follows
	assignments *route.Assignments
}

// newStickyAssignments returns an empty memory.
func newStickyAssignments() *stickyAssignments {
	return &stickyAssignments{assignments: route.NewAssignments(maxStickyKeys)}
}

// choose returns the arm that a key is assigned to, and assigns it to the arm of index assigned if
// it is to none. wasElsewhere reports whether a previous split would have sent it to another
// service than the one named.
func (s *stickyAssignments) choose(
	r *activeRoute, assigned int, keyHash uint64, now int64, wasElsewhere func(service string) bool,
) (splitArm, *front.RequestError) {
	s.mu.Lock()
	defer s.mu.Unlock()
	service, known := s.assignments.Lookup(now, keyHash)
	if known {
		assigned = slices.IndexFunc(r.arms, func(arm splitArm) bool { return arm.service == service })
	}
	if assigned < 0 || !known && !s.assignments.Complete(now) && wasElsewhere(r.arms[assigned].service) {
		// Another service has its record in its dedup window, or may have it, and is not on this
		// route any more. Elsewhere the request's effect might happen twice.
		return splitArm{}, &front.RequestError{
			Status: http.StatusServiceUnavailable, RetryAfter: retryLater,
			Reason: "another service may hold the record of this key; it is forgotten after its window",
		}
	}
	arm := r.arms[assigned]
	s.assignments.Assign(now, keyHash, arm.service, now+arm.keyLifetime())
	return arm, nil
}
