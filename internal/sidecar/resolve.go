package sidecar

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"fernlanding/internal/core"
	"fernlanding/internal/front"
	"fernlanding/internal/route"
	"fernlanding/logic"
)

// retryLater is the Retry-After of a request that the sidecar itself rejects.
const retryLater = time.Second

// resolve returns where a request of a listener is forwarded, and as what.
func (c *activeConfig) resolve(listener string, req *http.Request) (front.Destination, *front.RequestError) {
	if c.platform != nil {
		return c.platform.resolve(req)
	}
	if fault := checkSingleFields(req.Header); fault != nil {
		return front.Destination{}, fault
	}
	dest := front.Destination{Tenant: -1, MemoryRetryAfter: retryLater}
	matched, fault := c.routesByListener[listener].match(req, &dest)
	if fault != nil {
		return front.Destination{}, fault
	}
	arm, fault := c.chooseArm(matched, req)
	if fault != nil {
		return dest, fault
	}
	if fault := arm.checkPolicy(req.Header); fault != nil {
		return front.Destination{}, fault
	}
	timeout, fault := clientTimeout(matched, arm, req.Header)
	if fault != nil {
		return front.Destination{}, fault
	}
	dest.Timeout = answerTimeout(timeout)
	dest.Pool, dest.Class, dest.Memory, dest.MaxBody = arm.pool, arm.class, arm.memory, arm.maxBody
	if name := firstValue(req.Header, "Tenant"); name != "" {
		if tenant, ok := arm.tenants[name]; ok {
			dest.Tenant = tenant
		}
	}
	if arm.settings.Ordered {
		rawPath, _, _ := strings.Cut(req.RequestURI, "?")
		dest.Key = rawPath[strings.LastIndexByte(rawPath, '/')+1:]
	}
	if matched.mirror != nil {
		dest.Mirror = func(r *core.Request) { c.sendMirror(matched.mirror, r) }
	}
	return dest, nil
}

// match returns the route of a request, and sets the ID and the target with which the request is
// forwarded.
func (l *listenerRoutes) match(req *http.Request, dest *front.Destination) (*activeRoute, *front.RequestError) {
	rawPath, query, hasQuery := strings.Cut(req.RequestURI, "?")
	number, err := l.table.Match(route.Request{Method: req.Method, Host: req.Host, Path: rawPath, Header: req.Header})
	if err != nil {
		return nil, badRequest(err.Error())
	}
	if number < 0 {
		return nil, &front.RequestError{Status: http.StatusNotFound, Reason: "no route"}
	}
	if fault := setRequestID(dest, req.Header); fault != nil {
		return nil, fault
	}
	matched := l.routes[number]
	dest.Target = req.RequestURI
	if matched.Rewrite == "" {
		return matched, nil
	}
	target, ok := l.table.Rewrite(number, rawPath, matched.Rewrite)
	if !ok {
		return nil, badRequest("a path that is not in canonical form can't be rewritten")
	}
	dest.Target = target
	if hasQuery {
		dest.Target += "?" + query
	}
	return matched, nil
}

// setRequestID sets the client's Request-Id, or a random one that is forwarded in its place.
func setRequestID(dest *front.Destination, header http.Header) *front.RequestError {
	dest.ID = firstValue(header, "Request-Id")
	if len(dest.ID) > maxRequestIDBytes {
		return badRequest("a long Request-Id")
	}
	if dest.ID == "" {
		dest.ID = strconv.FormatUint(rand.Uint64()|1<<63, 16)
		dest.Header = []core.HeaderField{{Name: "Request-Id", Value: dest.ID}}
	}
	return nil
}

// clientTimeout returns how long the client of a request waits: the least of the class's deadline,
// the route's timeout and the request's own.
func clientTimeout(matched *activeRoute, arm splitArm, header http.Header) (time.Duration, *front.RequestError) {
	timeout := time.Duration(arm.settings.Deadline) * time.Microsecond
	if matched.Timeout > 0 {
		timeout = min(timeout, matched.Timeout)
	}
	text := firstValue(header, "Request-Timeout-Ms")
	if text == "" {
		return timeout, nil
	}
	requested, fault := parseTimeout(text)
	return min(timeout, requested), fault
}

// checkPolicy rejects a request that the policy of its class forbids.
func (a *splitArm) checkPolicy(header http.Header) *front.RequestError {
	name := a.policy.Key
	hasOneKey := len(header[name]) == 1 && header[name][0] != ""
	if a.policy.Idempotency == logic.IdempotentByKey && !hasOneKey {
		return badRequest("a keyed class needs one " + name)
	}
	if !a.policy.EarlyData && len(header["Early-Data"]) > 0 {
		// It may be a replay (RFC 8470, section 5.2): nothing of it is forwarded, and the client
		// retries after its handshake. A field of another value than 1 is one that no proxy has
		// sent; it counts the same.
		return &front.RequestError{Status: http.StatusTooEarly, Reason: "taken after the handshake alone"}
	}
	return nil
}
