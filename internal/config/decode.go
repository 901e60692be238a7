package config

import (
	"errors"
	"fmt"
	"net"
	"net/textproto"
	"slices"
	"strconv"
	"strings"
	"time"

	"fernlanding/internal/membership"
	"fernlanding/internal/route"
	"fernlanding/logic"
)

const (
	defaultSockets = 1024
	maxNames       = 64 // bytes of a name
	maxRouteTime   = MaxDeadline
	minTime        = time.Millisecond
)

// Decode reads an application's file of version 1. The error is a Faults with all that is wrong with it. file is the
// name that faults give.
func Decode(file string, data []byte) (*App, error) {
	if len(data) > MaxFile {
		return nil, Faults{{File: file, Found: fmt.Sprintf("%d bytes", len(data)), Expect: fmt.Sprintf("%d at most", MaxFile)}}
	}
	root, err := parse(file, data)
	if err != nil {
		return nil, err
	}
	r := &reader{file: file}
	s := scope{r, root, ""}
	if !s.has("version") {
		s.bad("version", "version = %d expected", Version)
	} else if v := s.whole("version", Version, 1, 1<<31); v != Version && len(r.faults) == 0 {
		s.bad("version", "this program reads version %d; a newer program may read the file", Version)
		return nil, r.faults // what else it says may mean something else there
	}
	app := &App{Name: s.text("name", ""), Seed: uint64(s.whole("seed", 0, 0, 1<<62))}
	p := s.table("process")
	app.Process = Process{Cores: p.number("cores", 0, 0, 1024), MemoryMB: p.number("memory_mb", 0, 0, 1<<20),
		Sockets: int(p.whole("sockets", defaultSockets, 1, 1<<24))}
	p.done()
	app.listeners(s)
	names, scopes := s.each("services")
	for i, v := range scopes {
		app.Services = append(app.Services, service(v, names[i]))
	}
	switch {
	case !s.has("services"):
		s.bad("services", "one service at least expected")
	case len(names) > MaxServices:
		s.bad("services", "%d services, %d expected at most", len(names), MaxServices)
	}
	app.routes(s)
	s.done()
	if len(r.faults) == 0 {
		if _, err := app.Descriptors(); err != nil {
			s.table("process").bad("sockets", "%v", err)
		}
		if _, err := app.Memory(); err != nil {
			s.table("process").bad("memory_mb", "%v", err)
		}
	}
	if err := r.faults.err(); err != nil {
		return nil, err
	}
	return app, nil
}

// named faults a name that is no name.
func (s scope) named(name string) {
	if name == "" || len(name) > maxNames || !route.IsToken(name) {
		s.fault(s.v, s.path, strconv.Quote(clip(name)), fmt.Sprintf("a name of 1 to %d letters, digits and signs expected", maxNames))
	}
}

func (s scope) address(field string) string {
	addr := s.text(field, "")
	if host, port, err := net.SplitHostPort(addr); err != nil || host == "" {
		s.bad(field, "host:port expected")
	} else if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 && field != "address" {
		s.bad(field, "host:port with a port of 1 to 65535 expected")
	}
	return addr
}

func (a *App) listeners(s scope) {
	seen := map[string]bool{}
	for _, l := range s.list("listeners") {
		one := Listener{Name: l.text("name", "main"), Address: l.address("address")}
		l.named(one.Name)
		l.done()
		if seen[one.Name] {
			l.bad("name", "another listener has this name")
		}
		seen[one.Name] = true
		a.Listeners = append(a.Listeners, one)
	}
	if !s.has("listeners") {
		s.bad("listeners", "one listener at least expected")
	}
}

func service(s scope, name string) *Service {
	s.named(name)
	v := &Service{Name: name, PassAll: true, Trusted: s.flag("trusted"),
		Connections: s.whole("connections", 0, 1, 1<<20),
		MaxBody:     s.whole("max_body", 64<<10, 0, MaxBody),
		MaxAnswer:   s.whole("max_answer", 1<<20, 0, MaxBody)}
	v.DialTimeout = s.span("dial_timeout", 200*time.Millisecond, minTime, MaxDeadline)
	v.IdleClose = s.span("idle_close", 30*time.Second, 100*time.Millisecond, time.Hour)
	v.Zones = s.texts("zones")
	zone := s.text("zone", "")
	if len(v.Zones) == 0 {
		v.Zones = []string{zone}
	}
	l := &v.Logic
	*l = logic.Settings{Zones: len(v.Zones), Zone: slices.Index(v.Zones, zone),
		Siblings: int(s.whole("siblings", 1, 1, 1<<20)), Ordinal: int(s.whole("ordinal", 0, 0, 1<<20)),
		Stage: int(s.whole("tier", 0, 0, 64)), MaxAttempts: int(s.whole("attempts", 3, 1, 16)),
		OrderSettle:   micros(s.span("order_settle", 0, 0, MaxDeadline)),
		FullMayRun:    s.flag("full_may_run"),
		MaxRetryAfter: micros(s.span("retry_after", time.Second, 0, MaxDeadline)),
		DrainGrace:    micros(s.span("drain_grace", 250*time.Millisecond, 0, time.Minute)),
		Cold:          micros(s.span("cold", 0, 0, 10*time.Minute)), StartCapacity: s.number("start_capacity", 1, 0.01, 1),
		SizeHints: s.flag("weighted"),
	}
	if l.Zone < 0 {
		s.bad("zone", "one of zones expected: %s", strings.Join(v.Zones, ", "))
	}
	b := s.table("retry_budget")
	l.BudgetSpan = micros(b.span("span", 10*time.Second, 100*time.Millisecond, 10*time.Minute))
	l.BudgetFree = b.number("free", 5, 0, 1e6)
	l.BudgetShare = b.number("share", 0.1, 0, 10)
	b.done()
	v.classes(s)
	names, scopes := s.each("tenants")
	for i, t := range scopes {
		t.named(names[i])
		v.Tenants = append(v.Tenants, names[i])
		l.Tenants = append(l.Tenants, logic.Tenant{Portion: t.number("portion", 1, 0, 1), Quota: t.number("quota", 0, 0, 1e9)})
		t.done()
	}
	v.source(s)
	s.done()
	return v
}

func micros(d time.Duration) int64 { return d.Microseconds() }

func (v *Service) classes(s scope) {
	names, scopes := s.each("classes")
	for i, c := range scopes {
		c.named(names[i])
		k := logic.Class{Aim: micros(c.span("objective", 500*time.Millisecond, minTime, MaxDeadline)),
			Deadline:  micros(c.span("deadline", 2*time.Second, minTime, MaxDeadline)),
			Worth:     c.number("worth", 1, 0, 1e9),
			LateWorth: c.number("late_worth", 0.5, 0, 1),
			ByArrival: c.flag("in_order"),
		}
		if k.Aim > k.Deadline {
			c.bad("objective", "the deadline (%v) expected at most", time.Duration(k.Deadline)*time.Microsecond)
		}
		if !c.has("repeat") {
			c.bad("repeat", `"safe", "keyed" or "unsafe" expected: it decides what may be sent again, so there is no default`)
		}
		switch c.word("repeat", "safe", "safe", "keyed", "unsafe") {
		case "safe":
			k.Repeat = logic.Safe
		case "keyed":
			k.Repeat = logic.Keyed
			if !c.has("dedup_window") {
				c.bad("dedup_window", "how long its servers recall a key is expected of a keyed class")
			}
		case "unsafe":
			k.Repeat = logic.Unsafe
		}
		k.Window = micros(c.span("dedup_window", 0, 0, time.Hour))
		switch c.word("dedup_scope", "cell", "cell", "zone", "service") {
		case "zone":
			k.Group = logic.GroupZone
		case "cell":
			k.Group = logic.GroupCell
		}
		if k.Repeat != logic.Keyed {
			k.Group, k.Window = logic.GroupAll, 0
			for _, f := range []string{"dedup_window", "dedup_scope"} {
				if c.has(f) {
					c.bad(f, "only keyed classes are deduplicated")
				}
			}
		}
		c.done()
		v.Classes = append(v.Classes, names[i])
		v.Logic.Classes = append(v.Logic.Classes, k)
	}
	if len(names) == 0 {
		s.bad("classes", "one class at least expected")
	}
}

func (v *Service) source(s scope) {
	switch s.word("membership", "static", "static", "catalog") {
	case "catalog":
		v.Source = Source{Kind: Catalog, Address: s.address("discovery")}
		if s.has("endpoints") {
			s.bad("endpoints", `stand in the file where membership is "static"`)
		}
		s.v.taken["endpoints"] = true
		if s.flag("subscribe") {
			v.Logic.Subscribe, v.Logic.AskEvery = true, micros(10*time.Second)
		}
		return
	}
	if s.has("discovery") {
		s.bad("discovery", `goes with membership = "catalog"`)
		s.v.taken["discovery"] = true
	}
	if !s.has("endpoints") {
		s.bad("endpoints", `one at least expected where membership is "static"`)
	}
	seen := map[string]bool{}
	for _, e := range s.list("endpoints") {
		one := membership.Endpoint{Name: e.text("name", ""), Address: e.address("address"), Zone: e.text("zone", v.Zones[max(0, v.Logic.Zone)]),
			Cell: int(e.whole("cell", 0, 0, 1<<30)), Weight: e.number("weight", 1, 0, 1e6)}
		if e.word("status", "serving", "serving", "draining") == "draining" {
			one.Status = membership.Draining
		}
		if one.Name == "" {
			one.Name = one.Address
		}
		if seen[one.Name] {
			e.bad("name", "another endpoint of %s has this name", s.path)
		}
		seen[one.Name] = true
		e.done()
		v.Source.Endpoints = append(v.Source.Endpoints, one)
	}
}

// routes reads the rules, and checks where they lead.
func (a *App) routes(s scope) {
	var scopes []scope
	names := map[string]bool{}
	for _, r := range s.list("routes") {
		one := a.route(r)
		if names[one.Name] {
			r.bad("name", "another route has this name")
		}
		names[one.Name] = true
		a.Routes, scopes = append(a.Routes, one), append(scopes, r)
	}
	switch {
	case !s.has("routes"):
		s.bad("routes", "one route at least expected")
	case len(scopes) > MaxRoutes:
		s.bad("routes", "%d routes, %d expected at most", len(scopes), MaxRoutes)
		return
	}
	for _, l := range a.Listeners {
		rules, numbers := a.rules(l.Name)
		_, err := route.New(rules)
		for _, e := range split(err) {
			var re *route.RuleError
			if !errors.As(e, &re) {
				continue
			}
			at := scopes[numbers[re.Rule]]
			var sh *route.Shadowed
			if errors.As(e, &sh) {
				by := scopes[numbers[sh.By]]
				at.fault(at.v, at.path, strconv.Quote(a.Routes[numbers[re.Rule]].Name),
					fmt.Sprintf("it can't be reached at listener %s: %q in line %d takes all its requests before; put it first or take it out",
						l.Name, a.Routes[numbers[sh.By]].Name, by.v.line))
				continue
			}
			for _, why := range split(re.Err) {
				at.fault(at.v, at.path, "", why.Error())
			}
		}
	}
	s.faults = slices.CompactFunc(s.faults, func(x, y Fault) bool { return x == y }) // a fault at several listeners
}

// split takes joined errors apart.
func split(err error) []error {
	if err == nil {
		return nil
	}
	if many, ok := err.(interface{ Unwrap() []error }); ok {
		return many.Unwrap()
	}
	return []error{err}
}

// rules are those of a listener, with their numbers among all.
func (a *App) rules(listener string) (rules []route.Match, numbers []int) {
	for i, r := range a.Routes {
		if len(r.Listeners) == 0 || slices.Contains(r.Listeners, listener) {
			rules, numbers = append(rules, r.Match), append(numbers, i)
		}
	}
	return rules, numbers
}

// Table compiles the rules of a listener; numbers are those of its rules among all. It can't fail on a decoded App.
func (a *App) Table(listener string) (t *route.Table, numbers []int, err error) {
	rules, numbers := a.rules(listener)
	t, err = route.New(rules)
	return t, numbers, err
}

func (a *App) route(s scope) Route {
	r := Route{Name: s.text("name", ""), Listeners: s.texts("listeners"), Rewrite: s.text("rewrite_prefix", ""),
		Timeout: s.span("timeout", 0, minTime, maxRouteTime)}
	s.named(r.Name)
	for _, l := range r.Listeners {
		if !slices.ContainsFunc(a.Listeners, func(x Listener) bool { return x.Name == l }) {
			s.bad("listeners", "no listener is named %q", l)
		}
	}
	r.Match.Hosts, r.Match.Methods = s.texts("hosts"), s.texts("methods")
	kinds := 0
	for i, field := range []string{"prefix", "exact", "template"} {
		if s.has(field) {
			kinds++
			r.Match.Kind, r.Match.Path = route.PathKind(i), s.text(field, "")
		} else {
			s.v.taken[field] = true
		}
	}
	if kinds > 1 {
		s.fault(s.v, s.path, "", "one of prefix, exact and template expected, not several")
	}
	h := s.table("headers")
	for _, name := range h.v.keys {
		v := h.v.fields[name]
		h.v.taken[name] = true
		switch {
		case v.kind == kindString:
			r.Match.Headers = append(r.Match.Headers, route.HeaderMatch{Name: name, Value: v.text})
		case v.kind == kindBool && v.text == "true":
			r.Match.Headers = append(r.Match.Headers, route.HeaderMatch{Name: name, Any: true})
		default:
			h.bad(name, "a string, or true for any value, expected")
		}
	}
	if s.has("rewrite_prefix") {
		if canon, err := route.CanonicalPath(r.Rewrite); err != nil || canon != r.Rewrite {
			s.bad("rewrite_prefix", "a path in canonical form expected")
		}
		if r.Match.Kind != route.Prefix {
			s.bad("rewrite_prefix", "goes with prefix alone")
		}
	}
	if r.Sticky = s.text("sticky_header", ""); s.has("sticky_header") {
		if r.Sticky = textproto.CanonicalMIMEHeaderKey(r.Sticky); !route.IsToken(r.Sticky) {
			s.bad("sticky_header", "the name of a field expected")
		}
	}
	a.targets(s, &r)
	s.done()
	return r
}

// targets reads where a route leads.
func (a *App) targets(s scope, r *Route) {
	sides := s.list("split")
	if len(sides) > 0 && (s.has("service") || s.has("class")) {
		s.bad("split", "either service and class or a split expected")
	}
	if len(sides) == 0 {
		if s.has("sticky_header") {
			s.bad("sticky_header", "goes with a split")
		}
		r.To = []Target{a.target(s, 1)}
		s.v.taken["split"] = true
	} else {
		s.v.taken["service"], s.v.taken["class"] = true, true
		var weights []route.Side
		for _, side := range sides {
			t := a.target(side, int(side.whole("weight", 0, 0, route.MaxWeight)))
			if !side.has("weight") {
				side.bad("weight", "0 to %d expected", route.MaxWeight)
			}
			side.done()
			r.To, weights = append(r.To, t), append(weights, route.Side{Name: t.Service, Weight: t.Weight})
		}
		if _, err := route.NewSplit("", weights); err != nil {
			s.bad("split", "%v", err)
		}
	}
	repeat := logic.Repeat(-1)
	for i, t := range r.To {
		k, ok := a.class(t)
		if !ok {
			continue // said already
		}
		if repeat >= 0 && k.Repeat != repeat {
			s.bad("split", "its sides disagree on what may be repeated: %s of %s is %s, %s of %s is %s",
				r.To[0].Class, r.To[0].Service, RepeatName(repeat), t.Class, t.Service, RepeatName(k.Repeat))
		}
		if i == 0 {
			repeat = k.Repeat
		}
		if d := time.Duration(k.Deadline) * time.Microsecond; r.Timeout > d {
			s.bad("timeout", "the deadline of class %s (%v) expected at most", t.Class, d)
		}
	}
	a.mirror(s, r, repeat)
}

// mirror reads where copies go. A copy is sent beside the request itself and is nobody's retry: a class that may not
// run twice has no copies.
func (a *App) mirror(s scope, r *Route, repeat logic.Repeat) {
	if !s.has("mirror") {
		s.v.taken["mirror"] = true
		return
	}
	m := s.table("mirror")
	t := a.target(m, 0)
	m.done()
	if repeat == logic.Keyed || repeat == logic.Unsafe {
		s.bad("mirror", "the route's class is %s: a copy of its requests would let an effect happen twice; mirror safe classes alone", RepeatName(repeat))
	}
	if k, ok := a.class(t); ok && k.Repeat != logic.Safe {
		s.bad("mirror", "class %s of %s is %s: copies go to safe classes alone", t.Class, t.Service, RepeatName(k.Repeat))
	}
	r.Mirror = &t
}

func (a *App) target(s scope, weight int) Target {
	t := Target{Service: s.text("service", ""), Class: s.text("class", ""), Weight: weight}
	v := a.Service(t.Service)
	if v == nil {
		var names []string
		for _, x := range a.Services {
			names = append(names, x.Name)
		}
		s.bad("service", "one of the services expected: %s", strings.Join(names, ", "))
		return t
	}
	if t.Class == "" && len(v.Classes) == 1 && !s.has("class") {
		t.Class = v.Classes[0]
	}
	if v.Class(t.Class) < 0 {
		s.bad("class", "one of the classes of %s expected: %s", t.Service, strings.Join(v.Classes, ", "))
	}
	return t
}

func (a *App) class(t Target) (logic.Class, bool) {
	if v := a.Service(t.Service); v != nil {
		if i := v.Class(t.Class); i >= 0 {
			return v.Logic.Classes[i], true
		}
	}
	return logic.Class{}, false
}
