// Package plot draws the trace of one replica over a simulated day. The plot compares the replica's
// concurrency limit and quota multiple with the free capacity of its tier. For shed requests it
// names the rule that shed them and the evidence that last cut the limit of that rule.
package plot

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"fernlanding/internal/fleetsim"
)

const barWidth = 40 // columns

// Text writes one line for each second of a replica. A line shows the tier's limit, the attempts in
// flight, the quota multiple, the error rate, the free capacity, the number of overloaded backends,
// the numbers of shed requests and of excess sheds, and the most frequent reason for shedding. In
// the bar, # stands for attempts in flight and : for further attempts that the limit admits.
func Text(w io.Writer, result *fleetsim.Result, tier, replica int) error {
	rows, err := replicaRows(result, tier, replica)
	if err != nil {
		return err
	}
	maxValue := 1.0
	for i := range rows {
		maxValue = max(maxValue, float64(rows[i].Stats.Tier.InFlight), rows[i].limit())
	}
	var b strings.Builder
	b.WriteString("s\tcount\tout\tshare\tfail\tfree\tover\trefused\tshadow\t out # and room :\n")
	for i := range rows {
		r := &rows[i]
		limit := "none"
		if r.limitLearned() {
			limit = fmt.Sprintf("%.1f", r.Stats.Tier.Limit)
		}
		fmt.Fprintf(&b, "%d\t%s\t%d\t%.2f\t%.0f%%\t%.0f%%\t%d\t%d\t%d\t %-*s %s\n",
			r.At/second, limit, r.Stats.Tier.InFlight, r.Stats.QuotaMultiple, 100*r.Stats.ErrorRate, 100*r.FreeFraction,
			r.OverloadedBackends, r.sheds, r.excessSheds, barWidth, r.bar(maxValue), r.reason)
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	if _, err := io.WriteString(t, b.String()); err != nil {
		return err
	}
	return t.Flush()
}

// bar returns the row's bar, whose full width stands for maxValue.
func (r *row) bar(maxValue float64) string {
	inFlight := int(float64(r.Stats.Tier.InFlight) / maxValue * barWidth)
	free := barWidth - inFlight
	if r.limitLearned() {
		free = int(r.limit()/maxValue*barWidth) - inFlight
	}
	return strings.Repeat("#", max(0, inFlight)) + strings.Repeat(":", max(0, free))
}
