package config

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Fault is one thing that is wrong with a file. Line and Col count from 1; 0 where the whole file is meant.
type Fault struct {
	File   string
	Line   int
	Col    int // in bytes
	Field  string
	Found  string // what stands there; empty where something is missing or the fault says it all
	Expect string // what was expected instead, or why it can't be
}

// Error is the fault as one line.
func (f Fault) Error() string {
	var b strings.Builder
	b.WriteString(f.File)
	if f.Line > 0 {
		fmt.Fprintf(&b, ":%d:%d", f.Line, f.Col)
	}
	if f.Field != "" {
		b.WriteString(": " + f.Field)
	}
	if f.Found != "" {
		b.WriteString(": found " + f.Found)
	}
	return b.String() + ": " + f.Expect
}

// Faults is all that is wrong with a file, in the order in which it stands there.
type Faults []Fault

// Error is all faults, a line each.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, one := range f {
		lines[i] = one.Error()
	}
	return strings.Join(lines, "\n")
}

// err sorts the faults; none is no error.
func (f Faults) err() error {
	if len(f) == 0 {
		return nil
	}
	slices.SortStableFunc(f, func(a, b Fault) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Col, b.Col))
	})
	return f
}
