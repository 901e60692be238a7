package standin

import (
	"net/http"
	"path"
	"sync/atomic"
)

// Registry is the health API of Health for many services on one loopback socket, each with a list
// and an index of its own.
type Registry struct {
	server
	services  map[string]*Health // does not change
	requests  atomic.Int64
	responses atomic.Int64
}

// NewRegistry starts an API that knows services of these names, with no members. Close ends it.
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

// Service returns the service of a name, or nil.
func (r *Registry) Service(name string) *Health { return r.services[name] }

// RequestCounts returns how many requests have come and how many have been answered.
func (r *Registry) RequestCounts() (requests, answers int64) {
	return r.requests.Load(), r.responses.Load()
}

// ServeHTTP answers as the Health of the path's last part does.
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
