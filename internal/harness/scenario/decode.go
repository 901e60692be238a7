package scenario

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"fernlanding/internal/rules"
	"fernlanding/internal/tomldoc"
)

// Read decodes a scenario file. The error lists all problems of the file, one per line.
func Read(file string, data []byte) (*Scenario, error) {
	return tomldoc.Decode(file, data, decode)
}

// decode decodes a scenario and reports problems to the scope. The tables are read in a fixed order
// because later tables are checked against earlier ones.
func decode(scope tomldoc.Scope) *Scenario {
	s := &Scenario{
		Name:     scope.Text("name", ""),
		Seed:     uint64(scope.Int("seed", 1, 0, 1<<62)),
		Duration: scope.Duration("for", 10*time.Second, 100*time.Millisecond, MaxDuration),
	}
	if s.Name == "" {
		scope.ReportField(rules.Missing, "name", "the scenario's name expected")
	}
	s.Sidecars = decodeSidecars(scope.Table("sidecars"))
	s.Lists = decodeLists(scope.Table("lists"))
	s.Backends = decodeBackends(scope.Table("backends"))
	s.Clients = decodeClients(scope.Table("clients"), len(s.Sidecars.Sites))
	s.Bounds = decodeBounds(scope.Table("bounds"))
	s.Random = decodeRandom(scope.Table("random"), s.Duration)
	list := scope.TableArray("faults")
	if len(list) > maxFaults {
		scope.ReportField(rules.TooMany, "faults", "%d faults, %d expected at most", len(list), maxFaults)
		list = nil
	}
	for _, table := range list {
		s.Faults = append(s.Faults, s.decodeFault(table))
		table.ReportUnknown()
	}
	scope.MarkKnown("faults")
	scope.ReportUnknown()
	return s
}

// decodeSidecars decodes the table "sidecars".
func decodeSidecars(table tomldoc.Scope) Sidecars {
	s := Sidecars{
		Count:            int(table.Int("count", 1, 1, MaxSidecars)),
		Sites:            table.Strings("sites"),
		KnowReplicaCount: table.Bool("told"),
		StartSpread:      table.Duration("start", 0, 0, MaxDuration),
		MemoryMB:         table.Float("memory_mb", 64, 16, 1<<16),
		Sockets:          int(table.Int("sockets", 512, 64, 1<<16)),
		PersistState:     table.Bool("state"),
		ClockSkew:        table.Duration("skew", 0, 0, MaxDuration),
	}
	if len(s.Sites) == 0 {
		s.Sites = []string{"a"}
	}
	for i, site := range s.Sites {
		if site == "" || slices.Contains(s.Sites[:i], site) {
			table.ReportField(rules.Range, "sites", "%q is duplicate or empty; unique names expected", site)
		}
	}
	table.ReportUnknown()
	return s
}

// decodeLists decodes the table "lists".
func decodeLists(table tomldoc.Scope) Lists {
	l := Lists{
		Count:        int(table.Int("count", 1, 1, MaxLists)),
		SnapshotRate: table.Float("rate", 0, 0, 1e6),
		QueueLength:  int(table.Int("queue", 100, 0, 1e6)),
		RetryAfter:   table.Duration("retry_after", 0, 0, MaxDuration),
	}
	table.ReportUnknown()
	return l
}

// decodeBackends decodes the table "backends".
func decodeBackends(table tomldoc.Scope) Backends {
	b := Backends{
		Count:         int(table.Int("count", 4, 1, MaxBackends)),
		Processes:     int(table.Int("processes", 1, 1, maxWorkers)),
		Cores:         int(table.Int("cores", 4, 1, 1024)),
		QueueLength:   int(table.Int("waiting", 32, 0, 1e6)),
		ServiceTime:   table.Duration("work", 5*time.Millisecond, 0, time.Minute),
		Warmup:        table.Duration("cold", 0, 0, MaxDuration),
		StartCapacity: table.Float("start_capacity", 1, 0.01, 1),
		ColdMultiple:  table.Float("cold_multiple", 3, 1, 100),
		MaxConns:      int(table.Int("connections", 0, 0, 1e6)),
		StartCold:     table.Bool("fresh"),
		AcceptRate:    table.Float("accepts", 0, 0, 1e6),
		Backlog:       int(table.Int("backlog", 0, 0, 1<<16)),
	}
	if b.Processes > b.Count {
		table.ReportField(rules.Range, "processes", "1 to the %d backends expected", b.Count)
	}
	table.ReportUnknown()
	return b
}

// decodeClients decodes the table "clients" of a run with siteCount sites.
func decodeClients(table tomldoc.Scope, siteCount int) Clients {
	c := Clients{
		Rate:            table.Float("rate", 0, 0, MaxRate),
		Processes:       int(table.Int("processes", 1, 1, maxWorkers)),
		Quota:           table.Float("quota", 0, 0, 1e9),
		HealthInterval:  table.Duration("poll", 200*time.Millisecond, 10*time.Millisecond, time.Minute),
		CrossSite:       table.Bool("roam"),
		PriorityWeights: table.Bool("worth"),
	}
	if c.CrossSite && c.Processes%siteCount != 0 {
		table.ReportField(rules.Range, "processes", "as many for each of the %d sites expected with roam, %d found",
			siteCount, c.Processes)
	}
	table.ReportUnknown()
	return c
}

// decodeBounds decodes the table "bounds".
func decodeBounds(table tomldoc.Scope) Bounds {
	b := Bounds{
		MaxSnapshotRate:    table.Float("reads_per_s", 0, 0, 1e9),
		MaxConnectRate:     table.Float("connects_per_s", 0, 0, 1e9),
		MinReady:           table.Float("ready_part", 0, 0, 1),
		ReadyWithin:        table.Duration("ready_within", 0, 0, MaxDuration),
		MinServed:          table.Float("served_part", 0, 0, 1),
		LossRecoveryWithin: table.Duration("loss_within", 0, 0, MaxDuration),
		MinServedAfterLoss: table.Float("back_part", 0, 0, 1),
	}
	table.ReportUnknown()
	return b
}

// decodeRandom decodes the table "random" of a run that takes duration.
func decodeRandom(table tomldoc.Scope, duration time.Duration) Random {
	r := Random{
		Count:       int(table.Int("count", 0, 0, 200)),
		From:        table.Duration("from", 0, 0, MaxDuration),
		Until:       table.Duration("until", duration, 0, MaxDuration),
		MaxDuration: table.Duration("long", 2*time.Second, 10*time.Millisecond, MaxDuration),
	}
	for _, name := range table.Strings("kinds") {
		if _, ok := kindTargets[Kind(name)]; !ok {
			known := KindNames()
			message := fmt.Sprintf("%q is no kind of fault; one of %s expected", name, strings.Join(known, ", "))
			table.ReportField(rules.Word, "kinds", "%s", tomldoc.WithSuggestion(message, name, known))
			continue
		}
		r.Kinds = append(r.Kinds, Kind(name))
	}
	if r.Count > 0 && len(r.Kinds) == 0 {
		table.ReportField(rules.Missing, "kinds", "the kinds of faults that are drawn expected")
	}
	if r.Until > duration || r.From >= r.Until {
		table.ReportField(rules.Range, "until", "after from, and at most the run's %v expected", duration)
	}
	table.ReportUnknown()
	return r
}

// decodeFault decodes one of the tables "faults" and checks the fault against the processes of the
// run.
func (s *Scenario) decodeFault(table tomldoc.Scope) Fault {
	f := Fault{
		At:         table.Duration("at", 0, 0, MaxDuration),
		Duration:   table.Duration("for", 0, 0, MaxDuration),
		Kind:       Kind(table.OneOf("kind", "", KindNames()...)),
		Site:       table.Text("site", ""),
		Share:      table.Float("share", 0, 0, 1),
		Names:      table.Strings("names"),
		Delay:      table.Duration("delay", 0, 0, time.Minute),
		Jitter:     table.Duration("jitter", 0, 0, time.Minute),
		Bytes:      int(table.Int("bytes", 100, 0, 1<<20)),
		Rate:       int(table.Int("rate", 0, 0, 1<<30)),
		CrossSite:  table.Bool("across"),
		KeepListed: table.Bool("unnoticed"),
	}
	if f.At+f.Duration > s.Duration {
		table.ReportField(rules.Range, "for", "the fault to end by the run's end, %v, expected; it ends at %v",
			s.Duration, f.At+f.Duration)
	}
	f.Direction = table.OneOf("way", BothDirections, BothDirections, ToServer, ToClient)
	switch kindTargets[f.Kind] {
	case onLinks:
		s.decodeLinkFault(table, &f)
	case onProcesses:
		s.decodeProcessFault(table, &f)
	case onLists:
		f.Group = OnLists
	case onBackends:
		f.Group = OnBackends
	}
	table.MarkKnown("link", "on")
	s.checkTargets(table, f)
	return f
}

// checkTargets reports a fault's site and process names that do not exist in the run.
func (s *Scenario) checkTargets(table tomldoc.Scope, f Fault) {
	if f.Site != "" && !slices.Contains(s.Sidecars.Sites, f.Site) {
		table.ReportField(rules.UnknownZone, "site",
			"one of the sites expected: %s", strings.Join(s.Sidecars.Sites, ", "))
	}
	known := s.Names(f.Group)
	member := singular(f.Group)
	for _, name := range f.Names {
		if !slices.Contains(known, name) {
			table.ReportField(rules.UnknownService, "names", "%q is no process of this run; %s-1 to %s-%d expected",
				name, member, member, len(known))
		}
	}
}

// decodeLinkFault decodes the links that a fault acts on and reports missing fields of its kind.
func (s *Scenario) decodeLinkFault(table tomldoc.Scope, f *Fault) {
	f.Link = table.OneOf("link", "", links...)
	f.Group = table.OneOf("on", OnSidecars, OnSidecars, OnBackends, OnLists)
	if f.Group != OnSidecars && !strings.HasSuffix(f.Link, f.Group) {
		table.ReportField(rules.Exclusive, "on", "%s are at no end of the link %s", f.Group, f.Link)
	}
	switch {
	case f.Kind == OneWay && f.Direction == BothDirections:
		table.ReportField(rules.Missing, "way", "the direction expected: there or back")
	case f.Kind == Delay && f.Delay+f.Jitter == 0:
		table.ReportField(rules.Missing, "delay", "the delay expected")
	case f.Kind == Slow && f.Rate == 0:
		table.ReportField(rules.Missing, "rate", "bytes a second expected")
	}
	if f.CrossSite && (f.Site == "" || f.Link == links[0]) {
		table.ReportField(rules.Missing, "across",
			"a site expected beside it, and a link between processes that have one")
	}
}

// decodeProcessFault decodes the processes that a fault acts on and reports a selection that the
// group does not support.
func (s *Scenario) decodeProcessFault(table tomldoc.Scope, f *Fault) {
	f.Group = table.OneOf("on", OnSidecars, OnSidecars, OnLists, OnBackends, OnSites)
	siteCount := len(s.Sidecars.Sites)
	if f.Group == OnSites && (f.Site == "" || s.Backends.Processes%siteCount != 0 || s.Lists.Count%siteCount != 0) {
		table.ReportField(rules.Missing, "site",
			"one of the sites expected, and as many list services and processes of backends for each")
	}
	isSelective := f.Share > 0 || f.Site != "" || len(f.Names) > 0
	if f.Group == OnBackends && isSelective && f.Kind != Stop {
		table.ReportField(rules.Exclusive, "on",
			"backends share processes: all of them, or single ones by kind = %q, expected",
			Replace)
	}
}
