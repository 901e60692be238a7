package http1

import (
	"context"
	"net/http"
	"time"

	"fernlanding/internal/core"
	"fernlanding/internal/front"
	"fernlanding/logic"
)

const maxForwards = 4 // pools that are tried for a request while a new configuration takes effect

// ServeHTTP responds to health checks and forwards requests.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	conn, _ := r.Context().Value(connKey{}).(*clientConn)
	if r.URL.Path == "/_health" {
		conn.beginResponse()
		f.serveHealth(w)
		return
	}
	if reqErr := checkFraming(r); reqErr != nil {
		f.writeError(w, reqErr)
		return
	}
	dest, reqErr := f.cfg.Resolver.Resolve(r)
	if reqErr != nil {
		f.writeError(w, reqErr)
		return
	}
	reserved, reqErr := reserveBodyMemory(r, &dest)
	if reqErr != nil {
		f.writeError(w, reqErr)
		return
	}
	if reserved > 0 {
		defer dest.Memory.Release(reserved)
	}
	body, reqErr := readBody(w, r, conn, &dest)
	if reqErr != nil {
		f.writeError(w, reqErr)
		return
	}
	answer, reqErr := f.forward(r, arrived, dest, body)
	if reqErr != nil {
		f.writeError(w, reqErr)
		return
	}
	if last := conn.beginResponse(); last {
		w.Header().Set("Connection", "close")
	}
	f.writeAnswer(w, answer)
}

// serveHealth responds to a health check.
func (f *Front) serveHealth(w http.ResponseWriter) {
	if f.cfg.IsHealthy() && !f.draining.Load() {
		w.WriteHeader(http.StatusOK)
		return
	}
	w.Header().Set("Connection", "close")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// forward passes a request to the pool of its destination and waits for the answer. A pool may
// close after the resolver has selected it. That pool has not forwarded the request, so the request
// is resolved again.
func (f *Front) forward(
	r *http.Request, arrived time.Time, dest front.Destination, body []byte,
) (core.Answer, *front.RequestError) {
	for n := 1; ; n++ {
		answer := f.forwardOnce(r, arrived, &dest, body)
		if answer.Verdict != core.NotAdmitted || n == maxForwards {
			return answer, nil
		}
		next, reqErr := f.cfg.Resolver.Resolve(r)
		if reqErr != nil {
			return core.Answer{}, reqErr
		}
		dest = next
		dest.Mirror = nil // the copy has already been sent
	}
}

// forwardOnce passes a request to one pool and waits for the answer. If the client disconnects, the
// request is canceled.
func (f *Front) forwardOnce(r *http.Request, arrived time.Time, dest *front.Destination, body []byte) core.Answer {
	req := &core.Request{
		Request: logic.Request{
			ID: dest.ID, Class: dest.Class, Tenant: dest.Tenant, Key: dest.Key,
			ClientDeadline: dest.Pool.Clock().At(arrived.Add(dest.Timeout)),
		},
		Method: r.Method, Target: dest.Target, Host: r.Host,
		Header: forwardedHeader(r.Header, dest.Header), Body: body,
	}
	if f.noNewConns.Load() {
		req.ClientConnections, req.IdleClientConnections = f.conns.clientConnections()
	}
	if dest.Mirror != nil {
		dest.Mirror(req)
	}
	// net/http cancels the context when the client disconnects.
	stop := context.AfterFunc(r.Context(), func() { dest.Pool.Cancel(req) })
	defer stop()
	return dest.Pool.Do(req)
}
