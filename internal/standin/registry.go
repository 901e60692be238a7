package standin

import (
	"net/http"
	"path"
	"sync/atomic"
)

// Registry serves the API of Health for many services on one loopback socket. Each service has a
// list and an index of its own.
type Registry struct {
	server
	services  map[string]*Health // by name; read-only after the start
	requests  atomic.Int64
	responses atomic.Int64
}

// NewRegistry starts a Registry of named services with no members. Close stops it.
func NewRegistry(names []string) (*Registry, error) {
	r := &Registry{services: map[string]*Health{}}
	for _, name := range names {
		r.services[name] = newHealth()
	}
	if err := r.serve(r); err != nil {
		return nil, err
	}
	return r, nil
}

// Service returns the service of a name, or nil if there is none.
func (r *Registry) Service(name string) *Health { return r.services[name] }

// RequestCounts returns the number of requests received and the number of responses sent.
func (r *Registry) RequestCounts() (requests, responses int64) {
	return r.requests.Load(), r.responses.Load()
}

// ServeHTTP passes a request to the service that the last element of the path names.
func (r *Registry) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	r.requests.Add(1)
	defer r.responses.Add(1)
	h := r.services[path.Base(req.URL.Path)]
	if h == nil {
		http.NotFound(w, req)
		return
	}
	h.ServeHTTP(w, req)
}
