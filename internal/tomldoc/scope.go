package tomldoc

import (
	"fmt"
	"slices"
	"strings"

	"fernlanding/internal/rules"
)

// Collector collects the diagnostics of a document during decoding.
type Collector struct {
	Diagnostics Diagnostics
	// LaterFields maps the fields that only a later version of the format has to that version.
	// Unknown fields among them are reported with the version.
	LaterFields map[string]int
}

// Scope is a table during decoding, with the path of the table.
//
// The methods that read a field mark the field as known, so that ReportUnknown can report all other
// fields. For a missing field they return the given default. For an invalid value they report a
// violation and return a valid value, so that decoding can continue.
type Scope struct {
	*Collector
	Value *Value
	Path  string
}

// NewScope returns the scope of a whole document.
func NewScope(r *Collector, root *Value) Scope { return Scope{Collector: r, Value: root} }

// Decode parses a file and decodes the file with a function that reads the root table. The error
// is of type Diagnostics.
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

// ReportField reports a violation at a field or, if the field is missing, at the table. A violation
// of rules.Missing names the missing field.
func (s Scope) ReportField(rule rules.ID, field, expect string, args ...any) {
	at, found := s.Value, ""
	expect = fmt.Sprintf(expect, args...)
	if v := s.Value.Fields[field]; v != nil {
		at, found = v, v.Describe()
		if v.Kind == Table || v.Kind == Array {
			found = ""
		}
	} else if rule == rules.Missing {
		expect = fmt.Sprintf("missing field %q: %s", field, expect)
	}
	s.ReportAt(at, rule, s.FieldPath(field), found, expect)
}

// MarkKnown marks fields as known without reading them.
func (s Scope) MarkKnown(fields ...string) {
	for _, field := range fields {
		s.Value.markKnown(field)
	}
}

// Get returns the value of a field if it has a given type, and nil otherwise. A value of another
// type is reported. An integer is also accepted as a float.
func (s Scope) Get(field string, want Kind) *Value {
	s.Value.markKnown(field)
	v := s.Value.Fields[field]
	if v == nil || v.Kind == want || want == Float && v.Kind == Integer {
		return v
	}
	s.reportType(v, s.FieldPath(field), want)
	return nil
}

// reportType reports a value at a path that has another type than the wanted one.
func (s Scope) reportType(v *Value, path string, want Kind) {
	s.ReportAt(v, rules.WrongType, path, v.Describe(), "must be "+want.String())
}

// Has reports whether the table has a field.
func (s Scope) Has(field string) bool { return s.Value.Fields[field] != nil }

// Table returns the scope of a table. If the field is missing or is not a table, Table returns the
// scope of an empty table.
func (s Scope) Table(field string) Scope {
	v := s.Get(field, Table)
	if v == nil {
		v = NewTable(s.Value.Place)
	}
	return Scope{Collector: s.Collector, Value: v, Path: s.FieldPath(field)}
}

// Tables returns the names and scopes of all tables in a table, in order.
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

// TableArray returns the scopes of all tables in an array, in order.
func (s Scope) TableArray(field string) []Scope {
	v := s.Get(field, Array)
	if v == nil {
		return nil
	}
	var scopes []Scope
	for i, item := range v.Items {
		path := fmt.Sprintf("%s[%d]", s.FieldPath(field), i+1)
		if item.Kind != Table {
			s.reportType(item, path, Table)
			continue
		}
		scopes = append(scopes, Scope{Collector: s.Collector, Value: item, Path: path})
	}
	return scopes
}

// ReportUnknown reports all fields of the table that are not known. ReportUnknown must be called
// after all known fields have been read.
func (s Scope) ReportUnknown() {
	for _, field := range s.Value.Keys {
		if !s.Value.known[field] {
			s.reportUnknown(field)
		}
	}
}

// reportUnknown reports a field as unknown.
func (s Scope) reportUnknown(field string) {
	v := s.Value.Fields[field]
	if version := s.LaterFields[field]; version > 0 {
		expect := fmt.Sprintf("unknown field %q: requires version %d", Truncate(field), version)
		s.ReportAt(v, rules.FieldVersion, s.FieldPath(field), "", expect)
		return
	}
	var known []string
	for name := range s.Value.known {
		known = append(known, name)
	}
	slices.Sort(known)
	unknown := fmt.Sprintf("unknown field %q", Truncate(field))
	expect := WithSuggestion(unknown, field, known)
	if expect == unknown {
		expect += "; known fields: " + strings.Join(known, ", ")
	}
	s.ReportAt(v, rules.UnknownField, s.FieldPath(field), "", expect)
}
