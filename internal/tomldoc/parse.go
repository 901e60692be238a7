// Package tomldoc parses a TOML document into a tree of values with their places, and decodes the
// tree field by field while collecting all violations of rules. The package is pure: it does no
// I/O.
//
// [Parse] returns the tree, a [Scope] decodes one table of the tree, and a [Diagnostic] is one
// violation.
package tomldoc

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"fernlanding/internal/rules"

	"github.com/pelletier/go-toml/v2/unstable"
)

// Parse parses a TOML document. Parse returns a nil value if the document can't be decoded.
// Diagnostics beside a value are violations that a version of a format may tolerate.
//
// The parser of go-toml checks the syntax. Parse itself checks numbers and duplicate definitions,
// because the decoder of go-toml, which also checks them, takes time quadratic in the number of
// tables. Dates are not checked, because no format in this module has any.
func Parse(file string, data []byte) (*Value, Diagnostics) {
	faults, fatal := scan(file, data)
	if fatal {
		return nil, faults
	}
	b := newBuilder(file, data)
	b.run()
	if b.fault != nil {
		return nil, append(faults, *b.fault)
	}
	return b.root, faults
}

// definition is how a table was defined. The definition decides whether the table may be defined
// again or extended (TOML 1.0, "Table").
type definition int

const (
	byPath   definition = iota // implicitly, on the path of a header; a header may still define the table
	byHeader                   // [table], or an item of [[table]]
	byDots                     // by a dotted key; other dotted keys, and headers below the table, may extend it
	inline                     // inline; nothing may extend the table
	byArray                    // array of tables by [[table]]; nothing may extend other arrays
)

// builder builds the tree of a document and stops at the first violation.
type builder struct {
	parser    unstable.Parser
	file      string
	data      []byte
	root      *Value
	lineStart []int       // offsets of the starts of lines
	fault     *Diagnostic // first violation; nil means none
}

func newBuilder(file string, data []byte) *builder {
	root := NewTable(Place{File: file, Line: 1, Col: 1})
	root.def = byHeader
	b := &builder{file: file, data: data, root: root, lineStart: []int{0}}
	for i, c := range data {
		if c == '\n' {
			b.lineStart = append(b.lineStart, i+1)
		}
	}
	b.parser.Reset(data)
	return b
}

// run builds the tree.
func (b *builder) run() {
	table := b.root
	for b.fault == nil && b.parser.NextExpression() {
		expression := b.parser.Expression()
		switch expression.Kind {
		case unstable.Table:
			table = b.header(expression.Key(), false)
		case unstable.ArrayTable:
			table = b.header(expression.Key(), true)
		case unstable.KeyValue:
			b.keyValue(table, expression, true)
		default: // the parser skips comments and has no other expressions
		}
	}
	if b.fault == nil && b.parser.Error() != nil {
		b.fault = b.syntaxError(b.parser.Error())
	}
}

// syntaxError returns the diagnostic for an error of the parser.
func (b *builder) syntaxError(err error) *Diagnostic {
	d := &Diagnostic{
		Place: Place{File: b.file}, Rule: rules.Syntax, Expect: strings.TrimPrefix(err.Error(), "toml: "),
	}
	var parserErr *unstable.ParserError
	if errors.As(err, &parserErr) {
		d.Expect, d.Field = parserErr.Message, strings.Join(parserErr.Key, ".")
		if r := b.parser.Range(parserErr.Highlight); int(r.Offset) <= len(b.data) {
			d.Place = b.place(r)
		}
	}
	words := strings.FieldsFunc(d.Expect, func(r rune) bool { return r < ' ' || r == 0x7f })
	d.Expect = strings.Join(words, " ")
	return d
}

// report reports a violation unless one has been reported.
func (b *builder) report(at Place, rule rules.ID, name, expect string) {
	if b.fault == nil {
		b.fault = &Diagnostic{Place: at, Rule: rule, Field: name, Expect: expect}
	}
}

// reportDuplicate reports a second definition of a value.
func (b *builder) reportDuplicate(at Place, name string, old *Value) {
	b.report(at, rules.DoubleField, name,
		fmt.Sprintf("duplicate key %q: already defined in line %d", Truncate(name), old.Place.Line))
}

// place returns the place of the start of a range.
func (b *builder) place(r unstable.Range) Place {
	offset := int(r.Offset)
	line, _ := slices.BinarySearch(b.lineStart, offset+1)
	return Place{File: b.file, Line: line, Col: offset - b.lineStart[line-1] + 1}
}

// rangeOf converts a range of the parser.
func rangeOf(r unstable.Range) Range {
	return Range{From: int(r.Offset), To: int(r.Offset) + int(r.Length)}
}

// header returns the table that a header defines: a table or, if array is set, a new last item of
// an array of tables. header creates missing tables on the path.
func (b *builder) header(key unstable.Iterator, array bool) *Value {
	table := b.root
	for key.Next() {
		node := key.Node()
		next := b.descend(table, string(node.Data), b.place(node.Raw), key.IsLast(), array)
		if next == nil {
			return table
		}
		table = next
	}
	return table
}

// descend returns the table for one part of a header's key, or nil if the header must not define or
// extend that table.
func (b *builder) descend(table *Value, name string, at Place, last, array bool) *Value {
	next := table.Fields[name]
	switch {
	case next == nil:
		next = newHeaderValue(at, last, array)
		table.Set(name, next)
	case !next.allowsHeader(last, array):
		b.reportDuplicate(at, name, next)
		return nil
	case last && !array:
		next.def, next.Place = byHeader, at // replaces the place of the header of a table below
	}
	if next.Kind != Array {
		return next
	}
	if array && last {
		item := NewTable(at)
		item.def = byHeader
		next.Items = append(next.Items, item)
	}
	return next.Items[len(next.Items)-1]
}

// newHeaderValue returns the new value for a part of a header's key: an array of tables, a table,
// or a table on the path.
func newHeaderValue(at Place, last, array bool) *Value {
	if last && array {
		return &Value{Kind: Array, Place: at, def: byArray}
	}
	table := NewTable(at)
	if last {
		table.def = byHeader
	}
	return table
}

// allowsHeader reports whether a header may define the value or, if array is set, append to it. If
// the value is not for the last part of the header's key, allowsHeader reports whether the header
// may define something in the value.
func (v *Value) allowsHeader(last, array bool) bool {
	switch {
	case last && array:
		return v.def == byArray
	case last:
		return v.Kind == Table && v.def == byPath
	}
	return v.def == byArray || v.Kind == Table && v.def != inline
}

// keyValue adds a field to a table. ownLine is set if the field is on a line of its own.
func (b *builder) keyValue(table *Value, expression *unstable.Node, ownLine bool) {
	key := expression.Key()
	var name string
	var at Place
	var whole, last Range
	for key.Next() {
		node := key.Node()
		name, at, last = string(node.Data), b.place(node.Raw), rangeOf(node.Raw)
		if whole.To == 0 {
			whole.From = last.From
		}
		whole.To = last.To
		next := table.Fields[name]
		if key.IsLast() {
			if next != nil {
				b.reportDuplicate(at, name, next)
				return
			}
			break
		}
		if next == nil {
			next = NewTable(at)
			next.def = byDots
			table.Set(name, next)
		} else if next.Kind != Table || next.def != byDots {
			b.reportDuplicate(at, name, next)
			return
		}
		table = next
	}
	value := b.value(expression.Value(), at)
	value.Last = last
	if ownLine {
		value.Line = whole
	}
	table.Set(name, value)
}

// value builds one value. If the parser has no place for the value, the value gets the place of the
// key.
func (b *builder) value(node *unstable.Node, key Place) *Value {
	v := &Value{Place: key, Text: string(node.Data)}
	if node.Raw.Length > 0 {
		v.Place, v.Raw = b.place(node.Raw), rangeOf(node.Raw)
	}
	switch node.Kind {
	case unstable.String:
		v.Kind = String
	case unstable.Integer:
		v.Kind = Integer
		if reason := integerError(v.Text); reason != "" {
			b.report(v.Place, rules.Syntax, "", reason)
		}
	case unstable.Float:
		v.Kind = Float
		if !isFloat(v.Text) {
			b.report(v.Place, rules.Syntax, "", fmt.Sprintf("invalid float %q", Truncate(v.Text)))
		}
	case unstable.Bool:
		v.Kind = Bool
	case unstable.Array:
		v.Kind = Array
		for items := node.Children(); items.Next(); {
			v.Items = append(v.Items, b.value(items.Node(), key))
		}
	case unstable.InlineTable:
		v = NewTable(v.Place)
		v.def = inline
		for fields := node.Children(); fields.Next(); {
			b.keyValue(v, fields.Node(), false)
		}
	default:
		v.Kind = DateTime
	}
	return v
}
