package doc

import (
	"bytes"
	"fmt"
	"unicode/utf8"

	"fernlanding/internal/rules"
)

// MaxFile is the size of a document in bytes.
const MaxFile = 4 << 20

const (
	maxDepth = 16 // of brackets, and parts of one key
	bom      = "\xef\xbb\xbf"
)

// scan looks for what must not reach a parser: a document over its bound, bytes that an editor does not show, and nesting
// that would exhaust a stack. fatal tells that the document is not to be parsed.
func scan(file string, data []byte) (faults Faults, fatal bool) {
	at := func(line, col int) Place { return Place{file, line, col} }
	if len(data) > MaxFile {
		return Faults{{Place: at(0, 0), Rule: rules.FileSize, Found: fmt.Sprintf("%d bytes", len(data)), Expect: fmt.Sprintf("%d at most", MaxFile)}}, true
	}
	if bytes.HasPrefix(data, []byte(bom)) {
		return Faults{{Place: at(1, 1), Rule: rules.FileBOM, Found: "a byte order mark", Expect: "text expected"}}, true
	}
	s := scanner{file: file, data: data, line: 1}
	s.run()
	if s.crlf > 0 {
		faults = append(faults, Fault{Place: at(s.crlfAt, 0), Rule: rules.FileCRLF,
			Found: fmt.Sprintf("CR LF at the end of %d lines, first here", s.crlf), Expect: "LF expected"})
		faults[0].Col = 1
	}
	if s.fault != nil {
		return append(faults, *s.fault), true
	}
	return faults, false
}

// scanner knows just enough of TOML to tell brackets and dots in strings and comments from others.
type scanner struct {
	file   string
	data   []byte
	line   int
	begin  int // offset at which the line begins
	crlf   int
	crlfAt int
	depth  int
	dots   int
	fault  *Fault
}

func (s *scanner) bad(i int, rule rules.ID, found, expect string) {
	s.fault = &Fault{Place: Place{s.file, s.line, i - s.begin + 1}, Rule: rule, Found: found, Expect: expect}
}

func (s *scanner) run() {
	var quote byte // of the string that is open; 0: none
	long, comment := false, false
	for i := 0; i < len(s.data) && s.fault == nil; i++ {
		c := s.data[i]
		switch {
		case c == '\n':
			s.line, s.begin, s.dots, comment = s.line+1, i+1, 0, false
			if !long {
				quote = 0 // a fault of syntax, which the parser tells
			}
			continue
		case c == '\r' && i+1 < len(s.data) && s.data[i+1] == '\n':
			if s.crlf++; s.crlf == 1 {
				s.crlfAt = s.line
			}
			continue
		case c < ' ' && c != '\t' || c == 0x7f:
			s.bad(i, rules.FileControl, fmt.Sprintf("byte %#02x", c), "text expected")
			return
		case c >= utf8.RuneSelf:
			r, n := utf8.DecodeRune(s.data[i:])
			if r == utf8.RuneError && n == 1 {
				s.bad(i, rules.FileControl, fmt.Sprintf("byte %#02x", c), "UTF-8 expected")
				return
			}
			i += n - 1
			continue
		}
		switch {
		case comment:
		case quote != 0:
			switch {
			case c == '\\' && quote == '"' && i+1 < len(s.data) && s.data[i+1] >= ' ':
				i++
			case c != quote:
			case !long:
				quote = 0
			case s.run3(i, quote):
				i += 2
				for i+1 < len(s.data) && s.data[i+1] == quote { // up to two more belong to the string
					i++
				}
				quote, long = 0, false
			}
		case c == '#':
			comment = true
		case c == '"' || c == '\'':
			if quote = c; s.run3(i, c) {
				long = true
				i += 2
			}
		case c == '[' || c == '{':
			if s.depth, s.dots = s.depth+1, 0; s.depth > maxDepth {
				s.bad(i, rules.FileDepth, fmt.Sprintf("%d brackets deep", s.depth), fmt.Sprintf("%d at most", maxDepth))
			}
		case c == ']' || c == '}':
			s.depth, s.dots = max(0, s.depth-1), 0
		case c == '=' || c == ',':
			s.dots = 0
		case c == '.':
			if s.dots++; s.dots >= maxDepth {
				s.bad(i, rules.FileDepth, fmt.Sprintf("a key of over %d parts", maxDepth), fmt.Sprintf("%d at most", maxDepth))
			}
		}
	}
}

func (s *scanner) run3(i int, c byte) bool {
	return i+2 < len(s.data) && s.data[i+1] == c && s.data[i+2] == c
}
