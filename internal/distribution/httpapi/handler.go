package httpapi

import (
	"encoding/json"
	"io"
	"net/http"

	"fernlanding/internal/distribution"
)

// Handler returns an HTTP handler that serves a Service.
func Handler(service Service) http.Handler {
	h := &handler{service: service}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+PathFollow, h.follow)
	mux.HandleFunc("POST "+PathPut, h.put)
	mux.HandleFunc("GET "+PathStatus, h.status)
	mux.HandleFunc("GET "+PathResource, h.resource)
	mux.HandleFunc("GET "+PathStats, h.stats)
	mux.HandleFunc("GET "+PathHealth, h.health)
	mux.HandleFunc("GET "+PathReady, h.ready)
	return mux
}

// handler serves a Service, with a method for each path.
type handler struct{ service Service }

// follow serves PathFollow.
func (h *handler) follow(w http.ResponseWriter, r *http.Request) {
	req := new(distribution.FollowRequest)
	if !readMessage(w, r, req) {
		return
	}
	resp, done, err := h.service.Follow(r.Context(), req)
	if err != nil {
		writeError(w, err)
		return
	}
	defer done()
	writeFollowResponse(w, resp)
}

// put serves PathPut.
func (h *handler) put(w http.ResponseWriter, r *http.Request) {
	req := new(distribution.PutRequest)
	if !readMessage(w, r, req) {
		return
	}
	version, err := h.service.Put(req)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, distribution.PutResponse{Version: version})
}

// status serves PathStatus.
func (h *handler) status(w http.ResponseWriter, r *http.Request) {
	name := r.URL.Query().Get("resource")
	if err := distribution.ValidateName("resource", name); err != nil {
		writeStatus(w, http.StatusBadRequest, err.Error())
		return
	}
	writeJSON(w, h.service.Status(name))
}

// resource serves PathResource.
func (h *handler) resource(w http.ResponseWriter, r *http.Request) {
	update := h.service.Resource(r.URL.Query().Get("name"))
	if update == nil {
		writeError(w, ErrNotFound)
		return
	}
	writeJSON(w, update)
}

// stats serves PathStats.
func (h *handler) stats(w http.ResponseWriter, _ *http.Request) { writeJSON(w, h.service.Stats()) }

// health serves PathHealth.
func (h *handler) health(w http.ResponseWriter, _ *http.Request) { writeBody(w) }

// ready serves PathReady.
func (h *handler) ready(w http.ResponseWriter, _ *http.Request) {
	if h.service.Disconnected() {
		writeStatus(w, http.StatusServiceUnavailable, "cut off from the source")
		return
	}
	writeBody(w)
}

// message is a message from another process.
type message interface{ Validate() error }

// readMessage decodes and validates the body of a request. If the body is invalid, readMessage
// responds with status 400 and returns false.
func readMessage(w http.ResponseWriter, r *http.Request, into message) bool {
	data, err := readBody(http.MaxBytesReader(w, r.Body, distribution.MaxRequestBytes), r.ContentLength)
	if err == nil {
		err = json.Unmarshal(data, into)
	}
	if err == nil {
		err = into.Validate()
	}
	if err != nil {
		writeStatus(w, http.StatusBadRequest, "body: "+err.Error())
		return false
	}
	return true
}

// readBody reads a body to its end. A small body of known length, such as that of a heartbeat,
// requires only one allocation.
func readBody(body io.Reader, length int64) ([]byte, error) {
	const smallBytes = 4 << 10
	if length < 0 || length > smallBytes {
		return io.ReadAll(body)
	}
	data := make([]byte, length)
	_, err := io.ReadFull(body, data)
	return data, err
}
