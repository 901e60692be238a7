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

// serviceClass is the class of a service to which a request is routed.
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

// explainService explains how the sidecar handles a request to a service.
func (e *explainer) explainService(r matchedRoute, target config.Target) {
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
	e.addLine("class", c.classPath, "%s", target.Class)
	e.explainPool(c)
	if e.explainRejection(c) {
		return
	}
	e.explainTimeout(r, c)
	e.explainAttempts(c)
	e.explainRetries(c)
	e.explainFailures(c)
	if r.Mirror != nil {
		e.addLine("mirror", subpath(r.path, "mirror"), "a copy goes to %s/%s; nobody waits for its answer",
			r.Mirror.Service, r.Mirror.Class)
	}
}

// explainRejection reports whether the sidecar rejects the request because of the class's policy.
// If so, it explains the rejection.
func (e *explainer) explainRejection(c *serviceClass) bool {
	if c.policy.Idempotency == logic.IdempotentByKey && e.headerValue(c.policy.Key) == "" {
		e.addLine("key", c.classField("key"), "%s", c.policy.Key)
		e.addResponse(http.StatusBadRequest, "a keyed class needs one %s", c.policy.Key)
		return true
	}
	if !c.policy.EarlyData && len(e.header["Early-Data"]) > 0 {
		e.addLine("early data", c.classField("early_data"), "not taken")
		e.addResponse(http.StatusTooEarly, "it comes again after the handshake")
		return true
	}
	return false
}

// explainPool explains the source of the service's endpoint list.
func (e *explainer) explainPool(c *serviceClass) {
	source := c.service.Source
	switch source.Kind {
	case config.Catalog:
		e.addLine("pool", c.serviceField("discovery"), "as the discovery at %s says", source.Address)
	case config.Consul:
		e.addLine("pool", c.serviceField("discovery"), "as the health API at %s says of %s",
			source.Address, source.RemoteName)
	case config.Relay:
		relays := strings.Join(e.doc.App.Distribution.Relays, ", ")
		e.addLine("pool", path("distribution", "relays"), "as the relays %s say of the list %s",
			relays, source.RemoteName)
	case config.File:
		e.addLine("pool", c.serviceField("path"), "as the file %s says", source.Path)
	default:
		e.explainStaticPool(c)
	}
}

// explainStaticPool explains an endpoint list that is part of the file.
func (e *explainer) explainStaticPool(c *serviceClass) {
	endpoints := c.service.Source.Endpoints
	pods := map[int]bool{}
	serving := 0
	for _, endpoint := range endpoints {
		pods[endpoint.Cell] = true
		if endpoint.Status == membership.Serving {
			serving++
		}
	}
	e.addLine("pool", c.serviceField("endpoints"), "%d endpoints in %d pods, %d serving",
		len(endpoints), len(pods), serving)
}

// explainTimeout explains the timeout of the request and the latency objective of the class.
func (e *explainer) explainTimeout(r matchedRoute, c *serviceClass) {
	limit := e.doc.App.Deadline(r.Route, c.target)
	field := c.classField("deadline")
	if r.Timeout > 0 {
		field = subpath(r.path, "timeout")
	}
	if requested, ok := e.requestedTimeout(); ok && requested < limit {
		e.addLine("time limit", nil, "%v, by its own Request-Timeout-Ms", requested)
	} else {
		e.addLine("time limit", field, "%v", limit)
	}
	e.addLine("objective", c.classField("objective"), "%v", microseconds(c.class.LatencyObjective))
}

// requestedTimeout returns the timeout that the request states, and whether it states one.
func (e *explainer) requestedTimeout() (time.Duration, bool) {
	milliseconds, err := strconv.ParseInt(e.headerValue("Request-Timeout-Ms"), 10, 64)
	if err != nil || milliseconds <= 0 {
		return 0, false
	}
	const maxMilliseconds = 1e9 // prevents an overflow of the product below
	return time.Duration(min(milliseconds, maxMilliseconds)) * time.Millisecond, true
}

// explainAttempts explains the limits of the number of attempts.
func (e *explainer) explainAttempts(c *serviceClass) {
	b := c.service.Balancer
	e.addLine("attempts", c.serviceField("attempts"), "%d at most, one at a time", b.MaxAttempts)
	e.addLine("retry budget", c.serviceField("retry_budget"),
		"in any %v further attempts are at most %g + %g x requests",
		microseconds(b.RetryBudgetWindow), b.RetryBudgetMin, b.RetryBudgetRatio)
	e.addLine("repeat rule", c.classField("repeat"), "%s", config.IdempotencyName(c.policy.Idempotency))
}

// explainRetries explains when and on which backends the request may be retried.
func (e *explainer) explainRetries(c *serviceClass) {
	noCapacity := "found no room, "
	if c.service.Balancer.RejectionMayHaveRun {
		noCapacity = "" // a rejected request may have run
	}
	notRun := "after an attempt that is proven not to have run (" + noCapacity +
		"no connection): to any backend that is not draining"
	switch c.policy.RetryScope {
	case config.RetryNever:
		e.addLine("sent again", c.classField("resend"), "%s; never once it may have run", notRun)
	case config.RetryInDedupScope:
		e.addLine("sent again", c.classField("dedup_scope"),
			"%s; once it may have run: to %s, which drops its repeats by %s",
			notRun, scopeText(c.policy.DedupScope), c.policy.Key)
		e.addLine("until", c.classField("dedup_window"), "%v after its first send, and within its time limit",
			c.policy.DedupWindow)
	default:
		e.addLine("sent again", c.classField("resend"),
			"to any backend, after any failed attempt, within its time limit")
	}
}

// scopeText returns the description of the backends in a dedup scope.
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

// explainFailures explains the status codes of the sidecar's own responses.
func (e *explainer) explainFailures(c *serviceClass) {
	codes := c.service.StatusCodes.WithDefaults()
	hint := "without a time to come back"
	if longest := c.service.Balancer.MaxRetryAfter; longest > 0 {
		hint = fmt.Sprintf("with a Retry-After of %v at most", microseconds(longest))
	}
	e.addLine("refused", c.serviceField("retry_after"),
		"%d %s, at once: when the pool is empty or full, its worth (%g) is below what is served, "+
			"or its body finds no room", codes.Shed, hint, c.class.PriorityWeight)
	e.addLine("failed", c.serviceField("answers"),
		"%d when it may have run and no answer came, %d when its time is up", codes.Failed, codes.Expired)
	if len(c.service.Tenants) > 0 {
		e.addLine("tenants", c.serviceField("tenants"), "%s; a tenant beyond its quota is refused first",
			strings.Join(c.service.Tenants, ", "))
	}
}

// microseconds returns the duration of a count of microseconds, the unit of package logic.
func microseconds[N ~int64](count N) time.Duration { return time.Duration(count) * time.Microsecond }
