package predict

import (
	"errors"
	"fmt"
	"slices"
	"strings"
)

// Section is the name of a generated section of the page.
type Section string

// The sections.
const (
	sectionSizes       Section = "sizes"
	sectionRoles       Section = "roles"
	sectionCurve       Section = "curve"
	sectionEvents      Section = "events"
	sectionOrder       Section = "order"
	sectionBeforeAfter Section = "beforeafter"
	sectionLatency     Section = "latency"
	sectionHeldOut     Section = "heldout"
	sectionHollow      Section = "hollow"
	sectionModels      Section = "models"
	sectionLines       Section = "lines"
	sectionFiles       Section = "files"
	sectionAssumptions Section = "assumptions"
)

// Sections returns all sections that a page may have, in the order of the page.
func Sections() []Section {
	return []Section{
		sectionSizes, sectionRoles, sectionCurve, sectionEvents, sectionOrder, sectionBeforeAfter, sectionLatency,
		sectionHeldOut, sectionHollow, sectionModels, sectionLines, sectionFiles, sectionAssumptions,
	}
}

// Tables returns the tables of a section. The error for an unknown section names all sections.
func (c *Calculator) Tables(s Section) ([]Table, error) {
	today, target := c.target.Today, c.target.Target
	switch s {
	case sectionSizes:
		return []Table{c.Sizes()}, nil
	case sectionRoles:
		return []Table{c.Roles("Today", today), c.Roles("Target", target)}, nil
	case sectionCurve:
		return []Table{c.Curve()}, nil
	case sectionEvents:
		return []Table{c.Events("Today", today), c.Events("Target", target)}, nil
	case sectionOrder:
		return []Table{c.Order()}, nil
	case sectionBeforeAfter:
		return []Table{c.BeforeAfter()}, nil
	case sectionLatency:
		return []Table{c.Latencies()}, nil
	case sectionHeldOut:
		return []Table{c.evidence.HeldOut(mainMetrics())}, nil
	case sectionHollow:
		return []Table{c.evidence.Hollow(mainMetrics())}, nil
	case sectionModels:
		return []Table{c.evidence.Models(mainMetrics())}, nil
	case sectionLines:
		return []Table{c.evidence.Lines(mainMetrics())}, nil
	case sectionFiles:
		return []Table{c.Files()}, nil
	case sectionAssumptions:
		return []Table{c.Assumptions()}, nil
	default:
		return nil, fmt.Errorf("unknown section %.40q: want one of %s", s, sectionNames(Sections()))
	}
}

func sectionNames(all []Section) string {
	names := make([]string, len(all))
	for i, s := range all {
		names[i] = string(s)
	}
	return strings.Join(names, ", ")
}

// markdown returns the tables of a section as Markdown text.
func (c *Calculator) markdown(s Section) (string, error) {
	tables, err := c.Tables(s)
	if err != nil {
		return "", err
	}
	texts := make([]string, len(tables))
	for i := range tables {
		texts[i] = tables[i].Markdown()
	}
	return strings.Join(texts, "\n"), nil
}

// Markers that enclose the generated text of a section in a page.
const (
	markerBegin = "<!-- generated: fernctl scale predict "
	markerClose = " -->" // end of the line of markerBegin
	markerEnd   = "<!-- end -->"
)

// PageError reports an invalid marker of a page.
type PageError struct {
	Line int // from 1
	Err  error
}

// Error returns the line and the cause.
func (e *PageError) Error() string { return fmt.Sprintf("line %d: %v", e.Line, e.Err) }

// Unwrap returns the cause without the line.
func (e *PageError) Unwrap() error { return e.Err }

// Fill returns the page with the text between its markers regenerated. It returns a *PageError if a
// marker names an unknown or a duplicate section, or if a section has no begin or end marker.
func (c *Calculator) Fill(page string) (string, error) {
	f := pageFiller{calculator: c}
	for i, line := range strings.SplitAfter(page, "\n") {
		if err := f.line(i+1, line); err != nil {
			return "", &PageError{Line: i + 1, Err: err}
		}
	}
	if f.openLine > 0 {
		return "", &PageError{Line: f.openLine, Err: errUnterminatedMarker}
	}
	return f.out.String(), nil
}

// pageFiller is the state of Fill between lines.
type pageFiller struct {
	calculator *Calculator
	out        strings.Builder
	seen       []Section
	openLine   int // line of the begin marker of the current section; 0 outside of sections
}

var (
	errUnterminatedMarker = errors.New("marker without an end marker")
	errUnmatchedEnd       = errors.New("end marker without a marker")
)

// line copies a line of the page or, at a begin marker, writes the generated text.
func (f *pageFiller) line(number int, line string) error {
	trimmed := strings.TrimSpace(line)
	switch {
	case strings.HasPrefix(trimmed, markerBegin):
		section := Section(strings.TrimSuffix(strings.TrimPrefix(trimmed, markerBegin), markerClose))
		return f.begin(number, line, section)
	case trimmed == markerEnd:
		if f.openLine == 0 {
			return errUnmatchedEnd
		}
		f.openLine = 0
		f.out.WriteString(line)
	case f.openLine == 0:
		f.out.WriteString(line)
	}
	return nil
}

func (f *pageFiller) begin(number int, line string, s Section) error {
	if f.openLine > 0 {
		return fmt.Errorf("nested marker: missing end marker for line %d", f.openLine)
	}
	if slices.Contains(f.seen, s) {
		return fmt.Errorf("duplicate section %s", s)
	}
	text, err := f.calculator.markdown(s)
	if err != nil {
		return err
	}
	f.seen = append(f.seen, s)
	f.openLine = number
	f.out.WriteString(line + "\n" + text + "\n")
	return nil
}
