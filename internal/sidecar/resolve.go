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

// defaultRetryAfter is the Retry-After of requests that the sidecar itself sheds.
const defaultRetryAfter = time.Second

// resolve returns the destination of a request that a listener has received.
func (c *activeConfig) resolve(listener string, req *http.Request) (front.Destination, *front.RequestError) {
	if c.platform != nil {
		return c.platform.resolve(req)
	}
	if reqErr := checkSingleFields(req.Header); reqErr != nil {
		return front.Destination{}, reqErr
	}
	dest := front.Destination{Tenant: -1, MemoryRetryAfter: defaultRetryAfter}
	matched, reqErr := c.routesByListener[listener].match(req, &dest)
	if reqErr != nil {
		return front.Destination{}, reqErr
	}
	arm, reqErr := c.chooseArm(matched, req)
	if reqErr != nil {
		return dest, reqErr
	}
	if reqErr := arm.checkPolicy(req.Header); reqErr != nil {
		return front.Destination{}, reqErr
	}
	timeout, reqErr := clientTimeout(matched, arm, req.Header)
	if reqErr != nil {
		return front.Destination{}, reqErr
	}
	dest.Timeout = responseTimeout(timeout)
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

// match returns the route of a request, and sets the ID and the target of the forwarded request.
func (l *listenerRoutes) match(req *http.Request, dest *front.Destination) (*activeRoute, *front.RequestError) {
	rawPath, query, hasQuery := strings.Cut(req.RequestURI, "?")
	number, err := l.table.Match(route.Request{Method: req.Method, Host: req.Host, Path: rawPath, Header: req.Header})
	if err != nil {
		return nil, badRequest(err.Error())
	}
	if number < 0 {
		return nil, &front.RequestError{Status: http.StatusNotFound, Reason: "no route"}
	}
	if reqErr := setRequestID(dest, req.Header); reqErr != nil {
		return nil, reqErr
	}
	matched := l.routes[number]
	dest.Target = req.RequestURI
	if matched.RewritePrefix == "" {
		return matched, nil
	}
	target, ok := l.table.Rewrite(number, rawPath, matched.RewritePrefix)
	if !ok {
		return nil, badRequest("a path that is not in canonical form can't be rewritten")
	}
	dest.Target = target
	if hasQuery {
		dest.Target += "?" + query
	}
	return matched, nil
}

// setRequestID sets the ID of the destination to the client's Request-Id. If there is none, it sets
// a random ID and adds the Request-Id field.
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

// clientTimeout returns how long the client of a request waits: the minimum of the class's
// deadline, the route's timeout and the Request-Timeout-Ms of the request.
func clientTimeout(matched *activeRoute, arm splitArm, header http.Header) (time.Duration, *front.RequestError) {
	timeout := time.Duration(arm.settings.Deadline) * time.Microsecond
	if matched.Timeout > 0 {
		timeout = min(timeout, matched.Timeout)
	}
	text := firstValue(header, "Request-Timeout-Ms")
	if text == "" {
		return timeout, nil
	}
	requested, reqErr := parseTimeout(text)
	return min(timeout, requested), reqErr
}

// checkPolicy rejects a request that violates the policy of its class.
func (a *splitArm) checkPolicy(header http.Header) *front.RequestError {
	name := a.policy.Key
	hasOneKey := len(header[name]) == 1 && header[name][0] != ""
	if a.policy.Idempotency == logic.IdempotentByKey && !hasOneKey {
		return badRequest("a keyed class needs one " + name)
	}
	if !a.policy.EarlyData && len(header["Early-Data"]) > 0 {
		// Early data may be a replay (RFC 8470, section 5.2): the request is not forwarded, and the
		// client retries it after the handshake. No proxy sends the field with a value other than
		// 1; other values are treated as 1.
		return &front.RequestError{Status: http.StatusTooEarly, Reason: "taken after the handshake alone"}
	}
	return nil
}
