package http1

import (
	"bytes"
	"errors"
	"fernlanding/internal/core"
	"net/textproto"
)

// head is what the head of an answer says.
type head struct {
	code       int
	length     int64 // -1: not given
	chunked    bool
	close      bool // the connection ends with this answer
	notStarted bool
	fields     []core.Field // what goes on to the client
}

var errHead = errors.New("a head that makes no sense")

// parseHead reads a status line and fields (RFC 9112, sections 4 and 5), each with its CRLF. It is strict: what two
// readers could take for two things is no answer. With all, every field that does not concern the connection goes on;
// otherwise Content-Type alone.
func parseHead(b []byte, all bool) (h head, err error) {
	line, rest, ok := bytes.Cut(b, []byte("\r\n"))
	// HTTP/1.x SP 3DIGIT [SP text]
	if !ok || len(line) < 12 || string(line[:7]) != "HTTP/1." || line[7] != '0' && line[7] != '1' || line[8] != ' ' ||
		len(line) > 12 && line[12] != ' ' {
		return h, errHead
	}
	for _, c := range line[9:12] {
		if c < '0' || c > '9' {
			return h, errHead
		}
		h.code = 10*h.code + int(c-'0')
	}
	if h.code < 100 || !text(line[12:]) {
		return h, errHead
	}
	h.length, h.close = -1, line[7] == '0'
	for len(rest) > 0 {
		if line, rest, ok = bytes.Cut(rest, []byte("\r\n")); !ok {
			return h, errHead
		}
		colon := bytes.IndexByte(line, ':')
		if colon <= 0 || !token(line[:colon]) || !text(line[colon+1:]) {
			return h, errHead
		}
		if err := h.field(line[:colon], bytes.Trim(line[colon+1:], " \t"), all); err != nil {
			return h, err
		}
	}
	if h.chunked && h.length >= 0 {
		return h, errors.New("two framings")
	}
	return h, nil
}

// field takes one field. Values keep nothing of b.
func (h *head) field(name, value []byte, all bool) error {
	switch {
	case is(name, "Content-Length"):
		n, err := length(value)
		if err != nil || h.length >= 0 && n != h.length {
			return errors.New("a length that makes no sense")
		}
		h.length = n
		return nil
	case is(name, "Transfer-Encoding"):
		if h.chunked || !is(value, "chunked") {
			return errors.New("an unknown transfer coding")
		}
		h.chunked = true
		return nil
	case is(name, "Connection"):
		for part := range bytes.SplitSeq(value, []byte(",")) {
			h.close = h.close || is(bytes.Trim(part, " \t"), "close")
		}
		return nil
	case is(name, "Not-Started"):
		h.notStarted = string(value) == "1"
	}
	if all && !oneConnection(name) || !all && is(name, "Content-Type") && len(h.fields) == 0 {
		h.fields = append(h.fields, core.Field{Name: canonical(name), Value: string(value)})
	}
	return nil
}

// canonical is the canonical form of a name. The usual ones cost nothing.
func canonical(name []byte) string {
	switch string(name) {
	case "Content-Type":
		return "Content-Type"
	case "Date":
		return "Date"
	}
	return textproto.CanonicalMIMEHeaderKey(string(name))
}

// oneConnection tells whether a field concerns one connection (RFC 9110, section 7.6.1) or its framing.
func oneConnection(name []byte) bool {
	for _, n := range [...]string{"Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Upgrade", "Proxy-Authenticate"} {
		if is(name, n) {
			return true
		}
	}
	return false
}

// is compares ASCII without regard to case.
func is(b []byte, word string) bool {
	return len(b) == len(word) && bytes.EqualFold(b, []byte(word))
}

// length reads 1*DIGIT, also repeated as a list of equal values (RFC 9110, section 8.6).
func length(value []byte) (n int64, err error) {
	first, rest, more := bytes.Cut(value, []byte(","))
	first = bytes.Trim(first, " \t")
	if len(first) == 0 || len(first) > 18 {
		return 0, errHead
	}
	for _, c := range first {
		if c < '0' || c > '9' {
			return 0, errHead
		}
		n = 10*n + int64(c-'0')
	}
	if more {
		if again, err := length(rest); err != nil || again != n {
			return 0, errHead
		}
	}
	return n, nil
}

// token tells whether b is a token (RFC 9110, section 5.6.2).
func token(b []byte) bool {
	for _, c := range b {
		if !(c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' ||
			bytes.IndexByte([]byte("!#$%&'*+-.^_`|~"), c) >= 0) {
			return false
		}
	}
	return len(b) > 0
}

// text tells whether b may stand in a field's value or a reason (RFC 9110, section 5.5).
func text(b []byte) bool {
	for _, c := range b {
		if c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}
