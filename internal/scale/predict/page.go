package predict

import (
	"fmt"
	"slices"
	"strings"
)

// Section names a generated part of the page.
type Section string

// Sections returns those that a page may have, in their order.
func Sections() []Section {
	return []Section{"sizes", "roles", "curve", "events", "order", "beforeafter", "latency", "heldout", "hollow", "models", "lines", "files", "assumptions"}
}

// Tables are those of a section.
func (c *Calculator) Tables(s Section) ([]Table, error) {
	switch s {
	case "sizes":
		return []Table{c.Sizes()}, nil
	case "roles":
		return []Table{c.Roles("Today", c.t.Today), c.Roles("Target", c.t.Target)}, nil
	case "curve":
		return []Table{c.Curve()}, nil
	case "events":
		return []Table{c.Events("Today", c.t.Today), c.Events("Target", c.t.Target)}, nil
	case "order":
		return []Table{c.Order()}, nil
	case "beforeafter":
		return []Table{c.BeforeAfter()}, nil
	case "latency":
		return []Table{c.Latencies()}, nil
	case "heldout":
		return []Table{c.e.HeldOut(mainFigures())}, nil
	case "hollow":
		return []Table{c.e.Hollow(mainFigures())}, nil
	case "models":
		return []Table{c.e.Models(mainFigures())}, nil
	case "lines":
		return []Table{c.e.Lines(mainFigures())}, nil
	case "files":
		return []Table{c.Files()}, nil
	case "assumptions":
		return []Table{c.Assumptions()}, nil
	}
	return nil, fmt.Errorf("section %.40q, one of %s expected", s, names(Sections()))
}

// text is a section's tables as they stand in the page.
func (c *Calculator) text(s Section) (string, error) {
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

// The markers between which generated text stands in a page.
const (
	begin  = "<!-- generated: fernctl scale predict "
	finish = "<!-- end -->"
	closed = " -->"
)

// Fill returns the page with the text between its markers generated anew. A marker of an unknown section, one that stands
// twice or has no end is an error by the page's line.
func (c *Calculator) Fill(page string) (string, error) {
	var out strings.Builder
	var seen []Section
	inside := 0 // the line of the marker that is open
	for i, line := range strings.SplitAfter(page, "\n") {
		trimmed := strings.TrimSpace(line)
		switch {
		case strings.HasPrefix(trimmed, begin):
			s := Section(strings.TrimSuffix(strings.TrimPrefix(trimmed, begin), closed))
			if inside > 0 {
				return "", fmt.Errorf("line %d: a marker begins, the end of that on line %d expected", i+1, inside)
			}
			if slices.Contains(seen, s) {
				return "", fmt.Errorf("line %d: section %s stands twice, once expected", i+1, s)
			}
			text, err := c.text(s)
			if err != nil {
				return "", fmt.Errorf("line %d: %w", i+1, err)
			}
			seen, inside = append(seen, s), i+1
			out.WriteString(line + "\n" + text + "\n")
		case trimmed == finish:
			if inside == 0 {
				return "", fmt.Errorf("line %d: an end without a marker", i+1)
			}
			inside = 0
			out.WriteString(line)
		case inside == 0:
			out.WriteString(line)
		}
	}
	if inside > 0 {
		return "", fmt.Errorf("line %d: the marker has no end", inside)
	}
	return out.String(), nil
}

func names(all []Section) string {
	words := make([]string, len(all))
	for i, s := range all {
		words[i] = string(s)
	}
	return strings.Join(words, ", ")
}
