// Package scenario is the description of a sweep of fernctl scale: what is played, which dimension is varied over which
// sizes, and for how long each is measured. It is pure: bytes come in as an argument.
package scenario

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"fernlanding/internal/rules"
	"fernlanding/internal/scale/result"
	"fernlanding/internal/tomldoc"
)

// Format is the version of the file format that this program reads.
const Format = 1

// Bounds of a scenario.
const (
	MaxProxies   = 100_000
	MaxReal      = 200 // processes of the program itself
	MaxServices  = 256 // that a proxy follows: the bound of its configuration
	MaxInAll     = 8192
	MaxBackends  = 2000 // of a service
	MaxChanges   = 10_000
	MaxCalls     = 100_000
	MaxProcesses = 64 // of hollow proxies, and of relays
	MaxSpan      = 10 * time.Minute
	MaxRounds    = 20
	MinSizes     = 5 // of a sweep
	MaxSizes     = 20
	Apart        = 2 // the factor between two neighbouring sizes, at least, but for slack
	slack        = 0.99
)

// Scenario is a sweep.
type Scenario struct {
	Name      string
	Source    result.Source
	Hollow    bool
	Seed      uint64
	WarmUp    time.Duration // at each size, before its first round
	Span      time.Duration // of a round
	Settle    time.Duration // after a span, until its last changes are to be in force
	Rounds    int
	Size      result.Size // what is not varied
	Dimension result.Dimension
	Sizes     []float64 // ascending
	HeldOut   float64   // a further size, larger than all others, that no fit uses; 0: none
	Processes Processes
}

// Processes say how many there are.
type Processes struct {
	Proxies   int // of hollow proxies; real ones have a process each
	Relays    int // with source = "relay"
	GCPercent int // of what lives, in those with hollow proxies, before the next collection: less takes less memory and more time
}

// Points are the sizes to be played, ascending; the held-out one is last.
func (x *Scenario) Points() (out []result.Point) {
	for _, size := range x.Sizes {
		out = append(out, result.Point{Size: x.at(size)})
	}
	if x.HeldOut > 0 {
		out = append(out, result.Point{Size: x.at(x.HeldOut), HeldOut: true})
	}
	return out
}

// at is the size with its varied dimension set.
func (x *Scenario) at(value float64) result.Size {
	s := x.Size
	switch x.Dimension {
	case result.Proxies:
		s.Proxies = int(value)
	case result.Services:
		s.Services = int(value)
	case result.Backends:
		s.Backends = int(value)
	case result.Changes:
		s.ChangesPerSecond = value
	case result.Calls:
		s.CallsPerSecond = value
	}
	s.ServicesInAll = max(s.ServicesInAll, s.Services)
	return s
}

// Read reads a scenario. The error lists all faults, one a line.
func Read(file string, data []byte) (*Scenario, error) {
	return tomldoc.Decode(file, data, read)
}

func read(s tomldoc.Scope) *Scenario {
	if !s.Has("format") {
		s.Bad(rules.Version, "format", "the file's format, %d, expected", Format)
	}
	s.Whole("format", Format, Format, Format)
	x := &Scenario{
		Name: s.Text("name", ""), Seed: uint64(s.Whole("seed", 1, 0, 1<<62)), Hollow: true,
		Source: result.Source(s.Word("source", string(result.SourceConsul), string(result.SourceStatic), string(result.SourceConsul), string(result.SourceRelay))),
		WarmUp: s.Span("warm_up", 3*time.Second, 0, MaxSpan), Span: s.Span("span", 5*time.Second, 10*time.Millisecond, MaxSpan),
		Settle: s.Span("settle", 2500*time.Millisecond, 0, MaxSpan),
		Rounds: int(s.Whole("rounds", 3, 1, MaxRounds)),
	}
	if x.Name == "" {
		s.Bad(rules.Missing, "name", "the scenario's name expected")
	}
	if s.Has("hollow") {
		x.Hollow = s.Flag("hollow")
	}
	x.Size = readSize(s.Sub("size"))
	x.readSweep(s.Sub("sweep"))
	p := s.Sub("processes")
	x.Processes = Processes{
		Proxies: int(p.Whole("proxies", 4, 1, MaxProcesses)), Relays: int(p.Whole("relays", 1, 1, MaxProcesses)),
		GCPercent: int(p.Whole("gc_percent", 100, 5, 1000)),
	}
	p.Done()
	if largest := x.largest(); !x.Hollow && largest.Proxies > MaxReal {
		s.Bad(rules.Range, "hollow", "%d real proxies at most expected, %d found", MaxReal, largest.Proxies)
	}
	if x.Source == result.SourceStatic && x.largest().ChangesPerSecond > 0 {
		s.Bad(rules.Exclusive, "source", "lists that stand in the configuration do not change: changes_per_second 0 expected")
	}
	s.Done()
	return x
}

// largest is the largest size that is played.
func (x *Scenario) largest() result.Size {
	points := x.Points()
	if len(points) == 0 {
		return x.Size
	}
	return points[len(points)-1].Size
}

func readSize(s tomldoc.Scope) result.Size {
	out := result.Size{
		Proxies: int(s.Whole("proxies", 100, 1, MaxProxies)), Services: int(s.Whole("services", 1, 1, MaxServices)),
		ServicesInAll: int(s.Whole("services_in_all", 1, 1, MaxInAll)), Backends: int(s.Whole("backends", 23, 2, MaxBackends)),
		ChangesPerSecond: s.Number("changes_per_second", 0, 0, MaxChanges), CallsPerSecond: s.Number("calls_per_second", 0, 0, MaxCalls),
	}
	s.Done()
	return out
}

// bounds are the least and the largest value of a dimension, and whether it takes whole numbers alone.
func bounds(d result.Dimension) (least, most float64, whole bool) {
	switch d {
	case result.Proxies:
		return 1, MaxProxies, true
	case result.Services:
		return 1, MaxServices, true
	case result.Backends:
		return 2, MaxBackends, true
	case result.Changes:
		return 0.01, MaxChanges, false
	}
	return 0.01, MaxCalls, false
}

func (x *Scenario) readSweep(s tomldoc.Scope) {
	defer s.Done()
	names := []string{string(result.Proxies), string(result.Services), string(result.Backends), string(result.Changes), string(result.Calls)}
	x.Dimension = result.Dimension(s.Word("dimension", "", names...))
	least, most, whole := bounds(x.Dimension)
	if x.Sizes = readNumbers(s, "sizes", least, most, whole); len(x.Sizes) < MinSizes || len(x.Sizes) > MaxSizes {
		s.Bad(rules.Range, "sizes", "%d to %d sizes expected, %d found", MinSizes, MaxSizes, len(x.Sizes))
	}
	for i := 1; i < len(x.Sizes); i++ {
		if x.Sizes[i] < Apart*slack*x.Sizes[i-1] {
			s.Bad(rules.Range, "sizes", "each a factor of %d above the one before expected; %g follows %g", Apart, x.Sizes[i], x.Sizes[i-1])
		}
	}
	if !s.Has("held_out") {
		s.Take("held_out")
		return
	}
	if x.HeldOut = s.Number("held_out", 0, least, most); whole && x.HeldOut != float64(int(x.HeldOut)) {
		s.Bad(rules.WrongType, "held_out", "a whole number expected")
	}
	if len(x.Sizes) > 0 && x.HeldOut <= slices.Max(x.Sizes) {
		s.Bad(rules.Range, "held_out", "more than the largest of the sizes, %g, expected", slices.Max(x.Sizes))
	}
}

// readNumbers reads an array of numbers.
func readNumbers(s tomldoc.Scope, field string, least, most float64, whole bool) (out []float64) {
	v := s.Get(field, tomldoc.Array)
	if v == nil {
		return nil
	}
	want := fmt.Sprintf("a number, %g to %g, expected", least, most)
	if whole {
		want = fmt.Sprintf("a whole number, %g to %g, expected", least, most)
	}
	for i, item := range v.Items {
		number, err := strconv.ParseFloat(strings.ReplaceAll(item.Text, "_", ""), 64)
		kind := item.Kind == tomldoc.Integer || item.Kind == tomldoc.Float && !whole
		if err != nil || !kind || !(number >= least && number <= most) {
			s.Fault(item, rules.Range, fmt.Sprintf("%s[%d]", s.Name(field), i+1), item.Say(), want)
			continue
		}
		out = append(out, number)
	}
	return out
}
