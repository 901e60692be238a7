package tomldoc

import (
	"slices"
	"strconv"
)

// Kind is the type of a value.
type Kind int

// The types of values.
const (
	Table Kind = iota
	Array
	String
	Integer
	Float
	Bool
	DateTime // date or time; no format in this module has any
)

var kindNames = [...]string{
	"a table", "an array", "a string", "an integer", "a float", "a boolean", "a date or time",
}

// String returns the name of the type, with an article, as diagnostics have it.
func (k Kind) String() string { return kindNames[k] }

// Range is a range of bytes of a document, from From up to but excluding To.
type Range struct{ From, To int }

// Value is a value of a document with its place.
type Value struct {
	Kind   Kind
	Place  Place
	Text   string            // text of a scalar as written; strings are unquoted
	Items  []*Value          // items of an array
	Keys   []string          // names of the fields of a table, in order
	Fields map[string]*Value // fields of a table by name
	// Line is the range of the key, with its dotted parts, of a field on a line of its own. Line is
	// empty for other values.
	Line  Range
	Last  Range           // range of the last part of a field's key
	Raw   Range           // range of a scalar
	known map[string]bool // fields of a table that a decoder has read
	def   definition      // origin of a table or an array
}

// NewTable returns an empty table at a place.
func NewTable(at Place) *Value {
	return &Value{Kind: Table, Place: at, Fields: map[string]*Value{}}
}

// Set adds a field to a table, or replaces the field's value.
func (v *Value) Set(name string, to *Value) {
	if v.Fields[name] == nil {
		v.Keys = append(v.Keys, name)
	}
	v.Fields[name] = to
}

// Lookup follows a path of field names and of array indexes, which start at 1. Lookup returns the
// last value that exists on the path; found reports whether that value is the end of the path.
func (v *Value) Lookup(path ...string) (at *Value, found bool) {
	for _, part := range path {
		next := v.child(part)
		if next == nil {
			return v, false
		}
		v = next
	}
	return v, true
}

// child returns the field with a name or the item at an index, which starts at 1. child returns nil
// if there is none.
func (v *Value) child(part string) *Value {
	if v.Kind == Table {
		return v.Fields[part]
	}
	if n, err := strconv.Atoi(part); v.Kind == Array && err == nil && n >= 1 && n <= len(v.Items) {
		return v.Items[n-1]
	}
	return nil
}

// Clone returns a deep copy in which no field is marked as known. Scalars are shared because they
// are immutable.
func (v *Value) Clone() *Value {
	if v.Kind != Table && v.Kind != Array {
		return v
	}
	c := *v
	c.Items, c.Keys, c.Fields, c.known = nil, slices.Clone(v.Keys), nil, nil
	for _, item := range v.Items {
		c.Items = append(c.Items, item.Clone())
	}
	if v.Kind == Table {
		c.Fields = make(map[string]*Value, len(v.Fields))
		for name, field := range v.Fields {
			c.Fields[name] = field.Clone()
		}
	}
	return &c
}

// markKnown marks a field as known to the decoder.
func (v *Value) markKnown(field string) {
	if v.known == nil {
		v.known = make(map[string]bool, len(v.Fields))
	}
	v.known[field] = true
}

// Describe returns the text of the value in diagnostics.
func (v *Value) Describe() string {
	switch v.Kind {
	case String:
		return strconv.Quote(Truncate(v.Text))
	case Integer, Float, Bool:
		return Truncate(v.Text)
	default:
		return v.Kind.String()
	}
}

// maxTruncated is the length in bytes to which Truncate shortens a text.
const maxTruncated = 60

// Truncate shortens a long text for a diagnostic.
func Truncate(s string) string {
	if len(s) > maxTruncated {
		return s[:maxTruncated] + "..."
	}
	return s
}
