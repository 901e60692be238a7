// Package plot draws what a traced day shows of one copy: its counts and shares against what its tier could do, and for
// each refusal the rule that caused it and what had cut that rule's count.
package plot

import (
	"fernlanding/internal/fleetsim"
	"fernlanding/logic"
	"fmt"
	"html"
	"io"
	"strings"
	"text/tabwriter"
)

const (
	second = 1_000_000
	wide   = 40 // columns of a bar
	most   = 1e4
)

// row is one second of a copy.
type row struct {
	fleetsim.Sample
	refused, shadow int
	why             string // the rule that refused most
}

// rows gathers the seconds of a copy.
func rows(r *fleetsim.Result, tier, copy int) (all []row) {
	for _, s := range r.Trace.Samples {
		if s.Tier == tier && s.Copy == copy && s.At%second == 0 {
			all = append(all, row{Sample: s})
		}
	}
	count := map[int]map[string]int{}
	for _, x := range r.Trace.Refusals {
		i := int(x.At / second)
		if x.Tier != tier || x.Copy != copy || i >= len(all) {
			continue
		}
		all[i].refused++
		if x.Shadow {
			all[i].shadow++
		}
		if count[i] == nil {
			count[i] = map[string]int{}
		}
		count[i][Why(r.Day, x)]++
	}
	for i, c := range count {
		for w, n := range c {
			if best := c[all[i].why]; n > best || n == best && w < all[i].why {
				all[i].why = w
			}
		}
	}
	return all
}

// Why names the rule that caused a refusal, and what cut its count last.
func Why(d *fleetsim.Day, x fleetsim.Refusal) string {
	what := x.Cause.String()
	switch {
	case x.Cause == logic.ByClassLimit:
		what += " of " + d.Classes[x.Class].Name
	case x.Cause == logic.ByTenantQuota && x.Tenant >= 0:
		return fmt.Sprintf("%s of %s, at %.2f of its share", what, d.Tenants[x.Tenant].Name, x.Figure.Limit)
	}
	if cut := x.Figure.LastCut; cut.Evidence != logic.NoEvidence {
		what += fmt.Sprintf(", cut at %.1fs by %v, %d of %d, %.1f to %.1f", float64(cut.At)/second, cut.Evidence, cut.Bad, cut.Total, cut.From, cut.To)
	}
	return what
}

// Text writes a line a second: the tier's count and calls out, the multiple of the shares, what stood free, and why most
// refusals were made. In the bar, # is what is out, : what the count lets pass beyond that.
func Text(w io.Writer, r *fleetsim.Result, tier, copy int) error {
	all := rows(r, tier, copy)
	if len(all) == 0 {
		return fmt.Errorf("no copy %d of tier %d in this day", copy, tier)
	}
	top := 1.0
	for _, x := range all {
		top = max(top, float64(x.Figures.Tier.InFlight), shown(x.Figures.Tier.Limit))
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "s\tcount\tout\tshare\tfail\tfree\tover\trefused\tshadow\t out # and room :")
	for _, x := range all {
		f := x.Figures
		out := int(float64(f.Tier.InFlight) / top * wide)
		room := int(shown(f.Tier.Limit)/top*wide) - out
		count := fmt.Sprintf("%.1f", f.Tier.Limit)
		if f.Tier.Limit > most {
			count, room = "none", wide-out
		}
		fmt.Fprintf(t, "%d\t%s\t%d\t%.2f\t%.0f%%\t%.0f%%\t%d\t%d\t%d\t %-*s %s\n", x.At/second, count, f.Tier.InFlight, f.QuotaMultiple, 100*f.ErrorRate,
			100*x.Free, x.Over, x.refused, x.shadow, wide, strings.Repeat("#", max(0, out))+strings.Repeat(":", max(0, room)), x.why)
	}
	return t.Flush()
}

// shown is a count as far as it has been learned.
func shown(count float64) float64 {
	if count > most {
		return 0
	}
	return count
}

const (
	svgWide, svgHigh = 900, 420
	left, down       = 50, 30
)

// SVG writes the same as lines over time: the count, calls out, cores that stand free in the tier, and refusals.
func SVG(w io.Writer, r *fleetsim.Result, tier, copy int) error {
	all := rows(r, tier, copy)
	if len(all) == 0 {
		return fmt.Errorf("no copy %d of tier %d in this day", copy, tier)
	}
	lines := []struct {
		name, color string
		at          func(row) float64
	}{
		{"count", "#1f6fb4", func(x row) float64 { return shown(x.Figures.Tier.Limit) }},
		{"calls out", "#2a9d4a", func(x row) float64 { return float64(x.Figures.Tier.InFlight) }},
		{"cores free in the tier", "#999999", func(x row) float64 { return x.Can }},
		{"backends overdriven", "#8844aa", func(x row) float64 { return float64(x.Over) }},
		{"refused a second, in the shadow", "#cc3322", func(x row) float64 { return float64(x.shadow) }},
	}
	top := 1.0
	for _, l := range lines {
		for _, x := range all {
			top = max(top, l.at(x))
		}
	}
	var b strings.Builder
	fmt.Fprintf(&b, `<svg xmlns="http://www.w3.org/2000/svg" viewBox="0 0 %d %d" font-family="sans-serif" font-size="12">`+"\n"+
		`<rect width="100%%" height="100%%" fill="white"/>`+"\n", svgWide, svgHigh)
	x := func(i int) float64 { return left + float64(i)/float64(max(1, len(all)-1))*(svgWide-left-20) }
	y := func(v float64) float64 { return svgHigh - down - v/top*(svgHigh-down-40) }
	for _, t := range r.Day.Trouble {
		from := x(0) + (x(len(all)-1)-x(0))*t.At.Seconds()/float64(len(all)-1)
		to := min(x(len(all)-1), x(0)+(x(len(all)-1)-x(0))*(t.At.Seconds()+t.For.Seconds())/float64(len(all)-1))
		fmt.Fprintf(&b, `<rect x="%.1f" y="30" width="%.1f" height="%d" fill="#fff0cc"/><text x="%.1f" y="42">%s</text>`+"\n", from, max(1, to-from), svgHigh-down-30, from+3, html.EscapeString(t.Kind))
	}
	for i := 0; i <= 4; i++ {
		v := top * float64(i) / 4
		fmt.Fprintf(&b, `<text x="5" y="%.1f">%.0f</text><line x1="%d" y1="%.1f" x2="%d" y2="%.1f" stroke="#eeeeee"/>`+"\n", y(v)+4, v, left, y(v), svgWide-20, y(v))
	}
	for i := 0; i < len(all); i += max(1, len(all)/10) {
		fmt.Fprintf(&b, `<text x="%.1f" y="%d">%ds</text>`+"\n", x(i), svgHigh-10, i)
	}
	for n, l := range lines {
		var points []string
		for i, s := range all {
			points = append(points, fmt.Sprintf("%.1f,%.1f", x(i), y(l.at(s))))
		}
		fmt.Fprintf(&b, `<polyline fill="none" stroke="%s" stroke-width="1.5" points="%s"/><text x="%d" y="20" fill="%s">%s</text>`+"\n",
			l.color, strings.Join(points, " "), left+n*170, l.color, l.name)
	}
	b.WriteString("</svg>\n")
	_, err := io.WriteString(w, b.String())
	return err
}
