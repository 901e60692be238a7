// Package predict works out from the fits of scale tests what each role costs at a stated size: at rest, for any number
// of services that a proxy follows, and in events such as the loss of a zone. It prints the tables of docs/CAPACITY.md.
// It is pure.
package predict

import (
	"fmt"
	"slices"

	"fernlanding/internal/rules"
	"fernlanding/internal/tomldoc"
)

// Format is the version of target files that this program reads.
const Format = 1

// Bounds of a target.
const (
	maxProxies  = 1_000_000
	maxServices = 8192
	maxCurve    = 20
	maxText     = 400 // bytes of an assumption's reason
)

// Target is a size to be worked out, what is allowed there, and what is assumed.
type Target struct {
	Today       Fleet
	Target      Fleet
	Limits      Limits
	Curve       []int // services followed by a proxy
	Assumptions []Assumption
}

// Fleet is a size.
type Fleet struct {
	Proxies               int // each with a backend
	Services              int
	LargestService        int // backends of it
	ServicesFollowed      float64
	CallsPerSecond        float64 // over all proxies
	Depth                 int     // of a call
	Regions, Zones        int
	ChangesPerDay         float64 // of configuration
	MachineFailuresPerDay float64
	RestartsPerDay        float64
	ZoneProxies           int // that a zone has
}

// Limits are what is allowed.
type Limits struct {
	AddedP99Ms      float64
	InForceSeconds  float64
	ProxyCores      float64 // for control
	ProxyBytes      float64 // of memory
	ProxyBytesASec  float64 // of control, both ways together
	ControlMachines int
}

// Assumption is a figure that nobody has told and nothing has measured.
type Assumption struct {
	Name  AssumptionName
	Value float64
	Unit  string
	Why   string
}

// AssumptionName names an assumption.
type AssumptionName string

// The assumptions, all of which a target states.
const (
	FollowedPart      AssumptionName = "largest_followed_part"  // of the proxies, that follow the largest service
	MachineCores      AssumptionName = "machine_cores"          // of a machine for control
	MachineMemory     AssumptionName = "machine_memory_gb"      // of the same
	MachineNetwork    AssumptionName = "machine_gbit"           // a second, of the same
	MachineUse        AssumptionName = "machine_use"            // part of a machine that may be used
	Descriptors       AssumptionName = "descriptors"            // that a proxy may hold
	IdleSeconds       AssumptionName = "idle_seconds"           // that a connection is kept without a call
	ConnectionBytes   AssumptionName = "connection_bytes"       // of a proxy's memory
	RestartChanges    AssumptionName = "restart_changes"        // of a list, for a restart
	FailureChanges    AssumptionName = "failure_changes"        // of a list, for a failed machine
	BusiestFactor     AssumptionName = "busiest_minute_factor"  // times the day's mean
	ReleaseMinutes    AssumptionName = "release_minutes"        // of the largest service
	RackBackends      AssumptionName = "rack_backends"          // lost at once
	ZoneReturnSeconds AssumptionName = "zone_return_seconds"    // within which a zone's proxies come back
	ReadPaceMs        AssumptionName = "whole_read_ms"          // between two answers of whole lists to a proxy
	RelaysPerZone     AssumptionName = "relays_per_zone"        // machines
	RelaysPerRegion   AssumptionName = "relays_per_region"      // machines, above those of the zones
	CoalescingMs      AssumptionName = "coalescing_ms"          // that a relay holds changes back
	RegionRoundTripMs AssumptionName = "region_round_trip_ms"   // between regions
	EndpointBytes     AssumptionName = "endpoint_bytes"         // of a whole list, where it is not measured
	ProcessBytes      AssumptionName = "process_bytes"          // of a proxy's memory, where no real one was measured
	ResumeBytes       AssumptionName = "resume_bytes"           // of a position by which a proxy resumes
	CutSeconds        AssumptionName = "cut_seconds"            // that a region is cut off
	LeastService      AssumptionName = "least_service_backends" // of the long tail
)

func assumptionNames() []AssumptionName {
	return []AssumptionName{
		FollowedPart, MachineCores, MachineMemory, MachineNetwork, MachineUse, Descriptors, IdleSeconds, ConnectionBytes,
		RestartChanges, FailureChanges, BusiestFactor, ReleaseMinutes, RackBackends, ZoneReturnSeconds, ReadPaceMs, RelaysPerZone, RelaysPerRegion,
		CoalescingMs, RegionRoundTripMs, EndpointBytes, ProcessBytes, ResumeBytes, CutSeconds, LeastService,
	}
}

// Get is the value of an assumption.
func (t *Target) Get(name AssumptionName) float64 {
	for _, a := range t.Assumptions {
		if a.Name == name {
			return a.Value
		}
	}
	return 0
}

// ReadTarget reads a target's file. The error lists all faults, one a line, each with file, line and field.
func ReadTarget(file string, data []byte) (*Target, error) {
	return tomldoc.Decode(file, data, readTarget)
}

func readTarget(s tomldoc.Scope) *Target {
	if !s.Has("format") {
		s.Bad(rules.Version, "format", "the file's format, %d, expected", Format)
	}
	s.Whole("format", Format, Format, Format)
	t := &Target{
		Today: readFleet(s.Sub("today")), Target: readFleet(s.Sub("target")), Limits: readLimits(s.Sub("limits")),
		Curve: readCurve(s.Sub("curve")), Assumptions: readAssumptions(s),
	}
	s.Done()
	return t
}

// required reads a number that must be there.
func required(s tomldoc.Scope, field string, least, most float64) float64 {
	if !s.Has(field) {
		s.Bad(rules.Missing, field, "a number, %g to %g, expected", least, most)
	}
	return s.Number(field, least, least, most)
}

func requiredWhole(s tomldoc.Scope, field string, least, most int64) int {
	if !s.Has(field) {
		s.Bad(rules.Missing, field, "a whole number, %d to %d, expected", least, most)
	}
	return int(s.Whole(field, least, least, most))
}

func readFleet(s tomldoc.Scope) Fleet {
	f := Fleet{
		Proxies: requiredWhole(s, "proxies", 1, maxProxies), Services: requiredWhole(s, "services", 1, maxServices),
		LargestService: requiredWhole(s, "largest_service", 1, maxProxies), ServicesFollowed: required(s, "services_followed", 0.1, maxServices),
		CallsPerSecond: required(s, "calls_per_second", 0, 1e12), Depth: requiredWhole(s, "depth", 1, 100),
		Regions: requiredWhole(s, "regions", 1, 1000), Zones: requiredWhole(s, "zones", 1, 1000),
		ChangesPerDay: required(s, "changes_per_day", 0, 1e9), MachineFailuresPerDay: required(s, "machine_failures_per_day", 0, 1e9),
		RestartsPerDay: required(s, "restarts_per_day", 0, 1e9), ZoneProxies: requiredWhole(s, "zone_proxies", 1, maxProxies),
	}
	if f.Proxies < f.Services {
		s.Bad(rules.Range, "services", "no more than there are proxies, %d, expected", f.Proxies)
	}
	if f.LargestService > f.Proxies {
		s.Bad(rules.Range, "largest_service", "no more backends than there are proxies, %d, expected", f.Proxies)
	}
	if f.ServicesFollowed > float64(f.Services) {
		s.Bad(rules.Range, "services_followed", "no more than there are services, %d, expected", f.Services)
	}
	s.Done()
	return f
}

func readLimits(s tomldoc.Scope) Limits {
	l := Limits{
		AddedP99Ms: required(s, "added_p99_ms", 1e-3, 1e5), InForceSeconds: required(s, "in_force_seconds", 1e-3, 1e5),
		ProxyCores: required(s, "proxy_cores", 1e-6, 1e3), ProxyBytes: required(s, "proxy_bytes", 1, 1e12),
		ProxyBytesASec: required(s, "proxy_bytes_per_second", 1, 1e12), ControlMachines: requiredWhole(s, "control_machines", 1, 1e6),
	}
	s.Done()
	return l
}

func readCurve(s tomldoc.Scope) (curve []int) {
	defer s.Done()
	v := s.Get("services_followed", tomldoc.Array)
	if v == nil || len(v.Items) == 0 || len(v.Items) > maxCurve {
		s.Bad(rules.Range, "services_followed", "1 to %d numbers of services expected", maxCurve)
		return nil
	}
	for i, item := range v.Items {
		var n int
		if _, err := fmt.Sscanf(item.Text, "%d", &n); item.Kind != tomldoc.Integer || err != nil || n < 1 || n > maxServices {
			s.Fault(item, rules.Range, fmt.Sprintf("%s[%d]", s.Name("services_followed"), i+1), item.Say(), fmt.Sprintf("a whole number, 1 to %d, expected", maxServices))
			continue
		}
		curve = append(curve, n)
	}
	if !slices.IsSorted(curve) {
		s.Bad(rules.Range, "services_followed", "ascending numbers expected")
	}
	return curve
}

func readAssumptions(s tomldoc.Scope) (all []Assumption) {
	names := assumptionNames()
	words := make([]string, len(names))
	for i, n := range names {
		words[i] = string(n)
	}
	for _, x := range s.List("assumptions") {
		a := Assumption{Name: AssumptionName(x.Word("name", "", words...)), Value: required(x, "value", 1e-9, 1e12), Unit: x.Text("unit", ""), Why: x.Text("why", "")}
		if slices.ContainsFunc(all, func(b Assumption) bool { return b.Name == a.Name }) {
			x.Bad(rules.Range, "name", "each assumption once expected")
		}
		if a.Why == "" || len(a.Why) > maxText {
			x.Bad(rules.Missing, "why", "the reason, 1 to %d bytes, expected", maxText)
		}
		x.Done()
		all = append(all, a)
	}
	for _, n := range names {
		if !slices.ContainsFunc(all, func(a Assumption) bool { return a.Name == n }) {
			s.Bad(rules.Missing, "assumptions", "the assumption %s expected", n)
		}
	}
	return all
}
