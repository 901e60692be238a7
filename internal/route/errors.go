package route

import (
	"errors"
	"fmt"
)

// ErrAmbiguousPath says that a path may be read in several ways which lead to different rules. The path
// is forwarded as received, so a backend that reads it otherwise would take it for another route's.
var ErrAmbiguousPath = errors.New("path: may be read in two ways, which lead to different routes")

// errNoWeight says that all arms of a split have the weight 0.
var errNoWeight = errors.New("no side has a weight")

// HostError says why a host is invalid.
type HostError struct{ Reason string }

// Error implements error.
func (e *HostError) Error() string { return "host: " + e.Reason }

// PathError says why a path is invalid.
type PathError struct{ Reason string }

// Error implements error.
func (e *PathError) Error() string { return "path: " + e.Reason }

// RuleError says which rule is invalid, and why.
type RuleError struct {
	Rule int // index of the rule
	Err  error
}

// Error implements error. It counts rules from 1.
func (e *RuleError) Error() string { return fmt.Sprintf("route %d: %v", e.Rule+1, e.Err) }

// Unwrap returns the cause.
func (e *RuleError) Unwrap() error { return e.Err }

// ShadowedError says that no request can reach a rule.
type ShadowedError struct {
	By int // index of the last of the earlier rules that take its requests
}

// Error implements error. It counts rules from 1.
func (e *ShadowedError) Error() string {
	return fmt.Sprintf("can't be reached: route %d takes all its requests before", e.By+1)
}
