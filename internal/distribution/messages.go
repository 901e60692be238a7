package distribution

import "encoding/json"

// Item is one entry of a resource, or a change to one.
type Item struct {
	Key string `json:"key"`
	// Value is the JSON value, absent if Deleted is set.
	Value json.RawMessage `json:"value,omitempty"`
	// Deleted removes the key. Only deltas may contain deleted items.
	Deleted bool `json:"deleted,omitempty"`
	// Urgent marks a change that takes an endpoint out of use and is not delayed for coalescing.
	Urgent bool `json:"urgent,omitempty"`
}

// Update brings a resource to a version. It is a snapshot if From is zero, and a delta otherwise.
type Update struct {
	Resource string `json:"resource"`
	// From is the version to which Items are changes. Zero means that Items is the complete
	// resource.
	From    Version `json:"from,omitzero"`
	Version Version `json:"version"`
	Items   []Item  `json:"items,omitempty"`
}

// IsSnapshot reports whether the update is a snapshot, which replaces all items of the resource.
func (u *Update) IsSnapshot() bool { return u.From.IsZero() }

// Position states which version of a resource a follower has.
type Position struct {
	Resource string `json:"resource"`
	// InForce is the version that the follower has applied. Zero means none yet.
	InForce Version `json:"in_force,omitzero"`
	// Rejected is a version after InForce that the follower did not apply. Zero means none.
	Rejected Version `json:"refused,omitzero"`
	// Reason is the reason why the follower rejected the version Rejected.
	Reason string `json:"reason,omitempty"`
}

// Kind is the kind of a follower.
type Kind string

// The kinds of followers.
const (
	KindProxy Kind = "proxy"
	KindRelay Kind = "relay" // reports the statuses of the followers behind it
)

// FollowRequest is one long poll for all resources that a follower follows.
type FollowRequest struct {
	// Follower is the name of the follower, unique in the fleet and the same after a restart.
	Follower string `json:"follower"`
	Kind     Kind   `json:"kind"`
	// Session is the session ID of the last response. If it is empty, the request opens a session
	// and Positions contains all resources that the follower follows.
	Session string `json:"session,omitempty"`
	// HoldMs is the time that the read waits for an update, in milliseconds. 0 together with a
	// Session marks a report, which is answered at once and without updates.
	HoldMs    int64      `json:"hold_ms"`
	Positions []Position `json:"positions,omitempty"`
	// Unfollowed lists the resources that the follower no longer follows.
	Unfollowed []string `json:"unfollowed,omitempty"`
	// Statuses are the in-force reports of a relay that have changed.
	Statuses []ResourceStatus `json:"statuses,omitempty"`
	// Leave ends the session. A follower sets it when it ends or switches to another relay.
	Leave bool `json:"leave,omitempty"`
}

// FollowResponse is the response to a FollowRequest. If the relay does not know the session of the
// request, it responds with status 410 instead, and the follower opens a new session with all its
// positions.
type FollowResponse struct {
	Session string `json:"session"`
	// SourceAgeMs is the time since the source last responded, in milliseconds. It is 0 at the
	// source.
	SourceAgeMs int64 `json:"source_age_ms"`
	// Disconnected reports that the relay, or a relay upstream of it, has no upstream that
	// responds. Another relay may have one.
	Disconnected bool     `json:"cut,omitempty"`
	Updates      []Update `json:"updates,omitempty"`
}

// PutRequest writes changes to a resource at the source. Either all of them are applied or none.
type PutRequest struct {
	Resource string `json:"resource"`
	// Expected is the version that the resource must have. If the resource has another version, the
	// write is rejected with a ConflictError. Nil means any version.
	Expected *Version `json:"expected,omitempty"`
	// Replace marks Items as the complete resource: keys that are not in Items are deleted.
	Replace bool   `json:"replace,omitempty"`
	Items   []Item `json:"items"`
}

// PutResponse is the response to a PutRequest.
type PutResponse struct {
	// Version is the new version of the resource, or the current version if the write changed
	// nothing.
	Version Version `json:"version"`
}
