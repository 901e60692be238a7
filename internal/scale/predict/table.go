package predict

import (
	"fmt"
	"math"
	"strings"
)

// Table is a table of the page.
type Table struct {
	Title string
	Head  []string
	Rows  [][]string
	Notes []string
}

// Markdown is the table as it stands in the page.
func (t *Table) Markdown() string {
	var b strings.Builder
	if t.Title != "" {
		fmt.Fprintf(&b, "**%s**\n\n", t.Title)
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
	for _, n := range t.Notes {
		fmt.Fprintf(&b, "\n%s\n", n)
	}
	return b.String()
}

func writeRow(b *strings.Builder, cells []string) {
	b.WriteString("|")
	for _, c := range cells {
		b.WriteString(" " + strings.ReplaceAll(c, "|", "/") + " |")
	}
	b.WriteString("\n")
}

// Mark says where a figure is from.
type Mark string

// The marks, as the page shows them behind each figure.
const (
	Measured  Mark = "m"
	WorkedOut Mark = "w"
	Assumed   Mark = "a"
	Told      Mark = "t" // by the operators
)

// shown is an amount with its mark; unknown ones say so.
func (a amount) shown(m Mark, unit func(float64) string) string {
	if !a.known {
		return "not measured"
	}
	return unit(a.value) + " " + string(m)
}

// short is a number with three digits.
func short(v float64) string {
	a := math.Abs(v)
	switch {
	case v == 0:
		return "0"
	case math.IsInf(v, 0):
		return "∞"
	case math.IsNaN(v):
		return "-"
	case a >= 1e9:
		return trimmed(v/1e9) + " G"
	case a >= 1e6:
		return trimmed(v/1e6) + " M"
	case a >= 1e4:
		return trimmed(v/1e3) + " k"
	case a >= 1000:
		return fmt.Sprintf("%.0f", v)
	case a < 1e-3:
		return fmt.Sprintf("%.2g", v)
	}
	return trimmed(v)
}

// trimmed is a number of at most three digits without zeros behind the point that say nothing.
func trimmed(v float64) string {
	digits := 2
	switch a := math.Abs(v); {
	case a >= 100:
		digits = 0
	case a >= 10:
		digits = 1
	case a < 0.1:
		digits = 4
	case a < 1:
		digits = 3
	}
	s := fmt.Sprintf("%.*f", digits, v)
	if strings.Contains(s, ".") {
		s = strings.TrimRight(strings.TrimRight(s, "0"), ".")
	}
	return s
}

func plain(v float64) string        { return short(v) }
func perSecond(v float64) string    { return short(v) + "/s" }
func bytesOf(v float64) string      { return spaced(v) + "B" }
func bytesASecond(v float64) string { return spaced(v) + "B/s" }
func cores(v float64) string        { return short(v) + " cores" }
func seconds(v float64) string      { return short(v) + " s" }

func percent(v float64) string {
	if v < 1e-6 {
		v = 0
	}
	return short(100*v) + "%"
}

// spaced is a number with a space before its unit, prefix included.
func spaced(v float64) string {
	s := short(v)
	if strings.ContainsAny(s, "GMk") {
		return s
	}
	return s + " "
}

// verdict says by what factor a need fits what is allowed, or misses it.
func verdict(need amount, allowed float64) string {
	switch {
	case !need.known:
		return "not measured"
	case need.value <= 0:
		return "fits"
	case need.value <= allowed:
		return fmt.Sprintf("fits %s times", short(allowed/need.value))
	}
	return fmt.Sprintf("**misses by %s times**", short(need.value/allowed))
}
