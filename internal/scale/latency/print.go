package latency

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// Failed returns the number of calls of all cases that failed. Rejected calls have not failed.
func (r *Result) Failed() int {
	n := 0
	for i := range r.Cases {
		n += r.Cases[i].All.Failed
	}
	return n
}

// printer writes columns and keeps the first error.
type printer struct {
	w   *tabwriter.Writer
	err error
}

func (p *printer) printf(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.w, format, args...)
	}
}

// flush writes the buffered columns.
func (p *printer) flush() {
	if p.err == nil {
		p.err = p.w.Flush()
	}
}

// Print writes a result as human-readable text.
func (r *Result) Print(out io.Writer) error {
	_, err := fmt.Fprintf(out, "%s, %s: %s on %d cores, calls spaced %s, sidecars with %g cores and %g MB; "+
		"goal %g ms added for 99 in 100\n",
		r.Plan, r.Date.Format("2006-01-02 15:04:05 UTC"), r.GoVersion, r.Cores, r.Spacing,
		r.SidecarCores, r.SidecarMemoryMB, r.TargetMS)
	if err != nil {
		return err
	}
	p := &printer{w: tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)}
	for i := range r.Cases {
		r.Cases[i].print(p, r.TargetMS)
	}
	p.flush()
	return p.err
}

func (cr *CaseResult) print(p *printer, target float64) {
	p.printf("\n%s: %g calls a second, %d hops\n", cr.Name, cr.RatePerSecond, cr.Hops)
	p.printf("ms\tcalls\tp50\tp90\tp99\tp99.9\tsend late p50\tp99\tseen late p99\trefused\tfailed\twaited\tload\t\n")
	for i := range cr.Rounds {
		cr.Rounds[i].print(p, fmt.Sprintf("round %d", i+1))
	}
	cr.All.print(p, "all")
	p.flush()
	p.printf("added p50 %s, p99 %s (goal %s); paired by rank p99 %s; direct against direct p99 %s; "+
		"a call has the sidecars' threads %.0f us on a core and %.0f us waiting for one\n",
		cr.AddedP50, cr.AddedP99, cr.Verdict(target), cr.CoupledP99, cr.DirectDifferenceP99,
		cr.SidecarCPUPerCallUS, cr.SidecarWaitPerCallUS)
}

func (f *Stats) print(p *printer, name string) {
	p.printf("%s direct\t%d\t%s\t%.4f\t%.4f\t%.4f\t%d\t%d\t%d\t%.1f\t\n",
		name, f.DirectCalls, f.Direct, f.SendLatenessP50, f.SendLatenessP99, f.ReceiveLatenessP99,
		f.Rejected, f.Failed, f.Waited, f.LoadAverage[0])
	p.printf("through\t%d\t%s\t\t\t\t\t\t\t\t\n", f.ThroughCalls, f.Through)
	p.printf("added\t\t%.3f\t%.3f\t%.3f\t\t\t\t\t\t\t\t\n", f.AddedP50, f.AddedP90, f.AddedP99)
}

// String returns the text of the median, the lowest and the highest value.
func (s Spread) String() string {
	return fmt.Sprintf("%.3f (%.3f to %.3f)", s.Median, s.Lowest, s.Highest)
}

// String returns the quantiles as tab-separated cells of a table.
func (q Quantiles) String() string {
	return fmt.Sprintf("%.3f\t%.3f\t%.3f\t%.3f", q.P50, q.P90, q.P99, q.P999)
}
