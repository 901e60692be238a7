// Package scenario reads the scenario files of fernctl scale run. A scenario describes the fleet,
// the dimension that a sweep varies, the sizes along that dimension, and how long each size is
// measured. The package does no I/O.
package scenario

import (
	"time"

	"fernlanding/internal/rules"
	"fernlanding/internal/scale/result"
	"fernlanding/internal/tomldoc"
)

// Format is the version of the file format.
const Format = 1

// Limits of a scenario.
const (
	MaxProxies       = 100_000
	MaxRealProxies   = 200 // one process of the proxy program each
	MaxServices      = 256 // followed by a proxy; the limit of a proxy's configuration
	MaxTotalServices = 8192
	MaxBackends      = 2000    // per service
	MaxChanges       = 10_000  // per second
	MaxCalls         = 100_000 // per second and proxy
	MaxProcesses     = 64      // with hollow proxies; also the limit of relays
	MaxDuration      = 10 * time.Minute
	MaxRounds        = 20 // per size
	MinSizes         = 5  // per sweep
	MaxSizes         = 20
	MinFactor        = 2    // between neighbouring sizes, less factorTolerance
	factorTolerance  = 0.99 // of MinFactor, so that sizes may be rounded
)

// Scenario describes a sweep.
type Scenario struct {
	Name          string
	Source        result.Source
	Hollow        bool // false: one process of the proxy program per proxy
	Seed          uint64
	WarmUp        time.Duration // at each size, before the first round
	RoundDuration time.Duration
	SettleTime    time.Duration // wait after a round for the application of its last changes
	Rounds        int
	Size          result.Size // values of the dimensions that the sweep does not vary
	Dimension     result.Dimension
	Sizes         []float64 // ascending
	HeldOut       float64   // additional largest size that fits exclude; 0 means none
	Processes     Processes
}

// Processes holds the numbers and settings of the processes of a sweep.
type Processes struct {
	Proxies int // processes that run hollow proxies
	Relays  int // relays, used with result.SourceRelay only
	// GCPercent is the garbage collection target (GOGC) of the processes that run hollow proxies. A
	// lower target uses less memory and more CPU time.
	GCPercent int
}

// Points returns the points to be measured, without rounds. The points are in ascending order of
// size. The held-out point is last.
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

// sizeAt returns the size with the swept dimension set to value.
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

// Read decodes a scenario. The error has one line per problem, with file, line and field.
func Read(file string, data []byte) (*Scenario, error) {
	return tomldoc.Decode(file, data, read)
}

func read(s tomldoc.Scope) *Scenario {
	if !s.Has("format") {
		s.ReportField(rules.Version, "format", "the file format version, %d, expected", Format)
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
		const want = "static endpoint lists do not change: changes_per_second 0 expected"
		s.ReportField(rules.Exclusive, "source", want)
	}
	s.ReportUnknown()
	return sc
}

// readSource reads the source. A sweep cannot start the discovery of the platform
// (result.SourceCatalog).
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

// largest returns the largest size to be measured.
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
