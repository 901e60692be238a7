package latency

import (
	"fmt"
	"io"
	"math"
	"text/tabwriter"
)

// Failed is how many calls of all cases had no good answer.
func (r *Result) Failed() (n int) {
	for i := range r.Cases {
		n += r.Cases[i].All.Failed
	}
	return n
}

// Print writes a result for people.
func (r *Result) Print(out io.Writer) error {
	fmt.Fprintf(out, "%s, %s: %s on %d cores, calls spaced %s, sidecars with %g cores and %g MB; goal %g ms added for 99 in 100\n",
		r.Plan, r.Date.Format("2006-01-02 15:04:05 UTC"), r.GoVersion, r.Cores, r.Spacing, r.SidecarCores, r.SidecarMemoryMB, r.TargetMS)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	for i := range r.Cases {
		r.Cases[i].print(w, r.TargetMS)
	}
	return w.Flush()
}

func (x *CaseResult) print(w *tabwriter.Writer, target float64) {
	fmt.Fprintf(w, "\n%s: %g calls a second, %d hops\n", x.Name, x.RatePerSecond, x.Hops)
	fmt.Fprintln(w, "ms\tcalls\tp50\tp90\tp99\tp99.9\tsend late p50\tp99\tseen late p99\trefused\tfailed\twaited\tload\t")
	for i := range x.Rounds {
		x.Rounds[i].print(w, fmt.Sprintf("round %d", i+1))
	}
	x.All.print(w, "all")
	w.Flush()
	fmt.Fprintf(w, "added p50 %s, p99 %s (goal %s); paired by rank p99 %s; direct against direct p99 %s; a call has the sidecars' threads %.0f us on a core and %.0f us waiting for one\n",
		x.AddedP50, x.AddedP99, x.Verdict(target), x.CoupledP99, x.SameP99, x.SidecarCPUPerCallUS, x.SidecarWaitPerCallUS)
}

// Verdict says whether the median of the rounds' added p99s keeps within a goal.
type Verdict string

// The verdicts.
const (
	Reached   Verdict = "reached"
	Missed    Verdict = "missed"
	Undecided Verdict = "undecided" // the machine was too busy to tell
)

// lateForGoal is the part of a goal by which 1 in 100 calls may be sent late, or the run says nothing of the goal.
const lateForGoal = 0.1

// Verdict holds a case against a goal in milliseconds. It is undecided where the median lies no further from the goal than direct calls
// from direct calls in half of the rounds, and where the client was itself held up.
func (x *CaseResult) Verdict(target float64) Verdict {
	distance := x.AddedP99.Median - target
	switch {
	case math.Abs(distance) <= x.Noise(), x.All.SendLatenessP99 > lateForGoal*target:
		return Undecided
	case distance > 0:
		return Missed
	}
	return Reached
}

// Noise is how far direct calls lay from direct calls in half of the rounds, in milliseconds.
func (x *CaseResult) Noise() float64 {
	noise := make([]float64, len(x.Rounds))
	for i := range x.Rounds {
		noise[i] = math.Abs(x.Rounds[i].SameP99)
	}
	return spreadOf(noise).Median
}

// String is the median with the lowest and the highest.
func (s Spread) String() string {
	return fmt.Sprintf("%.3f (%.3f to %.3f)", s.Median, s.Lowest, s.Highest)
}

func (f *Figures) print(w io.Writer, name string) {
	fmt.Fprintf(w, "%s direct\t%d\t%s\t%.4f\t%.4f\t%.4f\t%d\t%d\t%d\t%.1f\t\n", name, f.DirectCalls, f.Direct, f.SendLatenessP50, f.SendLatenessP99,
		f.ReceiveLatenessP99, f.Refused, f.Failed, f.Waited, f.LoadAverage[0])
	fmt.Fprintf(w, "through\t%d\t%s\t\t\t\t\t\t\t\t\n", f.ThroughCalls, f.Through)
	fmt.Fprintf(w, "added\t\t%.3f\t%.3f\t%.3f\t\t\t\t\t\t\t\t\n", f.AddedP50, f.AddedP90, f.AddedP99)
}

// String is the quantiles as cells of a table.
func (q Quantiles) String() string {
	return fmt.Sprintf("%.3f\t%.3f\t%.3f\t%.3f", q.P50, q.P90, q.P99, q.P999)
}
