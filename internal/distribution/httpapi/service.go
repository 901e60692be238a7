// Package httpapi transfers the messages of package distribution over HTTP/1.1: long polls, writes,
// statuses and metrics. [Handler] serves a source or relay, [Client] calls one, and [Listener] and
// [NewServer] limit their connections.
package httpapi

import (
	"context"
	"errors"
	"time"

	"fernlanding/internal/distribution"
)

// Paths of the HTTP API of a source or relay.
const (
	PathFollow   = "/v1/follow"   // POST FollowRequest: FollowResponse; 410: unknown session
	PathPut      = "/v1/put"      // POST PutRequest: PutResponse; 409: the resource has another version
	PathStatus   = "/v1/status"   // GET ?resource=NAME: ResourceStatus
	PathResource = "/v1/resource" // GET ?name=NAME: Update, a snapshot
	PathStats    = "/v1/stats"    // GET: Stats
	PathHealth   = "/_health"     // GET: 200
	PathReady    = "/_ready"      // GET: 200; 503: disconnected from the source
)

// EncodedResponse is a FollowResponse with encoded updates, which many followers share.
type EncodedResponse struct {
	Session      string // letters and digits
	SourceAge    time.Duration
	Disconnected bool
	Updates      [][]byte // each is an Update as JSON
}

// Errors that a Service returns in addition to those of package distribution.
var (
	ErrNotSource  = errors.New("not the source")
	ErrNotFound   = errors.New("no such resource")
	ErrSuperseded = errors.New("another read of the same session has begun")
)

// Service is a source or relay. Its methods must be safe for concurrent use.
type Service interface {
	// Follow answers a long poll. The caller calls done after the response has been written or
	// could not be written.
	Follow(ctx context.Context, req *distribution.FollowRequest) (resp *EncodedResponse, done func(), err error)
	// Put makes a write durable and applies it. It returns ErrNotSource at a relay.
	Put(req *distribution.PutRequest) (distribution.Version, error)
	// Status returns the in-force status of a resource.
	Status(resource string) distribution.ResourceStatus
	// Resource returns a snapshot of a resource, or nil if the service does not have the resource.
	Resource(name string) *distribution.Update
	// Stats returns the metrics of the service.
	Stats() distribution.Stats
	// Disconnected reports whether the service, or a relay upstream of it, has no upstream that
	// responds.
	Disconnected() bool
}

// OverloadedError is returned when a source or relay temporarily rejects a request.
type OverloadedError struct {
	RetryAfter time.Duration // time after which to retry; 0 means unknown
	Reason     string
}

// Error implements error.
func (e *OverloadedError) Error() string { return "overloaded: " + e.Reason }
