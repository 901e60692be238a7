// Package http1 takes clients' requests over HTTP/1.1 and answers them.
package http1

import (
	"bytes"
	"context"
	"errors"
	"fernlanding/internal/core"
	"fernlanding/internal/front"
	"fernlanding/logic"
	"fmt"
	"log"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

const (
	maxHead = 16 << 10 // of a request, before its body

	// A client that connects is owed an answer or a close within 3 s: it has this long to send a head, and
	// this long from its connecting to its first body's end. A later body has as long as a head.
	headPatience  = 2200 * time.Millisecond
	firstPatience = 2800 * time.Millisecond
	idlePatience  = 10 * time.Second       // for the next request on a connection
	faultLinger   = 500 * time.Millisecond // for what a bad client still sends, so that it can read its error
	writeLeeway   = 5 * time.Second        // beyond the longest deadline, for the answer to be taken

	boundAfter  = 200 * time.Millisecond // new connections surely come for this long after SIGTERM
	acceptAfter = 550 * time.Millisecond // and may still come for this long
	drainStep   = 20 * time.Millisecond

	mostTries = 4 // at finding a pool that takes a request, while a new configuration takes hold
)

// Config is what a front is made of.
type Config struct {
	Listener   net.Listener
	Resolver   front.Resolver
	IsHealthy  func() bool   // whether what is behind can serve
	MaxTimeout time.Duration // that any request may take
	Quota      Quota         // of open connections
	Log        *slog.Logger
}

// Front takes requests from clients and hands them to the pools that the resolver names.
type Front struct {
	cfg      Config
	server   *http.Server
	clients  *clients
	draining atomic.Bool // SIGTERM has come: health checks are told
	bound    atomic.Bool // clients may get no new connections here
	closing  atomic.Bool // each connection ends with its answer
}

// New returns a front that serves from Serve on.
func New(cfg Config) *Front {
	f := &Front{cfg: cfg, clients: newClients(cfg.Listener, cfg.Quota)}
	f.server = &http.Server{
		Handler: f, ReadHeaderTimeout: headPatience, IdleTimeout: idlePatience, MaxHeaderBytes: maxHead,
		WriteTimeout: headPatience + cfg.MaxTimeout + writeLeeway,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, clientKey{}, c)
		},
		ConnState: f.clients.state, ErrorLog: quietLog(cfg.Log),
	}
	return f
}

// Addr is where clients connect.
func (f *Front) Addr() string { return f.clients.Addr().String() }

// clientKey is the context's key for the clientConn that a request came on.
type clientKey struct{}

// Stats is what a front has, and how far its end has come.
type Stats struct {
	Open   int
	Silent int // have never asked
	Idle   int // stand between two requests

	Draining, Bound, Closing bool
}

// Stats returns the present figures.
func (f *Front) Stats() Stats {
	f.clients.mu.Lock()
	defer f.clients.mu.Unlock()
	return Stats{
		Open: len(f.clients.conns), Silent: f.clients.silent.Len(), Idle: f.clients.idle.Len(),
		Draining: f.draining.Load(), Bound: f.bound.Load(), Closing: f.closing.Load(),
	}
}

// quietLog sends net/http's remarks on broken clients to the debug level.
func quietLog(l *slog.Logger) *log.Logger { return slog.NewLogLogger(l.Handler(), slog.LevelDebug) }

// Serve accepts connections until the listener is closed.
func (f *Front) Serve() error {
	if err := f.server.Serve(f.clients); !errors.Is(err, net.ErrClosed) && !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve: %w", err)
	}
	return nil
}

// ServeHTTP answers health checks and takes requests.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	came := time.Now()
	conn, _ := r.Context().Value(clientKey{}).(*clientConn)
	if r.URL.Path == "/_health" {
		conn.answer()
		f.health(w)
		return
	}
	if fault := f.check(r); fault != nil {
		f.turnAway(w, *fault)
		return
	}
	var body []byte
	for tries := 1; ; tries++ {
		dest, fault := f.cfg.Resolver.Resolve(r)
		if fault == nil && tries == 1 {
			if n := r.ContentLength; dest.Memory != nil && n > 0 && n <= dest.MaxBody {
				if !dest.Memory.Acquire(n) {
					f.turnAway(w, front.RequestError{Status: http.StatusServiceUnavailable, Reason: "no memory is left for the body", RetryAfter: dest.MemoryRetryAfter})
					return
				}
				defer dest.Memory.Release(n)
			}
			body, fault = f.body(w, r, conn, &dest)
		}
		if fault != nil {
			f.turnAway(w, *fault)
			return
		}
		if tries > 1 {
			dest.Mirror = nil // has its copy
		}
		ans := f.pass(r, came, &dest, body)
		if ans.Verdict != core.NotAdmitted || tries == mostTries {
			if conn.answer() {
				w.Header().Set("Connection", "close")
			}
			f.reply(w, ans)
			return
		}
		// The pool has closed since it was named, and has seen nothing of the request.
	}
}

// pass hands a request to its pool and waits for the answer.
func (f *Front) pass(r *http.Request, came time.Time, dest *front.Destination, body []byte) core.Answer {
	req := &core.Request{
		Request: logic.Request{
			ID: dest.ID, Class: dest.Class, Tenant: dest.Tenant, Key: dest.Key,
			ClientDeadline: dest.Pool.Clock().At(came.Add(dest.Timeout)),
		},
		Method: r.Method, Target: dest.Target, Host: r.Host, Header: passOn(r.Header, dest.Header), Body: body,
	}
	if f.bound.Load() {
		req.ClientConnections, req.IdleClientConnections = f.clients.lines()
	}
	if dest.Mirror != nil {
		dest.Mirror(req)
	}
	defer context.AfterFunc(r.Context(), func() { dest.Pool.Cancel(req) })() // the client has gone
	return dest.Pool.Do(req)
}

func (f *Front) health(w http.ResponseWriter) {
	if f.cfg.IsHealthy() && !f.draining.Load() {
		w.WriteHeader(http.StatusOK)
		return
	}
	w.Header().Set("Connection", "close")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// turnAway answers a request that makes no sense. What follows it may not be the next one.
func (f *Front) turnAway(w http.ResponseWriter, fault front.RequestError) {
	// What is left of a body is drained on the way out; it may never come.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(faultLinger))
	h := w.Header()
	if fault.Allow != "" {
		h.Set("Allow", fault.Allow)
	}
	f.write(w, &core.Response{StatusCode: fault.Status, Header: []core.Field{{Name: "Content-Type", Value: "text/plain"}}, Body: []byte(fault.Reason + "\n")}, fault.RetryAfter, true)
}

// word puts a verdict that comes without a backend's reply into a status.
func word(v core.Verdict) int {
	switch v {
	case core.Shed, core.NotAdmitted:
		return http.StatusServiceUnavailable
	case core.Expired:
		return http.StatusGatewayTimeout
	case core.Rejected:
		return http.StatusBadRequest
	}
	return http.StatusBadGateway
}

func (f *Front) reply(w http.ResponseWriter, ans core.Answer) {
	defer ans.Response.Close()
	if ans.Verdict == core.Canceled {
		panic(http.ErrAbortHandler) // a return would answer 200
	}
	if ans.Response == nil {
		ans.Response = &core.Response{StatusCode: word(ans.Verdict)}
	}
	f.write(w, ans.Response, time.Duration(ans.RetryAfter)*time.Microsecond, ans.Verdict == core.Rejected)
}

func (f *Front) write(w http.ResponseWriter, reply *core.Response, after time.Duration, last bool) {
	h := w.Header()
	h["Content-Type"] = nil // not to be guessed
	for _, f := range reply.Header {
		h[f.Name] = append(h[f.Name], f.Value)
	}
	if last || f.closing.Load() {
		h["Connection"] = []string{"close"}
	}
	if bodyAllowed(reply.StatusCode) && h["Content-Length"] == nil { // a reply to HEAD gives the length of a body that it lacks
		h["Content-Length"] = []string{strconv.Itoa(len(reply.Body))}
	}
	if after > 0 {
		h["Retry-After"] = []string{strconv.FormatFloat(after.Seconds(), 'f', 3, 64)}
	}
	w.WriteHeader(reply.StatusCode)
	if len(reply.Body) > 0 {
		_, _ = w.Write(reply.Body) // a client that has gone is no fault
	}
}

// bodyAllowed tells whether an answer of this status may have a body (RFC 9110, section 15).
func bodyAllowed(status int) bool {
	return status >= 200 && status != http.StatusNoContent && status != http.StatusNotModified
}

// check looks at what makes no sense whatever the request is for.
func (f *Front) check(r *http.Request) *front.RequestError {
	if !r.ProtoAtLeast(1, 1) { // in these net/http drops a Transfer-Encoding unseen
		return &front.RequestError{Status: http.StatusHTTPVersionNotSupported, Reason: "HTTP/1.1 is spoken here"}
	}
	if len(r.TransferEncoding) > 0 { // with a Content-Length beside it the body may hide another request
		return &front.RequestError{Status: http.StatusLengthRequired, Reason: "a body needs Content-Length alone"}
	}
	return nil
}

// body reads a body of known length. It grows with what comes: a length alone costs no memory.
func (f *Front) body(w http.ResponseWriter, r *http.Request, conn *clientConn, dest *front.Destination) ([]byte, *front.RequestError) {
	switch {
	case r.ContentLength > dest.MaxBody:
		return nil, &front.RequestError{Status: http.StatusRequestEntityTooLarge, Reason: "the body is too large"}
	case r.ContentLength > 0 && dest.NoBody:
		return nil, &front.RequestError{Status: http.StatusBadRequest, Reason: "a body on a GET"}
	case r.ContentLength == 0:
		return nil, nil
	}
	until := time.Now().Add(headPatience)
	if conn.first() {
		until = conn.came.Add(firstPatience)
	}
	c := http.NewResponseController(w)
	_ = c.SetReadDeadline(until)
	var body bytes.Buffer
	_, err := body.ReadFrom(r.Body)
	// While the answer is awaited net/http reads on, to see a client that goes; that has no deadline.
	_ = c.SetReadDeadline(time.Time{})
	if err != nil {
		return nil, &front.RequestError{Status: http.StatusBadRequest, Reason: "the body broke off"}
	}
	return body.Bytes(), nil
}

// passOn is what of a head goes on: not the fields that concern one connection, nor the framing. Those of others
// stand in for the client's.
func passOn(h http.Header, others []core.Field) []core.Field {
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range []string{
		"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer",
		"Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
	} {
		delete(h, name)
	}
	for _, f := range others {
		delete(h, f.Name)
	}
	out := make([]core.Field, 0, len(h)+len(others))
	for name, values := range h {
		for _, v := range values {
			out = append(out, core.Field{Name: name, Value: v})
		}
	}
	return append(out, others...)
}

// Close ends the front at once.
func (f *Front) Close() { _ = f.server.Close() }

// Drain ends the service after SIGTERM. Until the last call clients are served as ever, and keep their
// connections: new ones stop coming soon, but a client uses those that it has while they stay open. What else
// it has is not known here: other proxies may restart close behind each other, and for seconds this one may be
// the last, while the successor comes no sooner for an early end. Then connections are closed as they fall
// idle, until none is left or the cutoff has come. What is taken has its answer by then, but for the time that it takes to
// write it; Drain waits for that until the end, and closes nothing under an answer before.
//
// This also covers other proxies that have crashed and a front that is slow to take a new one in. It hurts where
// a supervisor starts the successor only when this process has ended: that is then seconds later.
func (f *Front) Drain(lastCall, cutoff, end time.Time) {
	told := time.Now()
	f.draining.Store(true)
	for since := time.Duration(0); since < acceptAfter ||
		time.Now().Before(lastCall) && f.clients.count() > 0; since = time.Since(told) {
		f.bound.Store(since >= boundAfter)
		time.Sleep(drainStep)
	}
	f.closing.Store(true)
	// The listener stays to the last: closing it resets the connections that the kernel has accepted and this process has not, with
	// the requests on them.
	for accepting := true; ; {
		for f.clients.closeIdle(acceptAfter) > 0 && time.Now().Before(cutoff) {
			time.Sleep(drainStep)
		}
		for f.clients.closeLast() > 0 && time.Now().Before(end) { // what has been read, or has come, is answered
			time.Sleep(drainStep)
		}
		if !accepting || !time.Now().Before(end) {
			break
		}
		accepting = f.clients.lastLook()
	}
	_ = f.server.Close() // Shutdown would drop a request that has just been read
}
