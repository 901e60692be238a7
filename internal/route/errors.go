package route

import (
	"errors"
	"fmt"
)

// ErrAmbiguousPath is returned for a path whose interpretations match different rules. The path is
// forwarded as received, so a backend with another interpretation would handle it as a request for
// another route.
var ErrAmbiguousPath = errors.New("path: may be read in two ways, which lead to different routes")

// errNoWeight is returned if all arms of a split have weight 0. Operators call an arm a side.
var errNoWeight = errors.New("no side has a weight")

// HostError is returned for an invalid host.
type HostError struct{ Reason string }

// Error implements error.
func (e *HostError) Error() string { return "host: " + e.Reason }

// PathError is returned for an invalid path.
type PathError struct{ Reason string }

// Error implements error.
func (e *PathError) Error() string { return "path: " + e.Reason }

// RuleError is returned for an invalid rule.
type RuleError struct {
	Rule int // index of the rule
	Err  error
}

// Error implements error. The message numbers rules from 1.
func (e *RuleError) Error() string { return fmt.Sprintf("route %d: %v", e.Rule+1, e.Err) }

// Unwrap returns the cause.
func (e *RuleError) Unwrap() error { return e.Err }

// ShadowedError is returned for a rule that no request can reach.
type ShadowedError struct {
	By int // index of the last of the earlier rules that match all of the rule's requests
}

// Error implements error. The message numbers rules from 1.
func (e *ShadowedError) Error() string {
	return fmt.Sprintf("unreachable: earlier routes up to route %d match all its requests", e.By+1)
}
