package main

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"fernlanding/internal/standin"
)

// tryReport is the result of a load, as try -json prints it.
type tryReport struct {
	Listen           string           `json:"listen"`
	Rate             float64          `json:"rate"`
	Seconds          float64          `json:"seconds"`
	Slow             int              `json:"slow"`
	Hung             int              `json:"hung"`
	Seed             uint64           `json:"seed"`
	Classes          []standin.Result `json:"classes"`
	Total            standin.Result   `json:"total"`
	DuplicateEffects int              `json:"effects_twice"` // keys that had more than one effect
}

// writeJSON writes the report as JSON.
func (r *tryReport) writeJSON(out io.Writer) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}

// writeTable writes the report as a table.
func (r *tryReport) writeTable(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	const head = "class\tsent\tserved\tlate\trefused\tfailed\tattempts/request\tp50 ms\tp99 ms\t"
	printf(table, "%s\n", head) // a tabwriter returns write errors from Flush
	for _, c := range append(r.Classes, r.Total) {
		printf(
			table, "%s\t%d\t%d\t%d\t%d\t%d\t%.2f\t%.1f\t%.1f\t\n",
			c.Class, c.Sent, c.Served, c.Late, c.Shed, c.Failed, c.AttemptsPerRequest,
			milliseconds(c.P50), milliseconds(c.P99),
		)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(out, "effects that happened twice: %d\n", r.DuplicateEffects)
	return err
}

// milliseconds returns a duration in milliseconds.
func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
