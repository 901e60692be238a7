// Package replay sends the requests of a capture again. A [Plan] decides what is sent, when, and
// what is skipped; it does no I/O and reads no clock. [Plan.Run] carries it out. No request is sent
// twice.
package replay

import (
	"net/netip"
	"regexp"
	"slices"
	"strings"
)

// Options direct a plan. The zero value sends the idempotent requests and those with an idempotency
// key, as captured.
type Options struct {
	Speed                float64 // 0 and 1: as captured; 2: twice as fast; negative: without pauses
	ConnectionPerRequest bool    // otherwise the connections are as captured
	SendNonIdempotent    bool
	ClassField           string            // names a request's class in reports (default Request-Class)
	IDField              string            // gets a new value in each request; empty: none does
	NewKeys              bool              // replaces idempotency keys, equal ones by equal ones
	Set                  map[string]string // fields by name; an empty value removes the captured field
	Copy                 map[string]string // fields by name, and the captured field that each has its value from
	Redact               []Redaction
	MaxRequests          int // default 1,000,000
}

// Redaction replaces what matches a pattern in the values of a field, or in bodies of up to 1 MiB
// if Field is empty. A request with a longer body is skipped, since it might show what is to be
// redacted.
type Redaction struct {
	Field   string
	Pattern *regexp.Regexp
	With    string
}

const (
	defaultClassField  = "Request-Class"
	defaultMaxRequests = 1_000_000
	maxRedactedBody    = 1 << 20 // bytes
	minSpeed           = 1e-3
	maxSpeed           = 1e6
)

// withDefaults returns the options with the defaults for zero values, or what is invalid in them.
func (o Options) withDefaults() (Options, error) {
	if o.Speed == 0 {
		o.Speed = 1
	}
	if o.Speed > 0 && (o.Speed < minSpeed || o.Speed > maxSpeed) {
		return o, &SpeedError{Speed: o.Speed}
	}
	if o.MaxRequests == 0 {
		o.MaxRequests = defaultMaxRequests
	}
	if o.ClassField == "" {
		o.ClassField = defaultClassField
	}
	for _, fields := range []map[string]string{o.Set, o.Copy} {
		for name, value := range fields {
			if !isSettable(name, value) {
				return o, &FieldError{Name: name}
			}
		}
	}
	return o, nil
}

// setsField reports whether the options set or copy a field.
func (o *Options) setsField(name string) bool {
	for _, fields := range []map[string]string{o.Set, o.Copy} {
		for set := range fields {
			if strings.EqualFold(set, name) {
				return true
			}
		}
	}
	return false
}

// redactsBodies reports whether a redaction is for bodies.
func (o *Options) redactsBodies() bool {
	return slices.ContainsFunc(o.Redact, func(r Redaction) bool { return r.Field == "" })
}

// isSettable reports whether a field may be set to a value.
func isSettable(name, value string) bool {
	return name != "" &&
		!strings.ContainsAny(name, " :") &&
		!strings.ContainsAny(name+value, "\r\n\x00") &&
		!isConnectionField(name)
}

// isConnectionField reports whether a field frames a message or is about its connection. The plan
// writes these itself.
func isConnectionField(name string) bool {
	fields := []string{
		"Content-Length", "Transfer-Encoding", "Connection", "Expect", "Trailer", "Upgrade", "TE", "Keep-Alive",
		"Proxy-Connection",
	}
	return slices.ContainsFunc(fields, func(field string) bool { return strings.EqualFold(field, name) })
}

// CheckAddress checks that a replay may go to an address: loopback, or one of those that are
// allowed. The error is an *AddressError.
func CheckAddress(to netip.AddrPort, allowed []netip.AddrPort) error {
	if to.Addr().Unmap().IsLoopback() || slices.Contains(allowed, to) {
		return nil
	}
	return &AddressError{Address: to}
}
