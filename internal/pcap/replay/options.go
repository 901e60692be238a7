// Package replay sends the requests of a capture again. A [Plan] determines which requests are
// sent, when they are sent, and which are skipped. Building a plan does no I/O except for reading
// captured bodies, and reads no clock. [Plan.Run] executes the plan. No request of a plan is sent
// twice.
package replay

import (
	"net/netip"
	"regexp"
	"slices"
	"strings"
)

// Options are the options of a plan. With the zero value, the idempotent requests and the requests
// with an idempotency key are sent as captured.
type Options struct {
	Speed                float64 // 0 and 1 mean as captured, 2 twice as fast, and a negative speed without pauses
	ConnectionPerRequest bool    // one connection for each request; otherwise as captured
	SendNonIdempotent    bool
	ClassField           string            // field with the class of a request, for reports (default Request-Class)
	IDField              string            // field that gets a new value in each request; empty means none
	NewKeys              bool              // replace idempotency keys; equal keys stay equal
	Set                  map[string]string // values by field name; an empty value removes the captured field
	Copy                 map[string]string // captured field to copy the value from, by field name
	Redact               []Redaction
	MaxRequests          int // including skipped ones (default 1,000,000)
}

// Redaction replaces the matches of a pattern in the values of a field, or in bodies of up to 1 MiB
// if Field is empty. A request with a longer body is skipped, since the body could contain data
// that has to be redacted.
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

// withDefaults returns the options with zero fields set to their defaults, or an error if an option
// is invalid.
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

// setsField reports whether the options set a field or copy a value to it.
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

// redactsBodies reports whether a redaction applies to bodies.
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

// isConnectionField reports whether a field concerns the framing of a message or its connection.
// Such a field is not copied; the plan writes the framing itself.
func isConnectionField(name string) bool {
	fields := []string{
		"Content-Length", "Transfer-Encoding", "Connection", "Expect", "Trailer", "Upgrade", "TE", "Keep-Alive",
		"Proxy-Connection",
	}
	return slices.ContainsFunc(fields, func(field string) bool { return strings.EqualFold(field, name) })
}

// CheckAddress checks that the target of a replay is a loopback address or one of the allowed
// addresses. The error is an *AddressError.
func CheckAddress(to netip.AddrPort, allowed []netip.AddrPort) error {
	if to.Addr().Unmap().IsLoopback() || slices.Contains(allowed, to) {
		return nil
	}
	return &AddressError{Address: to}
}
