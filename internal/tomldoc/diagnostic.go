package tomldoc

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"fernlanding/internal/rules"
)

// Place is a place in a file. Line and Col count from 1, Col in bytes; a Line of 0 stands for the
// file as a whole.
type Place struct {
	File string
	Line int
	Col  int
}

// String returns file:line:col, or the file alone.
func (p Place) String() string {
	if p.Line == 0 {
		return p.File
	}
	return fmt.Sprintf("%s:%d:%d", p.File, p.Line, p.Col)
}

// Short returns file:line, or the file alone.
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

// Diagnostic is one violation of a rule. It is also an error.
//
//nolint:errname // reports are made of diagnostics, most of which no one handles as an error
type Diagnostic struct {
	Place
	Rule   rules.ID
	Field  string // path of the field; empty: none
	Found  string // what the field has; empty where it is missing, or the other texts say it
	Expect string // what was expected instead, or why the value is rejected
	See    Place  // another place that has to do with it; none if its File is empty
}

// Warning reports whether the violation is a warning, with which the document is accepted.
func (d Diagnostic) Warning() bool { return rules.Get(d.Rule).Severity == rules.Warning }

// Error returns one line: the place, the rule, what was found and what was expected.
func (d Diagnostic) Error() string {
	return oneLine(d.String() + ": " + string(d.Rule) + ": " + d.description())
}

// oneLine replaces what would break a line, such as control characters in a quoted key.
func oneLine(s string) string {
	return strings.Map(func(r rune) rune {
		if r < ' ' || r == 0x7f || r == 0x85 || r == 0x2028 || r == 0x2029 {
			return '?'
		}
		return r
	}, s)
}

func (d Diagnostic) description() string {
	var b strings.Builder
	if d.Field != "" {
		b.WriteString(d.Field + ": ")
	}
	if d.Found != "" {
		b.WriteString("found " + d.Found + ": ")
	}
	b.WriteString(d.Expect)
	if d.See.File != "" {
		b.WriteString(" (" + d.See.Short() + ")")
	}
	return b.String()
}

// Report returns one line that also says why the violation matters and what to write instead.
func (d Diagnostic) Report() string {
	rule, mark := rules.Get(d.Rule), ""
	if rule.Severity == rules.Warning {
		mark = " (warning)"
	}
	return oneLine(fmt.Sprintf("%s: %s%s: %s; %s; %s",
		d.Place, d.Rule, mark, d.description(), rule.Why, rule.Instead))
}

// Diagnostics is all violations of a document, as one error.
//
//nolint:errname // like Diagnostic
type Diagnostics []Diagnostic

// Error returns a line for each diagnostic.
func (ds Diagnostics) Error() string {
	lines := make([]string, len(ds))
	for i, d := range ds {
		lines[i] = d.Error()
	}
	return strings.Join(lines, "\n")
}

// Sorted returns the diagnostics ordered by place, rule and texts, without duplicates.
func (ds Diagnostics) Sorted() Diagnostics {
	sorted := slices.Clone(ds)
	slices.SortStableFunc(sorted, func(a, b Diagnostic) int {
		return cmp.Or(
			a.Compare(b.Place),
			strings.Compare(string(a.Rule), string(b.Rule)),
			strings.Compare(a.Field, b.Field),
			strings.Compare(a.Found, b.Found),
			strings.Compare(a.Expect, b.Expect),
		)
	})
	return slices.Compact(sorted)
}

// Errors returns those that are no warnings.
func (ds Diagnostics) Errors() Diagnostics {
	var errs Diagnostics
	for _, d := range ds {
		if !d.Warning() {
			errs = append(errs, d)
		}
	}
	return errs
}

// Err returns the diagnostics as an error, or nil if there are none.
func (ds Diagnostics) Err() error {
	if len(ds) == 0 {
		return nil
	}
	return ds
}
