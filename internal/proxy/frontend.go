package proxy

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"fernlanding/internal/settings"
	"fernlanding/logic"
)

const (
	maxHead = 16 << 10 // of a request, before its body
	maxID   = 128      // bytes of a Request-Id

	// A client that connects is owed an answer or a close within 3 s: it has this long to send a head, and
	// this long from its connecting to its first body's end. A later body has as long as a head.
	headPatience  = 2200 * time.Millisecond
	firstPatience = 2800 * time.Millisecond
	idlePatience  = 10 * time.Second       // for the next request on a connection
	faultLinger   = 500 * time.Millisecond // for what a bad client still sends, so that it can read its error
	writeLeeway   = 5 * time.Second        // beyond the longest deadline, for the answer to be taken

	// The answer to a request is to leave this long before its client gives up, so that a busy core does
	// not make it late, but a request with little time keeps most of it.
	answerMargin = 30 * time.Millisecond
	marginPart   = 8
)

// frontend takes requests from clients and hands them to the loop.
type frontend struct {
	site     *settings.Site
	loop     *loop
	classes  map[string]int
	tenants  map[string]int
	server   *http.Server
	clients  *clients
	draining atomic.Bool // SIGTERM has come: health checks are told
	bound    atomic.Bool // clients may get no new connections here
	closing  atomic.Bool // each connection ends with its answer
}

func newFrontend(site *settings.Site, l *loop, listener net.Listener, most int, log *slog.Logger) *frontend {
	f := &frontend{site: site, loop: l, classes: numbers(site.Classes), tenants: numbers(site.Tenants),
		clients: newClients(listener, most)}
	longest := int64(0)
	for _, c := range site.Logic.Classes {
		longest = max(longest, c.Deadline)
	}
	f.server = &http.Server{
		Handler: f, ReadHeaderTimeout: headPatience, IdleTimeout: idlePatience, MaxHeaderBytes: maxHead,
		WriteTimeout: headPatience + time.Duration(longest)*time.Microsecond + writeLeeway,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, clientKey{}, c)
		},
		ConnState: f.clients.state, ErrorLog: quietLog(log),
	}
	return f
}

// clientKey is the context's key for the clientConn that a request came on.
type clientKey struct{}

func numbers(names []string) map[string]int {
	m := map[string]int{}
	for i, n := range names {
		m[n] = i
	}
	return m
}

// quietLog sends net/http's remarks on broken clients to the debug level.
func quietLog(l *slog.Logger) *log.Logger { return slog.NewLogLogger(l.Handler(), slog.LevelDebug) }

// serve accepts connections until the listener is closed.
func (f *frontend) serve() error {
	if err := f.server.Serve(f.clients); !errors.Is(err, net.ErrClosed) && !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve: %w", err)
	}
	return nil
}

// ServeHTTP answers health checks and takes requests.
func (f *frontend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	came := time.Now()
	if r.URL.Path == "/_health" {
		f.health(w)
		return
	}
	req, fault := f.parse(w, r, came)
	if fault.status != 0 {
		// What is left of a body is drained on the way out; it may never come.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(faultLinger))
		f.reply(w, fault)
		return
	}
	if f.bound.Load() {
		req.Lines, req.Spare = f.clients.lines()
	}
	l := f.loop
	l.post(func() { l.take(req) })
	select {
	case ans := <-req.answer:
		f.reply(w, ans)
	case <-r.Context().Done(): // the client has gone
		l.post(func() { l.withdraw(req, answer{}) })
		panic(http.ErrAbortHandler) // a return would answer 200
	case <-l.done:
		panic(http.ErrAbortHandler)
	}
}

func (f *frontend) health(w http.ResponseWriter) {
	select {
	case <-f.loop.listed:
		if !f.draining.Load() {
			w.WriteHeader(http.StatusOK)
			return
		}
	default:
	}
	w.Header().Set("Connection", "close")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func (f *frontend) reply(w http.ResponseWriter, ans answer) {
	h := w.Header()
	// Where a request makes no sense, what follows it may not be the next one.
	if f.closing.Load() || ans.status >= 400 && ans.status < 500 {
		h.Set("Connection", "close")
	}
	if ans.content != "" {
		h.Set("Content-Type", ans.content)
	} else {
		h["Content-Type"] = nil // not to be guessed
	}
	h.Set("Content-Length", strconv.Itoa(len(ans.body)))
	if ans.status == http.StatusServiceUnavailable && ans.after > 0 {
		h.Set("Retry-After", strconv.FormatFloat(float64(ans.after)/1e6, 'f', 3, 64))
	}
	w.WriteHeader(ans.status)
	_, _ = w.Write(ans.body) // a client that has gone is no fault
}

// parse reads a whole request. A fault is the answer to one that makes no sense; nothing of it goes on.
func (f *frontend) parse(w http.ResponseWriter, r *http.Request, came time.Time) (*request, answer) {
	bad := func(status int, why string) (*request, answer) {
		return nil, answer{status: status, body: []byte(why + "\n"), content: "text/plain"}
	}
	if !r.ProtoAtLeast(1, 1) { // in these net/http drops a Transfer-Encoding unseen
		return bad(http.StatusHTTPVersionNotSupported, "HTTP/1.1 is spoken here")
	}
	if len(r.TransferEncoding) > 0 { // with a Content-Length beside it the body may hide another request
		return bad(http.StatusLengthRequired, "a body needs Content-Length alone")
	}
	for _, name := range []string{"Request-Id", "Request-Class", "Request-Timeout-Ms", "Tenant", "Idempotency-Key"} {
		if len(r.Header[name]) > 1 {
			return bad(http.StatusBadRequest, name+" is given twice")
		}
	}
	class, ok := f.classes[r.Header.Get("Request-Class")]
	if !ok {
		return bad(http.StatusBadRequest, "unknown Request-Class")
	}
	part, rest, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	if part != f.site.Classes[class] || !strings.HasPrefix(r.RequestURI, "/") {
		return bad(http.StatusBadRequest, "the path does not begin with the class")
	}
	id := r.Header.Get("Request-Id")
	if id == "" || len(id) > maxID {
		return bad(http.StatusBadRequest, "no Request-Id, or a long one")
	}
	k, method := f.site.Logic.Classes[class], http.MethodPost
	if k.Repeat == logic.Safe {
		method = http.MethodGet
	}
	if r.Method != method {
		w.Header().Set("Allow", method)
		return bad(http.StatusMethodNotAllowed, "wrong method for the class")
	}
	if keyed := r.Header.Get("Idempotency-Key") != ""; keyed != (k.Repeat == logic.Keyed) {
		return bad(http.StatusBadRequest, "Idempotency-Key does not fit the class")
	}
	ms, err := strconv.ParseInt(r.Header.Get("Request-Timeout-Ms"), 10, 64)
	if err != nil || ms <= 0 {
		return bad(http.StatusBadRequest, "Request-Timeout-Ms is no time")
	}
	wait := min(time.Duration(k.Deadline)*time.Microsecond, time.Duration(min(ms, 1e9))*time.Millisecond)
	switch {
	case r.ContentLength > maxBody:
		return bad(http.StatusRequestEntityTooLarge, "the body is too large")
	case r.ContentLength > 0 && method == http.MethodGet:
		return bad(http.StatusBadRequest, "a body on a GET")
	}
	body, err := f.body(w, r)
	if err != nil {
		return bad(http.StatusBadRequest, "the body broke off")
	}
	tenant, ok := f.tenants[r.Header.Get("Tenant")]
	if !ok {
		tenant = -1 // not told
	}
	wait -= min(answerMargin, wait/marginPart)
	return &request{
		Request: logic.Request{ID: id, Class: class, Tenant: tenant, Key: rest[strings.LastIndexByte(rest, '/')+1:],
			GiveUp: f.loop.clock.at(came.Add(wait))},
		method: method, uri: r.RequestURI, host: r.Host, header: passOn(r.Header), body: body,
		answer: make(chan answer, 1),
	}, answer{}
}

// body reads a body of known length. It grows with what comes: a length alone costs no memory.
func (f *frontend) body(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	until := time.Now().Add(headPatience)
	if c, ok := r.Context().Value(clientKey{}).(*clientConn); ok && !c.asked.Load() {
		until = c.came.Add(firstPatience)
	}
	c := http.NewResponseController(w)
	_ = c.SetReadDeadline(until)
	var body bytes.Buffer
	_, err := body.ReadFrom(r.Body)
	// While the answer is awaited net/http reads on, to see a client that goes; that has no deadline.
	_ = c.SetReadDeadline(time.Time{})
	return body.Bytes(), err
}

// passOn takes the headers that concern one connection out, and leaves net/http to frame the body.
func passOn(h http.Header) http.Header {
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer",
		"Transfer-Encoding", "Upgrade", "Expect", "Content-Length"} {
		delete(h, name)
	}
	if h["User-Agent"] == nil {
		h["User-Agent"] = []string{""} // none of ours in its place
	}
	return h
}

// drain ends the service after SIGTERM. Until the last call clients are served as ever, and keep their
// connections: new ones stop coming soon, but a client uses those that it has while they stay open. What else
// it has is not known here: other proxies may restart close behind each other, and for seconds this one may be
// the last, while the successor comes no sooner for an early end. Then connections are closed as they fall
// idle, until none is left or the cutoff has come.
//
// This also covers other proxies that have crashed and a front that is slow to take a new one in. It hurts where
// a supervisor starts the successor only when this process has ended: that is then seconds later.
func (f *frontend) drain(lastCall, cutoff time.Time) {
	told := time.Now()
	for since := time.Duration(0); since < acceptAfter ||
		time.Now().Before(lastCall) && f.clients.count() > 0; since = time.Since(told) {
		f.bound.Store(since >= boundAfter)
		time.Sleep(drainStep)
	}
	f.closing.Store(true)
	f.clients.Close()
	for f.clients.closeIdle(acceptAfter) > 0 && time.Now().Before(cutoff) {
		time.Sleep(drainStep)
	}
	ctx, cancel := context.WithDeadline(context.Background(), cutoff.Add(drainStep))
	defer cancel()
	_ = f.server.Shutdown(ctx)
	_ = f.server.Close()
}
