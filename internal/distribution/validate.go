package distribution

import (
	"encoding/json"
	"errors"
	"fmt"
	"unicode/utf8"
)

// Limits of messages from other processes.
const (
	MaxNameBytes   = 128     // size of the name of a resource or a follower, or of an item's key
	MaxReasonBytes = 256     // size of the reason of a rejection
	MaxItemBytes   = 1 << 20 // size of an item's value
	MaxItems       = 20_000  // items of a resource
	MaxResources   = 8_192   // resources of a source, or that a follower follows
	MaxLaggards    = 20      // laggards in a status, and also rejections

	MaxRequestBytes  = 16 << 20  // size of a FollowRequest or PutRequest
	MaxResponseBytes = 256 << 20 // size of a FollowResponse
	MaxHoldMs        = 60_000    // hold of a long poll, in milliseconds
	MaxSessionBytes  = 64        // size of a session ID
	MaxCounts        = 1_024     // versions in a status
)

// Validate returns an error of one line if the request is invalid.
func (r *FollowRequest) Validate() error {
	if err := ValidateName("follower", r.Follower); err != nil {
		return err
	}
	if r.Kind != KindProxy && r.Kind != KindRelay {
		return fmt.Errorf("kind: %.32q found, %q or %q expected", r.Kind, KindProxy, KindRelay)
	}
	if len(r.Session) > MaxSessionBytes {
		return fmt.Errorf("session: %d bytes found, %d at most expected", len(r.Session), MaxSessionBytes)
	}
	if r.HoldMs < 0 || r.HoldMs > MaxHoldMs {
		return fmt.Errorf("hold_ms: %d found, 0 to %d expected", r.HoldMs, MaxHoldMs)
	}
	if r.Leave && r.Session == "" {
		return errors.New("leave: found without a session, with one expected")
	}
	if err := r.validatePositions(); err != nil {
		return err
	}
	if err := r.validateUnfollowed(); err != nil {
		return err
	}
	return r.validateStatuses()
}

// validatePositions checks the positions of a request.
func (r *FollowRequest) validatePositions() error {
	if err := validateCount("positions", len(r.Positions), MaxResources); err != nil {
		return err
	}
	for i := range r.Positions {
		if err := r.Positions[i].Validate(); err != nil {
			return fmt.Errorf("positions[%d]: %w", i, err)
		}
	}
	return nil
}

// validateUnfollowed checks the names of the resources that are no longer followed.
func (r *FollowRequest) validateUnfollowed() error {
	if err := validateCount("unfollowed", len(r.Unfollowed), MaxResources); err != nil {
		return err
	}
	for i, name := range r.Unfollowed {
		if err := ValidateName("resource", name); err != nil {
			return fmt.Errorf("unfollowed[%d]: %w", i, err)
		}
	}
	return nil
}

// validateStatuses checks the statuses of a request. Only a relay may send statuses.
func (r *FollowRequest) validateStatuses() error {
	if r.Kind != KindRelay && len(r.Statuses) > 0 {
		return fmt.Errorf("statuses: %d found of a %s, none expected", len(r.Statuses), r.Kind)
	}
	if err := validateCount("statuses", len(r.Statuses), MaxResources); err != nil {
		return err
	}
	for i := range r.Statuses {
		if err := r.Statuses[i].Validate(); err != nil {
			return fmt.Errorf("statuses[%d]: %w", i, err)
		}
	}
	return nil
}

// Validate returns an error of one line if the position is invalid.
func (p *Position) Validate() error {
	if err := ValidateName("resource", p.Resource); err != nil {
		return err
	}
	if len(p.Reason) > MaxReasonBytes {
		return fmt.Errorf("reason: %d bytes found, %d at most expected", len(p.Reason), MaxReasonBytes)
	}
	if !p.Rejected.IsZero() && !p.Rejected.After(p.InForce) {
		return fmt.Errorf("refused: version %v found, one after that in force (%v) expected", p.Rejected, p.InForce)
	}
	return nil
}

// Validate returns an error of one line if the response is invalid.
func (r *FollowResponse) Validate() error {
	if r.Session == "" || len(r.Session) > MaxSessionBytes {
		return fmt.Errorf("session: %d bytes found, 1 to %d expected", len(r.Session), MaxSessionBytes)
	}
	if r.SourceAgeMs < 0 {
		return fmt.Errorf("source_age_ms: %d found, 0 or more expected", r.SourceAgeMs)
	}
	if err := validateCount("updates", len(r.Updates), MaxResources); err != nil {
		return err
	}
	for i := range r.Updates {
		if err := r.Updates[i].Validate(); err != nil {
			return fmt.Errorf("updates[%d]: %w", i, err)
		}
	}
	return nil
}

// Validate returns an error of one line if the update is invalid.
func (u *Update) Validate() error {
	if err := ValidateName("resource", u.Resource); err != nil {
		return err
	}
	if !u.Version.After(u.From) {
		return fmt.Errorf("version: %v found, one after %v expected", u.Version, u.From)
	}
	// A delta may delete up to MaxItems items and add as many.
	limit := MaxItems
	if !u.IsSnapshot() {
		limit = 2 * MaxItems
	}
	return validateItems(u.Items, limit, !u.IsSnapshot())
}

// Validate returns an error of one line if the write is invalid.
func (r *PutRequest) Validate() error {
	if err := ValidateName("resource", r.Resource); err != nil {
		return err
	}
	return validateItems(r.Items, MaxItems, !r.Replace)
}

// Validate returns an error of one line if the status is invalid.
func (s *ResourceStatus) Validate() error {
	if err := ValidateName("resource", s.Resource); err != nil {
		return err
	}
	if err := s.validateCounts(); err != nil {
		return err
	}
	if err := s.validateRejections(); err != nil {
		return err
	}
	return s.validateLaggards()
}

// validateCounts checks the counts of a status and their order, which is latest version first.
func (s *ResourceStatus) validateCounts() error {
	if err := validateCount("counts", len(s.Counts), MaxCounts); err != nil {
		return err
	}
	for i, count := range s.Counts {
		if count.Proxies < 0 {
			return fmt.Errorf("counts[%d]: %d proxies found, 0 or more expected", i, count.Proxies)
		}
		if i == 0 {
			continue
		}
		previous := s.Counts[i-1].Version
		if !previous.After(count.Version) {
			return fmt.Errorf("counts[%d]: version %v found, one before %v expected", i, count.Version, previous)
		}
	}
	return nil
}

// validateRejections checks the rejections of a status.
func (s *ResourceStatus) validateRejections() error {
	if err := validateCount("refusals", len(s.Rejections), MaxLaggards); err != nil {
		return err
	}
	for i, rejection := range s.Rejections {
		if err := ValidateName("follower", rejection.Follower); err != nil {
			return fmt.Errorf("refusals[%d]: %w", i, err)
		}
		if n := len(rejection.Reason); n > MaxReasonBytes {
			return fmt.Errorf("refusals[%d]: reason: %d bytes found, %d at most expected", i, n, MaxReasonBytes)
		}
	}
	return nil
}

// validateLaggards checks the laggards of a status.
func (s *ResourceStatus) validateLaggards() error {
	if err := validateCount("behind", len(s.Laggards), MaxLaggards); err != nil {
		return err
	}
	for i, laggard := range s.Laggards {
		if err := ValidateName("follower", laggard.Follower); err != nil {
			return fmt.Errorf("behind[%d]: %w", i, err)
		}
	}
	return nil
}

// validateItems checks the items of a write or an update. If allowDeleted is set, the items are
// changes and may be deletions.
func validateItems(items []Item, limit int, allowDeleted bool) error {
	if err := validateCount("items", len(items), limit); err != nil {
		return err
	}
	keys := make(map[string]bool, len(items))
	for i := range items {
		if err := items[i].validate(allowDeleted); err != nil {
			return fmt.Errorf("items[%d]: %w", i, err)
		}
		if keys[items[i].Key] {
			return fmt.Errorf("items[%d]: key %q found a second time, each once expected", i, items[i].Key)
		}
		keys[items[i].Key] = true
	}
	return nil
}

// validate checks an item. If allowDeleted is set, the item is a change and may be a deletion.
func (i *Item) validate(allowDeleted bool) error {
	if err := ValidateName("key", i.Key); err != nil {
		return err
	}
	if i.Deleted {
		if !allowDeleted {
			return fmt.Errorf("key %q: deleted found in a whole resource, among changes only expected", i.Key)
		}
		if len(i.Value) > 0 {
			return fmt.Errorf("key %q: deleted found with a value, without expected", i.Key)
		}
		return nil
	}
	if len(i.Value) == 0 || len(i.Value) > MaxItemBytes {
		return fmt.Errorf("key %q: value of %d bytes found, 1 to %d expected", i.Key, len(i.Value), MaxItemBytes)
	}
	if !json.Valid(i.Value) {
		return fmt.Errorf("key %q: value: no JSON found, JSON expected", i.Key)
	}
	return nil
}

// ValidateName returns an error if the name of a resource, a key or a follower is invalid. The
// error text is one line that begins with place.
func ValidateName(place, name string) error {
	if name == "" || len(name) > MaxNameBytes {
		return fmt.Errorf("%s: name of %d bytes found, 1 to %d expected", place, len(name), MaxNameBytes)
	}
	if !utf8.ValidString(name) {
		return fmt.Errorf("%s: %q found, UTF-8 expected", place, name)
	}
	for _, r := range name {
		if r < ' ' || r == 0x7f {
			return fmt.Errorf("%s: control character in %q found, none expected", place, name)
		}
	}
	return nil
}

// validateCount returns an error if the length of a list exceeds the limit.
func validateCount(place string, found, limit int) error {
	if found > limit {
		return fmt.Errorf("%s: %d found, %d at most expected", place, found, limit)
	}
	return nil
}
