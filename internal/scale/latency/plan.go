// Package latency measures the latency that sidecars add to a call.
//
// A load generator sends calls at moments that are fixed beforehand, whatever has become of the
// calls before (an open loop), and counts each call's latency from its intended moment of sending
// to the last byte of its answer. So a stall is felt by every call that was due in it, and none is
// left out (no coordinated omission). In turn, in short segments of one run, the calls go directly
// to a stand-in backend and through sidecars before the same backend; what differs between the two
// is what the sidecars add. The direct segments, held against each other, show what the method and
// the machine differ by themselves.
package latency

import (
	"time"

	"fernlanding/internal/rules"
	"fernlanding/internal/tomldoc"
)

// Bounds of a plan.
const (
	MaxRate        = 20_000 // calls a second
	MaxHops        = 16
	MaxRounds      = 100
	MaxCycles      = 100
	MaxConnections = 1024
	MaxSegment     = time.Minute
	MaxWarmUp      = time.Minute
	MaxDuration    = 15 * time.Minute // of all cases, without the starts of processes
	maxCases       = 32
	maxBackends    = 64
	minRounds      = 3
	minObjective   = 10 * time.Millisecond
)

// Spacing is how the intended moments of sending are spaced.
type Spacing string

// The spacings.
const (
	Even    Spacing = "even"    // all gaps are equal
	Poisson Spacing = "poisson" // exponential gaps, as of many independent clients
)

// Plan is what a run measures.
type Plan struct {
	Name     string
	Seed     uint64        // of all schedules
	TargetMS float64       // that the sidecars may add to 99 in 100 calls; for the report
	Spacing  Spacing       // of the intended moments
	WarmUp   time.Duration // of load on each path before the first round of a case
	Segment  time.Duration // of load on one path at a time
	Sidecar  Sidecar
	Cases    []Case
}

// Sidecar is what each sidecar is told.
type Sidecar struct {
	Cores    float64
	MemoryMB float64
	// Of the calls' class. Calls that a stall delays beyond them are rejected, and so part of no
	// distribution.
	Objective, Deadline time.Duration
}

// Case is one rate over one number of hops.
type Case struct {
	Name        string
	Rate        float64 // calls a second
	Hops        int     // sidecars in a row
	Rounds      int
	Cycles      int // of four segments (direct, through, direct, through) in each round
	Connections int // kept to the backend and to the first sidecar, each
	Backends    int // stand-ins, in one process
}

// length is how long the load of a case lasts.
func (c *Case) length(p *Plan) time.Duration {
	return 2*p.WarmUp + time.Duration(c.Rounds*c.Cycles*segmentsPerCycle)*p.Segment
}

// ReadPlan reads a plan from a TOML file's bytes. Its faults name file, line, column and field.
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
	var all time.Duration
	for _, v := range list {
		c := readCase(v)
		all += c.length(p)
		p.Cases = append(p.Cases, c)
	}
	if all > MaxDuration {
		s.ReportField(rules.Range, "cases", "load for %v, %v at most expected", all, MaxDuration)
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
		v.ReportField(rules.Range, "objective", "the deadline of %v at most expected", s.Deadline)
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
