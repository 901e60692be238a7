// Package tomldoc reads a TOML document into a tree with the place of every value, and gathers what is wrong with it. It is
// pure.
package tomldoc

import (
	"errors"
	"fernlanding/internal/rules"
	"slices"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
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
	def    definition
}

// NewTable returns an empty table.
func NewTable(at Place) *Value {
	return &Value{Kind: Table, Place: at, Fields: map[string]*Value{}}
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

// Clone returns a deep copy in which no field has been asked for. Scalars, which do not change, are shared.
func (v *Value) Clone() *Value {
	if v.Kind != Table && v.Kind != Array {
		return v
	}
	c := *v
	c.Items, c.Keys, c.Fields, c.taken = nil, slices.Clone(v.Keys), nil, nil
	for _, i := range v.Items {
		c.Items = append(c.Items, i.Clone())
	}
	if v.Kind == Table {
		c.Fields = make(map[string]*Value, len(v.Fields))
		for k, f := range v.Fields {
			c.Fields[k] = f.Clone()
		}
	}
	return &c
}

// take notes that a field was asked for.
func (v *Value) take(field string) {
	if v.taken == nil {
		v.taken = make(map[string]bool, len(v.Fields))
	}
	v.taken[field] = true
}

// Parse reads a TOML document. It is nil when there are faults that leave nothing to read; others, which a version of a
// format may tolerate, come beside it. go-toml's parser reads the syntax; what its decoder would judge beyond that, and
// takes a time for that grows with the square of the tables, is judged here: what is defined twice, and numbers. Dates
// are not judged, since no format has any.
func Parse(file string, data []byte) (*Value, Diagnostics) {
	faults, fatal := scan(file, data)
	if fatal {
		return nil, faults
	}
	b := builder{root: NewTable(Place{file, 1, 1}), file: file, data: data, lines: []int{0}}
	b.root.def = byHeader
	for i, c := range data {
		if c == '\n' {
			b.lines = append(b.lines, i+1)
		}
	}
	b.p.Reset(data)
	in := b.root
	for b.fault == nil && b.p.NextExpression() {
		switch e := b.p.Expression(); e.Kind {
		case unstable.Table:
			in = b.descend(b.root, e.Key(), false)
		case unstable.ArrayTable:
			in = b.descend(b.root, e.Key(), true)
		case unstable.KeyValue:
			b.keyValue(in, e, true)
		}
	}
	if b.fault == nil {
		if err := b.p.Error(); err != nil {
			f := b.syntax(err)
			b.fault = &f
		}
	}
	if b.fault != nil {
		return nil, append(faults, *b.fault)
	}
	return b.root, faults
}

// syntax is what the parser objects to.
func (b *builder) syntax(err error) Diagnostic {
	f := Diagnostic{Place: Place{File: b.file}, Rule: rules.Syntax, Expect: strings.TrimPrefix(err.Error(), "toml: ")}
	var pe *unstable.ParserError
	if errors.As(err, &pe) {
		f.Expect, f.Field = pe.Message, strings.Join(pe.Key, ".")
		if r := b.p.Range(pe.Highlight); int(r.Offset) <= len(b.data) {
			f.Place = b.at(r)
		}
	}
	f.Expect = strings.Join(strings.FieldsFunc(f.Expect, func(r rune) bool { return r < ' ' || r == 0x7f }), " ")
	return f
}

// definition is how a table came to be; it decides whether it may be defined or added to again (TOML 1.0, "Table").
type definition int

const (
	byPath   definition = iota // on the way to a header's table: a header may still define it
	byHeader                   // [table], or one of an array of them
	byDots                     // on the way to a dotted key: other dotted keys and headers below may add to it
	inline                     // whole as it stands
	byArray                    // of an array: [[table]]; others are whole as they stand
)

type builder struct {
	p     unstable.Parser
	file  string
	data  []byte
	root  *Value
	lines []int // offsets at which lines begin
	fault *Diagnostic
}

func (b *builder) bad(at Place, rule rules.ID, name, expect string) {
	if b.fault == nil {
		b.fault = &Diagnostic{Place: at, Rule: rule, Field: name, Expect: expect}
	}
}

// twice is the fault of what stands there already.
func (b *builder) twice(at Place, name string, old *Value) {
	b.bad(at, rules.DoubleField, name, "it stands in line "+strconv.Itoa(old.Place.Line)+" already")
}

func (b *builder) at(r unstable.Range) Place {
	line, _ := slices.BinarySearch(b.lines, int(r.Offset)+1)
	return Place{b.file, line, int(r.Offset) - b.lines[line-1] + 1}
}

func bytesOf(r unstable.Range) Range { return Range{int(r.Offset), int(r.Offset) + int(r.Length)} }

// descend goes from a table along a header's key, and makes what is not there. At its end stands a table that the header
// defines, or with array the new last table of an array.
func (b *builder) descend(in *Value, key unstable.Iterator, array bool) *Value {
	for key.Next() {
		n := key.Node()
		at := b.at(n.Raw)
		name, last := string(n.Data), key.IsLast()
		next := in.Fields[name]
		switch {
		case next == nil:
			next = NewTable(at)
			if array && last {
				next = &Value{Kind: Array, Place: at, def: byArray}
			} else if last {
				next.def = byHeader
			}
			in.Set(name, next)
		case last && !array:
			if next.Kind != Table || next.def != byPath {
				b.twice(at, name, next)
				return in
			}
			next.def, next.Place = byHeader, at // its own header, not that of a table in it
		case last && next.def != byArray, next.Kind != Table && next.def != byArray, next.def == inline:
			b.twice(at, name, next)
			return in
		}
		if next.Kind == Array {
			if array && last {
				t := NewTable(at)
				t.def = byHeader
				next.Items = append(next.Items, t)
			}
			next = next.Items[len(next.Items)-1]
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
		name = string(n.Data)
		next := in.Fields[name]
		if key.IsLast() {
			if next != nil {
				b.twice(at, name, next)
				return
			}
			break
		}
		if next == nil {
			next = NewTable(at)
			next.def = byDots
			in.Set(name, next)
		} else if next.Kind != Table || next.def != byDots {
			b.twice(at, name, next)
			return
		}
		in = next
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
		if why := notInteger(v.Text); why != "" {
			b.bad(v.Place, rules.Syntax, "", why)
		}
	case unstable.Float:
		v.Kind = Float
		if !isFloat(v.Text) {
			b.bad(v.Place, rules.Syntax, "", "not a float: "+Clip(v.Text))
		}
	case unstable.Bool:
		v.Kind = Bool
	case unstable.Array:
		v.Kind = Array
		for it := n.Children(); it.Next(); {
			v.Items = append(v.Items, b.value(it.Node(), at))
		}
	case unstable.InlineTable:
		v = NewTable(v.Place)
		v.def = inline
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

// notInteger says why a text is no integer of TOML 1.0, or nothing.
func notInteger(s string) string {
	digits := strings.TrimLeft(s, "+-")
	base, signed := 10, len(digits) != len(s)
	if len(digits) > 1 && digits[0] == '0' {
		switch digits[1] {
		case 'x':
			base = 16
		case 'o':
			base = 8
		case 'b':
			base = 2
		default:
			return "an integer begins with no zero: " + Clip(s)
		}
		digits = digits[2:]
	}
	if len(s)-len(digits) > 1 && base == 10 || signed && base != 10 || !grouped(digits) {
		return "not an integer: " + Clip(s)
	}
	text := strings.ReplaceAll(digits, "_", "")
	if strings.HasPrefix(s, "-") {
		text = "-" + text
	}
	if _, err := strconv.ParseInt(text, base, 64); err != nil {
		if errors.Is(err, strconv.ErrRange) {
			return "an integer beyond 64 bits: " + Clip(s)
		}
		return "not an integer: " + Clip(s)
	}
	return ""
}

// grouped tells whether underscores stand between two digits alone.
func grouped(s string) bool {
	return s != "" && s[0] != '_' && s[len(s)-1] != '_' && !strings.Contains(s, "__")
}

// isFloat tells whether a text is a float of TOML 1.0.
func isFloat(s string) bool {
	body := s
	if strings.HasPrefix(s, "+") || strings.HasPrefix(s, "-") {
		body = s[1:]
	}
	if body == "inf" || body == "nan" {
		return true
	}
	mantissa, exponent, isExp := strings.Cut(strings.ToLower(body), "e")
	whole, part, hasPart := strings.Cut(mantissa, ".")
	if isExp {
		if strings.HasPrefix(exponent, "+") || strings.HasPrefix(exponent, "-") {
			exponent = exponent[1:]
		}
		if !decimal(exponent) {
			return false
		}
	}
	if !decimal(whole) || len(whole) > 1 && whole[0] == '0' || hasPart && !decimal(part) || !hasPart && !isExp {
		return false
	}
	_, err := strconv.ParseFloat(strings.ReplaceAll(body, "_", ""), 64) // beyond 64 bits
	return err == nil
}

func decimal(s string) bool {
	return grouped(s) && strings.Trim(s, "0123456789_") == ""
}
