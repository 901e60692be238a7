// Package httpapi carries the messages of distribution over HTTP/1.1: long polls, writes, statuses
// and metrics. [Handler] serves a source or relay, [Client] calls one, and [Listener] and
// [NewServer] bound their connections.
package httpapi

import (
	"context"
	"errors"
	"time"

	"fernlanding/internal/distribution"
)

// The paths of a source or relay.
const (
	PathFollow   = "/v1/follow"   // POST FollowRequest: FollowResponse; 410: unknown session
	PathPut      = "/v1/put"      // POST PutRequest: PutResponse; 409: the resource has another version
	PathStatus   = "/v1/status"   // GET ?resource=NAME: ResourceStatus
	PathResource = "/v1/resource" // GET ?name=NAME: Update, a snapshot
	PathStats    = "/v1/stats"    // GET: Stats
	PathHealth   = "/_health"     // GET: 200
	PathReady    = "/_ready"      // GET: 200; 503: disconnected from the source
)

// EncodedResponse is a FollowResponse whose updates are encoded already: many followers share each.
type EncodedResponse struct {
	Session      string // letters and digits
	SourceAge    time.Duration
	Disconnected bool
	Updates      [][]byte // each an Update as JSON
}

// Errors that a Service returns, beside those of package distribution.
var (
	ErrNotSource  = errors.New("not the source")
	ErrNotFound   = errors.New("no such resource")
	ErrSuperseded = errors.New("another read of the same session has begun")
)

// Service is a source or relay. Its methods are called concurrently.
type Service interface {
	// Follow answers a long poll. The caller calls done when the response has been written, or
	// could not be.
	Follow(ctx context.Context, req *distribution.FollowRequest) (resp *EncodedResponse, done func(), err error)
	// Put makes a write durable and applies it; ErrNotSource at a relay.
	Put(req *distribution.PutRequest) (distribution.Version, error)
	// Status returns how far a resource is in force.
	Status(resource string) distribution.ResourceStatus
	// Resource returns a snapshot, or nil if there is no such resource.
	Resource(name string) *distribution.Update
	Stats() distribution.Stats
	// Disconnected reports whether a relay, or one above it, hears from no upstream.
	Disconnected() bool
}

// OverloadedError says that a source or relay rejects a call for now.
type OverloadedError struct {
	RetryAfter time.Duration // 0: unknown
	Reason     string
}

// Error implements error.
func (e *OverloadedError) Error() string { return "turned away: " + e.Reason }
