package distribution

import (
	"encoding/json"
	"errors"
	"fmt"
	"unicode/utf8"
)

// Bounds of whole messages.
const (
	MaxRequestBytes  = 16 << 20  // of a FollowRequest or PutRequest
	MaxResponseBytes = 256 << 20 // of a FollowResponse; a relay sends some ResponseBytes and one resource at most
	MaxHoldMs        = 60_000    // of a blocking read
	MaxSessionBytes  = 64        // of a session's name
	MaxCounts        = 1_024     // versions in a status
)

// Validate says what is wrong with a request, in one line, or nil.
func (r *FollowRequest) Validate() error {
	if err := validName("follower", r.Follower); err != nil {
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
	if err := validCount("positions", len(r.Positions), MaxResources); err != nil {
		return err
	}
	for i := range r.Positions {
		if err := r.Positions[i].Validate(); err != nil {
			return fmt.Errorf("positions[%d]: %w", i, err)
		}
	}
	if err := validCount("unfollowed", len(r.Unfollowed), MaxResources); err != nil {
		return err
	}
	for i, name := range r.Unfollowed {
		if err := validName("resource", name); err != nil {
			return fmt.Errorf("unfollowed[%d]: %w", i, err)
		}
	}
	return r.validStatuses()
}

func (r *FollowRequest) validStatuses() error {
	if r.Kind != KindRelay && len(r.Statuses) > 0 {
		return fmt.Errorf("statuses: %d found of a %s, none expected", len(r.Statuses), r.Kind)
	}
	if err := validCount("statuses", len(r.Statuses), MaxResources); err != nil {
		return err
	}
	for i := range r.Statuses {
		if err := r.Statuses[i].Validate(); err != nil {
			return fmt.Errorf("statuses[%d]: %w", i, err)
		}
	}
	return nil
}

// Validate says what is wrong with a position, in one line, or nil.
func (p *Position) Validate() error {
	if err := validName("resource", p.Resource); err != nil {
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

// Validate says what is wrong with a response, in one line, or nil.
func (r *FollowResponse) Validate() error {
	if r.Session == "" || len(r.Session) > MaxSessionBytes {
		return fmt.Errorf("session: %d bytes found, 1 to %d expected", len(r.Session), MaxSessionBytes)
	}
	if r.SourceAgeMs < 0 {
		return fmt.Errorf("source_age_ms: %d found, 0 or more expected", r.SourceAgeMs)
	}
	if err := validCount("updates", len(r.Updates), MaxResources); err != nil {
		return err
	}
	for i := range r.Updates {
		if err := r.Updates[i].Validate(); err != nil {
			return fmt.Errorf("updates[%d]: %w", i, err)
		}
	}
	return nil
}

// Validate says what is wrong with an update, in one line, or nil.
func (u *Update) Validate() error {
	if err := validName("resource", u.Resource); err != nil {
		return err
	}
	if !u.Version.After(u.From) {
		return fmt.Errorf("version: %v found, one after %v expected", u.Version, u.From)
	}
	// Changes may delete as many items as the resource can have and bring as many.
	most := MaxItems
	if !u.Full() {
		most = 2 * MaxItems
	}
	return validItems(u.Items, most, !u.Full())
}

// Validate says what is wrong with a write, in one line, or nil.
func (r *PutRequest) Validate() error {
	if err := validName("resource", r.Resource); err != nil {
		return err
	}
	return validItems(r.Items, MaxItems, !r.Replace)
}

// Validate says what is wrong with a status, in one line, or nil.
func (s *ResourceStatus) Validate() error {
	if err := validName("resource", s.Resource); err != nil {
		return err
	}
	if err := validCount("counts", len(s.Counts), MaxCounts); err != nil {
		return err
	}
	for i, c := range s.Counts {
		if c.Proxies < 0 {
			return fmt.Errorf("counts[%d]: %d proxies found, 0 or more expected", i, c.Proxies)
		}
		if i > 0 && !s.Counts[i-1].Version.After(c.Version) {
			return fmt.Errorf("counts[%d]: version %v found, one before %v expected", i, c.Version, s.Counts[i-1].Version)
		}
	}
	if err := validCount("refusals", len(s.Rejections), MaxLaggards); err != nil {
		return err
	}
	for i, r := range s.Rejections {
		if err := validName("follower", r.Follower); err != nil {
			return fmt.Errorf("refusals[%d]: %w", i, err)
		}
		if len(r.Reason) > MaxReasonBytes {
			return fmt.Errorf("refusals[%d]: reason: %d bytes found, %d at most expected", i, len(r.Reason), MaxReasonBytes)
		}
	}
	if err := validCount("behind", len(s.Laggards), MaxLaggards); err != nil {
		return err
	}
	for i, l := range s.Laggards {
		if err := validName("follower", l.Follower); err != nil {
			return fmt.Errorf("behind[%d]: %w", i, err)
		}
	}
	return nil
}

func validItems(items []Item, most int, changes bool) error {
	if err := validCount("items", len(items), most); err != nil {
		return err
	}
	keys := make(map[string]bool, len(items))
	for i := range items {
		if err := items[i].validate(changes); err != nil {
			return fmt.Errorf("items[%d]: %w", i, err)
		}
		if keys[items[i].Key] {
			return fmt.Errorf("items[%d]: key %q found a second time, each once expected", i, items[i].Key)
		}
		keys[items[i].Key] = true
	}
	return nil
}

func (i *Item) validate(change bool) error {
	if err := validName("key", i.Key); err != nil {
		return err
	}
	if i.Deleted {
		if !change {
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

// ValidateName says what is wrong with the name of a resource, a key or a follower, in one line, or nil.
func ValidateName(place, name string) error { return validName(place, name) }

func validName(place, name string) error {
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

func validCount(place string, found, most int) error {
	if found > most {
		return fmt.Errorf("%s: %d found, %d at most expected", place, found, most)
	}
	return nil
}
