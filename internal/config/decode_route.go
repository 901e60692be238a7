package config

import (
	"errors"
	"fernlanding/internal/route"
	"fernlanding/internal/rules"
	"fernlanding/internal/tomldoc"
	"fmt"
	"net/textproto"
	"slices"
	"strconv"
	"strings"
)

const maxRouteTime = MaxDeadline

// routes reads the rules, and checks where they lead.
func (x *decoder) routes(s tomldoc.Scope) {
	a := x.app
	var scopes []tomldoc.Scope
	names := map[string]bool{}
	for _, r := range s.List("routes") {
		one := x.route(r)
		if names[one.Name] {
			r.Bad(rules.DoubleName, "name", "another route has this name")
		}
		names[one.Name] = true
		a.Routes, scopes = append(a.Routes, one), append(scopes, r)
	}
	switch {
	case !s.Has("routes"):
		s.Bad(rules.Missing, "routes", "one route at least expected")
	case len(scopes) > MaxRoutes:
		s.Bad(rules.TooMany, "routes", "%d routes, %d expected at most", len(scopes), MaxRoutes)
		return
	}
	for _, l := range a.Listeners {
		x.compile(l.Name, scopes)
	}
}

// compile faults the rules of a listener that can't be compiled, or that others before them shadow. scopes are those of all routes.
func (x *decoder) compile(listener string, scopes []tomldoc.Scope) {
	a := x.app
	matches, numbers := a.rules(listener)
	_, err := route.New(matches)
	for _, e := range split(err) {
		var re *route.RuleError
		if !errors.As(e, &re) {
			continue
		}
		at := scopes[numbers[re.Rule]]
		var sh *route.ShadowedError
		if errors.As(e, &sh) {
			by := scopes[numbers[sh.By]]
			x.Faults = append(x.Faults, Diagnostic{
				Place: at.V.Place, Rule: rules.RouteDead, Field: at.Path,
				Found: strconv.Quote(tomldoc.Clip(a.Routes[numbers[re.Rule]].Name)), See: by.V.Place,
				Expect: fmt.Sprintf("it can't be reached at listener %s: %q takes all its requests before", listener, tomldoc.Clip(a.Routes[numbers[sh.By]].Name)),
			})
			continue
		}
		for _, why := range split(re.Err) {
			at.Fault(at.V, rules.RouteMatch, at.Path, "", why.Error())
		}
	}
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
func (a *App) rules(listener string) (matches []route.Match, numbers []int) {
	for i, r := range a.Routes {
		if len(r.Listeners) == 0 || slices.Contains(r.Listeners, listener) {
			matches, numbers = append(matches, r.Match), append(numbers, i)
		}
	}
	return matches, numbers
}

// Table compiles the rules of a listener; numbers are those of its rules among all. It can't fail on a decoded App.
func (a *App) Table(listener string) (t *route.Table, numbers []int, err error) {
	matches, numbers := a.rules(listener)
	t, err = route.New(matches)
	return t, numbers, err
}

// route reads one rule.
func (x *decoder) route(s tomldoc.Scope) Route {
	r := Route{
		Name: s.Text("name", ""), Listeners: s.Texts("listeners"), Rewrite: s.Text("rewrite_prefix", ""),
		Timeout: s.Span("timeout", 0, minTime, maxRouteTime),
	}
	Named(s, "name", r.Name)
	for _, l := range r.Listeners {
		if !slices.ContainsFunc(x.app.Listeners, func(o Listener) bool { return o.Name == l }) {
			s.Bad(rules.UnknownListener, "listeners", "no listener is named %q", tomldoc.Clip(l))
		}
	}
	x.causes(s, &r)
	x.match(s, &r.Match)
	x.rewrite(s, r)
	if r.Sticky = s.Text("sticky_header", ""); s.Has("sticky_header") {
		if r.Sticky = textproto.CanonicalMIMEHeaderKey(r.Sticky); !route.IsToken(r.Sticky) {
			s.Bad(rules.RouteMatch, "sticky_header", "the name of a field expected")
		}
	}
	x.targets(s, &r)
	s.Done()
	return r
}

// causes reads which classes that the application serves cause a route's requests.
func (x *decoder) causes(s tomldoc.Scope, r *Route) {
	if x.version < 2 {
		return
	}
	r.For = s.Texts("for")
	for _, f := range r.For {
		if service, class, ok := strings.Cut(f, "/"); !ok || !IsName(class) || !slices.Contains(x.app.Serves, service) {
			s.Bad(rules.UnknownService, "for", "service/class of what the application serves expected, found %q", tomldoc.Clip(f))
		}
	}
}

// match reads which requests a rule takes.
func (x *decoder) match(s tomldoc.Scope, m *route.Match) {
	m.Hosts, m.Methods = s.Texts("hosts"), s.Texts("methods")
	kinds := 0
	for i, field := range []string{"prefix", "exact", "template"} {
		if s.Has(field) {
			kinds++
			m.Kind, m.Path = route.PathKind(i), s.Text(field, "")
		} else {
			s.Take(field)
		}
	}
	if kinds > 1 {
		s.Fault(s.V, rules.Exclusive, s.Path, "", "one of prefix, exact and template expected, not several")
	}
	h := s.Sub("headers")
	for _, name := range h.V.Keys {
		v := h.V.Fields[name]
		h.Take(name)
		switch {
		case v.Kind == tomldoc.String:
			m.Headers = append(m.Headers, route.HeaderMatch{Name: name, Value: v.Text})
		case v.Kind == tomldoc.Bool && v.Text == "true":
			m.Headers = append(m.Headers, route.HeaderMatch{Name: name, Any: true})
		default:
			h.Bad(rules.WrongType, name, "a string, or true for any value, expected")
		}
	}
}

// rewrite faults a prefix to go on that makes no sense, or that goes with no prefix.
func (x *decoder) rewrite(s tomldoc.Scope, r Route) {
	if !s.Has("rewrite_prefix") {
		return
	}
	if canon, err := route.CanonicalPath(r.Rewrite); err != nil || canon != r.Rewrite {
		s.Bad(rules.Rewrite, "rewrite_prefix", "a path in canonical form expected")
	}
	if r.Match.Kind != route.Prefix {
		s.Bad(rules.Rewrite, "rewrite_prefix", "goes with prefix alone")
	}
}
