package http1

import "bytes"

// emptyLine ends a head whose lines end in CRLF.
var emptyLine = []byte("\r\n\r\n")

// headScanner looks for the end of a head in what comes: an empty line. A bare line feed ends a
// line too, as in net/http.
type headScanner struct {
	size      int  // bytes so far
	lineEmpty bool // so far, the present line
	complete  bool // an empty line has come
}

// scan takes the next bytes.
func (s *headScanner) scan(b []byte) {
	s.size += len(b)
	if s.complete || bytes.Contains(b, emptyLine) {
		s.complete = true
		return
	}
	for _, c := range b {
		switch c {
		case '\n':
			s.complete = s.complete || s.lineEmpty
			s.lineEmpty = true
		case '\r':
		default:
			s.lineEmpty = false
		}
	}
}
