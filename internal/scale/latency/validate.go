package latency

import (
	"fmt"
	"math"
	"strings"
)

// validate returns an error for the first field with an invalid value, or nil.
func (r *Result) validate() *ResultError {
	c := &validator{}
	c.require(r.Format == Format, "format", "got %d, want %d", r.Format, Format)
	c.require(r.Plan != "", "plan", "missing name of the plan")
	c.require(!r.Date.IsZero(), "date", "missing time of the run")
	c.require(strings.HasPrefix(r.GoVersion, "go") || strings.HasPrefix(r.GoVersion, "devel"), "go_version",
		"got %q, want a Go version", r.GoVersion)
	c.require(r.Cores >= 1, "cores", "got %d, want at least 1", r.Cores)
	c.require(r.Spacing == Even || r.Spacing == Poisson, "spacing",
		"got %q, want %q or %q", r.Spacing, Even, Poisson)
	c.requireWithin(r.SidecarCores, minPositive, 1024, "sidecar_cores")
	c.requireWithin(r.SidecarMemoryMB, minPositive, 1<<20, "sidecar_memory_mb")
	c.requireWithin(r.TargetMS, minPositive, maxMS, "target_added_p99_ms")
	c.require(len(r.Cases) > 0 && len(r.Cases) <= maxCases, "cases",
		"got %d, want 1 to %d", len(r.Cases), maxCases)
	for i := range r.Cases {
		c.path = fmt.Sprintf("cases[%d].", i)
		r.Cases[i].validate(c)
	}
	return c.first
}

func (cr *CaseResult) validate(c *validator) {
	path := c.path
	c.require(cr.Name != "", "name", "missing name of the case")
	c.requireWithin(cr.RatePerSecond, 1, MaxRate, "rate_per_second")
	c.require(cr.Hops >= 1 && cr.Hops <= MaxHops, "hops", "got %d, want 1 to %d", cr.Hops, MaxHops)
	c.require(cr.Connections >= 1 && cr.Connections <= MaxConnections, "connections",
		"got %d, want 1 to %d", cr.Connections, MaxConnections)
	c.require(cr.Backends >= 1 && cr.Backends <= maxBackends, "backends",
		"got %d, want 1 to %d", cr.Backends, maxBackends)
	c.requireWithin(cr.SegmentSeconds, minPositive, MaxSegment.Seconds(), "segment_seconds")
	c.requireWithin(cr.SidecarCPUPerCallUS, 0, maxUS, "sidecar_cpu_per_call_us")
	c.requireWithin(cr.SidecarWaitPerCallUS, 0, maxUS, "sidecar_wait_per_call_us")
	c.require(len(cr.Rounds) >= minRounds && len(cr.Rounds) <= MaxRounds, "rounds",
		"got %d, want %d to %d", len(cr.Rounds), minRounds, MaxRounds)
	for i := range cr.Rounds {
		c.path = fmt.Sprintf("%srounds[%d].", path, i)
		cr.Rounds[i].validate(c)
	}
	c.path = path + "all."
	cr.All.validate(c)
	c.path = path
	if len(cr.Rounds) > 0 {
		cr.validateSums(c)
	}
}

// validateSums compares the statistics of all rounds with the rounds.
func (cr *CaseResult) validateSums(c *validator) {
	var sum Stats
	for i := range cr.Rounds {
		sum.DirectCalls += cr.Rounds[i].DirectCalls
		sum.ThroughCalls += cr.Rounds[i].ThroughCalls
		sum.Rejected += cr.Rounds[i].Rejected
		sum.Failed += cr.Rounds[i].Failed
		sum.Waited += cr.Rounds[i].Waited
	}
	c.require(cr.All.DirectCalls == sum.DirectCalls, "all.direct_calls",
		"got %d, want the sum over the rounds, %d", cr.All.DirectCalls, sum.DirectCalls)
	c.require(cr.All.ThroughCalls == sum.ThroughCalls, "all.through_calls",
		"got %d, want the sum over the rounds, %d", cr.All.ThroughCalls, sum.ThroughCalls)
	c.require(cr.All.Rejected == sum.Rejected, "all.refused_calls",
		"got %d, want the sum over the rounds, %d", cr.All.Rejected, sum.Rejected)
	c.require(cr.All.Failed == sum.Failed, "all.failed_calls",
		"got %d, want the sum over the rounds, %d", cr.All.Failed, sum.Failed)
	c.require(cr.All.Waited == sum.Waited, "all.waited_calls",
		"got %d, want the sum over the rounds, %d", cr.All.Waited, sum.Waited)
	for _, s := range cr.spreads() {
		want := spreadOf(s.values(cr.Rounds))
		c.requireNear(s.spread.Median, want.Median, s.field+".median")
		c.requireNear(s.spread.Lowest, want.Lowest, s.field+".lowest")
		c.requireNear(s.spread.Highest, want.Highest, s.field+".highest")
	}
}

func (f *Stats) validate(c *validator) {
	c.require(f.DirectCalls >= 1, "direct_calls", "got %d, want at least 1", f.DirectCalls)
	c.require(f.ThroughCalls >= 1, "through_calls", "got %d, want at least 1", f.ThroughCalls)
	calls := f.DirectCalls + f.ThroughCalls
	c.require(f.Rejected >= 0 && f.Rejected < calls, "refused_calls",
		"got %d, want less than %d", f.Rejected, calls)
	c.require(f.Failed >= 0 && f.Failed < calls-f.Rejected, "failed_calls",
		"got %d, want less than %d", f.Failed, calls-f.Rejected)
	c.require(f.Waited >= 0 && f.Waited <= calls, "waited_calls",
		"got %d, want at most %d", f.Waited, calls)
	f.Direct.validate(c, "direct")
	f.Through.validate(c, "through")
	c.requireNear(f.AddedP50, f.Through.P50-f.Direct.P50, "added_p50_ms")
	c.requireNear(f.AddedP90, f.Through.P90-f.Direct.P90, "added_p90_ms")
	c.requireNear(f.AddedP99, f.Through.P99-f.Direct.P99, "added_p99_ms")
	c.requireWithin(f.CoupledP99, -maxMS, maxMS, "coupled_p99_ms")
	c.requireWithin(f.DirectDifferenceP50, -maxMS, maxMS, "same_p50_ms")
	c.requireWithin(f.DirectDifferenceP99, -maxMS, maxMS, "same_p99_ms")
	c.requireWithin(f.SendLatenessP50, 0, maxMS, "send_lateness_p50_ms")
	c.requireWithin(f.SendLatenessP99, f.SendLatenessP50, maxMS, "send_lateness_p99_ms")
	c.requireWithin(f.ReceiveLatenessP99, 0, maxMS, "receive_lateness_p99_ms")
	for _, load := range f.LoadAverage {
		c.requireWithin(load, 0, maxLoad, "load_average")
	}
}

func (q *Quantiles) validate(c *validator, name string) {
	lowest := minPositive
	for _, x := range []struct {
		field string
		value float64
	}{{"p50_ms", q.P50}, {"p90_ms", q.P90}, {"p99_ms", q.P99}, {"p999_ms", q.P999}} {
		c.requireWithin(x.value, lowest, maxMS, name+"."+x.field)
		lowest = x.value
	}
}

// validator keeps the first error.
type validator struct {
	path  string
	first *ResultError
}

func (c *validator) require(holds bool, field, format string, args ...any) {
	if !holds && c.first == nil {
		c.first = &ResultError{Field: c.path + field, Problem: fmt.Sprintf(format, args...)}
	}
}

func (c *validator) requireWithin(v, lowest, highest float64, field string) {
	c.require(v >= lowest && v <= highest, field, "got %g, want %g to %g", v, lowest, highest)
}

func (c *validator) requireNear(v, want float64, field string) {
	c.require(math.Abs(v-want) <= tolerance, field, "got %g, want %g from other fields", v, want)
}
