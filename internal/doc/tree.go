// Package doc reads a TOML document into a tree with the place of every value, and gathers what is wrong with it. It is
// pure.
package doc

import (
	"errors"
	"slices"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"

	"fernlanding/internal/rules"
)

// Kind is a kind of value.
type Kind int

// The kinds of value.
const (
	Table Kind = iota
	Array
	String
	Integer
	Float
	Bool
	Other // dates and times, for which there is no use here
)

var kindNames = [...]string{"a table", "an array", "a string", "an integer", "a float", "a boolean", "a date or time"}

// String is the kind as a fault words it.
func (k Kind) String() string { return kindNames[k] }

// Range is bytes of the document, To not included.
type Range struct{ From, To int }

// Value is one value of a document and where it stands.
type Value struct {
	Kind   Kind
	Place  Place
	Text   string   // of a scalar: as it stands, a string decoded
	Items  []*Value // of an array
	Keys   []string // of a table, in order
	Fields map[string]*Value
	Line   Range // of a field that stands on a line of its own: its key, dotted parts included; else empty
	Last   Range // of a field: its key's last part
	Raw    Range // of a scalar
	taken  map[string]bool
}

// NewTable returns an empty table.
func NewTable(at Place) *Value {
	return &Value{Kind: Table, Place: at, Fields: map[string]*Value{}, taken: map[string]bool{}}
}

// Set adds a field to a table, or puts another value in its place.
func (v *Value) Set(name string, to *Value) {
	if v.Fields[name] == nil {
		v.Keys = append(v.Keys, name)
	}
	v.Fields[name] = to
}

// At follows names, and numbers from 1 into arrays, as far as they lead. all tells whether they led to the end.
func (v *Value) At(path ...string) (at *Value, all bool) {
	for _, p := range path {
		var next *Value
		switch v.Kind {
		case Table:
			next = v.Fields[p]
		case Array:
			if n, err := strconv.Atoi(p); err == nil && n >= 1 && n <= len(v.Items) {
				next = v.Items[n-1]
			}
		}
		if next == nil {
			return v, false
		}
		v = next
	}
	return v, true
}

// Clone returns a deep copy in which no field has been asked for.
func (v *Value) Clone() *Value {
	c := *v
	c.Items, c.Keys, c.Fields, c.taken = nil, slices.Clone(v.Keys), nil, nil
	for _, i := range v.Items {
		c.Items = append(c.Items, i.Clone())
	}
	if v.Kind == Table {
		c.Fields, c.taken = make(map[string]*Value, len(v.Fields)), map[string]bool{}
		for k, f := range v.Fields {
			c.Fields[k] = f.Clone()
		}
	}
	return &c
}

// Parse reads a TOML document. It is nil when there are faults that leave nothing to read; others, which a version of a
// format may tolerate, come beside it.
func Parse(file string, data []byte) (*Value, Faults) {
	faults, fatal := scan(file, data)
	if fatal {
		return nil, faults
	}
	// go-toml judges whether it is a document; the tree adds where each value stands, which its decoder does not tell.
	var any map[string]any
	if err := toml.Unmarshal(data, &any); err != nil {
		return nil, append(faults, syntax(file, data, err))
	}
	b := builder{root: NewTable(Place{file, 1, 1}), file: file, lines: []int{0}}
	for i, c := range data {
		if c == '\n' {
			b.lines = append(b.lines, i+1)
		}
	}
	b.p.Reset(data)
	in := b.root
	for b.p.NextExpression() {
		switch e := b.p.Expression(); e.Kind {
		case unstable.Table:
			in = b.descend(b.root, e.Key(), false)
		case unstable.ArrayTable:
			in = b.descend(b.root, e.Key(), true)
		case unstable.KeyValue:
			b.keyValue(in, e, true)
		}
	}
	if err := b.p.Error(); err != nil { // Unmarshal has judged
		return nil, append(faults, syntax(file, data, err))
	}
	return b.root, faults
}

func syntax(file string, data []byte, err error) Fault {
	f := Fault{Place: Place{File: file}, Rule: rules.Syntax, Expect: strings.TrimPrefix(err.Error(), "toml: ")}
	f.Expect = strings.Join(strings.FieldsFunc(f.Expect, func(r rune) bool { return r < ' ' || r == 0x7f }), " ")
	var de *toml.DecodeError
	if errors.As(err, &de) {
		f.Line, f.Col = de.Position()
		f.Field = strings.Join(de.Key(), ".")
	}
	if strings.Contains(f.Expect, "already") { // a key or a table: of go-toml's messages these alone have the word
		f.Rule = rules.DoubleField
	}
	return f
}

type builder struct {
	p     unstable.Parser
	file  string
	root  *Value
	lines []int // offsets at which lines begin
}

func (b *builder) at(r unstable.Range) Place {
	line, _ := slices.BinarySearch(b.lines, int(r.Offset)+1)
	return Place{b.file, line, int(r.Offset) - b.lines[line-1] + 1}
}

func bytesOf(r unstable.Range) Range { return Range{int(r.Offset), int(r.Offset) + int(r.Length)} }

// descend goes from a table along a dotted key, and makes what is not there. At its end stands a table, or with
// array the new last table of an array.
func (b *builder) descend(in *Value, key unstable.Iterator, array bool) *Value {
	for key.Next() {
		n := key.Node()
		at := b.at(n.Raw)
		name, last := string(n.Data), key.IsLast()
		next := in.Fields[name]
		if next == nil {
			next = NewTable(at)
			if array && last {
				next = &Value{Kind: Array, Place: at}
			}
			in.Set(name, next)
		}
		if next.Kind == Array {
			if array && last {
				next.Items = append(next.Items, NewTable(at))
			}
			next = next.Items[len(next.Items)-1]
		} else if last {
			next.Place = at // its own header, not that of a table in it
		}
		in = next
	}
	return in
}

func (b *builder) keyValue(in *Value, e *unstable.Node, line bool) {
	key := e.Key()
	var name string
	var at Place
	var whole, last Range
	for key.Next() {
		n := key.Node()
		at, last = b.at(n.Raw), bytesOf(n.Raw)
		if whole.To == 0 {
			whole.From = last.From
		}
		whole.To = last.To
		if name = string(n.Data); key.IsLast() {
			break
		}
		if in.Fields[name] == nil {
			in.Set(name, NewTable(at))
		}
		in = in.Fields[name]
	}
	v := b.value(e.Value(), at)
	if v.Last = last; line {
		v.Line = whole
	}
	in.Set(name, v)
}

// value builds one value; where it does not tell its place, it stands at its key's.
func (b *builder) value(n *unstable.Node, at Place) *Value {
	v := &Value{Place: at, Text: string(n.Data)}
	if n.Raw.Length > 0 {
		v.Place, v.Raw = b.at(n.Raw), bytesOf(n.Raw)
	}
	switch n.Kind {
	case unstable.String:
		v.Kind = String
	case unstable.Integer:
		v.Kind = Integer
	case unstable.Float:
		v.Kind = Float
	case unstable.Bool:
		v.Kind = Bool
	case unstable.Array:
		v.Kind = Array
		for it := n.Children(); it.Next(); {
			v.Items = append(v.Items, b.value(it.Node(), at))
		}
	case unstable.InlineTable:
		v = NewTable(v.Place)
		for it := n.Children(); it.Next(); {
			b.keyValue(v, it.Node(), false)
		}
	default:
		v.Kind = Other
	}
	return v
}

// Say is a value as a fault words it.
func (v *Value) Say() string {
	switch v.Kind {
	case String:
		return strconv.Quote(Clip(v.Text))
	case Integer, Float, Bool:
		return Clip(v.Text)
	}
	return v.Kind.String()
}

// Clip shortens a text that stands in a fault.
func Clip(s string) string {
	if len(s) > 60 {
		return s[:60] + "..."
	}
	return s
}
