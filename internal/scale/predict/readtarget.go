package predict

import (
	"fmt"
	"slices"

	"fernlanding/internal/rules"
	"fernlanding/internal/tomldoc"
)

// Format is the version of the format of target files.
const Format = 1

// Limits of a target file.
const (
	maxProxies  = 1_000_000
	maxServices = 8192
	maxCurve    = 20
	maxReason   = 400 // bytes of the reason of an assumption
)

// ReadTarget decodes a target file. The error has one line per problem, with file, line and field.
func ReadTarget(file string, data []byte) (*Target, error) {
	return tomldoc.Decode(file, data, readTarget)
}

func readTarget(s tomldoc.Scope) *Target {
	if !s.Has("format") {
		s.ReportField(rules.Version, "format", "the file format version, %d, expected", Format)
	}
	s.Int("format", Format, Format, Format)
	t := &Target{
		Today:       readFleet(s.Table("today")),
		Target:      readFleet(s.Table("target")),
		Limits:      readLimits(s.Table("limits")),
		Curve:       readCurve(s.Table("curve")),
		Assumptions: readAssumptions(s),
	}
	s.ReportUnknown()
	return t
}

// requiredNumber reads a required number.
func requiredNumber(s tomldoc.Scope, field string, lowest, highest float64) float64 {
	if !s.Has(field) {
		s.ReportField(rules.Missing, field, "a number, %g to %g, expected", lowest, highest)
	}
	return s.Float(field, lowest, lowest, highest)
}

// requiredCount reads a required integer of at least 1.
func requiredCount(s tomldoc.Scope, field string, highest int64) int {
	const lowest = 1
	if !s.Has(field) {
		s.ReportField(rules.Missing, field, "a whole number, %d to %d, expected", lowest, highest)
	}
	return int(s.Int(field, lowest, lowest, highest))
}

func readFleet(s tomldoc.Scope) Fleet {
	f := Fleet{
		Proxies:               requiredCount(s, "proxies", maxProxies),
		Services:              requiredCount(s, "services", maxServices),
		LargestService:        requiredCount(s, "largest_service", maxProxies),
		ServicesFollowed:      requiredNumber(s, "services_followed", 0.1, maxServices),
		CallsPerSecond:        requiredNumber(s, "calls_per_second", 0, 1e12),
		Hops:                  requiredCount(s, "depth", 100),
		Regions:               requiredCount(s, "regions", 1000),
		Zones:                 requiredCount(s, "zones", 1000),
		ConfigChangesPerDay:   requiredNumber(s, "changes_per_day", 0, 1e9),
		MachineFailuresPerDay: requiredNumber(s, "machine_failures_per_day", 0, 1e9),
		RestartsPerDay:        requiredNumber(s, "restarts_per_day", 0, 1e9),
		ProxiesPerZone:        requiredCount(s, "zone_proxies", maxProxies),
	}
	if f.Proxies < f.Services {
		s.ReportField(rules.Range, "services", "at most the number of proxies, %d, expected", f.Proxies)
	}
	if f.LargestService > f.Proxies {
		s.ReportField(rules.Range, "largest_service",
			"at most the number of proxies, %d, expected", f.Proxies)
	}
	if f.ServicesFollowed > float64(f.Services) {
		s.ReportField(rules.Range, "services_followed", "at most the number of services, %d, expected", f.Services)
	}
	s.ReportUnknown()
	return f
}

func readLimits(s tomldoc.Scope) Limits {
	l := Limits{
		AddedP99Ms:          requiredNumber(s, "added_p99_ms", 1e-3, 1e5),
		PropagationSeconds:  requiredNumber(s, "in_force_seconds", 1e-3, 1e5),
		ProxyCores:          requiredNumber(s, "proxy_cores", 1e-6, 1e3),
		ProxyMemoryBytes:    requiredNumber(s, "proxy_bytes", 1, 1e12),
		ProxyBytesPerSecond: requiredNumber(s, "proxy_bytes_per_second", 1, 1e12),
		ControlMachines:     requiredCount(s, "control_machines", 1e6),
	}
	s.ReportUnknown()
	return l
}

func readCurve(s tomldoc.Scope) []int {
	defer s.ReportUnknown()
	v := s.Get("services_followed", tomldoc.Array)
	if v == nil || len(v.Items) == 0 || len(v.Items) > maxCurve {
		s.ReportField(rules.Range, "services_followed", "1 to %d numbers of services expected", maxCurve)
		return nil
	}
	var curve []int
	for i, item := range v.Items {
		var n int
		_, err := fmt.Sscanf(item.Text, "%d", &n)
		if item.Kind != tomldoc.Integer || err != nil || n < 1 || n > maxServices {
			field := fmt.Sprintf("%s[%d]", s.FieldPath("services_followed"), i+1)
			want := fmt.Sprintf("a whole number, 1 to %d, expected", maxServices)
			s.ReportAt(item, rules.Range, field, item.Describe(), want)
			continue
		}
		curve = append(curve, n)
	}
	if !slices.IsSorted(curve) {
		s.ReportField(rules.Range, "services_followed", "ascending numbers expected")
	}
	return curve
}

func readAssumptions(s tomldoc.Scope) []Assumption {
	names := assumptionNames()
	words := make([]string, len(names))
	for i, n := range names {
		words[i] = string(n)
	}
	var all []Assumption
	for _, entry := range s.TableArray("assumptions") {
		a := Assumption{
			Name:  AssumptionName(entry.OneOf("name", "", words...)),
			Value: requiredNumber(entry, "value", 1e-9, 1e12),
			Unit:  entry.Text("unit", ""),
			Why:   entry.Text("why", ""),
		}
		if hasAssumption(all, a.Name) {
			entry.ReportField(rules.Range, "name", "a unique assumption name expected")
		}
		if a.Why == "" || len(a.Why) > maxReason {
			entry.ReportField(rules.Missing, "why", "the reason, 1 to %d bytes, expected", maxReason)
		}
		entry.ReportUnknown()
		all = append(all, a)
	}
	for _, n := range names {
		if !hasAssumption(all, n) {
			s.ReportField(rules.Missing, "assumptions", "the assumption %s expected", n)
		}
	}
	return all
}

func hasAssumption(all []Assumption, name AssumptionName) bool {
	return slices.ContainsFunc(all, func(a Assumption) bool { return a.Name == name })
}
