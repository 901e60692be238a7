package http

import (
	"bytes"
	"fmt"
	"strings"
)

const (
	// tokenCharacters are those of a method and a field name (RFC 9110, section 5.6.2).
	tokenCharacters = "!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz"

	maxMethod = 32 // bytes
)

// statusLinePrefix begins the status line of every HTTP/1 response.
var statusLinePrefix = []byte("HTTP/1.")

// streamRole says what a half-stream carries.
type streamRole int

const (
	unknownRole streamRole = iota
	requests
	responses
)

// classify returns the fault of a stream that is not HTTP/1, and its reason, by the first bytes of
// a message, as far as they go; an empty kind if there is no such fault. headComplete reports
// whether the bytes hold a complete head.
func classify(prefix []byte, role streamRole, headComplete bool) (kind FaultKind, reason string) {
	mayBeTLS := prefix[0] >= 0x14 && prefix[0] <= 0x17 // the content types of TLS
	switch {
	case len(prefix) >= 3 && mayBeTLS && prefix[1] == 3 && prefix[2] <= 4:
		return TLS, "a TLS record"
	case bytes.HasPrefix(prefix, []byte("PRI * HTTP/2.0")):
		return HTTP2, "the preface of HTTP/2"
	case role == responses || role == unknownRole && bytes.HasPrefix(prefix, []byte("HTTP/")):
		return classifyResponse(prefix)
	case mayBeTLS && len(prefix) < 3 && !headComplete:
		return "", "" // too few bytes to tell
	}
	return classifyRequest(prefix, role)
}

// classifyResponse reports a prefix that begins no status line.
func classifyResponse(prefix []byte) (kind FaultKind, reason string) {
	n := min(len(prefix), len(statusLinePrefix))
	if !bytes.Equal(prefix[:n], statusLinePrefix[:n]) {
		return NotHTTP, fmt.Sprintf("found %.16q, expected a status line", prefix)
	}
	return "", ""
}

// classifyRequest reports a prefix that does not begin with a method (RFC 9110, section 9.1) and a
// space. While the role is unknown, the prefix may still become a status line.
func classifyRequest(prefix []byte, role streamRole) (kind FaultKind, reason string) {
	for i, c := range prefix {
		if c == ' ' && i > 0 {
			return "", ""
		}
		maybeStatusLine := c == '/' && i == 4 && role == unknownRole && bytes.HasPrefix(statusLinePrefix, prefix[:i])
		isToken := strings.ContainsRune(tokenCharacters, rune(c))
		if !isToken && !maybeStatusLine || i > maxMethod {
			return NotHTTP, fmt.Sprintf("found %.16q, expected a request line", prefix)
		}
	}
	return "", ""
}
