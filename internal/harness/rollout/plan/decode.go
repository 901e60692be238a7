package plan

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"fernlanding/internal/harness/scenario"
	"fernlanding/internal/rules"
	"fernlanding/internal/tomldoc"
)

// Limits of a scenario.
const (
	MaxFile      = tomldoc.MaxFile // size of a scenario file in bytes
	MaxDuration  = 10 * time.Minute
	maxRelays    = 16 // regions, zones, or relays per zone
	maxProcesses = 32
	maxFollowers = 2_000
	maxResources = 256
	maxItems     = 2_000
	maxRate      = 1_000 // puts per second
	maxFaults    = 200
)

// Decode decodes and validates a scenario file. The error lists all problems, one per line, with
// file, line and column.
func Decode(file string, data []byte) (*Scenario, error) {
	return tomldoc.Decode(file, data, decodeScenario)
}

// decodeScenario decodes the top level of a scenario file.
func decodeScenario(s tomldoc.Scope) *Scenario {
	sc := &Scenario{
		Name:     s.Text("name", ""),
		Seed:     uint64(s.Int("seed", 1, 0, 1<<62)),
		Duration: s.Duration("for", 10*time.Second, 100*time.Millisecond, MaxDuration),
		Settle:   s.Duration("settle", 10*time.Second, time.Second, MaxDuration),
	}
	if sc.Name == "" {
		s.ReportField(rules.Missing, "name", "the scenario's name expected")
	}
	sc.Relays = decodeRelays(s.Table("relays"))
	sc.Followers = decodeFollowers(s.Table("followers"))
	sc.Publisher = decodePublisher(s.Table("publisher"))
	if resources := sc.Publisher.Resources; sc.Followers.ResourcesEach > resources {
		s.Table("followers").ReportField(rules.Range, "follows",
			"at most the %d resources of the publisher expected", resources)
	}
	sc.Bounds = decodeBounds(s.Table("bounds"))
	sc.Random = sc.decodeRandom(s.Table("random"))
	faults := s.TableArray("faults")
	if len(faults) > maxFaults {
		s.ReportField(rules.Range, "faults", "at most %d expected", maxFaults)
		faults = faults[:maxFaults]
	}
	for _, fault := range faults {
		sc.Faults = append(sc.Faults, sc.decodeFault(fault))
		fault.ReportUnknown()
	}
	s.ReportUnknown()
	return sc
}

// decodeRelays decodes [relays].
func decodeRelays(s tomldoc.Scope) Relays {
	defer s.ReportUnknown()
	return Relays{
		Regions: int(s.Int("regions", 2, 1, maxRelays)),
		Zones:   int(s.Int("zones", 2, 1, maxRelays)),
		PerZone: int(s.Int("per_zone", 2, 1, maxRelays)),
		Hold:    s.Duration("hold", 4*time.Second, 100*time.Millisecond, time.Minute),
	}
}

// decodeFollowers decodes [followers].
func decodeFollowers(s tomldoc.Scope) Followers {
	defer s.ReportUnknown()
	f := Followers{
		Processes:     int(s.Int("processes", 2, 1, maxProcesses)),
		PerProcess:    int(s.Int("each", 10, 1, maxFollowers)),
		Hold:          s.Duration("hold", 4*time.Second, 100*time.Millisecond, time.Minute),
		ResourcesEach: int(s.Int("follows", 2, 1, maxResources)),
	}
	if f.Processes*f.PerProcess > maxFollowers {
		s.ReportField(rules.Range, "each", "at most %d followers in all expected", maxFollowers)
	}
	return f
}

// decodePublisher decodes [publisher].
func decodePublisher(s tomldoc.Scope) Publisher {
	defer s.ReportUnknown()
	return Publisher{
		Rate:           s.Float("rate", 5, 0, maxRate),
		Resources:      int(s.Int("resources", 4, 1, maxResources)),
		Items:          int(s.Int("items", 40, 1, maxItems)),
		Changes:        int(s.Int("changes", 3, 1, maxItems)),
		Urgent:         s.Float("urgent", 0.2, 0, 1),
		ConcurrentPuts: s.Float("twins", 0.1, 0, 1),
		Rejected:       s.Float("refused", 0, 0, 1),
	}
}

// decodeBounds decodes [bounds].
func decodeBounds(s tomldoc.Scope) Bounds {
	defer s.ReportUnknown()
	return Bounds{
		Latency:       s.Duration("late", 10*time.Second, time.Millisecond, MaxDuration),
		UrgentLatency: s.Duration("urgent", 250*time.Millisecond, time.Millisecond, MaxDuration),
		IdleBytes:     s.Float("rest_bytes_per_s", 0, 0, 1e9),
		RelayMB:       s.Float("relay_mb", 0, 0, 1e6),
		Sessions:      s.Float("sessions", 0, 0, 1e6),
		IdleReads:     s.Float("rest_reads_per_s", 0, 0, 1e6),
		CacheBytes:    s.Float("cache_bytes", 0, 0, 1e12),
		StoreBytes:    s.Float("store_bytes", 0, 0, 1e12),
	}
}

// decodeRandom decodes [random] and validates it against the run's duration.
func (sc *Scenario) decodeRandom(s tomldoc.Scope) Random {
	defer s.ReportUnknown()
	r := Random{
		Count:       int(s.Int("count", 0, 0, maxFaults)),
		From:        s.Duration("from", 0, 0, MaxDuration),
		Until:       s.Duration("until", sc.Duration, 0, MaxDuration),
		MaxDuration: s.Duration("long", 5*time.Second, 100*time.Millisecond, MaxDuration),
	}
	for _, word := range s.Strings("kinds") {
		if !slices.Contains(kindNames, word) {
			problem := fmt.Sprintf("%q is no kind of fault; one of %s expected", word, strings.Join(kindNames, ", "))
			s.ReportField(rules.Word, "kinds", "%s", tomldoc.WithSuggestion(problem, word, kindNames))
			continue
		}
		r.Kinds = append(r.Kinds, scenario.Kind(word))
	}
	if r.Count > 0 && len(r.Kinds) == 0 {
		s.ReportField(rules.Missing, "kinds", "the kinds of faults that are drawn expected")
	}
	if r.Until > sc.Duration || r.From >= r.Until {
		s.ReportField(rules.Range, "until", "after from, and at most the run's %v expected", sc.Duration)
	}
	return r
}

// decodeFault decodes one fault and validates it against the processes of the run.
func (sc *Scenario) decodeFault(s tomldoc.Scope) Fault {
	f := Fault{
		At:       s.Duration("at", 0, 0, MaxDuration),
		Duration: s.Duration("for", time.Second, time.Millisecond, MaxDuration),
		Kind:     scenario.Kind(s.OneOf("kind", "", kindNames...)),
		Direction: s.OneOf(
			"way", scenario.BothDirections, scenario.BothDirections, scenario.ToServer, scenario.ToClient,
		),
		Site:   s.Text("zone", ""),
		Names:  s.Strings("names"),
		Share:  s.Float("share", 0, 0, 1),
		Delay:  s.Duration("delay", 0, 0, time.Minute),
		Jitter: s.Duration("jitter", 0, 0, time.Minute),
		Rate:   int(s.Int("rate", 0, 0, 1<<30)),
	}
	s.MarkKnown("link", "on")
	if end := f.At + f.Duration; end > sc.Duration {
		s.ReportField(rules.Range, "for",
			"the fault to end by the end of the run's faults, %v, expected; it ends at %v",
			sc.Duration, end)
	}
	switch {
	case ActsOnLinks(f.Kind):
		sc.decodeLink(s, &f)
	case f.Kind == KillBetweenPuts:
		f.Group = OnPublisher
	case f.Kind == RestartFollowers:
		f.Group = OnFollowers
	default:
		f.Group = s.OneOf("on", "", groupNames...)
	}
	if f.Site != "" && !slices.Contains(sc.ZoneNames(), f.Site) {
		s.ReportField(rules.UnknownZone, "zone", "one of the zones expected: %s", strings.Join(sc.ZoneNames(), ", "))
	}
	sc.validateTargets(s, f)
	return f
}

// validateTargets reports the names in a fault that the fault cannot act on.
func (sc *Scenario) validateTargets(s tomldoc.Scope, f Fault) {
	possible := sc.possibleTargets(f)
	for _, name := range f.Names {
		if !slices.Contains(possible, name) {
			s.ReportField(rules.UnknownService, "names", "%q is nothing that this fault can act on; one of %s expected",
				name, strings.Join(abbreviate(possible), ", "))
		}
	}
}

// decodeLink decodes the link of a fault on links and reports missing fields of its kind.
func (sc *Scenario) decodeLink(s tomldoc.Scope, f *Fault) {
	f.Link = s.OneOf("link", "", linkNames...)
	f.Group, _, _ = strings.Cut(f.Link, "-")
	if f.Kind == scenario.OneWay && f.Direction == scenario.BothDirections {
		s.ReportField(rules.Missing, "way", "the direction expected: there or back")
	}
	if f.Kind == scenario.Delay && f.Delay+f.Jitter == 0 {
		s.ReportField(rules.Missing, "delay", "the delay expected")
	}
	if f.Kind == scenario.Slow && f.Rate == 0 {
		s.ReportField(rules.Missing, "rate", "bytes a second expected")
	}
}

// abbreviate shortens a long list of names to the first two and the last, with "..." between them.
func abbreviate(names []string) []string {
	const maxLength = 6
	if len(names) <= maxLength {
		return names
	}
	return []string{names[0], names[1], "...", names[len(names)-1]}
}
