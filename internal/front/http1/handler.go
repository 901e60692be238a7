package http1

import (
	"net/http"
	"strings"
	"time"

	"fernlanding/internal/core"
	"fernlanding/internal/front"
	"fernlanding/internal/socket"
	"fernlanding/logic"
)

// errIDInUse rejects a request with the ID of another request.
var errIDInUse = badRequest("the Request-Id belongs to another request")

const maxForwards = 4 // pools that are tried for a request while a new configuration takes effect

// serveRequest responds to a health check, or forwards a request. keep reports whether the
// connection stays open. A request that is not forwarded is returned as a rejection.
func (f *Front) serveRequest(c *clientConn, r *clientRequest) (keep bool, rejected *rejection) {
	if r.URL.Path == healthPath {
		return f.serveHealth(c, r), nil
	}
	dest, reqErr := f.resolve(r.Request)
	if reqErr != nil {
		return false, &rejection{err: reqErr, noBody: isHead(r.Request)}
	}
	release, ok := reserveServiceMemory(r, &dest)
	if !ok {
		return false, &rejection{err: noMemoryError(&dest), noBody: isHead(r.Request)}
	}
	defer release()
	expectsContinue := len(r.Header["Expect"]) > 0
	req := f.newCoreRequest(c, r, &dest)
	if !dest.Pool.ReserveID(req) {
		return false, &rejection{err: errIDInUse, noBody: isHead(r.Request)}
	}
	defer dest.Pool.ReleaseID(req)
	memory := f.newRequestMemory(r)
	defer memory.claim.Release()
	body := bodyReader{conn: c, length: r.ContentLength, memory: memory}
	req.Body, rejected = body.read(expectsContinue)
	if rejected != nil {
		if rejected.err == errNoMemory {
			rejected.err = noMemoryError(&dest)
		}
		return false, rejected
	}
	answer, reqErr := f.forward(c, r, dest, req)
	if reqErr != nil {
		return false, &rejection{err: reqErr, noBody: isHead(r.Request)}
	}
	r.unforwarded = answer.Verdict == core.Shed
	return f.writeAnswer(c, r, answer), nil
}

// resolve returns the destination of a request, if the request is valid.
func (f *Front) resolve(r *http.Request) (front.Destination, *front.RequestError) {
	if r.ProtoMinor == 0 {
		return front.Destination{}, errVersion
	}
	dest, reqErr := f.cfg.Resolver.Resolve(r)
	if reqErr == nil {
		reqErr = checkBody(r, &dest)
	}
	return dest, reqErr
}

// healthPath is the path of health checks.
const healthPath = "/_health"

// serveHealth responds to a health check and reports whether the connection stays open.
func (f *Front) serveHealth(c *clientConn, r *clientRequest) (keep bool) {
	resp := &core.Response{StatusCode: http.StatusOK}
	if !f.cfg.IsHealthy() || f.draining.Load() {
		resp.StatusCode = http.StatusServiceUnavailable
	}
	r.unforwarded = true
	last := resp.StatusCode != http.StatusOK || r.ContentLength > 0
	return f.writeResponse(c, r, resp, 0, last)
}

// forward passes a request to the pool of its destination and waits for the answer. A pool may
// close after the resolver has selected it. That pool has not forwarded the request, so the request
// is resolved again.
func (f *Front) forward(
	c *clientConn, r *clientRequest, dest front.Destination, req *core.Request,
) (core.Answer, *front.RequestError) {
	for n := 1; ; n++ {
		answer := f.forwardOnce(c, &dest, req)
		if answer.Verdict != core.NotAdmitted || n == maxForwards {
			return answer, nil
		}
		next, reqErr := f.cfg.Resolver.Resolve(r.Request)
		if reqErr != nil {
			return core.Answer{}, reqErr
		}
		dest = next
		dest.Mirror = nil // the copy has already been sent
		body := req.Body
		req = f.newCoreRequest(c, r, &dest)
		req.Body = body
	}
}

// newCoreRequest returns the request that is forwarded to a destination, without its body.
func (f *Front) newCoreRequest(c *clientConn, r *clientRequest, dest *front.Destination) *core.Request {
	return &core.Request{
		Request: logic.Request{
			ID: dest.ID, Class: dest.Class, Tenant: dest.Tenant, Key: dest.Key,
			ClientDeadline: dest.Pool.Clock().At(r.arrived.Add(dest.Timeout)),
		},
		Method: r.Method, Target: dest.Target, Host: r.Host,
		Header:        forwardedHeader(r.Header, dest.Header),
		HasClientLeft: func() bool { return f.conns.hasClientLeft(c) },
	}
}

// forwardOnce passes a request to one pool and waits for the answer. If the client disconnects, the
// request is canceled.
func (f *Front) forwardOnce(c *clientConn, dest *front.Destination, req *core.Request) core.Answer {
	if f.noNewConns.Load() {
		req.ClientConnections, req.IdleClientConnections = f.conns.clientConnections()
	}
	if dest.Mirror != nil {
		dest.Mirror(req)
	}
	watch := c.watchForDisconnect(func() { dest.Pool.Cancel(req) })
	defer watch.stop()
	return dest.Pool.Do(req)
}

// writeAnswer writes the answer of a pool and releases its response. It reports whether the
// connection stays open.
func (f *Front) writeAnswer(c *clientConn, r *clientRequest, answer core.Answer) (keep bool) {
	defer answer.Response.Close()
	if answer.Verdict == core.Canceled {
		return false // the client has gone
	}
	resp := answer.Response
	if resp == nil {
		resp = &core.Response{StatusCode: verdictStatus(answer.Verdict)}
	}
	retryAfter := time.Duration(answer.RetryAfter) * time.Microsecond
	return f.writeResponse(c, r, resp, retryAfter, answer.Verdict == core.Rejected)
}

// writeResponse writes a response and reports whether the connection stays open. The connection
// closes if last is set, if the client wants that, or if the front is closing its connections.
func (f *Front) writeResponse(
	c *clientConn, r *clientRequest, resp *core.Response, retryAfter time.Duration, last bool,
) (keep bool) {
	last = last || c.isTruncated() || r.Close || f.closing.Load()
	w := responseWriter{conn: c, noBody: isHead(r.Request), last: last}
	if w.write(resp, retryAfter) != nil {
		return false
	}
	if last && socket.PeekState(c.Conn) == socket.Readable {
		c.linger()
	}
	return !last
}

// hopByHopFields are the names of the fields that concern a single connection (RFC 9110, section
// 7.6.1) or the framing of the message.
var hopByHopFields = [...]string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}

// forwardedHeader returns the fields of a request that are forwarded: all fields but those that
// concern the connection, with replacements in place of the client's fields of the same names. It
// deletes the fields that are not forwarded from h.
func forwardedHeader(h http.Header, replacements []core.HeaderField) []core.HeaderField {
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopFields {
		delete(h, name)
	}
	for _, field := range replacements {
		delete(h, field.Name)
	}
	fields := make([]core.HeaderField, 0, len(h)+len(replacements))
	for name, values := range h {
		for _, value := range values {
			fields = append(fields, core.HeaderField{Name: name, Value: value})
		}
	}
	return append(fields, replacements...)
}
