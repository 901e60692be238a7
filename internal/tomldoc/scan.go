package tomldoc

import (
	"bytes"
	"fmt"
	"unicode/utf8"

	"fernlanding/internal/rules"
)

// MaxFile is the size of the largest document in bytes.
const MaxFile = 4 << 20

const (
	maxDepth      = 16 // of brackets, and of the parts of one key
	byteOrderMark = "\xef\xbb\xbf"
)

// scan checks for what must not reach a parser: a document that is too large, bytes that an editor
// does not show, and nesting that would exhaust the stack. fatal says that the document is not to
// be parsed.
func scan(file string, data []byte) (faults Diagnostics, fatal bool) {
	if len(data) > MaxFile {
		return Diagnostics{{
			Place: Place{File: file}, Rule: rules.FileSize,
			Found: fmt.Sprintf("%d bytes", len(data)), Expect: fmt.Sprintf("%d at most", MaxFile),
		}}, true
	}
	if bytes.HasPrefix(data, []byte(byteOrderMark)) {
		return Diagnostics{{
			Place: Place{File: file, Line: 1, Col: 1}, Rule: rules.FileBOM,
			Found: "a byte order mark", Expect: "text expected",
		}}, true
	}
	s := scanner{file: file, data: data, line: 1}
	s.run()
	if s.crlfLines > 0 {
		faults = append(faults, Diagnostic{
			Place: Place{File: file, Line: s.firstCRLF, Col: 1}, Rule: rules.FileCRLF,
			Found: fmt.Sprintf("CR LF at the end of %d lines, first here", s.crlfLines), Expect: "LF expected",
		})
	}
	if s.fault != nil {
		return append(faults, *s.fault), true
	}
	return faults, false
}

// scanner knows just enough of TOML to tell brackets and dots in strings and comments from others.
type scanner struct {
	file      string
	data      []byte
	line      int
	lineStart int  // offset at which the line begins
	crlfLines int  // lines so far that end with CR LF
	firstCRLF int  // the first of them
	depth     int  // of brackets
	dots      int  // in the present key
	quote     byte // of the string that is open; 0: none
	multiline bool // the string that is open may extend over several lines
	inComment bool
	fault     *Diagnostic
}

// report reports a violation at an offset. It ends the scan.
func (s *scanner) report(offset int, rule rules.ID, found, expect string) {
	at := Place{File: s.file, Line: s.line, Col: offset - s.lineStart + 1}
	s.fault = &Diagnostic{Place: at, Rule: rule, Found: found, Expect: expect}
}

func (s *scanner) run() {
	for i := 0; i < len(s.data) && s.fault == nil; {
		i += s.step(i)
	}
}

// step scans what begins at an offset, and returns how many bytes that is.
func (s *scanner) step(i int) int {
	if n := s.scanSpecial(i); n > 0 {
		return n
	}
	switch {
	case s.inComment:
		return 1
	case s.quote != 0:
		return s.scanString(i)
	}
	return s.scanSyntax(i)
}

// scanSpecial scans a line end, a control character or a character of several bytes; 0: there is
// none.
func (s *scanner) scanSpecial(i int) int {
	c := s.data[i]
	switch {
	case c == '\n':
		s.endLine(i)
	case c == '\r' && i+1 < len(s.data) && s.data[i+1] == '\n':
		s.crlfLines++
		if s.crlfLines == 1 {
			s.firstCRLF = s.line
		}
	case c < ' ' && c != '\t' || c == 0x7f:
		s.report(i, rules.FileControl, fmt.Sprintf("byte %#02x", c), "text expected")
	case c >= utf8.RuneSelf:
		r, size := utf8.DecodeRune(s.data[i:])
		if r == utf8.RuneError && size == 1 {
			s.report(i, rules.FileControl, fmt.Sprintf("byte %#02x", c), "UTF-8 expected")
		}
		return size
	default:
		return 0
	}
	return 1
}

func (s *scanner) endLine(i int) {
	s.line++
	s.lineStart = i + 1
	s.dots, s.inComment = 0, false
	if !s.multiline {
		s.quote = 0 // an error of syntax, which the parser reports
	}
}

// scanString scans an escaped character, the end of the string that is open, or one byte of it.
func (s *scanner) scanString(i int) int {
	c := s.data[i]
	switch {
	case c == '\\' && s.quote == '"' && i+1 < len(s.data) && s.data[i+1] >= ' ':
		return 2
	case c != s.quote:
		return 1
	case !s.multiline:
		s.quote = 0
		return 1
	case !s.isTripled(i):
		return 1
	}
	n := 3
	for i+n < len(s.data) && s.data[i+n] == c { // up to two more belong to the string
		n++
	}
	s.quote, s.multiline = 0, false
	return n
}

// scanSyntax scans what is outside of strings and comments.
func (s *scanner) scanSyntax(i int) int {
	c := s.data[i]
	switch c {
	case '#':
		s.inComment = true
	case '"', '\'':
		s.quote = c
		s.multiline = s.isTripled(i)
		if s.multiline {
			return 3
		}
	case '[', '{':
		s.depth++
		s.dots = 0
		if s.depth > maxDepth {
			s.reportDepth(i, fmt.Sprintf("%d brackets deep", s.depth))
		}
	case ']', '}':
		s.depth, s.dots = max(0, s.depth-1), 0
	case '=', ',':
		s.dots = 0
	case '.':
		s.dots++
		if s.dots >= maxDepth {
			s.reportDepth(i, fmt.Sprintf("a key of over %d parts", maxDepth))
		}
	}
	return 1
}

func (s *scanner) reportDepth(i int, found string) {
	s.report(i, rules.FileDepth, found, fmt.Sprintf("%d at most", maxDepth))
}

// isTripled reports whether a byte occurs three times in a row.
func (s *scanner) isTripled(i int) bool {
	c := s.data[i]
	return i+2 < len(s.data) && s.data[i+1] == c && s.data[i+2] == c
}
