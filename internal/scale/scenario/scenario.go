// Package scenario reads the descriptions of the sweeps of fernctl scale: the fleet, the dimension
// that is swept and its sizes, and for how long each size is measured. It is pure.
package scenario

import (
	"time"

	"fernlanding/internal/rules"
	"fernlanding/internal/scale/result"
	"fernlanding/internal/tomldoc"
)

// Format is the version of the file format that this program reads.
const Format = 1

// Bounds of a scenario.
const (
	MaxProxies       = 100_000
	MaxRealProxies   = 200 // each a process of the program itself
	MaxServices      = 256 // that a proxy follows: the bound of its configuration
	MaxTotalServices = 8192
	MaxBackends      = 2000 // of a service
	MaxChanges       = 10_000
	MaxCalls         = 100_000
	MaxProcesses     = 64 // with hollow proxies; also of relays
	MaxDuration      = 10 * time.Minute
	MaxRounds        = 20
	MinSizes         = 5 // of a sweep
	MaxSizes         = 20
	MinFactor        = 2    // between two neighbouring sizes, but for factorSlack
	factorSlack      = 0.99 // lets sizes be rounded
)

// Scenario describes a sweep.
type Scenario struct {
	Name          string
	Source        result.Source
	Hollow        bool // false: each proxy is a process of the program itself
	Seed          uint64
	WarmUp        time.Duration // at each size, before its first round
	RoundDuration time.Duration // of a round
	SettleTime    time.Duration // after a span, within which its last changes have to be in force
	Rounds        int
	Size          result.Size // what the sweep does not vary
	Dimension     result.Dimension
	Sizes         []float64 // ascending
	HeldOut       float64   // a further size, larger than all others, that no fit uses; 0: none
	Processes     Processes
}

// Processes are the numbers and settings of a sweep's processes.
type Processes struct {
	Proxies int // that run hollow proxies
	Relays  int // if the source is result.SourceRelay
	// GCPercent is the garbage collection target (GOGC) of the processes that run hollow proxies. A
	// smaller one takes less memory and more CPU time.
	GCPercent int
}

// Points returns the sizes to be measured, ascending, without rounds; the held-out one is last.
func (sc *Scenario) Points() []result.Point {
	var out []result.Point
	for _, size := range sc.Sizes {
		out = append(out, result.Point{Size: sc.sizeAt(size)})
	}
	if sc.HeldOut > 0 {
		out = append(out, result.Point{Size: sc.sizeAt(sc.HeldOut), HeldOut: true})
	}
	return out
}

// sizeAt returns the size with its swept dimension set to a value.
func (sc *Scenario) sizeAt(value float64) result.Size {
	s := sc.Size
	switch sc.Dimension {
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
	s.TotalServices = max(s.TotalServices, s.Services)
	return s
}

// Read reads a scenario. The error lists all faults, one per line, each with file, line and field.
func Read(file string, data []byte) (*Scenario, error) {
	return tomldoc.Decode(file, data, read)
}

func read(s tomldoc.Scope) *Scenario {
	if !s.Has("format") {
		s.ReportField(rules.Version, "format", "the file's format, %d, expected", Format)
	}
	s.Int("format", Format, Format, Format)
	sc := &Scenario{
		Name:          s.Text("name", ""),
		Seed:          uint64(s.Int("seed", 1, 0, 1<<62)),
		Hollow:        true,
		Source:        readSource(s),
		WarmUp:        s.Duration("warm_up", 3*time.Second, 0, MaxDuration),
		RoundDuration: s.Duration("span", 5*time.Second, 10*time.Millisecond, MaxDuration),
		SettleTime:    s.Duration("settle", 2500*time.Millisecond, 0, MaxDuration),
		Rounds:        int(s.Int("rounds", 3, 1, MaxRounds)),
	}
	if sc.Name == "" {
		s.ReportField(rules.Missing, "name", "the scenario's name expected")
	}
	if s.Has("hollow") {
		sc.Hollow = s.Bool("hollow")
	}
	sc.Size = readSize(s.Table("size"))
	sc.readSweep(s.Table("sweep"))
	sc.Processes = readProcesses(s.Table("processes"))
	largest := sc.largest()
	if !sc.Hollow && largest.Proxies > MaxRealProxies {
		s.ReportField(rules.Range, "hollow",
			"%d real proxies at most expected, %d found", MaxRealProxies, largest.Proxies)
	}
	if sc.Source == result.SourceStatic && largest.ChangesPerSecond > 0 {
		const want = "lists that stand in the configuration do not change: changes_per_second 0 expected"
		s.ReportField(rules.Exclusive, "source", want)
	}
	s.ReportUnknown()
	return sc
}

// readSource reads the source. The platform's discovery is not among those that a sweep can start.
func readSource(s tomldoc.Scope) result.Source {
	return result.Source(s.OneOf("source", string(result.SourceConsul),
		string(result.SourceStatic), string(result.SourceConsul), string(result.SourceRelay)))
}

func readProcesses(s tomldoc.Scope) Processes {
	p := Processes{
		Proxies:   int(s.Int("proxies", 4, 1, MaxProcesses)),
		Relays:    int(s.Int("relays", 1, 1, MaxProcesses)),
		GCPercent: int(s.Int("gc_percent", 100, 5, 1000)),
	}
	s.ReportUnknown()
	return p
}

// largest returns the largest size that is measured.
func (sc *Scenario) largest() result.Size {
	points := sc.Points()
	if len(points) == 0 {
		return sc.Size
	}
	return points[len(points)-1].Size
}

func readSize(s tomldoc.Scope) result.Size {
	size := result.Size{
		Proxies:          int(s.Int("proxies", 100, 1, MaxProxies)),
		Services:         int(s.Int("services", 1, 1, MaxServices)),
		TotalServices:    int(s.Int("services_in_all", 1, 1, MaxTotalServices)),
		Backends:         int(s.Int("backends", 23, 2, MaxBackends)),
		ChangesPerSecond: s.Float("changes_per_second", 0, 0, MaxChanges),
		CallsPerSecond:   s.Float("calls_per_second", 0, 0, MaxCalls),
	}
	s.ReportUnknown()
	return size
}
