package tomldoc

import (
	"cmp"
	"fernlanding/internal/rules"
	"fmt"
	"slices"
	"strings"
)

// Place is where something stands. Line and Col count from 1, Col in bytes; 0 where the whole file is meant.
type Place struct {
	File string
	Line int
	Col  int
}

// String is file:line:col, or the file alone.
func (p Place) String() string {
	if p.Line == 0 {
		return p.File
	}
	return fmt.Sprintf("%s:%d:%d", p.File, p.Line, p.Col)
}

// Short is file:line, or the file alone.
func (p Place) Short() string {
	if p.Line == 0 {
		return p.File
	}
	return fmt.Sprintf("%s:%d", p.File, p.Line)
}

// Compare orders places by file, line and column.
func (p Place) Compare(o Place) int {
	return cmp.Or(strings.Compare(p.File, o.File), cmp.Compare(p.Line, o.Line), cmp.Compare(p.Col, o.Col))
}

// Diagnostic is one thing that is wrong.
type Diagnostic struct {
	Place
	Rule   rules.ID
	Field  string
	Found  string // what stands there; empty where something is missing or the fault says it all
	Expect string // what was expected instead, or why it can't be
	See    Place  // another place that has to do with it; none if its File is empty
}

// Warning tells whether the fault is accepted.
func (f Diagnostic) Warning() bool { return rules.Get(f.Rule).Severity == rules.Warning }

// Error is the fault as one line: the place, the rule, what was found and what was expected.
func (f Diagnostic) Error() string {
	return oneLine(f.Place.String() + ": " + string(f.Rule) + ": " + f.what())
}

// oneLine takes out what would break a line, such as control characters in a quoted key.
func oneLine(s string) string {
	return strings.Map(func(r rune) rune {
		if r < ' ' || r == 0x7f || r == 0x85 || r == 0x2028 || r == 0x2029 {
			return '?'
		}
		return r
	}, s)
}

func (f Diagnostic) what() string {
	var b strings.Builder
	if f.Field != "" {
		b.WriteString(f.Field + ": ")
	}
	if f.Found != "" {
		b.WriteString("found " + f.Found + ": ")
	}
	b.WriteString(f.Expect)
	if f.See.File != "" {
		b.WriteString(" (" + f.See.Short() + ")")
	}
	return b.String()
}

// Report is the fault as one line that also says why it matters and what to write instead.
func (f Diagnostic) Report() string {
	r, mark := rules.Get(f.Rule), ""
	if r.Severity == rules.Warning {
		mark = " (warning)"
	}
	return oneLine(fmt.Sprintf("%s: %s%s: %s; %s; %s", f.Place, f.Rule, mark, f.what(), r.Why, r.Instead))
}

// Diagnostics is all that is wrong, in the order in which it stands.
type Diagnostics []Diagnostic

// Error is all faults, a line each.
func (f Diagnostics) Error() string {
	lines := make([]string, len(f))
	for i, one := range f {
		lines[i] = one.Error()
	}
	return strings.Join(lines, "\n")
}

// Sorted returns the faults by place, rule and words, each once.
func (f Diagnostics) Sorted() Diagnostics {
	f = slices.Clone(f)
	slices.SortStableFunc(f, func(a, b Diagnostic) int {
		return cmp.Or(a.Place.Compare(b.Place), strings.Compare(string(a.Rule), string(b.Rule)), strings.Compare(a.Field, b.Field),
			strings.Compare(a.Found, b.Found), strings.Compare(a.Expect, b.Expect))
	})
	return slices.Compact(f)
}

// Errors returns those that are no warnings.
func (f Diagnostics) Errors() (out Diagnostics) {
	for _, one := range f {
		if !one.Warning() {
			out = append(out, one)
		}
	}
	return out
}

// Err is the faults as an error; none is no error.
func (f Diagnostics) Err() error {
	if len(f) == 0 {
		return nil
	}
	return f
}
