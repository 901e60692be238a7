package tomldoc

import (
	"fmt"
	"slices"
	"strings"

	"fernlanding/internal/rules"
)

// Collector collects the diagnostics of a document that is being decoded.
type Collector struct {
	Diagnostics Diagnostics
	// LaterFields has the fields that a later version of the format has, with that version: they are
	// reported as such.
	LaterFields map[string]int
}

// Scope is a table that is being decoded, with the path of its fields.
//
// The methods that read a field mark it as known, so that Done can report those that are not. Where
// a field is missing they return the default that is passed; where its value is invalid they report
// that, and return a valid value so that decoding can go on.
type Scope struct {
	*Collector
	Value *Value
	Path  string
}

// NewScope returns the scope of a whole document.
func NewScope(r *Collector, root *Value) Scope { return Scope{Collector: r, Value: root} }

// Decode parses a file and decodes it by a function that reads its root table. The error is
// Diagnostics.
func Decode[T any](file string, data []byte, read func(Scope) *T) (*T, error) {
	root, faults := Parse(file, data)
	if root == nil {
		return nil, faults.Err()
	}
	r := &Collector{Diagnostics: faults}
	decoded := read(NewScope(r, root))
	if err := r.Diagnostics.Err(); err != nil {
		return nil, err
	}
	return decoded, nil
}

// ReportAt reports a violation at a value.
func (r *Collector) ReportAt(at *Value, rule rules.ID, field, found, expect string) {
	r.Diagnostics = append(r.Diagnostics, Diagnostic{
		Place: at.Place, Rule: rule, Field: field, Found: found, Expect: expect,
	})
}

// FieldPath returns the path of a field.
func (s Scope) FieldPath(field string) string {
	if s.Path == "" {
		return field
	}
	return s.Path + "." + field
}

// ReportField reports a violation at a field or, where the table lacks the field, at the table.
func (s Scope) ReportField(rule rules.ID, field, expect string, args ...any) {
	at, found := s.Value, ""
	if v := s.Value.Fields[field]; v != nil {
		at, found = v, v.Describe()
		if v.Kind == Table || v.Kind == Array {
			found = ""
		}
	}
	s.ReportAt(at, rule, s.FieldPath(field), found, fmt.Sprintf(expect, args...))
}

// MarkKnown marks fields as known, whatever they hold.
func (s Scope) MarkKnown(fields ...string) {
	for _, field := range fields {
		s.Value.markKnown(field)
	}
}

// Get returns a field of a kind, or nil. A field of another kind is reported; an integer is a float
// too.
func (s Scope) Get(field string, want Kind) *Value {
	s.Value.markKnown(field)
	v := s.Value.Fields[field]
	if v == nil || v.Kind == want || want == Float && v.Kind == Integer {
		return v
	}
	s.ReportAt(v, rules.WrongType, s.FieldPath(field), v.Describe(), want.String()+" expected")
	return nil
}

// Has reports whether the table has a field.
func (s Scope) Has(field string) bool { return s.Value.Fields[field] != nil }

// Table returns the scope of a table; that of an empty one where the field is missing or no table.
func (s Scope) Table(field string) Scope {
	v := s.Get(field, Table)
	if v == nil {
		v = NewTable(s.Value.Place)
	}
	return Scope{Collector: s.Collector, Value: v, Path: s.FieldPath(field)}
}

// Tables returns the scopes of the tables in a table, in order, with their names.
func (s Scope) Tables(field string) (names []string, scopes []Scope) {
	table := s.Table(field)
	for _, name := range table.Value.Keys {
		if v := table.Get(name, Table); v != nil {
			names = append(names, name)
			scopes = append(scopes, Scope{Collector: s.Collector, Value: v, Path: table.FieldPath(name)})
		}
	}
	return names, scopes
}

// TableArray returns the scopes of an array of tables.
func (s Scope) TableArray(field string) []Scope {
	v := s.Get(field, Array)
	if v == nil {
		return nil
	}
	var scopes []Scope
	for i, item := range v.Items {
		path := fmt.Sprintf("%s[%d]", s.FieldPath(field), i+1)
		if item.Kind != Table {
			s.ReportAt(item, rules.WrongType, path, item.Describe(), "a table expected")
			continue
		}
		scopes = append(scopes, Scope{Collector: s.Collector, Value: item, Path: path})
	}
	return scopes
}

// ReportUnknown reports the fields of the table that are not known. It is called once all known fields have
// been read.
func (s Scope) ReportUnknown() {
	for _, field := range s.Value.Keys {
		if !s.Value.known[field] {
			s.reportUnknown(field)
		}
	}
}

// reportUnknown reports a field that is not known.
func (s Scope) reportUnknown(field string) {
	v := s.Value.Fields[field]
	if version := s.LaterFields[field]; version > 0 {
		s.ReportAt(v, rules.FieldVersion, s.FieldPath(field), "", fmt.Sprintf("known from version %d on", version))
		return
	}
	var known []string
	for name := range s.Value.known {
		known = append(known, name)
	}
	slices.Sort(known)
	expect := "unknown field; known here: " + strings.Join(known, ", ")
	if nearest := Nearest(field, known); nearest != "" {
		expect = "unknown field; " + nearest + " meant?"
	}
	s.ReportAt(v, rules.UnknownField, s.FieldPath(field), "", expect)
}
