package tomldoc

import (
	"fmt"
	"slices"
	"strings"

	"fernlanding/internal/rules"
)

// Reader collects the diagnostics of a document that is being decoded.
type Reader struct {
	Faults Diagnostics
	// Later has the fields that a later version of the format has, with that version: they are
	// reported as such.
	Later map[string]int
}

// Scope is a table that is being decoded, with the path of its fields.
//
// The methods that read a field mark it as known, so that Done can report those that are not. Where
// a field is missing they return the default that is passed; where its value is invalid they report
// that, and return a valid value so that decoding can go on.
type Scope struct {
	*Reader
	V    *Value
	Path string
}

// NewScope returns the scope of a whole document.
func NewScope(r *Reader, root *Value) Scope { return Scope{Reader: r, V: root} }

// Decode parses a file and decodes it by a function that reads its root table. The error is
// Diagnostics.
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

// Fault reports a violation at a value.
func (r *Reader) Fault(at *Value, rule rules.ID, field, found, expect string) {
	r.Faults = append(r.Faults, Diagnostic{Place: at.Place, Rule: rule, Field: field, Found: found, Expect: expect})
}

// Name returns the path of a field.
func (s Scope) Name(field string) string {
	if s.Path == "" {
		return field
	}
	return s.Path + "." + field
}

// Bad reports a violation at a field or, where the table lacks the field, at the table.
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

// Take marks fields as known, whatever they hold.
func (s Scope) Take(fields ...string) {
	for _, field := range fields {
		s.V.markKnown(field)
	}
}

// Get returns a field of a kind, or nil. A field of another kind is reported; an integer is a float
// too.
func (s Scope) Get(field string, want Kind) *Value {
	s.V.markKnown(field)
	v := s.V.Fields[field]
	if v == nil || v.Kind == want || want == Float && v.Kind == Integer {
		return v
	}
	s.Fault(v, rules.WrongType, s.Name(field), v.Say(), want.String()+" expected")
	return nil
}

// Has reports whether the table has a field.
func (s Scope) Has(field string) bool { return s.V.Fields[field] != nil }

// Sub returns the scope of a table; that of an empty one where the field is missing or no table.
func (s Scope) Sub(field string) Scope {
	v := s.Get(field, Table)
	if v == nil {
		v = NewTable(s.V.Place)
	}
	return Scope{Reader: s.Reader, V: v, Path: s.Name(field)}
}

// Each returns the scopes of the tables in a table, in order, with their names.
func (s Scope) Each(field string) (names []string, scopes []Scope) {
	table := s.Sub(field)
	for _, name := range table.V.Keys {
		if v := table.Get(name, Table); v != nil {
			names = append(names, name)
			scopes = append(scopes, Scope{Reader: s.Reader, V: v, Path: table.Name(name)})
		}
	}
	return names, scopes
}

// List returns the scopes of an array of tables.
func (s Scope) List(field string) []Scope {
	v := s.Get(field, Array)
	if v == nil {
		return nil
	}
	var scopes []Scope
	for i, item := range v.Items {
		path := fmt.Sprintf("%s[%d]", s.Name(field), i+1)
		if item.Kind != Table {
			s.Fault(item, rules.WrongType, path, item.Say(), "a table expected")
			continue
		}
		scopes = append(scopes, Scope{Reader: s.Reader, V: item, Path: path})
	}
	return scopes
}

// Done reports the fields of the table that are not known. It is called once all known fields have
// been read.
func (s Scope) Done() {
	for _, field := range s.V.Keys {
		if !s.V.known[field] {
			s.reportUnknown(field)
		}
	}
}

// reportUnknown reports a field that is not known.
func (s Scope) reportUnknown(field string) {
	v := s.V.Fields[field]
	if version := s.Later[field]; version > 0 {
		s.Fault(v, rules.FieldVersion, s.Name(field), "", fmt.Sprintf("known from version %d on", version))
		return
	}
	var known []string
	for name := range s.V.known {
		known = append(known, name)
	}
	slices.Sort(known)
	expect := "unknown field; known here: " + strings.Join(known, ", ")
	if nearest := Nearest(field, known); nearest != "" {
		expect = "unknown field; " + nearest + " meant?"
	}
	s.Fault(v, rules.UnknownField, s.Name(field), "", expect)
}
