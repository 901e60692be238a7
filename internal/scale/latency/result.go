package latency

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"regexp"
	"strings"
	"time"
)

// Format is the version of plans and results.
const Format = 1

// MaxResult is the size of a result's file in bytes.
const MaxResult = 1 << 20

const (
	leastPositive = 1e-6     // of figures that can't be zero
	maxMS         = 60_000.0 // of any time in a result
	maxUS         = 1e9
	maxLoad       = 1e6
	tolerance     = 1e-6 // milliseconds by which a difference may miss its terms
)

// Result is what a run has measured. All times are in milliseconds.
type Result struct {
	Format          int          `json:"format"`
	Plan            string       `json:"plan"`
	Date            time.Time    `json:"date"`
	GoVersion       string       `json:"go_version"`
	Cores           int          `json:"cores"`
	Seed            uint64       `json:"seed"`
	Spacing         Spacing      `json:"spacing"`
	SidecarCores    float64      `json:"sidecar_cores"`
	SidecarMemoryMB float64      `json:"sidecar_memory_mb"`
	TargetMS        float64      `json:"target_added_p99_ms"`
	Cases           []CaseResult `json:"cases"`
}

// CaseResult is what one case has given.
type CaseResult struct {
	Name           string  `json:"name"`
	RatePerSecond  float64 `json:"rate_per_second"`
	Hops           int     `json:"hops"`
	Connections    int     `json:"connections"`
	Backends       int     `json:"backends"`
	SegmentSeconds float64 `json:"segment_seconds"`
	// Of all threads of all sidecars of the chain, for a call that goes through them: their time on a core, and their time of waiting for
	// one while others had them all. The second is the machine's, not the sidecar's.
	SidecarCPUPerCallUS  float64   `json:"sidecar_cpu_per_call_us"`
	SidecarWaitPerCallUS float64   `json:"sidecar_wait_per_call_us"`
	AddedP50             Spread    `json:"added_p50_ms"` // of the rounds' figures
	AddedP99             Spread    `json:"added_p99_ms"`
	CoupledP99           Spread    `json:"coupled_p99_ms"`
	SameP99              Spread    `json:"same_p99_ms"`
	All                  Figures   `json:"all"` // of the calls of all rounds together
	Rounds               []Figures `json:"rounds"`
}

// Figures are what the calls of one round, or of all, have given.
type Figures struct {
	DirectCalls  int       `json:"direct_calls"`
	ThroughCalls int       `json:"through_calls"`
	Refused      int       `json:"refused_calls"` // of both ways, answered with 503; they are in none of the distributions
	Failed       int       `json:"failed_calls"`  // of both ways, without a whole answer or with another status than 200 and 503
	Failure      string    `json:"first_failure,omitempty"`
	Waited       int       `json:"waited_calls"` // of both ways, due while no connection was idle
	Direct       Quantiles `json:"direct"`
	Through      Quantiles `json:"through"`
	// Through less direct, quantile by quantile.
	AddedP50 float64 `json:"added_p50_ms"`
	AddedP90 float64 `json:"added_p90_ms"`
	AddedP99 float64 `json:"added_p99_ms"`
	// The 99th percentile of the differences of calls that are paired by rank.
	CoupledP99 float64 `json:"coupled_p99_ms"`
	// The second direct segments less the first: what the method and the machine differ by themselves.
	SameP50 float64 `json:"same_p50_ms"`
	SameP99 float64 `json:"same_p99_ms"`
	// From the intended moments to the sending, and the most by which answers were seen late, of both ways.
	SendLatenessP50    float64    `json:"send_lateness_p50_ms"`
	SendLatenessP99    float64    `json:"send_lateness_p99_ms"`
	ReceiveLatenessP99 float64    `json:"receive_lateness_p99_ms"`
	LoadAverage        [3]float64 `json:"load_average"` // of the machine over 1, 5 and 15 minutes, at the end
}

// Fault is what is wrong with a result's file.
type Fault struct {
	File  string
	Line  int    // 0: not known
	Field string // path of the field; empty: not known
	Text  string // what was found, and what is expected
}

// Error implements error in one line.
func (f *Fault) Error() string {
	place := f.File
	if f.Line > 0 {
		place = fmt.Sprintf("%s:%d", place, f.Line)
	}
	if f.Field != "" {
		place += ": " + f.Field
	}
	return place + ": " + f.Text
}

// ReadResult reads a result from a file's bytes. Its error is a *Fault: file, line and field of the first thing that is wrong.
func ReadResult(name string, data []byte) (*Result, error) {
	if len(data) > MaxResult {
		return nil, &Fault{File: name, Text: fmt.Sprintf("%d bytes found, %d at most expected", len(data), MaxResult)}
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	var r Result
	if err := decoder.Decode(&r); err != nil {
		return nil, decodeFault(name, data, err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, &Fault{File: name, Line: lineAt(data, decoder.InputOffset()), Text: "more than one value found, the end of the file expected"}
	}
	if f := r.check(); f != nil {
		f.File, f.Line = name, lineOfField(data, f.Field)
		return nil, f
	}
	return &r, nil
}

var unknownField = regexp.MustCompile(`^json: unknown field "(.*)"$`)

// decodeFault words a decoder's error.
func decodeFault(name string, data []byte, err error) *Fault {
	var syntax *json.SyntaxError
	var kind *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntax):
		return &Fault{File: name, Line: lineAt(data, syntax.Offset), Text: err.Error()}
	case errors.As(err, &kind):
		return &Fault{File: name, Line: lineAt(data, kind.Offset), Field: kind.Field, Text: fmt.Sprintf("%s found, %s expected", kind.Value, kind.Type)}
	}
	if m := unknownField.FindStringSubmatch(err.Error()); m != nil {
		return &Fault{File: name, Line: lineOfName(data, m[1]), Field: m[1], Text: fmt.Sprintf("unknown field, one of format %d expected", Format)}
	}
	return &Fault{File: name, Text: strings.ReplaceAll(err.Error(), "\n", " ")}
}

// lineAt is the line of an offset, from 1.
func lineAt(data []byte, offset int64) int {
	return 1 + bytes.Count(data[:min(max(offset, 0), int64(len(data)))], []byte("\n"))
}

// check returns the first field whose value is impossible.
func (r *Result) check() *Fault {
	c := &checker{}
	c.that(r.Format == Format, "format", "%d found, %d expected", r.Format, Format)
	c.that(r.Plan != "", "plan", "the plan's name expected")
	c.that(!r.Date.IsZero(), "date", "the run's time expected")
	c.that(strings.HasPrefix(r.GoVersion, "go") || strings.HasPrefix(r.GoVersion, "devel"), "go_version", "%q found, a version of Go expected", r.GoVersion)
	c.that(r.Cores >= 1, "cores", "%d found, 1 at least expected", r.Cores)
	c.that(r.Spacing == Even || r.Spacing == Poisson, "spacing", "%q found, %q or %q expected", r.Spacing, Even, Poisson)
	c.within(r.SidecarCores, leastPositive, 1024, "sidecar_cores")
	c.within(r.SidecarMemoryMB, leastPositive, 1<<20, "sidecar_memory_mb")
	c.within(r.TargetMS, leastPositive, maxMS, "target_added_p99_ms")
	c.that(len(r.Cases) > 0 && len(r.Cases) <= maxCases, "cases", "%d found, 1 to %d expected", len(r.Cases), maxCases)
	for i := range r.Cases {
		c.path = fmt.Sprintf("cases[%d].", i)
		r.Cases[i].check(c)
	}
	return c.first
}

func (x *CaseResult) check(c *checker) {
	path := c.path
	c.that(x.Name != "", "name", "the case's name expected")
	c.within(x.RatePerSecond, 1, MaxRate, "rate_per_second")
	c.that(x.Hops >= 1 && x.Hops <= MaxHops, "hops", "%d found, 1 to %d expected", x.Hops, MaxHops)
	c.that(x.Connections >= 1 && x.Connections <= MaxConnections, "connections", "%d found, 1 to %d expected", x.Connections, MaxConnections)
	c.that(x.Backends >= 1 && x.Backends <= maxBackends, "backends", "%d found, 1 to %d expected", x.Backends, maxBackends)
	c.within(x.SegmentSeconds, leastPositive, MaxSegment.Seconds(), "segment_seconds")
	c.within(x.SidecarCPUPerCallUS, 0, maxUS, "sidecar_cpu_per_call_us")
	c.within(x.SidecarWaitPerCallUS, 0, maxUS, "sidecar_wait_per_call_us")
	c.that(len(x.Rounds) >= minRounds && len(x.Rounds) <= MaxRounds, "rounds", "%d found, %d to %d expected", len(x.Rounds), minRounds, MaxRounds)
	for i := range x.Rounds {
		c.path = fmt.Sprintf("%srounds[%d].", path, i)
		x.Rounds[i].check(c)
	}
	c.path = path + "all."
	x.All.check(c)
	c.path = path
	if len(x.Rounds) > 0 {
		x.checkSums(c)
	}
}

// checkSums holds what is said of all rounds against the rounds.
func (x *CaseResult) checkSums(c *checker) {
	var sum Figures
	for i := range x.Rounds {
		sum.DirectCalls += x.Rounds[i].DirectCalls
		sum.ThroughCalls += x.Rounds[i].ThroughCalls
		sum.Refused += x.Rounds[i].Refused
		sum.Failed += x.Rounds[i].Failed
		sum.Waited += x.Rounds[i].Waited
	}
	c.that(x.All.DirectCalls == sum.DirectCalls, "all.direct_calls", "%d found, the rounds' sum of %d expected", x.All.DirectCalls, sum.DirectCalls)
	c.that(x.All.ThroughCalls == sum.ThroughCalls, "all.through_calls", "%d found, the rounds' sum of %d expected", x.All.ThroughCalls, sum.ThroughCalls)
	c.that(x.All.Refused == sum.Refused, "all.refused_calls", "%d found, the rounds' sum of %d expected", x.All.Refused, sum.Refused)
	c.that(x.All.Failed == sum.Failed, "all.failed_calls", "%d found, the rounds' sum of %d expected", x.All.Failed, sum.Failed)
	c.that(x.All.Waited == sum.Waited, "all.waited_calls", "%d found, the rounds' sum of %d expected", x.All.Waited, sum.Waited)
	for _, s := range x.spreads() {
		want := spreadOf(s.of(x.Rounds))
		c.near(s.spread.Median, want.Median, s.field+".median")
		c.near(s.spread.Lowest, want.Lowest, s.field+".lowest")
		c.near(s.spread.Highest, want.Highest, s.field+".highest")
	}
}

// roundSpread is a figure of rounds, and its spread.
type roundSpread struct {
	field  string
	spread *Spread
	pick   func(*Figures) float64
}

func (s roundSpread) of(rounds []Figures) []float64 {
	out := make([]float64, len(rounds))
	for i := range rounds {
		out[i] = s.pick(&rounds[i])
	}
	return out
}

// spreads are the figures of which a case tells the spread over its rounds.
func (x *CaseResult) spreads() []roundSpread {
	return []roundSpread{
		{"added_p50_ms", &x.AddedP50, func(f *Figures) float64 { return f.AddedP50 }},
		{"added_p99_ms", &x.AddedP99, func(f *Figures) float64 { return f.AddedP99 }},
		{"coupled_p99_ms", &x.CoupledP99, func(f *Figures) float64 { return f.CoupledP99 }},
		{"same_p99_ms", &x.SameP99, func(f *Figures) float64 { return f.SameP99 }},
	}
}

// sum fills in what follows from the rounds.
func (x *CaseResult) sum() {
	for _, s := range x.spreads() {
		*s.spread = spreadOf(s.of(x.Rounds))
	}
}

func (f *Figures) check(c *checker) {
	c.that(f.DirectCalls >= 1, "direct_calls", "%d found, 1 at least expected", f.DirectCalls)
	c.that(f.ThroughCalls >= 1, "through_calls", "%d found, 1 at least expected", f.ThroughCalls)
	calls := f.DirectCalls + f.ThroughCalls
	c.that(f.Refused >= 0 && f.Refused < calls, "refused_calls", "%d of %d found", f.Refused, calls)
	c.that(f.Failed >= 0 && f.Failed < calls-f.Refused, "failed_calls", "%d of %d found", f.Failed, calls-f.Refused)
	c.that(f.Waited >= 0 && f.Waited <= calls, "waited_calls", "%d of %d found", f.Waited, calls)
	f.Direct.check(c, "direct")
	f.Through.check(c, "through")
	c.near(f.AddedP50, f.Through.P50-f.Direct.P50, "added_p50_ms")
	c.near(f.AddedP90, f.Through.P90-f.Direct.P90, "added_p90_ms")
	c.near(f.AddedP99, f.Through.P99-f.Direct.P99, "added_p99_ms")
	c.within(f.CoupledP99, -maxMS, maxMS, "coupled_p99_ms")
	c.within(f.SameP50, -maxMS, maxMS, "same_p50_ms")
	c.within(f.SameP99, -maxMS, maxMS, "same_p99_ms")
	c.within(f.SendLatenessP50, 0, maxMS, "send_lateness_p50_ms")
	c.within(f.SendLatenessP99, f.SendLatenessP50, maxMS, "send_lateness_p99_ms")
	c.within(f.ReceiveLatenessP99, 0, maxMS, "receive_lateness_p99_ms")
	for _, load := range f.LoadAverage {
		c.within(load, 0, maxLoad, "load_average")
	}
}

func (q *Quantiles) check(c *checker, name string) {
	least := leastPositive
	for _, x := range []struct {
		field string
		value float64
	}{{"p50_ms", q.P50}, {"p90_ms", q.P90}, {"p99_ms", q.P99}, {"p999_ms", q.P999}} {
		c.within(x.value, least, maxMS, name+"."+x.field)
		least = x.value
	}
}

// checker keeps the first fault.
type checker struct {
	path  string
	first *Fault
}

func (c *checker) that(holds bool, field, format string, args ...any) {
	if !holds && c.first == nil {
		c.first = &Fault{Field: c.path + field, Text: fmt.Sprintf(format, args...)}
	}
}

func (c *checker) within(v, least, most float64, field string) {
	c.that(v >= least && v <= most, field, "%g found, %g to %g expected", v, least, most)
}

func (c *checker) near(v, want float64, field string) {
	c.that(math.Abs(v-want) <= tolerance, field, "%g found, %g expected by its terms", v, want)
}
