package catalogue

import (
	"fmt"
	"maps"
	"net/textproto"
	"slices"
	"strings"
	"time"

	"fernlanding/internal/config"
	"fernlanding/internal/rules"
	"fernlanding/internal/tomldoc"
)

// The fields that go on to the files of applications as they stand. Their values are judged there, once, by the reader
// of the sidecar itself.
var (
	serviceFields = []string{
		"trusted", "connections", "max_body", "max_answer", "attempts", "retry_after", "dial_timeout", "idle_close",
		"drain_grace", "cold", "start_capacity", "cold_multiple", "tier", "weighted", "order_settle", "full_may_run", "subscribe",
	}
	serviceTables = []string{"retry_budget", "answers"}
	callFields    = []string{"connections", "max_body", "max_answer", "attempts", "retry_after", "dial_timeout", "cold_multiple"}
	classFields   = []string{"repeat", "dedup_scope", "dedup_window", "key", "resend", "early_data", "hedge", "objective", "deadline", "worth", "late_worth", "in_order", "formerly"}
	calledFields  = []string{"resend", "early_data", "hedge"} // that a caller may narrow
	sourceFields  = []string{"discovery", "path", "registered_as", "token_file", "as"}
	stated        = []string{"repeat", "dedup_scope", "dedup_window", "key"}
	matchFields   = []string{"hosts", "prefix", "exact", "template", "methods", "headers", "rewrite_prefix", "listeners", "sticky_header"}
)

// model is a catalogue with one environment's figures.
type model struct {
	*tomldoc.Reader
	services map[string]*service
	names    []string // of services, sorted
	apps     []*application
	factor   float64
}

type service struct {
	name    string
	v       *tomldoc.Value
	team    string
	zones   []string
	classes map[string]*class
	names   []string // of classes, sorted
	pods    []pod
	tenants map[string]*tomldoc.Value
	called  int // instances of all applications that call it

	attempts int64 // bounds that its callers keep
	cold     float64
}

type class struct {
	v      *tomldoc.Value
	routes []*tomldoc.Value
}

type pod struct {
	name      string
	v         *tomldoc.Value
	endpoints []*tomldoc.Value
}

type application struct {
	name      string
	v         *tomldoc.Value
	serves    []string
	instances int
	calls     []*call
}

type call struct {
	service *service
	v       *tomldoc.Value
	tenants []string
	classes []*called
	ordinal int
}

type called struct {
	name string
	of   *class
	v    *tomldoc.Value // the call's own table of the class; may be nil
}

// read makes the model of a tree.
func read(r *tomldoc.Reader, root *tomldoc.Value) *model {
	m := &model{Reader: r, services: map[string]*service{}, factor: DefaultRetryFactor}
	s := tomldoc.NewScope(r, root)
	f := s.Sub("fleet")
	m.factor = f.Number("retry_factor", DefaultRetryFactor, 1, 100)
	f.Done()
	names, scopes := s.Each("services")
	for i, v := range scopes {
		m.services[names[i]] = m.service(v, names[i])
	}
	m.names = keys(m.services)
	names, scopes = s.Each("applications")
	for i, v := range scopes {
		m.apps = append(m.apps, m.application(v, names[i]))
	}
	slices.SortFunc(m.apps, func(a, b *application) int { return strings.Compare(a.name, b.name) })
	for _, a := range m.apps {
		for _, c := range a.calls {
			c.ordinal = c.service.called
			c.service.called += a.instances
		}
	}
	return m
}

// DefaultRetryFactor is how often attempts may multiply over all tiers where a fleet does not say.
const DefaultRetryFactor = 1.2

func (m *model) service(s tomldoc.Scope, name string) *service {
	config.CheckName(s, "", name)
	v := &service{name: name, v: s.V, classes: map[string]*class{}, tenants: map[string]*tomldoc.Value{}}
	if v.team = s.Text("team", ""); v.team == "" {
		s.Bad(rules.Missing, "team", "the team that owns the service expected")
	}
	v.zones = s.Texts("zones")
	s.Take(serviceFields...)
	own := tomldoc.Scope{Reader: &tomldoc.Reader{}, V: s.V} // its faults are told where the file is read
	v.attempts, v.cold = own.Whole("attempts", 3, 1, 16), own.Number("cold_multiple", 3, 0, 100)
	for _, f := range serviceTables {
		s.Get(f, tomldoc.Table)
	}
	switch s.Word("membership", "static", "static", "catalog", "file", "consul", "relay") {
	case "catalog", "file", "consul", "relay":
		s.Take(sourceFields...)
		if s.Has("pods") {
			s.Bad(rules.Exclusive, "pods", `stand in the catalogue where membership is "static"`)
			s.Take("pods")
		}
	default:
		if s.Has("discovery") {
			s.Bad(rules.Exclusive, "discovery", `goes with membership = "catalog"`)
			s.Take("discovery")
		}
		m.pods(s, v)
	}
	names, scopes := s.Each("classes")
	for i, c := range scopes {
		k := &class{v: c.V}
		c.Take(classFields...)
		k.routes = matches(c)
		c.Done()
		v.classes[names[i]] = k
	}
	v.names = slices.Sorted(slices.Values(names))
	if len(names) == 0 {
		s.Bad(rules.Missing, "classes", "one class at least expected")
	}
	names, scopes = s.Each("tenants")
	for i, t := range scopes {
		t.Take("portion", "quota")
		t.Done()
		v.tenants[names[i]] = t.V
	}
	s.Done()
	return v
}

// matches reads the routes of a class.
func matches(s tomldoc.Scope) (out []*tomldoc.Value) {
	for _, r := range s.List("routes") {
		r.Take(matchFields...)
		r.Done()
		out = append(out, r.V)
	}
	return out
}

// pods reads where a service's backends are. The members of a pod share one record of keys.
func (m *model) pods(s tomldoc.Scope, v *service) {
	names, scopes := s.Each("pods")
	if len(names) == 0 {
		s.Bad(rules.Missing, "pods", `one at least expected where membership is "static"`)
	}
	cells, addresses := map[string]*tomldoc.Value{}, map[string]*tomldoc.Value{}
	for i, p := range scopes {
		config.CheckName(p, "", names[i])
		p.Take("zone")
		if !p.Has("cell") {
			p.Bad(rules.Missing, "cell", "the number of the pod expected: its members drop each other's repeats")
		} else if c := p.Get("cell", tomldoc.Integer); c != nil {
			if old := cells[c.Text]; old != nil {
				m.Faults = append(m.Faults, tomldoc.Diagnostic{Place: c.Place, Rule: rules.DoubleName, Field: p.Name("cell"), Found: c.Say(), Expect: "another pod has this number", See: old.Place})
			}
			cells[c.Text] = c
		}
		one := pod{name: names[i], v: p.V}
		for _, e := range p.List("endpoints") {
			e.Take("name", "address", "weight", "status")
			e.Done()
			one.endpoints = append(one.endpoints, e.V)
			if a := e.V.Fields["address"]; a != nil {
				if old := addresses[a.Text]; old != nil && old != p.V {
					m.Faults = append(m.Faults, tomldoc.Diagnostic{Place: a.Place, Rule: rules.PodDisagrees, Field: e.Name("address"), Found: a.Say(), Expect: "this address is in another pod too", See: old.Place})
				}
				addresses[a.Text] = p.V
			}
		}
		if len(one.endpoints) == 0 {
			p.Bad(rules.Missing, "endpoints", "one at least expected")
		}
		p.Done()
		v.pods = append(v.pods, one)
	}
	slices.SortFunc(v.pods, func(a, b pod) int { return strings.Compare(a.name, b.name) })
}

func (m *model) application(s tomldoc.Scope, name string) *application {
	config.CheckName(s, "", name)
	a := &application{name: name, v: s.V, serves: s.Texts("serves"), instances: int(s.Whole("instances", 1, 1, 100_000))}
	s.Take("team", "host", "zone")
	s.Get("process", tomldoc.Table)
	s.Get("distribution", tomldoc.Table)
	s.Get("listeners", tomldoc.Array)
	for _, of := range a.serves {
		m.find(s, "serves", of)
	}
	names, scopes := s.Each("calls")
	for i, c := range scopes {
		if one := m.call(c, names[i]); one != nil {
			a.calls = append(a.calls, one)
		}
	}
	slices.SortFunc(a.calls, func(x, y *call) int { return strings.Compare(x.service.name, y.service.name) })
	if len(names) == 0 {
		s.Bad(rules.Missing, "calls", "one service that it calls at least expected")
	}
	s.Done()
	return a
}

// find returns a service of a name, or faults the field that names it.
func (m *model) find(s tomldoc.Scope, field, name string) *service {
	v := m.services[name]
	if v == nil {
		s.Bad(rules.UnknownService, field, "%s, found %q", tomldoc.Guess("one of the services of the catalogue expected", name, m.names), tomldoc.Clip(name))
	}
	return v
}

func (m *model) call(s tomldoc.Scope, name string) *call {
	v := m.find(s, "", name)
	c := &call{service: v, v: s.V, tenants: s.Texts("tenants")}
	s.Take(callFields...)
	s.Take("share", "time_limit", "zone", "for")
	s.Get("retry_budget", tomldoc.Table)
	s.Get("split", tomldoc.Array)
	names, scopes := s.Each("classes")
	for i, k := range scopes {
		k.Take(calledFields...)
		k.Take(stated...)
		k.Take("time_limit", "for", "mirror")
		matches(k)
		k.Done()
		if v == nil {
			continue
		}
		of := v.classes[names[i]]
		if of == nil {
			m.noClass(k, v, names[i])
			continue
		}
		m.agree(k, v, names[i], of)
		c.classes = append(c.classes, &called{names[i], of, k.V})
	}
	s.Done()
	if v == nil {
		return nil
	}
	if len(names) == 0 {
		for _, n := range v.names {
			c.classes = append(c.classes, &called{name: n, of: v.classes[n]})
		}
	}
	slices.SortFunc(c.classes, func(a, b *called) int { return strings.Compare(a.name, b.name) })
	for _, t := range c.tenants {
		if v.tenants[t] == nil {
			s.Bad(rules.UnknownTenant, "tenants", "%s, found %q", tomldoc.Guess("no tenant of "+name+" is named so", t, keys(v.tenants)), tomldoc.Clip(t))
		}
	}
	m.within(s, v)
	return c
}

// within holds a caller to bounds that the owner states.
func (m *model) within(s tomldoc.Scope, v *service) {
	if n := s.Whole("attempts", 1, 1, 16); n > v.attempts {
		s.Bad(rules.Range, "attempts", "%d at most expected, as the owner states, team %s", v.attempts, v.team)
	}
	if x := s.Number("cold_multiple", 1, 0, 100); x > v.cold {
		s.Bad(rules.ColdMultiple, "cold_multiple", "%g at most expected, as the owner states, team %s", v.cold, v.team)
	}
}

func (m *model) noClass(s tomldoc.Scope, v *service, name string) {
	for _, n := range v.names {
		if f := v.classes[n].v.Fields["formerly"]; f != nil {
			for _, item := range f.Items {
				if item.Text == name {
					m.Faults = append(m.Faults, tomldoc.Diagnostic{Place: s.V.Place, Rule: rules.ClassRenamed, Field: s.Path, Expect: n + " expected: that is its name now", See: f.Place})
					return
				}
			}
		}
	}
	s.Fault(s.V, rules.UnknownClass, s.Path, "", tomldoc.Guess("one of the classes of "+v.name+" expected", name, v.names))
}

// agree compares what a caller states of a class with what its owner states.
func (m *model) agree(s tomldoc.Scope, v *service, name string, of *class) {
	for _, f := range stated {
		mine, theirs := s.V.Fields[f], of.v.Fields[f]
		if mine == nil || theirs != nil && meaning(f, mine) == meaning(f, theirs) {
			continue
		}
		at, says := of.v.Place, "says nothing"
		if theirs != nil {
			at, says = theirs.Place, "says "+theirs.Say()
		} else if f == "dedup_scope" && mine.Text == "cell" && of.v.Fields["repeat"] != nil && of.v.Fields["repeat"].Text == "keyed" {
			continue // the default
		}
		m.Faults = append(m.Faults, tomldoc.Diagnostic{
			Place: mine.Place, Rule: rules.ClassDisagrees, Field: s.Name(f), Found: mine.Say(),
			Expect: fmt.Sprintf("team %s, which owns %s, %s of class %s", v.team, v.name, says, name), See: at,
		})
	}
	order := map[string]int{"never": 0, "scope": 1, "any": 2}
	if mine, theirs := s.V.Fields["resend"], of.v.Fields["resend"]; mine != nil && theirs != nil && order[mine.Text] > order[theirs.Text] {
		m.Faults = append(m.Faults, tomldoc.Diagnostic{
			Place: mine.Place, Rule: rules.ClassDisagrees, Field: s.Name("resend"), Found: mine.Say(),
			Expect: fmt.Sprintf("team %s, which owns %s, allows %s of class %s", v.team, v.name, theirs.Say(), name), See: theirs.Place,
		})
	}
}

// meaning is what a value of a field means, whatever way it is written.
func meaning(field string, v *tomldoc.Value) string {
	switch field {
	case "dedup_window":
		if d, err := time.ParseDuration(v.Text); err == nil {
			return d.String()
		}
	case "key":
		return textproto.CanonicalMIMEHeaderKey(v.Text)
	}
	return v.Text
}

func keys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}
