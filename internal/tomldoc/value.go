package tomldoc

import (
	"slices"
	"strconv"
)

// Kind is the kind of a value.
type Kind int

// The kinds of values.
const (
	Table Kind = iota
	Array
	String
	Integer
	Float
	Bool
	DateTime // dates and times, which no format here has
)

var kindNames = [...]string{
	"a table", "an array", "a string", "an integer", "a float", "a boolean", "a date or time",
}

// String returns the kind as diagnostics have it.
func (k Kind) String() string { return kindNames[k] }

// Range is a range of bytes of a document, To excluded.
type Range struct{ From, To int }

// Value is one value of a document and its place.
type Value struct {
	Kind   Kind
	Place  Place
	Text   string   // of a scalar: as it is written; a string is unquoted
	Items  []*Value // of an array
	Keys   []string // of a table, in order
	Fields map[string]*Value
	// Line is the key, with its dotted parts, of a field that has a line of its own; else empty.
	Line  Range
	Last  Range           // of a field: the last part of its key
	Raw   Range           // of a scalar
	known map[string]bool // fields of a table that a decoder has asked for
	def   definition      // of a table or an array
}

// NewTable returns an empty table.
func NewTable(at Place) *Value {
	return &Value{Kind: Table, Place: at, Fields: map[string]*Value{}}
}

// Set adds a field to a table, or replaces its value.
func (v *Value) Set(name string, to *Value) {
	if v.Fields[name] == nil {
		v.Keys = append(v.Keys, name)
	}
	v.Fields[name] = to
}

// Lookup follows a path of names, and of indexes from 1 into arrays, as far as it leads. found reports
// whether it led to the end.
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

// child returns the field of a name, or the item of an index from 1; nil: there is none.
func (v *Value) child(part string) *Value {
	if v.Kind == Table {
		return v.Fields[part]
	}
	if n, err := strconv.Atoi(part); v.Kind == Array && err == nil && n >= 1 && n <= len(v.Items) {
		return v.Items[n-1]
	}
	return nil
}

// Clone returns a deep copy in which no field is marked as known. Scalars, which do not change, are
// shared.
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

// markKnown notes that a decoder has asked for a field.
func (v *Value) markKnown(field string) {
	if v.known == nil {
		v.known = make(map[string]bool, len(v.Fields))
	}
	v.known[field] = true
}

// Describe returns the value as diagnostics have it.
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

// maxClipped is the length in bytes of a clipped text.
const maxClipped = 60

// Truncate shortens a text for a diagnostic.
func Truncate(s string) string {
	if len(s) > maxClipped {
		return s[:maxClipped] + "..."
	}
	return s
}
