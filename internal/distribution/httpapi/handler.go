// Package httpapi carries the messages of distribution over HTTP: blocking reads, writes, statuses.
// Handler serves a source or relay, Client calls one.
package httpapi

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"fernlanding/internal/distribution"
)

// The paths of a source or relay.
const (
	PathFollow   = "/v1/follow"   // POST FollowRequest: FollowResponse; 410: unknown session
	PathPut      = "/v1/put"      // POST PutRequest: PutResponse; 409: another version stands
	PathStatus   = "/v1/status"   // GET ?resource=NAME: ResourceStatus
	PathResource = "/v1/resource" // GET ?name=NAME: Update, whole
	PathStats    = "/v1/stats"    // GET: Stats
	PathHealth   = "/_health"     // GET: 200
	PathReady    = "/_ready"      // GET: 200; 503: cut off from the source
)

// writeTimeout is within which a follower takes an answer, or its connection ends.
const writeTimeout = 10 * time.Second

// EncodedResponse is a FollowResponse whose updates are encoded: many followers share each.
type EncodedResponse struct {
	Session      string
	SourceAge    time.Duration
	Disconnected bool
	Updates      [][]byte // each an Update as JSON
}

// Errors that a Service answers, beside those of package distribution.
var (
	ErrNotSource  = errors.New("not the source")
	ErrNotFound   = errors.New("no such resource")
	ErrSuperseded = errors.New("another read of the same session has begun")
)

// Service is a source or relay.
type Service interface {
	// Follow answers a blocking read. Done is called when the answer has been written, or could not
	// be.
	Follow(ctx context.Context, req *distribution.FollowRequest) (answer *EncodedResponse, done func(), err error)
	Put(req *distribution.PutRequest) (distribution.Version, error)
	Status(resource string) distribution.ResourceStatus
	Resource(name string) *distribution.Update // nil: there is none
	Stats() distribution.Stats
	// Disconnected tells whether a relay, or one above it, hears from no upstream.
	Disconnected() bool
}

// Handler serves a Service.
func Handler(service Service) http.Handler {
	h := &handler{service}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+PathFollow, h.follow)
	mux.HandleFunc("POST "+PathPut, h.put)
	mux.HandleFunc("GET "+PathStatus, h.status)
	mux.HandleFunc("GET "+PathResource, h.resource)
	mux.HandleFunc("GET "+PathStats, h.stats)
	mux.HandleFunc("GET "+PathHealth, func(w http.ResponseWriter, _ *http.Request) { write(w, nil) })
	mux.HandleFunc("GET "+PathReady, h.ready)
	return mux
}

type handler struct{ service Service }

func (h *handler) follow(w http.ResponseWriter, r *http.Request) {
	req := new(distribution.FollowRequest)
	if !read(w, r, req) {
		return
	}
	answer, done, err := h.service.Follow(r.Context(), req)
	if err != nil {
		fail(w, err)
		return
	}
	defer done()
	write(w, appendHead(nil, answer), answer.Updates...)
}

// appendHead is an answer's JSON; its updates, if any, follow, and the end after them.
func appendHead(to []byte, a *EncodedResponse) []byte {
	to = append(to, `{"session":`...)
	to = strconv.AppendQuote(to, a.Session) // letters and digits
	to = append(to, `,"source_age_ms":`...)
	to = strconv.AppendInt(to, a.SourceAge.Milliseconds(), 10)
	if a.Disconnected {
		to = append(to, `,"cut":true`...)
	}
	if len(a.Updates) == 0 {
		return append(to, '}')
	}
	return append(to, `,"updates":[`...)
}

var (
	comma = []byte{','}
	end   = []byte("]}")
)

// write answers with JSON: a head and, where there are any, updates in a list that the head has
// opened.
func write(w http.ResponseWriter, head []byte, updates ...[]byte) {
	length := len(head)
	for _, u := range updates {
		length += len(u) + len(comma)
	}
	if len(updates) > 0 {
		length += len(end) - len(comma)
	}
	limitWrite(w)
	header := w.Header()
	header["Date"], header["Content-Type"] = nil, nil // nobody reads them, and they are most of a heartbeat's answer
	header["Content-Length"] = []string{strconv.Itoa(length)}
	_, _ = w.Write(head) // whoever has left reads again
	for i, u := range updates {
		if i > 0 {
			_, _ = w.Write(comma)
		}
		_, _ = w.Write(u)
	}
	if len(updates) > 0 {
		_, _ = w.Write(end)
	}
}

func (h *handler) put(w http.ResponseWriter, r *http.Request) {
	req := new(distribution.PutRequest)
	if !read(w, r, req) {
		return
	}
	version, err := h.service.Put(req)
	if err != nil {
		fail(w, err)
		return
	}
	writeJSON(w, distribution.PutResponse{Version: version})
}

func (h *handler) status(w http.ResponseWriter, r *http.Request) {
	name := r.URL.Query().Get("resource")
	if err := distribution.ValidateName("resource", name); err != nil {
		refuse(w, http.StatusBadRequest, err.Error())
		return
	}
	writeJSON(w, h.service.Status(name))
}

func (h *handler) resource(w http.ResponseWriter, r *http.Request) {
	update := h.service.Resource(r.URL.Query().Get("name"))
	if update == nil {
		fail(w, ErrNotFound)
		return
	}
	writeJSON(w, update)
}

func (h *handler) ready(w http.ResponseWriter, _ *http.Request) {
	if h.service.Disconnected() {
		refuse(w, http.StatusServiceUnavailable, "cut off from the source")
		return
	}
	write(w, nil)
}

func (h *handler) stats(w http.ResponseWriter, _ *http.Request) { writeJSON(w, h.service.Stats()) }

func writeJSON(w http.ResponseWriter, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		refuse(w, http.StatusInternalServerError, err.Error())
		return
	}
	write(w, data)
}

// validator is a message from outside.
type validator interface{ Validate() error }

// read reads a request's message, or answers that it makes no sense.
func read(w http.ResponseWriter, r *http.Request, into validator) bool {
	data, err := readAll(http.MaxBytesReader(w, r.Body, distribution.MaxRequestBytes), r.ContentLength)
	if err != nil {
		refuse(w, http.StatusBadRequest, "body: "+err.Error())
		return false
	}
	if err := json.Unmarshal(data, into); err != nil {
		refuse(w, http.StatusBadRequest, "body: "+err.Error())
		return false
	}
	if err := into.Validate(); err != nil {
		refuse(w, http.StatusBadRequest, "body: "+err.Error())
		return false
	}
	return true
}

// readAll reads a body, most often a heartbeat's of known length.
func readAll(body io.Reader, length int64) ([]byte, error) {
	const small = 4 << 10
	if length < 0 || length > small {
		return io.ReadAll(body)
	}
	data := make([]byte, length)
	_, err := io.ReadFull(body, data)
	return data, err
}

// limitWrite bounds the time within which an answer has to be taken. A connection keeps its
// deadline, so each answer has to set one.
func limitWrite(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout)) // a test's recorder has none
}

// refuse answers with an error's text.
func refuse(w http.ResponseWriter, status int, text string) {
	limitWrite(w)
	http.Error(w, text, status)
}

// fail answers an error.
func fail(w http.ResponseWriter, err error) {
	var conflict *distribution.ConflictError
	var busy *OverloadedError
	switch {
	case errors.As(err, &conflict):
		data, _ := json.Marshal(conflict)
		limitWrite(w)
		w.WriteHeader(http.StatusConflict)
		_, _ = w.Write(data)
	case errors.As(err, &busy):
		w.Header().Set("Retry-After", strconv.Itoa(int(busy.RetryAfter/time.Second)))
		refuse(w, http.StatusServiceUnavailable, busy.Reason)
	case errors.Is(err, distribution.ErrUnknownSession):
		refuse(w, http.StatusGone, err.Error())
	case errors.Is(err, ErrNotFound):
		refuse(w, http.StatusNotFound, err.Error())
	case errors.Is(err, ErrNotSource):
		refuse(w, http.StatusForbidden, err.Error())
	case errors.Is(err, ErrSuperseded), errors.Is(err, context.Canceled), errors.Is(err, distribution.ErrFull):
		refuse(w, http.StatusServiceUnavailable, err.Error())
	default:
		refuse(w, http.StatusInternalServerError, err.Error())
	}
}
