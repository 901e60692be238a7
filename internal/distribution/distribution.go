// Package distribution carries versioned resources, such as lists of backends, from a source through relays to the
// proxies that follow them. It is pure: no I/O, no clock, no goroutine; transports are in the packages below it.
//
// A resource is a set of items under keys. Each write to a source gives the resource a new version. A follower says
// which version it has put in force; it gets what has changed since, or the whole resource where that is not known any
// more. The same message resumes after any break, and tells the relay what is in force.
package distribution

import (
	"cmp"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
)

// Bounds of what is taken from outside.
const (
	MaxNameBytes   = 128     // of a resource, an item's key, a follower
	MaxReasonBytes = 256     // of a refusal
	MaxItemBytes   = 1 << 20 // of an item's value
	MaxItems       = 20_000  // of a resource
	MaxResources   = 8_192   // of a source; a follower follows at most as many
	MaxLaggards    = 20      // that a status names, for each resource
)

// Version orders the states of a resource. A source that may have lost writes begins a new epoch, and all its versions
// are later than those of the epochs before. The zero Version is that of nothing.
type Version struct {
	Epoch    uint64
	Revision uint64
}

// Compare is negative where v is earlier than other, positive where it is later, and 0 where both are the same.
func (v Version) Compare(other Version) int {
	if c := cmp.Compare(v.Epoch, other.Epoch); c != 0 {
		return c
	}
	return cmp.Compare(v.Revision, other.Revision)
}

// After tells whether v is later than other.
func (v Version) After(other Version) bool { return v.Compare(other) > 0 }

// IsZero tells whether v is the version of nothing.
func (v Version) IsZero() bool { return v == Version{} }

// String is the version as "epoch.revision".
func (v Version) String() string {
	return strconv.FormatUint(v.Epoch, 10) + "." + strconv.FormatUint(v.Revision, 10)
}

// ParseVersion reads what String writes.
func ParseVersion(text string) (Version, error) {
	epoch, revision, found := strings.Cut(text, ".")
	if !found {
		return Version{}, fmt.Errorf("version %.64q: \"epoch.revision\" expected", text)
	}
	e, err := strconv.ParseUint(epoch, 10, 64)
	if err != nil {
		return Version{}, fmt.Errorf("version %.64q: a whole number before the point expected", text)
	}
	r, err := strconv.ParseUint(revision, 10, 64)
	if err != nil {
		return Version{}, fmt.Errorf("version %.64q: a whole number behind the point expected", text)
	}
	return Version{Epoch: e, Revision: r}, nil
}

// MarshalText implements encoding.TextMarshaler.
func (v Version) MarshalText() ([]byte, error) { return []byte(v.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (v *Version) UnmarshalText(text []byte) (err error) {
	*v, err = ParseVersion(string(text))
	return err
}

// Item is one entry of a resource, or a change to it.
type Item struct {
	Key     string          `json:"key"`
	Value   json.RawMessage `json:"value,omitempty"`   // nothing where Deleted
	Deleted bool            `json:"deleted,omitempty"` // among changes only
	Urgent  bool            `json:"urgent,omitempty"`  // takes a backend out: it is not held back to be sent with others
}

// Update brings a resource to a version.
type Update struct {
	Resource string  `json:"resource"`
	From     Version `json:"from,omitzero"` // the version that Items are changes to; zero: Items is the whole resource
	Version  Version `json:"version"`
	Items    []Item  `json:"items,omitempty"`
}

// Full tells whether the update has all items of the resource, in place of what stood.
func (u *Update) Full() bool { return u.From.IsZero() }

// Position is what a follower has of a resource.
type Position struct {
	Resource string  `json:"resource"`
	InForce  Version `json:"in_force,omitzero"` // zero: none yet
	Rejected Version `json:"refused,omitzero"`  // a later version that it has not put in force; zero: none
	Reason   string  `json:"reason,omitempty"`  // of that
}

// Kind says what a follower is.
type Kind string

// The kinds of follower.
const (
	KindProxy Kind = "proxy"
	KindRelay Kind = "relay" // reports for the followers behind it
)

// FollowRequest is one blocking read of all resources that a follower follows.
type FollowRequest struct {
	Follower   string           `json:"follower"` // unique in the fleet, the same after a restart
	Kind       Kind             `json:"kind"`
	Session    string           `json:"session,omitempty"` // as the last answer named it; empty: Positions is all that is followed
	HoldMs     int64            `json:"hold_ms"`           // that the read waits for news
	Positions  []Position       `json:"positions,omitempty"`
	Unfollowed []string         `json:"unfollowed,omitempty"` // resources that are followed no more
	Statuses   []ResourceStatus `json:"statuses,omitempty"`   // of the followers behind a relay, those that have changed
	Leave      bool             `json:"leave,omitempty"`      // the session ends: the follower has ended, or reads from another relay
}

// FollowResponse is the answer to a FollowRequest. A session that the relay does not know is answered with status 410
// instead, and the follower begins anew with all its positions.
type FollowResponse struct {
	Session      string   `json:"session"`
	SourceAgeMs  int64    `json:"source_age_ms"` // since the relay last heard from the source; 0 at the source
	Disconnected bool     `json:"cut,omitempty"` // the relay, or one above it, hears from no upstream: another may
	Updates      []Update `json:"updates,omitempty"`
}

// ResourceStatus is how far a resource is in force over a number of proxies.
type ResourceStatus struct {
	Resource   string         `json:"resource"`
	Counts     []VersionCount `json:"counts"`             // of proxies, by the version in force, latest first
	Rejections []Rejection    `json:"refusals,omitempty"` // MaxLaggards of them at most
	Laggards   []Laggard      `json:"behind,omitempty"`   // whose version is not the latest; MaxLaggards of them at most
}

// VersionCount is how many proxies have a version in force.
type VersionCount struct {
	Version Version `json:"version"`
	Proxies int     `json:"proxies"`
}

// Rejection is a proxy that did not put a version in force.
type Rejection struct {
	Follower string  `json:"follower"`
	Version  Version `json:"version"`
	Reason   string  `json:"reason"`
}

// Laggard is a proxy whose version in force is not the latest.
type Laggard struct {
	Follower string  `json:"follower"`
	InForce  Version `json:"in_force,omitzero"`
}

// PutRequest writes changes to a resource at the source, all of them or none.
type PutRequest struct {
	Resource string   `json:"resource"`
	Expected *Version `json:"expected,omitempty"` // the write is refused (409) where the resource has another; absent: any
	Replace  bool     `json:"replace,omitempty"`  // Items is the whole resource; keys that it lacks are deleted
	Items    []Item   `json:"items"`
}

// PutResponse is the version that a write gave the resource; the one that stood where nothing changed.
type PutResponse struct {
	Version Version `json:"version"`
}
