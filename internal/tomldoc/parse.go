// Package tomldoc parses a TOML document into a tree with the place of every value, and decodes the
// tree field by field while it collects all violations of rules. It is pure.
//
// Parse returns the tree; a [Scope] decodes one of its tables; a [Diagnostic] is one violation.
package tomldoc

import (
	"errors"
	"slices"
	"strconv"
	"strings"

	"fernlanding/internal/rules"

	"github.com/pelletier/go-toml/v2/unstable"
)

// Parse parses a TOML document. The value is nil where the diagnostics leave nothing to decode;
// others, which a version of a format may tolerate, come beside it. go-toml's parser checks the
// syntax. What its decoder would check beyond that, in a time that grows with the square of the
// tables, is checked here: what is defined twice, and numbers. Dates are not checked, since no
// format here has any.
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

// definition is how a table came to be. It decides whether the table may be defined or added to
// again (TOML 1.0, "Table").
type definition int

const (
	byPath   definition = iota // on the path to a header's table: a header may still define it
	byHeader                   // [table], or one of an array of them
	byDots                     // on the path to a dotted key: other dotted keys and headers below may add to it
	inline                     // complete as it is written
	byArray                    // of an array: [[table]]; other arrays are complete as they are written
)

// builder builds the tree of a document up to the first violation.
type builder struct {
	parser    unstable.Parser
	file      string
	data      []byte
	root      *Value
	lineStart []int // offsets at which lines begin
	fault     *Diagnostic
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
		default: // the parser leaves comments out, and has no other expressions
		}
	}
	if b.fault == nil && b.parser.Error() != nil {
		b.fault = b.syntaxError(b.parser.Error())
	}
}

// syntaxError returns the diagnostic of an error of the parser.
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

// report reports a violation, unless there is one already.
func (b *builder) report(at Place, rule rules.ID, name, expect string) {
	if b.fault == nil {
		b.fault = &Diagnostic{Place: at, Rule: rule, Field: name, Expect: expect}
	}
}

// reportTwice reports a value that is defined twice.
func (b *builder) reportTwice(at Place, name string, old *Value) {
	b.report(at, rules.DoubleField, name, "it stands in line "+strconv.Itoa(old.Place.Line)+" already")
}

// place returns the place at which a range begins.
func (b *builder) place(r unstable.Range) Place {
	offset := int(r.Offset)
	line, _ := slices.BinarySearch(b.lineStart, offset+1)
	return Place{File: b.file, Line: line, Col: offset - b.lineStart[line-1] + 1}
}

func rangeOf(r unstable.Range) Range {
	return Range{From: int(r.Offset), To: int(r.Offset) + int(r.Length)}
}

// header returns the table that a header defines, or with array the new last table of an array. It
// creates the tables on the path that do not exist yet.
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

// descend returns the table of one part of a header's key; nil where the header must not define or
// add to it.
func (b *builder) descend(table *Value, name string, at Place, last, array bool) *Value {
	next := table.Fields[name]
	switch {
	case next == nil:
		next = newHeaderValue(at, last, array)
		table.Set(name, next)
	case !next.allowsHeader(last, array):
		b.reportTwice(at, name, next)
		return nil
	case last && !array:
		next.def, next.Place = byHeader, at // the place of its own header, not of that of a table in it
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

// newHeaderValue returns the value that a part of a header's key defines: an array, a table, or a
// table on the path.
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

// allowsHeader reports whether a header may define the value, or with array add to it; if its key's
// part is not the last, whether the header may be of something in it.
func (v *Value) allowsHeader(last, array bool) bool {
	switch {
	case last && array:
		return v.def == byArray
	case last:
		return v.Kind == Table && v.def == byPath
	}
	return v.def == byArray || v.Kind == Table && v.def != inline
}

// keyValue adds a field to a table; ownLine says that it has a line of its own.
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
				b.reportTwice(at, name, next)
				return
			}
			break
		}
		if next == nil {
			next = NewTable(at)
			next.def = byDots
			table.Set(name, next)
		} else if next.Kind != Table || next.def != byDots {
			b.reportTwice(at, name, next)
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

// value builds one value. Where the parser has no place for it, its place is that of its key.
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
		if problem := integerProblem(v.Text); problem != "" {
			b.report(v.Place, rules.Syntax, "", problem)
		}
	case unstable.Float:
		v.Kind = Float
		if !isFloat(v.Text) {
			b.report(v.Place, rules.Syntax, "", "not a float: "+Truncate(v.Text))
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
