package http1

import "bytes"

// headScanner looks for the empty line at the end of a head in a stream of bytes, and counts the
// lines. A bare line feed ends a line too.
type headScanner struct {
	size      int  // bytes scanned so far, up to the end of the head
	lines     int  // line feeds so far
	lineEmpty bool // the current line is empty so far
	complete  bool // an empty line has been found
}

// scan processes the next bytes, up to the end of the head.
func (s *headScanner) scan(b []byte) {
	for len(b) > 0 && !s.complete {
		line, rest, ended := bytes.Cut(b, []byte("\n"))
		if len(bytes.TrimLeft(line, "\r")) > 0 {
			s.lineEmpty = false
		}
		s.size += len(b) - len(rest)
		if ended {
			s.complete = s.lineEmpty
			s.lineEmpty = true
			s.lines++
		}
		b = rest
	}
}
