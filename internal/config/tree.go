package config

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// The kinds of value in a tree.
type kind int

const (
	kindTable kind = iota
	kindArray
	kindString
	kindInteger
	kindFloat
	kindBool
	kindOther // dates and times, for which there is no use here
)

var kindNames = [...]string{"a table", "an array", "a string", "an integer", "a float", "a boolean", "a date or time"}

// value is one value of a file and where it stands.
type value struct {
	kind      kind
	line, col int
	text      string   // of a scalar: as it stands, a string decoded
	items     []*value // of an array
	keys      []string // of a table, in order
	fields    map[string]*value
	taken     map[string]bool // the fields that were asked for
}

func newTable(line, col int) *value {
	return &value{kind: kindTable, line: line, col: col, fields: map[string]*value{}, taken: map[string]bool{}}
}

// parse reads a TOML document into a tree. go-toml judges whether it is one; the tree adds where each value stands,
// which its decoder does not tell.
func parse(file string, data []byte) (*value, error) {
	var any map[string]any
	if err := toml.Unmarshal(data, &any); err != nil {
		f := Fault{File: file, Expect: strings.TrimPrefix(err.Error(), "toml: ")}
		var de *toml.DecodeError
		if errors.As(err, &de) {
			f.Line, f.Col = de.Position()
			f.Field = strings.Join(de.Key(), ".")
		}
		return nil, Faults{f}
	}
	b := builder{root: newTable(1, 1), data: data, lines: []int{0}}
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
			b.keyValue(in, e)
		}
	}
	if err := b.p.Error(); err != nil { // Unmarshal has judged
		return nil, Faults{{File: file, Expect: err.Error()}}
	}
	return b.root, nil
}

type builder struct {
	p     unstable.Parser
	root  *value
	data  []byte
	lines []int // offsets at which lines begin
}

func (b *builder) at(r unstable.Range) (line, col int) {
	line, _ = slices.BinarySearch(b.lines, int(r.Offset)+1)
	return line, int(r.Offset) - b.lines[line-1] + 1
}

// descend goes from a table along a dotted key, and makes what is not there. At its end stands a table, or with
// array the new last table of an array.
func (b *builder) descend(in *value, key unstable.Iterator, array bool) *value {
	for key.Next() {
		n := key.Node()
		line, col := b.at(n.Raw)
		name, last := string(n.Data), key.IsLast()
		next := in.fields[name]
		if next == nil {
			next = newTable(line, col)
			if array && last {
				next = &value{kind: kindArray, line: line, col: col}
			}
			in.set(name, next)
		}
		if next.kind == kindArray {
			if array && last {
				next.items = append(next.items, newTable(line, col))
			}
			next = next.items[len(next.items)-1]
		}
		in = next
	}
	return in
}

func (v *value) set(name string, to *value) {
	v.keys = append(v.keys, name)
	v.fields[name] = to
}

func (b *builder) keyValue(in *value, e *unstable.Node) {
	key := e.Key()
	var name string
	var line, col int
	for key.Next() {
		n := key.Node()
		line, col = b.at(n.Raw)
		if name = string(n.Data); key.IsLast() {
			break
		}
		if in.fields[name] == nil {
			in.set(name, newTable(line, col))
		}
		in = in.fields[name]
	}
	in.set(name, b.value(e.Value(), line, col))
}

// value builds one value; where it does not tell its place, it stands at its key's.
func (b *builder) value(n *unstable.Node, line, col int) *value {
	if n.Raw.Length > 0 {
		line, col = b.at(n.Raw)
	}
	v := &value{line: line, col: col, text: string(n.Data)}
	switch n.Kind {
	case unstable.String:
		v.kind = kindString
	case unstable.Integer:
		v.kind = kindInteger
	case unstable.Float:
		v.kind = kindFloat
	case unstable.Bool:
		v.kind = kindBool
	case unstable.Array:
		v.kind = kindArray
		for it := n.Children(); it.Next(); {
			v.items = append(v.items, b.value(it.Node(), line, col))
		}
	case unstable.InlineTable:
		v = newTable(line, col)
		for it := n.Children(); it.Next(); {
			b.keyValue(v, it.Node())
		}
	default:
		v.kind = kindOther
	}
	return v
}

// say is a value as a fault words it.
func (v *value) say() string {
	switch v.kind {
	case kindString:
		return strconv.Quote(clip(v.text))
	case kindInteger, kindFloat, kindBool:
		return clip(v.text)
	}
	return kindNames[v.kind]
}

func clip(s string) string {
	if len(s) > 60 {
		return s[:60] + "..."
	}
	return s
}

// reader reads a tree and gathers the faults.
type reader struct {
	file   string
	faults Faults
}

func (r *reader) fault(at *value, field, found, expect string) {
	f := Fault{File: r.file, Field: field, Found: found, Expect: expect}
	if at != nil {
		f.Line, f.Col = at.line, at.col
	}
	r.faults = append(r.faults, f)
}

// scope is a table being read, with its path.
type scope struct {
	*reader
	v    *value
	path string
}

func (s scope) name(field string) string {
	if s.path == "" {
		return field
	}
	return s.path + "." + field
}

// bad is a fault of a field; without the field, of its table.
func (s scope) bad(field, expect string, args ...any) {
	at, found := s.v, ""
	if v := s.v.fields[field]; v != nil {
		at, found = v, v.say()
		if v.kind == kindTable || v.kind == kindArray {
			found = ""
		}
	}
	s.fault(at, s.name(field), found, fmt.Sprintf(expect, args...))
}

// get returns a field of a kind, or nil; another kind is a fault.
func (s scope) get(field string, want kind) *value {
	s.v.taken[field] = true
	v := s.v.fields[field]
	if v == nil || v.kind == want || want == kindFloat && v.kind == kindInteger {
		return v
	}
	s.fault(v, s.name(field), v.say(), kindNames[want]+" expected")
	return nil
}

// has tells whether a field stands in the file.
func (s scope) has(field string) bool { return s.v.fields[field] != nil }

func (s scope) text(field, otherwise string) string {
	if v := s.get(field, kindString); v != nil {
		return v.text
	}
	return otherwise
}

// word reads one of some words.
func (s scope) word(field, otherwise string, words ...string) string {
	w := s.text(field, otherwise)
	if !slices.Contains(words, w) {
		s.bad(field, "one of %s expected", strings.Join(words, ", "))
		return words[0]
	}
	return w
}

func (s scope) flag(field string) bool {
	v := s.get(field, kindBool)
	return v != nil && v.text == "true"
}

func (s scope) whole(field string, otherwise, least, most int64) int64 {
	v := s.get(field, kindInteger)
	if v == nil {
		return otherwise
	}
	n, err := strconv.ParseInt(strings.ReplaceAll(v.text, "_", ""), 0, 64)
	if err != nil || n < least || n > most {
		s.bad(field, "%d to %d expected", least, most)
		return otherwise
	}
	return n
}

func (s scope) number(field string, otherwise, least, most float64) float64 {
	v := s.get(field, kindFloat)
	if v == nil {
		return otherwise
	}
	x, err := strconv.ParseFloat(strings.ReplaceAll(v.text, "_", ""), 64)
	if err != nil || math.IsNaN(x) || x < least || x > most {
		s.bad(field, "%g to %g expected", least, most)
		return otherwise
	}
	return x
}

// span reads a duration like "7.5s".
func (s scope) span(field string, otherwise, least, most time.Duration) time.Duration {
	v := s.get(field, kindString)
	if v == nil {
		return otherwise
	}
	d, err := time.ParseDuration(v.text)
	if err != nil {
		s.bad(field, `a time such as "250ms" or "7.5s" expected`)
		return otherwise
	}
	if d < least || d > most {
		s.bad(field, "%v to %v expected", least, most)
		return otherwise
	}
	return d
}

// texts reads an array of strings.
func (s scope) texts(field string) (out []string) {
	v := s.get(field, kindArray)
	if v == nil {
		return nil
	}
	for i, item := range v.items {
		if item.kind != kindString {
			s.fault(item, fmt.Sprintf("%s[%d]", s.name(field), i+1), item.say(), "a string expected")
			continue
		}
		out = append(out, item.text)
	}
	return out
}

// table returns the scope of a table, an empty one if it is missing.
func (s scope) table(field string) scope {
	v := s.get(field, kindTable)
	if v == nil {
		v = newTable(s.v.line, s.v.col)
	}
	return scope{s.reader, v, s.name(field)}
}

// each returns the scopes of a table's tables, in order, with their names.
func (s scope) each(field string) (names []string, scopes []scope) {
	t := s.table(field)
	for _, k := range t.v.keys {
		if v := t.get(k, kindTable); v != nil {
			names, scopes = append(names, k), append(scopes, scope{s.reader, v, t.name(k)})
		}
	}
	return names, scopes
}

// list returns the scopes of an array of tables.
func (s scope) list(field string) (scopes []scope) {
	v := s.get(field, kindArray)
	if v == nil {
		return nil
	}
	for i, item := range v.items {
		path := fmt.Sprintf("%s[%d]", s.name(field), i+1)
		if item.kind != kindTable {
			s.fault(item, path, item.say(), "a table expected")
			continue
		}
		scopes = append(scopes, scope{s.reader, item, path})
	}
	return scopes
}

// done faults the fields that nobody asked for.
func (s scope) done() {
	for _, k := range s.v.keys {
		if s.v.taken[k] {
			continue
		}
		var known []string
		for name := range s.v.taken {
			known = append(known, name)
		}
		slices.Sort(known)
		expect := "unknown field; known here: " + strings.Join(known, ", ")
		if near := nearest(k, known); near != "" {
			expect = "unknown field; " + near + " meant?"
		}
		s.fault(s.v.fields[k], s.name(k), "", expect)
	}
}

// nearest returns the known word that is at most two slips of the pen away.
func nearest(word string, known []string) (near string) {
	least := 3
	for _, k := range known {
		if d := distance(word, k); d < least {
			least, near = d, k
		}
	}
	return near
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
