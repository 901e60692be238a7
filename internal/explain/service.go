package explain

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"fernlanding/internal/config"
	"fernlanding/internal/membership"
	"fernlanding/logic"
)

// serviceClass is the class of a service that a request is routed to.
type serviceClass struct {
	service     *config.Service
	target      config.Target
	class       logic.Class
	policy      config.ClassPolicy
	servicePath []string
	classPath   []string
}

// serviceField returns the path of a field of the service.
func (c *serviceClass) serviceField(name string) []string { return subpath(c.servicePath, name) }

// classField returns the path of a field of the class.
func (c *serviceClass) classField(name string) []string { return subpath(c.classPath, name) }

// service explains what the sidecar does with a request for a service.
func (e *explainer) service(r matchedRoute, target config.Target) {
	s := e.doc.App.Service(target.Service)
	servicePath := path("services", s.Name)
	c := &serviceClass{
		service:     s,
		target:      target,
		class:       s.Balancer.Classes[s.Class(target.Class)],
		policy:      e.policy(target),
		servicePath: servicePath,
		classPath:   subpath(servicePath, "classes", target.Class),
	}
	e.explain("class", c.classPath, "%s", target.Class)
	e.pool(c)
	if e.rejects(c) {
		return
	}
	e.timeLimit(r, c)
	e.attempts(c)
	e.retries(c)
	e.failures(c)
	if r.Mirror != nil {
		e.explain("mirror", subpath(r.path, "mirror"), "a copy goes to %s/%s; nobody waits for its answer",
			r.Mirror.Service, r.Mirror.Class)
	}
}

// rejects explains that the sidecar rejects the request because of the class's policy; it reports
// whether it does.
func (e *explainer) rejects(c *serviceClass) bool {
	if c.policy.Idempotency == logic.IdempotentByKey && e.headerValue(c.policy.Key) == "" {
		e.explain("key", c.classField("key"), "%s", c.policy.Key)
		e.respond(http.StatusBadRequest, "a keyed class needs one %s", c.policy.Key)
		return true
	}
	if !c.policy.EarlyData && len(e.header["Early-Data"]) > 0 {
		e.explain("early data", c.classField("early_data"), "not taken")
		e.respond(http.StatusTooEarly, "it comes again after the handshake")
		return true
	}
	return false
}

// pool explains where the service's endpoint list comes from.
func (e *explainer) pool(c *serviceClass) {
	source := c.service.Source
	switch source.Kind {
	case config.Catalog:
		e.explain("pool", c.serviceField("discovery"), "as the discovery at %s says", source.Address)
	case config.Consul:
		e.explain("pool", c.serviceField("discovery"), "as the health API at %s says of %s",
			source.Address, source.RemoteName)
	case config.Relay:
		relays := strings.Join(e.doc.App.Distribution.Relays, ", ")
		e.explain("pool", path("distribution", "relays"), "as the relays %s say of the list %s",
			relays, source.RemoteName)
	case config.File:
		e.explain("pool", c.serviceField("path"), "as the file %s says", source.Path)
	default:
		e.staticPool(c)
	}
}

// staticPool explains an endpoint list that the file itself has.
func (e *explainer) staticPool(c *serviceClass) {
	endpoints := c.service.Source.Endpoints
	pods := map[int]bool{}
	serving := 0
	for _, endpoint := range endpoints {
		pods[endpoint.Cell] = true
		if endpoint.Status == membership.Serving {
			serving++
		}
	}
	e.explain("pool", c.serviceField("endpoints"), "%d endpoints in %d pods, %d serving",
		len(endpoints), len(pods), serving)
}

// timeLimit explains by when the request has to end, and the class's latency objective.
func (e *explainer) timeLimit(r matchedRoute, c *serviceClass) {
	limit := e.doc.App.Deadline(r.Route, c.target)
	field := c.classField("deadline")
	if r.Timeout > 0 {
		field = subpath(r.path, "timeout")
	}
	if requested, ok := e.requestedTimeout(); ok && requested < limit {
		e.explain("time limit", nil, "%v, by its own Request-Timeout-Ms", requested)
	} else {
		e.explain("time limit", field, "%v", limit)
	}
	e.explain("objective", c.classField("objective"), "%v", microseconds(c.class.LatencyObjective))
}

// requestedTimeout returns the timeout that the request itself states, and whether it states one.
func (e *explainer) requestedTimeout() (time.Duration, bool) {
	milliseconds, err := strconv.ParseInt(e.headerValue("Request-Timeout-Ms"), 10, 64)
	if err != nil || milliseconds <= 0 {
		return 0, false
	}
	const longest = 1e9 // keeps the product below within a time.Duration
	return time.Duration(min(milliseconds, longest)) * time.Millisecond, true
}

// attempts explains the bounds of the number of attempts.
func (e *explainer) attempts(c *serviceClass) {
	b := c.service.Balancer
	e.explain("attempts", c.serviceField("attempts"), "%d at most, one at a time", b.MaxAttempts)
	e.explain("retry budget", c.serviceField("retry_budget"),
		"in any %v further attempts are at most %g + %g x requests",
		microseconds(b.RetryBudgetWindow), b.RetryBudgetMin, b.RetryBudgetRatio)
	e.explain("repeat rule", c.classField("repeat"), "%s", config.IdempotencyName(c.policy.Idempotency))
}

// retries explains when the request may be retried, and on which backends.
func (e *explainer) retries(c *serviceClass) {
	noCapacity := "found no room, "
	if c.service.Balancer.RejectionMayHaveRun {
		noCapacity = "" // such a rejection proves nothing
	}
	notRun := "after an attempt that is proven not to have run (" + noCapacity +
		"no connection): to any backend that is not draining"
	switch c.policy.RetryScope {
	case config.RetryNever:
		e.explain("sent again", c.classField("resend"), "%s; never once it may have run", notRun)
	case config.RetryInDedupScope:
		e.explain("sent again", c.classField("dedup_scope"),
			"%s; once it may have run: to %s, which drops its repeats by %s",
			notRun, scopeText(c.policy.DedupScope), c.policy.Key)
		e.explain("until", c.classField("dedup_window"), "%v after its first send, and within its time limit",
			c.policy.DedupWindow)
	default:
		e.explain("sent again", c.classField("resend"),
			"to any backend, after any failed attempt, within its time limit")
	}
}

// scopeText returns the backends of a dedup scope.
func scopeText(scope logic.DedupScope) string {
	switch scope {
	case logic.DedupTier:
		return "any backend of the service"
	case logic.DedupZone:
		return "a backend of the same zone"
	case logic.DedupCell:
		return "a backend of the same pod"
	default:
		return ""
	}
}

// failures explains the status codes of the sidecar's own responses.
func (e *explainer) failures(c *serviceClass) {
	codes := c.service.StatusCodes.WithDefaults()
	hint := "without a time to come back"
	if longest := c.service.Balancer.MaxRetryAfter; longest > 0 {
		hint = fmt.Sprintf("with a Retry-After of %v at most", microseconds(longest))
	}
	e.explain("refused", c.serviceField("retry_after"),
		"%d %s, at once: when the pool is empty or full, its worth (%g) is below what is served, "+
			"or its body finds no room", codes.Shed, hint, c.class.PriorityWeight)
	e.explain("failed", c.serviceField("answers"),
		"%d when it may have run and no answer came, %d when its time is up", codes.Failed, codes.Expired)
	if len(c.service.Tenants) > 0 {
		e.explain("tenants", c.serviceField("tenants"), "%s; a tenant beyond its quota is refused first",
			strings.Join(c.service.Tenants, ", "))
	}
}

// microseconds returns a duration of the logic package's unit.
func microseconds[N ~int64](count N) time.Duration { return time.Duration(count) * time.Microsecond }
