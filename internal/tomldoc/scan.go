package tomldoc

import (
	"bytes"
	"fmt"
	"unicode/utf8"

	"fernlanding/internal/rules"
)

// MaxFile is the maximum size of a document in bytes.
const MaxFile = 4 << 20

const (
	maxDepth      = 16 // limit of nested brackets, and of the parts of one key
	byteOrderMark = "\xef\xbb\xbf"
)

// scan checks a document before parsing: its size, bytes that an editor does not show, and nesting
// that would exhaust the stack of a parser. fatal reports whether the document must not be parsed.
func scan(file string, data []byte) (faults Diagnostics, fatal bool) {
	if len(data) > MaxFile {
		return Diagnostics{{
			Place: Place{File: file}, Rule: rules.FileSize,
			Found:  fmt.Sprintf("%d bytes", len(data)),
			Expect: fmt.Sprintf("file of %d bytes exceeds the limit of %d", len(data), MaxFile),
		}}, true
	}
	if bytes.HasPrefix(data, []byte(byteOrderMark)) {
		return Diagnostics{{
			Place: Place{File: file, Line: 1, Col: 1}, Rule: rules.FileBOM,
			Found: "a byte order mark", Expect: "invalid byte order mark",
		}}, true
	}
	s := scanner{file: file, data: data, line: 1}
	s.run()
	if s.crlfLines > 0 {
		faults = append(faults, Diagnostic{
			Place: Place{File: file, Line: s.firstCRLF, Col: 1}, Rule: rules.FileCRLF,
			Found: fmt.Sprintf("CR LF at the end of %d lines, first here", s.crlfLines),
			Expect: fmt.Sprintf("invalid line ending CR LF: must be LF (lines with CR LF: %d, this is the first)",
				s.crlfLines),
		})
	}
	if s.fault != nil {
		return append(faults, *s.fault), true
	}
	return faults, false
}

// scanner recognizes strings and comments of TOML, in which brackets and dots are no nesting.
type scanner struct {
	file      string
	data      []byte
	line      int
	lineStart int  // offset of the start of the current line
	crlfLines int  // number of lines so far that end with CR LF
	firstCRLF int  // number of the first line that ends with CR LF
	depth     int  // number of open brackets
	dots      int  // number of dots in the current key
	quote     byte // quote of the current string; 0 means that no string is open
	multiline bool // whether the current string may extend over several lines
	inComment bool
	fault     *Diagnostic // violation that ends the scan; nil means none
}

// report reports a violation at an offset and ends the scan.
func (s *scanner) report(offset int, rule rules.ID, found, expect string) {
	at := Place{File: s.file, Line: s.line, Col: offset - s.lineStart + 1}
	s.fault = &Diagnostic{Place: at, Rule: rule, Found: found, Expect: expect}
}

func (s *scanner) run() {
	for i := 0; i < len(s.data) && s.fault == nil; {
		i += s.step(i)
	}
}

// step scans the token at an offset and returns the token's length in bytes.
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

// scanSpecial scans a line ending, a control character or a multi-byte character and returns its
// length in bytes, or 0 if there is none at the offset.
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
		s.report(i, rules.FileControl, fmt.Sprintf("byte %#02x", c), fmt.Sprintf("invalid control character %#02x", c))
	case c >= utf8.RuneSelf:
		r, size := utf8.DecodeRune(s.data[i:])
		if r == utf8.RuneError && size == 1 {
			s.report(i, rules.FileControl,
				fmt.Sprintf("byte %#02x", c), fmt.Sprintf("invalid byte %#02x: must be UTF-8", c))
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
		s.quote = 0 // an unterminated string is a syntax error, which the parser reports
	}
}

// scanString scans an escaped character, the end of the current string, or one byte of the string.
// scanString returns the number of bytes.
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
	for i+n < len(s.data) && s.data[i+n] == c { // up to two more quotes belong to the string
		n++
	}
	s.quote, s.multiline = 0, false
	return n
}

// scanSyntax scans a byte outside of strings and comments, or the start of a string. scanSyntax
// returns the number of bytes.
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
			s.reportDepth(i, fmt.Sprintf("%d brackets deep", s.depth), fmt.Sprintf("nesting of %d brackets", s.depth))
		}
	case ']', '}':
		s.depth, s.dots = max(0, s.depth-1), 0
	case '=', ',':
		s.dots = 0
	case '.':
		s.dots++
		if s.dots >= maxDepth {
			s.reportDepth(i,
				fmt.Sprintf("a key of over %d parts", maxDepth), fmt.Sprintf("key of %d or more parts", s.dots+1))
		}
	}
	return 1
}

func (s *scanner) reportDepth(i int, found, what string) {
	s.report(i, rules.FileDepth, found, fmt.Sprintf("%s exceeds the limit of %d", what, maxDepth))
}

// isTripled reports whether the byte at an offset occurs three times in a row.
func (s *scanner) isTripled(i int) bool {
	c := s.data[i]
	return i+2 < len(s.data) && s.data[i+1] == c && s.data[i+2] == c
}
