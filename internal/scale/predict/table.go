package predict

import (
	"strings"
)

// Table is a table of docs/CAPACITY.md.
type Table struct {
	Title string
	Head  []string
	Rows  [][]string
	Notes []string // paragraphs that follow the table
}

// Markdown returns the table as Markdown text.
func (t *Table) Markdown() string {
	var b strings.Builder
	if t.Title != "" {
		b.WriteString("**" + t.Title + "**\n\n")
	}
	if len(t.Rows) == 0 {
		b.WriteString("Not measured.\n")
	} else {
		writeRow(&b, t.Head)
		b.WriteString("|" + strings.Repeat(" --- |", len(t.Head)) + "\n")
		for _, row := range t.Rows {
			writeRow(&b, row)
		}
	}
	for _, note := range t.Notes {
		b.WriteString("\n" + note + "\n")
	}
	return b.String()
}

func writeRow(b *strings.Builder, cells []string) {
	b.WriteString("|")
	for _, cell := range cells {
		b.WriteString(" " + strings.ReplaceAll(cell, "|", "/") + " |")
	}
	b.WriteString("\n")
}

// Mark is the provenance of a value. The page shows the mark after each value.
type Mark string

// The marks.
const (
	Measured Mark = "m"
	Computed Mark = "w"
	Assumed  Mark = "a"
	Stated   Mark = "t" // by the operators
)
