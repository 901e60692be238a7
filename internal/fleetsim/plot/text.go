// Package plot draws what a traced day shows of one replica: its limit and quota multiple against
// what its tier could do, and for shed requests the rule that shed them and what had cut that
// rule's limit.
package plot

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"fernlanding/internal/fleetsim"
)

const barWidth = 40 // columns

// Text writes a line for each second of a replica: the tier's limit and attempts in flight, the
// quota multiple, what capacity was free, and why most requests were shed. In the bar, # is what is
// in flight, : what the limit admits beyond that.
func Text(w io.Writer, result *fleetsim.Result, tier, replica int) error {
	rows, err := rowsOf(result, tier, replica)
	if err != nil {
		return err
	}
	top := 1.0
	for i := range rows {
		top = max(top, float64(rows[i].Stats.Tier.InFlight), rows[i].limit())
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
			r.At/second, limit, r.Stats.Tier.InFlight, r.Stats.QuotaMultiple, 100*r.Stats.ErrorRate, 100*r.Free,
			r.Overloaded, r.sheds, r.excess, barWidth, r.bar(top), r.reason)
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	if _, err := io.WriteString(t, b.String()); err != nil {
		return err
	}
	return t.Flush()
}

// bar returns the row's bar, whose full width stands for top.
func (r *row) bar(top float64) string {
	inFlight := int(float64(r.Stats.Tier.InFlight) / top * barWidth)
	free := barWidth - inFlight
	if r.limitLearned() {
		free = int(r.limit()/top*barWidth) - inFlight
	}
	return strings.Repeat("#", max(0, inFlight)) + strings.Repeat(":", max(0, free))
}
