package http1

import (
	"bytes"
	"net/textproto"

	"fernlanding/internal/core"
)

// head is the parsed head of a response.
type head struct {
	statusCode    int
	contentLength int64 // -1 means that the field is missing
	chunked       bool
	close         bool               // the connection closes after this response
	notStarted    bool               // the head has Not-Started: 1
	fields        []core.HeaderField // fields that are forwarded to the client
}

// parseHead parses a status line and field lines (RFC 9112, sections 4 and 5), each with its CRLF.
// It is strict: it returns an error for anything that two parsers could read differently. With
// passAll, every field that does not concern the connection is forwarded; otherwise only
// Content-Type is forwarded. The result does not refer to b.
func parseHead(b []byte, passAll bool) (head, error) {
	line, rest, ok := bytes.Cut(b, []byte("\r\n"))
	if !ok {
		return head{}, errMalformedHead
	}
	h, err := parseStatusLine(line)
	if err != nil {
		return h, err
	}
	for len(rest) > 0 {
		line, rest, ok = bytes.Cut(rest, []byte("\r\n"))
		if !ok {
			return h, errMalformedHead
		}
		if err := h.parseFieldLine(line, passAll); err != nil {
			return h, err
		}
	}
	if h.chunked && h.contentLength >= 0 {
		return h, errConflictingFraming
	}
	return h, nil
}

// parseStatusLine parses a status line: HTTP/1.x SP 3DIGIT [SP text].
func parseStatusLine(line []byte) (head, error) {
	h := head{contentLength: -1}
	const prefix = len("HTTP/1.1 ")
	const end = prefix + len("200")
	if len(line) < end || len(line) > end && line[end] != ' ' {
		return h, errMalformedHead
	}
	switch string(line[:prefix]) {
	case "HTTP/1.1 ":
	case "HTTP/1.0 ":
		h.close = true
	default:
		return h, errMalformedHead
	}
	for _, c := range line[prefix:end] {
		if c < '0' || c > '9' {
			return h, errMalformedHead
		}
		h.statusCode = 10*h.statusCode + int(c-'0')
	}
	if h.statusCode < 100 || !isFieldText(line[end:]) {
		return h, errMalformedHead
	}
	return h, nil
}

// parseFieldLine parses one field line and applies the field to the head.
func (h *head) parseFieldLine(line []byte, passAll bool) error {
	colon := bytes.IndexByte(line, ':')
	if colon <= 0 || !isToken(line[:colon]) || !isFieldText(line[colon+1:]) {
		return errMalformedHead
	}
	return h.applyField(line[:colon], bytes.Trim(line[colon+1:], " \t"), passAll)
}

// applyField applies one field to the head. It copies name and value.
func (h *head) applyField(name, value []byte, passAll bool) error {
	switch {
	case equalFold(name, "Content-Length"):
		length, err := parseContentLength(value)
		if err != nil || h.contentLength >= 0 && length != h.contentLength {
			return errMalformedLength
		}
		h.contentLength = length
		return nil
	case equalFold(name, "Transfer-Encoding"):
		if h.chunked || !equalFold(value, "chunked") {
			return errUnknownCoding
		}
		h.chunked = true
		return nil
	case equalFold(name, "Connection"):
		for option := range bytes.SplitSeq(value, []byte(",")) {
			h.close = h.close || equalFold(bytes.Trim(option, " \t"), "close")
		}
		return nil
	case equalFold(name, "Not-Started"):
		h.notStarted = string(value) == "1"
	}
	if passAll && !isHopByHop(name) || !passAll && equalFold(name, "Content-Type") && len(h.fields) == 0 {
		h.fields = append(h.fields, core.HeaderField{Name: canonicalName(name), Value: string(value)})
	}
	return nil
}

// canonicalName returns the canonical form of a field name. Common names cause no allocation.
func canonicalName(name []byte) string {
	switch string(name) {
	case "Content-Type":
		return "Content-Type"
	case "Date":
		return "Date"
	}
	return textproto.CanonicalMIMEHeaderKey(string(name))
}

// isHopByHop reports whether a field concerns a single connection (RFC 9110, section 7.6.1) or the
// framing of the message.
func isHopByHop(name []byte) bool {
	for _, n := range [...]string{"Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Upgrade", "Proxy-Authenticate"} {
		if equalFold(name, n) {
			return true
		}
	}
	return false
}

// equalFold reports whether b equals an ASCII word without regard to case.
func equalFold(b []byte, word string) bool {
	return len(b) == len(word) && bytes.EqualFold(b, []byte(word))
}

// parseContentLength parses 1*DIGIT or a list of equal values of that form (RFC 9110, section 8.6).
func parseContentLength(value []byte) (int64, error) {
	first, rest, more := bytes.Cut(value, []byte(","))
	first = bytes.Trim(first, " \t")
	if len(first) == 0 || len(first) > 18 { // 18 digits always fit into an int64
		return 0, errMalformedLength
	}
	var length int64
	for _, c := range first {
		if c < '0' || c > '9' {
			return 0, errMalformedLength
		}
		length = 10*length + int64(c-'0')
	}
	if more {
		if repeated, err := parseContentLength(rest); err != nil || repeated != length {
			return 0, errMalformedLength
		}
	}
	return length, nil
}

// isToken reports whether b is a token (RFC 9110, section 5.6.2).
func isToken(b []byte) bool {
	for _, c := range b {
		if !isTokenChar(c) {
			return false
		}
	}
	return len(b) > 0
}

// isTokenChar reports whether c is a tchar (RFC 9110, section 5.6.2).
func isTokenChar(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' ||
		bytes.IndexByte([]byte("!#$%&'*+-.^_`|~"), c) >= 0
}

// isFieldText reports whether b has only bytes that are allowed in a field value or a reason phrase
// (RFC 9110, section 5.5).
func isFieldText(b []byte) bool {
	for _, c := range b {
		if c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}
