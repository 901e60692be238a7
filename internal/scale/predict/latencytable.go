package predict

import (
	"fmt"
	"strconv"
)

// Latencies returns the table of the latency that sidecars add to a call.
func (c *Calculator) Latencies() Table {
	table := Table{Head: []string{
		"run", "case", "calls/s", "hops", "direct p99, ms", "through p99, ms",
		"added p99, ms: median, lowest, highest", "the method against itself, ms", "processor a call, µs", "verdict",
	}}
	for _, l := range c.evidence.Latency {
		table.Rows = append(table.Rows, []string{
			"`" + l.File + "`",
			l.Case,
			formatNumber(l.RatePerSecond),
			strconv.Itoa(l.Hops),
			formatNumber(l.DirectP99) + " m",
			formatNumber(l.ThroughP99) + " m",
			l.AddedP99.format(),
			l.DirectDifferenceP99.format(),
			formatNumber(l.CPUPerCallMicros) + " m",
			c.latencyVerdict(&l),
		})
	}
	return table
}

func (s Spread) format() string {
	return fmt.Sprintf("%s, %s, %s m", formatNumber(s.Median), formatNumber(s.Lowest), formatNumber(s.Highest))
}

// latencyVerdict compares the added latency with its limit if the measurement is precise enough.
func (c *Calculator) latencyVerdict(l *Latency) string {
	if !l.isConclusive(c.target.Limits.AddedP99Ms) {
		return "cannot be told: the run's noise is larger than the distance from what is allowed"
	}
	return verdict(known(l.AddedP99.Median), c.target.Limits.AddedP99Ms)
}
