package http

import (
	"bytes"
	"fmt"
	"strings"
)

const (
	// tokenCharacters are the characters that a method and a field name may contain (RFC 9110,
	// section 5.6.2).
	tokenCharacters = "!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz"

	maxMethod = 32 // bytes of a method
)

// statusLinePrefix is the prefix of the status line of every HTTP/1 response.
var statusLinePrefix = []byte("HTTP/1.")

// streamRole is the kind of the messages that a half-stream carries.
type streamRole int

const (
	unknownRole streamRole = iota
	requests
	responses
)

// classify detects a stream that is not HTTP/1 from the first bytes of a message, which may be
// incomplete. It returns the kind of fault and its reason, or an empty kind if there is no fault.
// headComplete says whether the bytes contain a complete head.
func classify(prefix []byte, role streamRole, headComplete bool) (kind FaultKind, reason string) {
	mayBeTLS := prefix[0] >= 0x14 && prefix[0] <= 0x17 // TLS content types
	switch {
	case len(prefix) >= 3 && mayBeTLS && prefix[1] == 3 && prefix[2] <= 4:
		return TLS, "TLS record"
	case bytes.HasPrefix(prefix, []byte("PRI * HTTP/2.0")):
		return HTTP2, "HTTP/2 connection preface"
	case role == responses || role == unknownRole && bytes.HasPrefix(prefix, []byte("HTTP/")):
		return classifyResponse(prefix)
	case mayBeTLS && len(prefix) < 3 && !headComplete:
		return "", "" // too few bytes to decide
	}
	return classifyRequest(prefix, role)
}

// classifyResponse returns a fault if the prefix cannot be the start of a status line.
func classifyResponse(prefix []byte) (kind FaultKind, reason string) {
	n := min(len(prefix), len(statusLinePrefix))
	if !bytes.Equal(prefix[:n], statusLinePrefix[:n]) {
		return NotHTTP, fmt.Sprintf("invalid status line %.16q", prefix)
	}
	return "", ""
}

// classifyRequest returns a fault if the prefix cannot be the start of a request line: a method
// (RFC 9110, section 9.1) and a space. If the role is unknown, the start of a status line is
// accepted too.
func classifyRequest(prefix []byte, role streamRole) (kind FaultKind, reason string) {
	for i, c := range prefix {
		if c == ' ' && i > 0 {
			return "", ""
		}
		maybeStatusLine := c == '/' && i == 4 && role == unknownRole && bytes.HasPrefix(statusLinePrefix, prefix[:i])
		isToken := strings.ContainsRune(tokenCharacters, rune(c))
		if !isToken && !maybeStatusLine || i > maxMethod {
			return NotHTTP, fmt.Sprintf("invalid request line %.16q", prefix)
		}
	}
	return "", ""
}
