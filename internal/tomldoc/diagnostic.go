package tomldoc

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"fernlanding/internal/rules"
)

// Place is a location in a file. Line and Col count from 1, Col in bytes. A Line of 0 means the
// file as a whole.
type Place struct {
	File string
	Line int
	Col  int
}

// String returns file:line:col, or only the file if the place has no line.
func (p Place) String() string {
	if p.Line == 0 {
		return p.File
	}
	return fmt.Sprintf("%s:%d:%d", p.File, p.Line, p.Col)
}

// Short returns file:line, or only the file if the place has no line.
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

// Diagnostic is one violation of a rule. A Diagnostic is also an error.
//
//nolint:errname // reports consist of diagnostics, and few callers handle one as an error
type Diagnostic struct {
	Place
	Rule   rules.ID
	Field  string // path of the field; empty if the violation concerns no field
	Found  string // value or text that violates the rule; empty if nothing was found or Expect describes it
	Expect string // valid values, or the reason of the rejection
	See    Place  // related place; an empty File means none
}

// Warning reports whether the violation is a warning. A document with only warnings is accepted.
func (d Diagnostic) Warning() bool { return rules.Get(d.Rule).Severity == rules.Warning }

// Error returns one line with the place, the rule, the field, the value and the reason.
func (d Diagnostic) Error() string {
	return oneLine(d.String() + ": " + string(d.Rule) + ": " + d.description())
}

// oneLine replaces the characters that would break a line, such as control characters in a quoted
// key.
func oneLine(s string) string {
	return strings.Map(func(r rune) rune {
		if r < ' ' || r == 0x7f || r == 0x85 || r == 0x2028 || r == 0x2029 {
			return '?'
		}
		return r
	}, s)
}

// description returns the field, the value, the reason and the related place.
func (d Diagnostic) description() string {
	var b strings.Builder
	if d.Field != "" {
		b.WriteString(d.Field + ": ")
	}
	if label := d.foundLabel(); d.Found != "" && label != "" {
		b.WriteString(label + " " + d.Found + ": ")
	}
	b.WriteString(d.Expect)
	if d.See.File != "" {
		b.WriteString(" (" + d.See.Short() + ")")
	}
	return b.String()
}

// foundLabels has what descriptions call Found, for the rules by which Found is not the value of a
// field. With an empty label, descriptions leave out Found because Expect names it.
var foundLabels = map[rules.ID]string{
	rules.FileSize:     "",
	rules.FileBOM:      "",
	rules.FileCRLF:     "",
	rules.FileControl:  "",
	rules.FileDepth:    "",
	rules.RouteDead:    "",
	rules.WindowChain:  "",
	rules.RepeatChain:  "call to",
	rules.ScopeChain:   "",
	rules.RetryFactor:  "retry factor",
	rules.PodDisagrees: "endpoint",
	rules.PodMoves:     "endpoint",
}

// foundLabel returns what the description calls Found, or "" if the description leaves it out. A
// value with a related place may be valid by itself and conflicts with that place.
func (d Diagnostic) foundLabel() string {
	if label, ok := foundLabels[d.Rule]; ok {
		return label
	}
	switch {
	case slices.Contains(kindNames[:], d.Found):
		return "value is"
	case d.Warning():
		return "value"
	case d.See.File != "":
		return "conflicting value"
	}
	return "invalid value"
}

// Report returns one line that also has the reason of the rule and a valid alternative.
func (d Diagnostic) Report() string {
	rule, mark := rules.Get(d.Rule), ""
	if rule.Severity == rules.Warning {
		mark = " (warning)"
	}
	return oneLine(fmt.Sprintf("%s: %s%s: %s; %s; %s",
		d.Place, d.Rule, mark, d.description(), rule.Why, rule.Instead))
}

// Diagnostics is all violations of a document as one error.
//
//nolint:errname // see Diagnostic
type Diagnostics []Diagnostic

// Error returns one line per diagnostic.
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

// Errors returns the diagnostics that are not warnings.
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
