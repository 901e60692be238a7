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
	maxStickyKeys     = 1 << 16 // idempotency keys with a cached arm; they use about 5 MB
	maxPreviousSplits = 16      // per route
)

// splitArm is one destination of a route: a service and a class.
type splitArm struct {
	service  string
	pool     front.Pool
	class    int // index
	settings logic.Class
	policy   config.ClassPolicy // declared rules of the class for retries and early data
	maxBody  int64              // in bytes
	tenants  map[string]int     // indexes by name
	memory   front.Memory
}

// keyLifetime returns how long after a request's arrival its key may be in a dedup window, in
// microseconds. The window starts with the attempt that has run, at the latest at the deadline.
func (a *splitArm) keyLifetime() int64 {
	return a.settings.Deadline + a.policy.DedupWindow.Microseconds()
}

// previousSplit is an earlier split of a route, whose assigned keys may still be in a dedup window.
type previousSplit struct {
	route *activeRoute
	until int64 // end of the dedup windows, in microseconds of the clock
}

// inheritSplits adds the split of the route of the same name in the previous configuration, and the
// earlier splits of that route. previous is nil if there was no such route.
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
	// A request may check every previous split, so the oldest beyond the limit are dropped.
	r.previousSplits = r.previousSplits[max(0, len(r.previousSplits)-maxPreviousSplits):]
}

// assignArm returns the index of a request's arm. The split selects it by the value of the route's
// sticky field, or else by the idempotency key, or else at random.
func (r *activeRoute) assignArm(req *http.Request, key string) int {
	if r.split == nil {
		return 0
	}
	if r.StickyHeader != "" {
		if value := firstValue(req.Header, r.StickyHeader); value != "" {
			return r.split.ForKey(value)
		}
	}
	if key != "" {
		return r.split.ForKey(key)
	}
	return r.split.Pick(rand.Uint64())
}

// wasAssignedElsewhere reports whether a previous split would have assigned a request to a service
// other than the given one.
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

// chooseArm returns the arm of a request. A retry of a request that is idempotent by key is
// assigned to the arm of the earlier request, as long as the key may be in the dedup window of that
// service.
func (c *activeConfig) chooseArm(r *activeRoute, req *http.Request) (splitArm, *front.RequestError) {
	// All arms have the same idempotency and, since version 2 of the format, the same key field.
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

// stickyAssignments caches the arms of requests that are idempotent by key. It persists across
// configurations.
type stickyAssignments struct {
	mu          sync.Mutex // guards assignments
	assignments *route.Assignments
}

// newStickyAssignments returns an empty cache.
func newStickyAssignments() *stickyAssignments {
	return &stickyAssignments{assignments: route.NewAssignments(maxStickyKeys)}
}

// choose returns the arm that a key is assigned to. A key without an assignment is assigned to the
// arm with the index assigned. wasElsewhere reports whether a previous split would have assigned
// the key to a service other than the given one.
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
		// Another service has, or may have, the record of the key in its dedup window. If this
		// route forwarded the request to a different service, its effect could happen twice.
		return splitArm{}, &front.RequestError{
			Status: http.StatusServiceUnavailable, RetryAfter: defaultRetryAfter,
			Reason: "another service may hold the record of this key; it is forgotten after its window",
		}
	}
	arm := r.arms[assigned]
	s.assignments.Assign(now, keyHash, arm.service, now+arm.keyLifetime())
	return arm, nil
}
