package http1

import "bytes"

// emptyLine ends a head whose lines end in CRLF.
var emptyLine = []byte("\r\n\r\n")

// headScanner looks for the empty line at the end of a head in a stream of bytes. A bare line feed
// ends a line too, as in net/http.
type headScanner struct {
	size      int  // bytes scanned so far
	lineEmpty bool // the current line is empty so far
	complete  bool // an empty line has been found
}

// scan processes the next bytes.
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
