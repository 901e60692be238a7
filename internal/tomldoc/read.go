package tomldoc

import (
	"fernlanding/internal/rules"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Reader gathers the faults of a document that is being read.
type Reader struct {
	Faults Diagnostics
	// Later are fields that a later version of the format knows, with that version; a reader of an earlier one says so.
	Later map[string]int
}

// Scope is a table being read, with its path.
type Scope struct {
	*Reader
	V    *Value
	Path string
}

// NewScope is the scope of a whole document.
func NewScope(r *Reader, root *Value) Scope { return Scope{r, root, ""} }

// Decode reads a file with a function that reads its root table. The error lists all faults, one a line, with file, line, column and field.
func Decode[T any](file string, data []byte, read func(Scope) *T) (*T, error) {
	root, faults := Parse(file, data)
	if root == nil {
		return nil, faults.Err()
	}
	r := &Reader{Faults: faults}
	decoded := read(NewScope(r, root))
	if err := r.Faults.Err(); err != nil {
		return nil, err
	}
	return decoded, nil
}

// Fault notes a fault at a value.
func (r *Reader) Fault(at *Value, rule rules.ID, field, found, expect string) {
	r.Faults = append(r.Faults, Diagnostic{Place: at.Place, Rule: rule, Field: field, Found: found, Expect: expect})
}

// Name is the path of a field.
func (s Scope) Name(field string) string {
	if s.Path == "" {
		return field
	}
	return s.Path + "." + field
}

// Bad is a fault of a field; of its table, where the field does not stand there.
func (s Scope) Bad(rule rules.ID, field, expect string, args ...any) {
	at, found := s.V, ""
	if v := s.V.Fields[field]; v != nil {
		at, found = v, v.Say()
		if v.Kind == Table || v.Kind == Array {
			found = ""
		}
	}
	s.Fault(at, rule, s.Name(field), found, fmt.Sprintf(expect, args...))
}

// Take notes that a field is known, whatever it holds.
func (s Scope) Take(fields ...string) {
	for _, f := range fields {
		s.V.take(f)
	}
}

// Get returns a field of a kind, or nil; another kind is a fault.
func (s Scope) Get(field string, want Kind) *Value {
	s.V.take(field)
	v := s.V.Fields[field]
	if v == nil || v.Kind == want || want == Float && v.Kind == Integer {
		return v
	}
	s.Fault(v, rules.WrongType, s.Name(field), v.Say(), want.String()+" expected")
	return nil
}

// Has tells whether a field stands in the document.
func (s Scope) Has(field string) bool { return s.V.Fields[field] != nil }

// Text reads a string.
func (s Scope) Text(field, otherwise string) string {
	if v := s.Get(field, String); v != nil {
		return v.Text
	}
	return otherwise
}

// Word reads one of some words.
func (s Scope) Word(field, otherwise string, words ...string) string {
	w := s.Text(field, otherwise)
	if !slices.Contains(words, w) {
		expect := fmt.Sprintf("one of %s expected", strings.Join(words, ", "))
		if near := Nearest(w, words); near != "" {
			expect += "; " + near + " meant?"
		}
		s.Bad(rules.Word, field, "%s", expect)
		return words[0]
	}
	return w
}

// Flag reads a boolean; it is false where it is missing.
func (s Scope) Flag(field string) bool {
	v := s.Get(field, Bool)
	return v != nil && v.Text == "true"
}

// Whole reads an integer.
func (s Scope) Whole(field string, otherwise, least, most int64) int64 {
	v := s.Get(field, Integer)
	if v == nil {
		return otherwise
	}
	n, err := strconv.ParseInt(strings.ReplaceAll(v.Text, "_", ""), 0, 64)
	if err != nil || n < least || n > most {
		s.Bad(rules.Range, field, "%d to %d expected", least, most)
		return otherwise
	}
	return n
}

// Number reads a float or an integer.
func (s Scope) Number(field string, otherwise, least, most float64) float64 {
	v := s.Get(field, Float)
	if v == nil {
		return otherwise
	}
	x, err := strconv.ParseFloat(strings.ReplaceAll(v.Text, "_", ""), 64)
	if err != nil || math.IsNaN(x) || x < least || x > most {
		s.Bad(rules.Range, field, "%g to %g expected", least, most)
		return otherwise
	}
	return x
}

// Span reads a time like "7.5s".
func (s Scope) Span(field string, otherwise, least, most time.Duration) time.Duration {
	v := s.V.Fields[field]
	s.V.take(field)
	if v == nil {
		return otherwise
	}
	d, err := time.ParseDuration(v.Text)
	switch {
	case v.Kind == Integer || v.Kind == Float:
		s.Bad(rules.Duration, field, `a time with a unit, such as "250ms" or "7.5s", expected`)
	case v.Kind != String:
		s.Get(field, String)
	case err != nil:
		s.Bad(rules.Duration, field, `a time such as "250ms" or "7.5s" expected`)
	case d < least || d > most:
		s.Bad(rules.Range, field, "%v to %v expected", least, most)
	default:
		return d
	}
	return otherwise
}

// Texts reads an array of strings.
func (s Scope) Texts(field string) (out []string) {
	v := s.Get(field, Array)
	if v == nil {
		return nil
	}
	for i, item := range v.Items {
		if item.Kind != String {
			s.Fault(item, rules.WrongType, fmt.Sprintf("%s[%d]", s.Name(field), i+1), item.Say(), "a string expected")
			continue
		}
		out = append(out, item.Text)
	}
	return out
}

// Sub returns the scope of a table, an empty one if it is missing.
func (s Scope) Sub(field string) Scope {
	v := s.Get(field, Table)
	if v == nil {
		v = NewTable(s.V.Place)
	}
	return Scope{s.Reader, v, s.Name(field)}
}

// Each returns the scopes of a table's tables, in order, with their names.
func (s Scope) Each(field string) (names []string, scopes []Scope) {
	t := s.Sub(field)
	for _, k := range t.V.Keys {
		if v := t.Get(k, Table); v != nil {
			names, scopes = append(names, k), append(scopes, Scope{s.Reader, v, t.Name(k)})
		}
	}
	return names, scopes
}

// List returns the scopes of an array of tables.
func (s Scope) List(field string) (scopes []Scope) {
	v := s.Get(field, Array)
	if v == nil {
		return nil
	}
	for i, item := range v.Items {
		path := fmt.Sprintf("%s[%d]", s.Name(field), i+1)
		if item.Kind != Table {
			s.Fault(item, rules.WrongType, path, item.Say(), "a table expected")
			continue
		}
		scopes = append(scopes, Scope{s.Reader, item, path})
	}
	return scopes
}

// Done faults the fields that nobody asked for.
func (s Scope) Done() {
	for _, k := range s.V.Keys {
		if s.V.taken[k] {
			continue
		}
		if v := s.Later[k]; v > 0 {
			s.Fault(s.V.Fields[k], rules.FieldVersion, s.Name(k), "", fmt.Sprintf("known from version %d on", v))
			continue
		}
		var known []string
		for name := range s.V.taken {
			known = append(known, name)
		}
		slices.Sort(known)
		expect := "unknown field; known here: " + strings.Join(known, ", ")
		if near := Nearest(k, known); near != "" {
			expect = "unknown field; " + near + " meant?"
		}
		s.Fault(s.V.Fields[k], rules.UnknownField, s.Name(k), "", expect)
	}
}

// Nearest returns the known word that is at most two slips of the pen away, or none.
func Nearest(word string, known []string) (near string) {
	least := 3
	for _, k := range known {
		if d := distance(word, k); d < least && d < len(k) {
			least, near = d, k
		}
	}
	return near
}

// Guess is a text, with the near one of some known words behind it where there is one.
func Guess(text, word string, known []string) string {
	if near := Nearest(word, known); near != "" {
		return text + ": " + near + " meant?"
	}
	return text
}

// distance is the Levenshtein distance of two words, of which long ones count as far apart.
func distance(a, b string) int {
	if len(a) > 40 || len(b) > 40 {
		return len(a) + len(b)
	}
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := diagonal
			if a[i] != b[j] {
				cost = 1 + min(diagonal, row[j], row[j+1])
			}
			diagonal, row[j+1] = row[j+1], cost
		}
	}
	return row[len(b)]
}
