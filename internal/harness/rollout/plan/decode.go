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
	MaxFile      = tomldoc.MaxFile // bytes
	MaxFor       = 10 * time.Minute
	maxRelays    = 16 // of a level
	maxProcesses = 32
	maxFollowers = 2_000
	maxResources = 256
	maxItems     = 2_000
	maxRate      = 1_000 // puts a second
	maxFaults    = 200
)

// Decode decodes and validates a scenario's file. The error lists all problems, one a line, with
// file, line and column.
func Decode(file string, data []byte) (*Scenario, error) {
	return tomldoc.Decode(file, data, decodeScenario)
}

// decodeScenario decodes the top level of a file.
func decodeScenario(s tomldoc.Scope) *Scenario {
	sc := &Scenario{
		Name:   s.Text("name", ""),
		Seed:   uint64(s.Whole("seed", 1, 0, 1<<62)),
		For:    s.Span("for", 10*time.Second, 100*time.Millisecond, MaxFor),
		Settle: s.Span("settle", 10*time.Second, time.Second, MaxFor),
	}
	if sc.Name == "" {
		s.Bad(rules.Missing, "name", "the scenario's name expected")
	}
	sc.Relays = decodeRelays(s.Sub("relays"))
	sc.Followers = decodeFollowers(s.Sub("followers"))
	sc.Publisher = decodePublisher(s.Sub("publisher"))
	if resources := sc.Publisher.Resources; sc.Followers.ResourcesEach > resources {
		s.Sub("followers").Bad(rules.Range, "follows", "at most the %d resources of the publisher expected", resources)
	}
	sc.Bounds = decodeBounds(s.Sub("bounds"))
	sc.Random = sc.decodeRandom(s.Sub("random"))
	faults := s.List("faults")
	if len(faults) > maxFaults {
		s.Bad(rules.Range, "faults", "at most %d expected", maxFaults)
		faults = faults[:maxFaults]
	}
	for _, fault := range faults {
		sc.Faults = append(sc.Faults, sc.decodeFault(fault))
		fault.Done()
	}
	s.Done()
	return sc
}

// decodeRelays decodes [relays].
func decodeRelays(s tomldoc.Scope) Relays {
	defer s.Done()
	return Relays{
		Regions: int(s.Whole("regions", 2, 1, maxRelays)),
		Zones:   int(s.Whole("zones", 2, 1, maxRelays)),
		PerZone: int(s.Whole("per_zone", 2, 1, maxRelays)),
		Hold:    s.Span("hold", 4*time.Second, 100*time.Millisecond, time.Minute),
	}
}

// decodeFollowers decodes [followers].
func decodeFollowers(s tomldoc.Scope) Followers {
	defer s.Done()
	f := Followers{
		Processes:     int(s.Whole("processes", 2, 1, maxProcesses)),
		PerProcess:    int(s.Whole("each", 10, 1, maxFollowers)),
		Hold:          s.Span("hold", 4*time.Second, 100*time.Millisecond, time.Minute),
		ResourcesEach: int(s.Whole("follows", 2, 1, maxResources)),
	}
	if f.Processes*f.PerProcess > maxFollowers {
		s.Bad(rules.Range, "each", "at most %d followers in all expected", maxFollowers)
	}
	return f
}

// decodePublisher decodes [publisher].
func decodePublisher(s tomldoc.Scope) Publisher {
	defer s.Done()
	return Publisher{
		Rate:      s.Number("rate", 5, 0, maxRate),
		Resources: int(s.Whole("resources", 4, 1, maxResources)),
		Items:     int(s.Whole("items", 40, 1, maxItems)),
		Changes:   int(s.Whole("changes", 3, 1, maxItems)),
		Urgent:    s.Number("urgent", 0.2, 0, 1),
		Twins:     s.Number("twins", 0.1, 0, 1),
		Rejected:  s.Number("refused", 0, 0, 1),
	}
}

// decodeBounds decodes [bounds].
func decodeBounds(s tomldoc.Scope) Bounds {
	defer s.Done()
	return Bounds{
		Late:       s.Span("late", 10*time.Second, time.Millisecond, MaxFor),
		Urgent:     s.Span("urgent", 250*time.Millisecond, time.Millisecond, MaxFor),
		RestBytes:  s.Number("rest_bytes_per_s", 0, 0, 1e9),
		RelayMB:    s.Number("relay_mb", 0, 0, 1e6),
		Sessions:   s.Number("sessions", 0, 0, 1e6),
		RestReads:  s.Number("rest_reads_per_s", 0, 0, 1e6),
		CacheBytes: s.Number("cache_bytes", 0, 0, 1e12),
		StoreBytes: s.Number("store_bytes", 0, 0, 1e12),
	}
}

// decodeRandom decodes [random], and validates it against the run.
func (sc *Scenario) decodeRandom(s tomldoc.Scope) Random {
	defer s.Done()
	r := Random{
		Count:       int(s.Whole("count", 0, 0, maxFaults)),
		From:        s.Span("from", 0, 0, MaxFor),
		Until:       s.Span("until", sc.For, 0, MaxFor),
		MaxDuration: s.Span("long", 5*time.Second, 100*time.Millisecond, MaxFor),
	}
	for _, word := range s.Texts("kinds") {
		if !slices.Contains(kindNames, word) {
			problem := fmt.Sprintf("%q is no kind of fault; one of %s expected", word, strings.Join(kindNames, ", "))
			s.Bad(rules.Word, "kinds", "%s", tomldoc.Guess(problem, word, kindNames))
			continue
		}
		r.Kinds = append(r.Kinds, scenario.Kind(word))
	}
	if r.Count > 0 && len(r.Kinds) == 0 {
		s.Bad(rules.Missing, "kinds", "the kinds of faults that are drawn expected")
	}
	if r.Until > sc.For || r.From >= r.Until {
		s.Bad(rules.Range, "until", "after from, and at most the run's %v expected", sc.For)
	}
	return r
}

// decodeFault decodes one fault, and validates it against the processes of the run.
func (sc *Scenario) decodeFault(s tomldoc.Scope) Fault {
	f := Fault{
		At:       s.Span("at", 0, 0, MaxFor),
		Duration: s.Span("for", time.Second, time.Millisecond, MaxFor),
		Kind:     scenario.Kind(s.Word("kind", "", kindNames...)),
		Direction: s.Word(
			"way", scenario.BothDirections, scenario.BothDirections, scenario.ToServer, scenario.ToClient,
		),
		Site:   s.Text("zone", ""),
		Names:  s.Texts("names"),
		Share:  s.Number("share", 0, 0, 1),
		Delay:  s.Span("delay", 0, 0, time.Minute),
		Jitter: s.Span("jitter", 0, 0, time.Minute),
		Rate:   int(s.Whole("rate", 0, 0, 1<<30)),
	}
	s.Take("link", "on")
	if end := f.At + f.Duration; end > sc.For {
		s.Bad(rules.Range, "for", "the fault to end by the end of the run's faults, %v, expected; it ends at %v",
			sc.For, end)
	}
	switch {
	case ActsOnLinks(f.Kind):
		sc.decodeLink(s, &f)
	case f.Kind == KillBetweenPuts:
		f.Group = OnPublisher
	case f.Kind == RestartFollowers:
		f.Group = OnFollowers
	default:
		f.Group = s.Word("on", "", groupNames...)
	}
	if f.Site != "" && !slices.Contains(sc.ZoneNames(), f.Site) {
		s.Bad(rules.UnknownZone, "zone", "one of the zones expected: %s", strings.Join(sc.ZoneNames(), ", "))
	}
	sc.validateTargets(s, f)
	return f
}

// validateTargets reports the names that a fault can't act on.
func (sc *Scenario) validateTargets(s tomldoc.Scope, f Fault) {
	possible := sc.possibleTargets(f)
	for _, name := range f.Names {
		if !slices.Contains(possible, name) {
			s.Bad(rules.UnknownService, "names", "%q is nothing that this fault can act on; one of %s expected",
				name, strings.Join(abbreviate(possible), ", "))
		}
	}
}

// decodeLink decodes what only faults of links have.
func (sc *Scenario) decodeLink(s tomldoc.Scope, f *Fault) {
	f.Link = s.Word("link", "", linkNames...)
	f.Group, _, _ = strings.Cut(f.Link, "-")
	if f.Kind == scenario.OneWay && f.Direction == scenario.BothDirections {
		s.Bad(rules.Missing, "way", "the direction expected: there or back")
	}
	if f.Kind == scenario.Delay && f.Delay+f.Jitter == 0 {
		s.Bad(rules.Missing, "delay", "the delay expected")
	}
	if f.Kind == scenario.Slow && f.Rate == 0 {
		s.Bad(rules.Missing, "rate", "bytes a second expected")
	}
}

// abbreviate returns a list of names without most of a long one.
func abbreviate(names []string) []string {
	const longest = 6
	if len(names) <= longest {
		return names
	}
	return []string{names[0], names[1], "...", names[len(names)-1]}
}
