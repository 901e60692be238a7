package catalogue

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"fernlanding/internal/config"
	"fernlanding/internal/rules"
	"fernlanding/internal/tomldoc"
)

// Requires is the oldest program that reads what Generate writes, and RequiresRelay that which reads it where lists come
// from relays.
const (
	Requires      = "0.3"
	RequiresRelay = "0.4"
)

// By is what stands in the head of a generated file.
const By = "fernctl"

// Output is one application's file.
type Output struct {
	Application string
	Name        string // of the file
	Data        []byte
	Origin      []tomldoc.Place // of each line, in the catalogue
}

// Plan is what a catalogue gives for one environment.
type Plan struct {
	Environment string
	Outputs     []Output // by name
	Probes      []Output // of services that nobody calls: to be checked, not to be written
	RetryFactor float64
}

// Generate writes each application's file with an environment's figures; the empty name stands for none. The same
// catalogue gives the same bytes, however its text is divided into files. Faults are those of the catalogue; what an
// application's file may not say is found by reading what was written.
func (c *Catalogue) Generate(environment string) (*Plan, tomldoc.Diagnostics) {
	r := &tomldoc.Reader{}
	root, ok := c.overlay(environment, r)
	if !ok {
		return nil, r.Faults
	}
	m := read(r, root)
	p := &Plan{Environment: environment, RetryFactor: m.factor}
	used := map[string]bool{}
	for _, a := range m.apps {
		if len(a.calls) == 0 {
			continue // said already
		}
		e := &emitter{model: m, app: a, needs: map[string]map[string]bool{}}
		e.file(c.Digest, environment)
		p.Outputs = append(p.Outputs, Output{a.name, a.name + ".toml", e.out, e.origin})
		for s := range e.needs {
			used[s] = true
		}
	}
	for _, name := range m.names {
		if used[name] {
			continue
		}
		v := m.services[name]
		r.Fault(v.v, rules.Unused, "services."+name, "", "an application that calls it expected")
		p.Probes = append(p.Probes, m.probe(v, c.Digest, environment))
	}
	return p, r.Faults
}

// probe is a file in which a service that nobody calls can be judged.
func (m *model) probe(v *service, digest, environment string) Output {
	table := tomldoc.NewTable(v.v.Place)
	c := &call{service: v, v: table}
	for _, n := range v.names {
		c.classes = append(c.classes, &called{name: n, of: v.classes[n]})
	}
	a := &application{name: "probe", v: tomldoc.NewTable(v.v.Place), instances: 1, calls: []*call{c}}
	e := &emitter{model: m, app: a, needs: map[string]map[string]bool{}, probe: true}
	e.file(digest, environment)
	return Output{"", v.name + ".probe", e.out, e.origin}
}

// emitter writes one application's file, line by line, with the place that each line comes from.
type emitter struct {
	*model
	app    *application
	needs  map[string]map[string]bool // classes by service
	probe  bool
	out    []byte
	origin []tomldoc.Place
}

func (e *emitter) line(from tomldoc.Place, format string, args ...any) {
	e.out = fmt.Appendf(e.out, format, args...)
	e.out = append(e.out, '\n')
	e.origin = append(e.origin, from)
}

// field writes a value as it stands in the catalogue.
func (e *emitter) field(name string, v *tomldoc.Value) {
	e.line(v.Place, "%s = %s", key(name), text(v))
}

func (e *emitter) fields(of *tomldoc.Value, names ...string) {
	for _, n := range names {
		if v := of.Fields[n]; v != nil {
			e.field(n, v)
		}
	}
}

func (e *emitter) file(digest, environment string) {
	a := e.app
	at := a.v.Place
	for _, c := range a.calls {
		e.need(c)
	}
	e.line(at, "# Written by fernctl for application %s. Change the catalogue, not this file.", a.name)
	e.line(at, "version = %d", config.Version)
	e.line(at, "name = %s", quote(a.name))
	e.fields(a.v, "team", "host", "serves")
	e.line(at, "")
	e.line(at, "[generated]")
	e.line(at, "by = %s", quote(By+" "+config.Program))
	e.line(at, "requires = %s", quote(e.requires()))
	e.line(at, "sources = %s", quote(digest))
	if environment != "" {
		e.line(at, "environment = %s", quote(environment))
	}
	if p := a.v.Fields["process"]; p != nil {
		e.table("process", p)
	}
	e.distribution()
	e.listeners()
	for _, name := range keys(e.needs) {
		e.service(e.services[name])
	}
	e.routes()
}

// requires is the oldest program that reads the file.
func (e *emitter) requires() string {
	if e.relayed() || e.app.v.Fields["distribution"] != nil {
		return RequiresRelay
	}
	return Requires
}

// relayed tells whether the list of a service in the file comes from relays.
func (e *emitter) relayed() bool {
	for name := range e.needs {
		if m := e.services[name].v.Fields["membership"]; m != nil && m.Text == "relay" {
			return true
		}
	}
	return false
}

// need notes the services and classes that a call leads to.
func (e *emitter) need(c *call) {
	note := func(service, class string) {
		if e.needs[service] == nil {
			e.needs[service] = map[string]bool{}
		}
		e.needs[service][class] = true
	}
	for _, k := range c.classes {
		note(c.service.name, k.name)
		for _, side := range e.sides(c) {
			if s := e.services[side.service]; s != nil {
				note(side.service, k.name)
			}
		}
		if k.v == nil || k.v.Fields["mirror"] == nil || k.v.Fields["mirror"].Kind != tomldoc.Table {
			continue
		}
		m := tomldoc.Scope{Reader: e.Reader, V: k.v.Fields["mirror"], Path: "mirror"}
		if s := e.services[m.Text("service", "")]; s != nil {
			class := m.Text("class", "")
			if class == "" && len(s.names) == 1 {
				class = s.names[0]
			}
			note(s.name, class)
		}
	}
}

type side struct {
	service string
	v       *tomldoc.Value
}

// sides are the sides of a call's split.
func (e *emitter) sides(c *call) (out []side) {
	if v := c.v.Fields["split"]; v != nil && v.Kind == tomldoc.Array {
		for _, item := range v.Items {
			if item.Kind == tomldoc.Table && item.Fields["service"] != nil {
				out = append(out, side{item.Fields["service"].Text, item})
			}
		}
	}
	return out
}

// table writes a table of scalars, in the order of the fields' names.
func (e *emitter) table(name string, v *tomldoc.Value) {
	e.line(v.Place, "")
	e.line(v.Place, "[%s]", name)
	e.fields(v, slices.Sorted(slices.Values(v.Keys))...)
}

// distribution writes the relays that lists come from. A probe has none of its own, and asks none.
func (e *emitter) distribution() {
	if d := e.app.v.Fields["distribution"]; d != nil {
		e.table("distribution", d)
		return
	}
	if e.probe && e.relayed() {
		e.line(e.app.v.Place, "")
		e.line(e.app.v.Place, "[distribution]")
		e.line(e.app.v.Place, `relays = ["127.0.0.1:1"]`)
	}
}

func (e *emitter) listeners() {
	v := e.app.v.Fields["listeners"]
	if e.probe {
		e.line(e.app.v.Place, "")
		e.line(e.app.v.Place, "[[listeners]]")
		e.line(e.app.v.Place, `address = "127.0.0.1:0"`)
		return
	}
	if v == nil || v.Kind != tomldoc.Array {
		return // is a fault of the file
	}
	for _, l := range v.Items {
		e.line(l.Place, "")
		e.line(l.Place, "[[listeners]]")
		if l.Kind == tomldoc.Table {
			e.fields(l, l.Keys...)
		}
	}
}

// callOf is the application's call of a service; nil where a split or a mirror alone leads there.
func (a *application) callOf(s *service) *call {
	for _, c := range a.calls {
		if c.service == s {
			return c
		}
	}
	return nil
}

func (e *emitter) service(s *service) {
	c := e.app.callOf(s)
	path := "services." + key(s.name)
	e.line(s.v.Place, "")
	e.line(s.v.Place, "[%s]", path)
	e.fields(s.v, "membership")
	e.fields(s.v, sourceFields...)
	if s.team != "" {
		e.line(s.v.Fields["team"].Place, "owner = %s", quote(s.team))
	}
	e.zone(s, c)
	if c != nil {
		if share := c.v.Fields["share"]; share != nil {
			e.field("share", share)
		}
		e.line(c.v.Place, "siblings = %d", max(1, s.called))
		e.line(c.v.Place, "ordinal = %d", c.ordinal)
	}
	for _, f := range serviceFields {
		v := s.v.Fields[f]
		if c != nil && slices.Contains(callFields, f) && c.v.Fields[f] != nil {
			v = c.v.Fields[f]
		}
		if v != nil {
			e.field(f, v)
		}
	}
	e.endpoints(s)
	for _, t := range serviceTables {
		v := s.v.Fields[t]
		if c != nil && c.v.Fields[t] != nil {
			v = c.v.Fields[t]
		}
		if v != nil {
			e.table(path+"."+t, v)
		}
	}
	for _, n := range s.names {
		if e.needs[s.name][n] {
			e.class(path, s, c, n)
		}
	}
	e.tenants(path, s, c)
}

// zone writes the zones of a service and the one that the application counts as its own.
func (e *emitter) zone(s *service, c *call) {
	if len(s.zones) == 0 {
		return
	}
	e.field("zones", s.v.Fields["zones"])
	v := e.app.v.Fields["zone"]
	if c != nil && c.v.Fields["zone"] != nil {
		v = c.v.Fields["zone"]
	}
	if v != nil {
		e.field("zone", v)
	} else {
		e.line(s.v.Fields["zones"].Place, "zone = %s", quote(s.zones[0]))
	}
}

func (e *emitter) endpoints(s *service) {
	if len(s.pods) == 0 {
		return
	}
	e.line(s.v.Place, "endpoints = [")
	for _, p := range s.pods {
		for _, v := range p.endpoints {
			var b strings.Builder
			add := func(name string, v *tomldoc.Value) {
				if v != nil {
					b.WriteString(cmp.Or(strings.Repeat(", ", min(1, b.Len())), " ") + name + " = " + text(v))
				}
			}
			if v.Kind == tomldoc.Table {
				for _, f := range []string{"name", "address"} {
					add(f, v.Fields[f])
				}
				add("cell", p.v.Fields["cell"])
				add("zone", p.v.Fields["zone"])
				for _, f := range []string{"weight", "status"} {
					add(f, v.Fields[f])
				}
			}
			e.line(v.Place, "  {%s },", b.String())
		}
	}
	e.line(s.v.Place, "]")
}

func (e *emitter) class(path string, s *service, c *call, name string) {
	k := s.classes[name]
	e.line(k.v.Place, "")
	e.line(k.v.Place, "[%s.classes.%s]", path, key(name))
	var own *tomldoc.Value
	if c != nil {
		for _, one := range c.classes {
			if one.name == name {
				own = one.v
			}
		}
	}
	for _, f := range classFields {
		v := k.v.Fields[f]
		if own != nil && slices.Contains(calledFields, f) && own.Fields[f] != nil {
			v = own.Fields[f]
		}
		if v != nil {
			e.field(f, v)
		}
	}
}

// tenants writes those that an application calls for, each with its part of their quota.
func (e *emitter) tenants(path string, s *service, c *call) {
	share := 1.0
	if c != nil && c.v.Fields["share"] != nil {
		if x, err := strconv.ParseFloat(strings.ReplaceAll(c.v.Fields["share"].Text, "_", ""), 64); err == nil {
			share = x
		}
	}
	for _, n := range keys(s.tenants) {
		if c != nil && len(c.tenants) > 0 && !slices.Contains(c.tenants, n) {
			continue
		}
		v := s.tenants[n]
		e.line(v.Place, "")
		e.line(v.Place, "[%s.tenants.%s]", path, key(n))
		e.fields(v, "portion")
		quota := v.Fields["quota"]
		if quota == nil {
			continue
		}
		x, err := strconv.ParseFloat(strings.ReplaceAll(quota.Text, "_", ""), 64)
		if (quota.Kind != tomldoc.Integer && quota.Kind != tomldoc.Float) || err != nil {
			e.field("quota", quota)
			continue
		}
		e.line(quota.Place, "quota = %s", number(x*share))
	}
}

// number writes a float so that TOML takes it for one.
func number(x float64) string {
	s := strconv.FormatFloat(x, 'f', -1, 64)
	if !strings.ContainsAny(s, ".") && !strings.ContainsAny(s, "Nn") {
		s += ".0"
	}
	return s
}

// written is one route with what its place in the file depends on.
type written struct {
	name  string
	match *tomldoc.Value // may be nil: all paths
	c     *call
	k     *called
}

// routes writes the routes of all calls, the more specific ones first: the first that matches decides.
func (e *emitter) routes() {
	var all []written
	for _, c := range e.app.calls {
		for _, k := range c.classes {
			matches := k.of.routes
			if k.v != nil && k.v.Fields["routes"] != nil {
				matches = k.v.Fields["routes"].Items
			}
			base := c.service.name + "." + k.name
			if len(matches) == 0 {
				if len(e.app.calls) > 1 || len(c.classes) > 1 || e.probe {
					matches = []*tomldoc.Value{e.byName(c, k)}
				} else {
					matches = []*tomldoc.Value{nil}
				}
			}
			for i, v := range matches {
				name := base
				if i > 0 {
					name += "." + strconv.Itoa(i+1)
				}
				all = append(all, written{name, v, c, k})
			}
		}
	}
	slices.SortStableFunc(all, func(a, b written) int {
		return cmp.Or(slices.Compare(a.rank(), b.rank()), strings.Compare(a.name, b.name))
	})
	for _, w := range all {
		e.route(w)
	}
}

// byName is the route of a class that states none: a prefix of the service's and the class's name.
func (e *emitter) byName(c *call, k *called) *tomldoc.Value {
	at := k.of.v.Place
	v := tomldoc.NewTable(at)
	v.Set("prefix", &tomldoc.Value{Kind: tomldoc.String, Place: at, Text: "/" + c.service.name + "/" + k.name})
	return v
}

// rank orders routes: exact paths, templates, then prefixes, long ones first; with hosts, fields and methods before
// without.
func (w *written) rank() []int {
	r := []int{2, 0, 1, 1, 1}
	if w.match == nil || w.match.Kind != tomldoc.Table {
		return r
	}
	has := func(f string) bool { return w.match.Fields[f] != nil }
	path := ""
	for i, f := range []string{"exact", "template", "prefix"} {
		if has(f) {
			r[0], path = i, w.match.Fields[f].Text
			break
		}
	}
	r[1] = -len(strings.Trim(path, "/"))
	for i, f := range []string{"hosts", "headers", "methods"} {
		if has(f) {
			r[2+i] = 0
		}
	}
	return r
}

func (e *emitter) route(w written) {
	at := w.k.of.v.Place
	if w.match != nil {
		at = w.match.Place
	} else if w.k.v != nil {
		at = w.k.v.Place
	}
	e.line(at, "")
	e.line(at, "[[routes]]")
	e.line(at, "name = %s", quote(w.name))
	if w.match != nil && w.match.Kind == tomldoc.Table {
		e.fields(w.match, matchFields...)
	}
	own := w.k.v
	if own == nil {
		own = tomldoc.NewTable(at)
	}
	if v := cmp.Or(own.Fields["for"], w.c.v.Fields["for"]); v != nil {
		e.field("for", v)
	}
	if sides := w.c.v.Fields["split"]; sides != nil && sides.Kind == tomldoc.Array {
		e.line(sides.Place, "split = [")
		for _, s := range e.sides(w.c) {
			weight := ""
			if v := s.v.Fields["weight"]; v != nil {
				weight = ", weight = " + text(v)
			}
			e.line(s.v.Place, "  { service = %s, class = %s%s },", quote(s.service), quote(w.k.name), weight)
		}
		e.line(sides.Place, "]")
	} else {
		e.line(w.c.v.Place, "service = %s", quote(w.c.service.name))
		e.line(w.c.v.Place, "class = %s", quote(w.k.name))
	}
	if v := cmp.Or(own.Fields["time_limit"], w.c.v.Fields["time_limit"]); v != nil {
		e.field("timeout", v)
	}
	if v := own.Fields["mirror"]; v != nil {
		e.field("mirror", v)
	}
}

// key is a name as a TOML key.
func key(name string) string {
	bare := name != ""
	for _, c := range name {
		bare = bare && (c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '-' || c == '_')
	}
	if bare {
		return name
	}
	return quote(name)
}

// quote is a TOML basic string.
func quote(s string) string {
	var b strings.Builder
	b.WriteByte('"')
	for _, c := range s {
		switch {
		case c == '"' || c == '\\':
			b.WriteByte('\\')
			b.WriteRune(c)
		case c < ' ' || c == 0x7f:
			fmt.Fprintf(&b, `\u%04X`, c)
		default:
			b.WriteRune(c)
		}
	}
	b.WriteByte('"')
	return b.String()
}

// text is a value as TOML on one line.
func text(v *tomldoc.Value) string {
	switch v.Kind {
	case tomldoc.String:
		return quote(v.Text)
	case tomldoc.Array:
		items := make([]string, len(v.Items))
		for i, item := range v.Items {
			items[i] = text(item)
		}
		return "[" + strings.Join(items, ", ") + "]"
	case tomldoc.Table:
		var items []string
		for _, k := range v.Keys {
			items = append(items, key(k)+" = "+text(v.Fields[k]))
		}
		if len(items) == 0 {
			return "{}"
		}
		return "{ " + strings.Join(items, ", ") + " }"
	}
	return v.Text
}
