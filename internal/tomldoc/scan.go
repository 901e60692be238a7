package tomldoc

import (
	"bytes"
	"fernlanding/internal/rules"
	"fmt"
	"unicode/utf8"
)

// MaxFile is the size of a document in bytes.
const MaxFile = 4 << 20

const (
	maxDepth = 16 // of brackets, and parts of one key
	bom      = "\xef\xbb\xbf"
)

// scan looks for what must not reach a parser: a document over its bound, bytes that an editor does not show, and nesting
// that would exhaust a stack. fatal tells that the document is not to be parsed.
func scan(file string, data []byte) (faults Diagnostics, fatal bool) {
	at := func(line, col int) Place { return Place{file, line, col} }
	if len(data) > MaxFile {
		return Diagnostics{{Place: at(0, 0), Rule: rules.FileSize, Found: fmt.Sprintf("%d bytes", len(data)), Expect: fmt.Sprintf("%d at most", MaxFile)}}, true
	}
	if bytes.HasPrefix(data, []byte(bom)) {
		return Diagnostics{{Place: at(1, 1), Rule: rules.FileBOM, Found: "a byte order mark", Expect: "text expected"}}, true
	}
	s := scanner{file: file, data: data, line: 1}
	s.run()
	if s.crlf > 0 {
		faults = append(faults, Diagnostic{
			Place: at(s.crlfAt, 0), Rule: rules.FileCRLF,
			Found: fmt.Sprintf("CR LF at the end of %d lines, first here", s.crlf), Expect: "LF expected",
		})
		faults[0].Col = 1
	}
	if s.fault != nil {
		return append(faults, *s.fault), true
	}
	return faults, false
}

// scanner knows just enough of TOML to tell brackets and dots in strings and comments from others.
type scanner struct {
	file    string
	data    []byte
	line    int
	begin   int // offset at which the line begins
	crlf    int
	crlfAt  int
	depth   int
	dots    int
	quote   byte // of the string that is open; 0: none
	long    bool // the string that is open may go over several lines
	comment bool
	fault   *Diagnostic
}

func (s *scanner) bad(i int, rule rules.ID, found, expect string) {
	s.fault = &Diagnostic{Place: Place{s.file, s.line, i - s.begin + 1}, Rule: rule, Found: found, Expect: expect}
}

func (s *scanner) run() {
	for i := 0; i < len(s.data) && s.fault == nil; {
		i += s.step(i)
	}
}

// step takes what begins at an offset, and returns how many bytes that is.
func (s *scanner) step(i int) int {
	if n := s.special(i); n > 0 {
		return n
	}
	switch {
	case s.comment:
		return 1
	case s.quote != 0:
		return s.inString(i)
	}
	return s.syntax(i)
}

// special takes line ends, control characters and characters of several bytes; 0: none of them is here.
func (s *scanner) special(i int) int {
	c := s.data[i]
	switch {
	case c == '\n':
		s.endLine(i)
	case c == '\r' && i+1 < len(s.data) && s.data[i+1] == '\n':
		if s.crlf++; s.crlf == 1 {
			s.crlfAt = s.line
		}
	case c < ' ' && c != '\t' || c == 0x7f:
		s.bad(i, rules.FileControl, fmt.Sprintf("byte %#02x", c), "text expected")
	case c >= utf8.RuneSelf:
		r, n := utf8.DecodeRune(s.data[i:])
		if r == utf8.RuneError && n == 1 {
			s.bad(i, rules.FileControl, fmt.Sprintf("byte %#02x", c), "UTF-8 expected")
		}
		return n
	default:
		return 0
	}
	return 1
}

func (s *scanner) endLine(i int) {
	s.line, s.begin, s.dots, s.comment = s.line+1, i+1, 0, false
	if !s.long {
		s.quote = 0 // a fault of syntax, which the parser tells
	}
}

// inString takes an escaped character, the end of the string, or one byte of it.
func (s *scanner) inString(i int) int {
	c := s.data[i]
	switch {
	case c == '\\' && s.quote == '"' && i+1 < len(s.data) && s.data[i+1] >= ' ':
		return 2
	case c != s.quote:
		return 1
	case !s.long:
		s.quote = 0
		return 1
	case !s.tripled(i):
		return 1
	}
	n := 3
	for i+n < len(s.data) && s.data[i+n] == c { // up to two more belong to the string
		n++
	}
	s.quote, s.long = 0, false
	return n
}

// syntax takes what stands outside of strings and comments.
func (s *scanner) syntax(i int) int {
	switch c := s.data[i]; c {
	case '#':
		s.comment = true
	case '"', '\'':
		s.quote = c
		if s.long = s.tripled(i); s.long {
			return 3
		}
	case '[', '{':
		if s.depth, s.dots = s.depth+1, 0; s.depth > maxDepth {
			s.bad(i, rules.FileDepth, fmt.Sprintf("%d brackets deep", s.depth), fmt.Sprintf("%d at most", maxDepth))
		}
	case ']', '}':
		s.depth, s.dots = max(0, s.depth-1), 0
	case '=', ',':
		s.dots = 0
	case '.':
		if s.dots++; s.dots >= maxDepth {
			s.bad(i, rules.FileDepth, fmt.Sprintf("a key of over %d parts", maxDepth), fmt.Sprintf("%d at most", maxDepth))
		}
	}
	return 1
}

// tripled tells whether a byte stands three times in a row.
func (s *scanner) tripled(i int) bool {
	c := s.data[i]
	return i+2 < len(s.data) && s.data[i+1] == c && s.data[i+2] == c
}
