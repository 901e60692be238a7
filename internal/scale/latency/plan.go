// Package latency measures the latency that sidecars add to a call.
//
// An open-loop load generator sends calls at scheduled times, regardless of the progress of earlier
// calls. It measures the latency of each call from the intended send time to the last byte of the
// response. A stall therefore affects every call that is due during the stall, and no call is
// omitted (no coordinated omission).
//
// Each run consists of short alternating segments. In one segment, the calls go directly to a
// stand-in backend. In the next segment, they go through sidecars in front of the same backend. The
// difference is the latency that the sidecars add. The difference between direct segments is the
// error of the method and the machine.
package latency

import (
	"time"

	"fernlanding/internal/rules"
	"fernlanding/internal/tomldoc"
)

// Limits of a plan.
const (
	MaxRate        = 20_000 // calls per second
	MaxHops        = 16
	MaxRounds      = 100
	MaxCycles      = 100
	MaxConnections = 1024
	MaxSegment     = time.Minute
	MaxWarmUp      = time.Minute
	MaxDuration    = 15 * time.Minute // of all cases, without the start of processes
	maxCases       = 32
	maxBackends    = 64
	minRounds      = 3
	minObjective   = 10 * time.Millisecond
)

// Spacing is the distribution of the gaps between intended send times.
type Spacing string

// The spacings.
const (
	Even    Spacing = "even"    // equal gaps
	Poisson Spacing = "poisson" // exponentially distributed gaps, as with many independent clients
)

// Plan describes the measurements of a run.
type Plan struct {
	Name     string
	Seed     uint64        // seed of all schedules
	TargetMS float64       // target of the added 99th percentile, used in the report only
	Spacing  Spacing       // of the intended send times
	WarmUp   time.Duration // duration of load on each path before the first round of a case
	Segment  time.Duration // duration of a segment
	Sidecar  Sidecar
	Cases    []Case
}

// Sidecar holds the settings of each sidecar.
type Sidecar struct {
	Cores    float64
	MemoryMB float64
	// Objective and Deadline are settings of the class of the calls. Calls that a stall delays beyond
	// these times are rejected, and rejected calls are not part of the distributions.
	Objective, Deadline time.Duration
}

// Case is a combination of a call rate and a number of hops.
type Case struct {
	Name        string
	Rate        float64 // calls per second
	Hops        int     // sidecars in series
	Rounds      int
	Cycles      int // per round, each of four segments (direct, through, direct, through)
	Connections int // to the backends, and as many to the first sidecar
	Backends    int // stand-in backends in one process
}

// duration returns the total duration of the load of a case.
func (c *Case) duration(p *Plan) time.Duration {
	return 2*p.WarmUp + time.Duration(c.Rounds*c.Cycles*segmentsPerCycle)*p.Segment
}

// ReadPlan decodes a plan from TOML. The error names file, line, column and field of each problem.
func ReadPlan(file string, data []byte) (*Plan, error) {
	return tomldoc.Decode(file, data, readPlan)
}

func readPlan(s tomldoc.Scope) *Plan {
	s.Int("format", 0, Format, Format)
	if !s.Has("format") {
		s.ReportField(rules.Missing, "format", "format = %d expected", Format)
	}
	p := &Plan{
		Name:     s.Text("name", "latency"),
		Seed:     uint64(s.Int("seed", 1, 0, 1<<62)),
		TargetMS: s.Float("target_added_p99_ms", 0.34, 0.001, 1e4),
		Spacing:  Spacing(s.OneOf("spacing", string(Poisson), string(Even), string(Poisson))),
		WarmUp:   s.Duration("warm", 2*time.Second, 0, MaxWarmUp),
		Segment:  s.Duration("segment", time.Second, 10*time.Millisecond, MaxSegment),
	}
	v := s.Table("sidecar")
	p.Sidecar = readSidecar(v)
	v.ReportUnknown()
	list := s.TableArray("cases")
	if len(list) == 0 || len(list) > maxCases {
		s.ReportField(rules.Missing, "cases", "1 to %d [[cases]] expected, %d found", maxCases, len(list))
	}
	var total time.Duration
	for _, v := range list {
		c := readCase(v)
		total += c.duration(p)
		p.Cases = append(p.Cases, c)
	}
	if total > MaxDuration {
		s.ReportField(rules.Range, "cases", "load of %v found, at most %v expected", total, MaxDuration)
	}
	s.ReportUnknown()
	return p
}

func readSidecar(v tomldoc.Scope) Sidecar {
	s := Sidecar{
		Cores:     v.Float("cores", 2, 0.1, 256),
		MemoryMB:  v.Float("memory_mb", 64, 16, 1<<16),
		Objective: v.Duration("objective", time.Second, minObjective, callTimeout),
		Deadline:  v.Duration("deadline", 4*time.Second, minObjective, callTimeout),
	}
	if s.Objective > s.Deadline {
		v.ReportField(rules.Range, "objective", "at most the deadline of %v expected", s.Deadline)
	}
	return s
}

func readCase(v tomldoc.Scope) Case {
	c := Case{
		Name:        v.Text("name", ""),
		Rate:        v.Float("rate_per_second", 0, 1, MaxRate),
		Hops:        int(v.Int("hops", 1, 1, MaxHops)),
		Rounds:      int(v.Int("rounds", minRounds, minRounds, MaxRounds)),
		Cycles:      int(v.Int("cycles", 1, 1, MaxCycles)),
		Connections: int(v.Int("connections", 32, 1, MaxConnections)),
		Backends:    int(v.Int("backends", 1, 1, maxBackends)),
	}
	for _, field := range []string{"name", "rate_per_second"} {
		if !v.Has(field) {
			v.ReportField(rules.Missing, field, "the case's %s expected", field)
		}
	}
	v.ReportUnknown()
	return c
}
