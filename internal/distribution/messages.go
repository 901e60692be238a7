package distribution

import "encoding/json"

// Item is one entry of a resource, or a change to one.
type Item struct {
	Key string `json:"key"`
	// Value is absent if Deleted is set.
	Value json.RawMessage `json:"value,omitempty"`
	// Deleted removes the key. It is allowed in deltas only.
	Deleted bool `json:"deleted,omitempty"`
	// Urgent marks a change that takes an endpoint out of use: it is not held back for coalescing.
	Urgent bool `json:"urgent,omitempty"`
}

// Update brings a resource to a version: a delta, or a snapshot if From is zero.
type Update struct {
	Resource string `json:"resource"`
	// From is the version that Items are changes to; zero: Items is the complete resource.
	From    Version `json:"from,omitzero"`
	Version Version `json:"version"`
	Items   []Item  `json:"items,omitempty"`
}

// IsSnapshot reports whether the update is a snapshot, which replaces all items of the resource.
func (u *Update) IsSnapshot() bool { return u.From.IsZero() }

// Position is what a follower has of a resource.
type Position struct {
	Resource string `json:"resource"`
	// InForce is the version that the follower has applied; zero: none yet.
	InForce Version `json:"in_force,omitzero"`
	// Rejected is a version after InForce that the follower did not apply; zero: none.
	Rejected Version `json:"refused,omitzero"`
	// Reason says why Rejected was rejected.
	Reason string `json:"reason,omitempty"`
}

// Kind says what a follower is.
type Kind string

// The kinds of follower.
const (
	KindProxy Kind = "proxy"
	KindRelay Kind = "relay" // reports for the followers behind it
)

// FollowRequest is one long poll for all resources that a follower follows.
type FollowRequest struct {
	// Follower is the follower's name: unique in the fleet, and the same after a restart.
	Follower string `json:"follower"`
	Kind     Kind   `json:"kind"`
	// Session is the session as the last response named it. If it is empty the request opens a
	// session, and Positions lists all that is followed.
	Session string `json:"session,omitempty"`
	// HoldMs is how long the read waits for an update, in milliseconds. 0 with a Session: a report,
	// which is answered at once and without updates.
	HoldMs    int64      `json:"hold_ms"`
	Positions []Position `json:"positions,omitempty"`
	// Unfollowed lists resources that are no longer followed.
	Unfollowed []string `json:"unfollowed,omitempty"`
	// Statuses are a relay's in-force reports, those that have changed.
	Statuses []ResourceStatus `json:"statuses,omitempty"`
	// Leave ends the session: the follower has ended, or reads from another relay.
	Leave bool `json:"leave,omitempty"`
}

// FollowResponse answers a FollowRequest. A request with a session that the relay does not know is
// answered with status 410 instead, and the follower opens a new session with all its positions.
type FollowResponse struct {
	Session string `json:"session"`
	// SourceAgeMs is the time since the relay last heard from the source, in milliseconds; 0 at the
	// source.
	SourceAgeMs int64 `json:"source_age_ms"`
	// Disconnected says that the relay, or one above it, hears from no upstream; another relay may.
	Disconnected bool     `json:"cut,omitempty"`
	Updates      []Update `json:"updates,omitempty"`
}

// PutRequest writes changes to a resource at the source, all of them or none.
type PutRequest struct {
	Resource string `json:"resource"`
	// Expected is the version that the resource must have, else the write is rejected with a
	// ConflictError; nil: any.
	Expected *Version `json:"expected,omitempty"`
	// Replace says that Items is the complete resource: keys that it lacks are deleted.
	Replace bool   `json:"replace,omitempty"`
	Items   []Item `json:"items"`
}

// PutResponse is the version that a write gave the resource, or the current version if the write
// changed nothing.
type PutResponse struct {
	Version Version `json:"version"`
}
