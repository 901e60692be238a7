package config

import (
	"net/textproto"
	"slices"
	"strings"

	"fernlanding/internal/route"
	"fernlanding/internal/rules"
	"fernlanding/internal/tomldoc"
)

const maxRouteTimeout = MaxDeadline

// routes decodes the routes, and checks that each can be reached.
func (dec *decoder) routes(root tomldoc.Scope) {
	var scopes []tomldoc.Scope
	names := map[string]bool{}
	for _, scope := range root.TableArray("routes") {
		r := dec.route(scope)
		if names[r.Name] {
			scope.ReportField(rules.DoubleName, "name", "another route has this name")
		}
		names[r.Name] = true
		dec.app.Routes = append(dec.app.Routes, r)
		scopes = append(scopes, scope)
	}
	switch {
	case !root.Has("routes"):
		root.ReportField(rules.Missing, "routes", "one route at least expected")
	case len(scopes) > MaxRoutes:
		root.ReportField(rules.TooMany, "routes", "%d routes, %d expected at most", len(scopes), MaxRoutes)
		return
	}
	for _, l := range dec.app.Listeners {
		dec.checkTable(l.Name, scopes)
	}
}

// route decodes one route.
func (dec *decoder) route(scope tomldoc.Scope) Route {
	r := Route{
		Name: scope.Text("name", ""), Listeners: scope.Strings("listeners"), RewritePrefix: scope.Text("rewrite_prefix", ""),
		Timeout: scope.Duration("timeout", 0, minTime, maxRouteTimeout),
	}
	CheckName(scope, "name", r.Name)
	for _, name := range r.Listeners {
		if !slices.ContainsFunc(dec.app.Listeners, func(l Listener) bool { return l.Name == name }) {
			scope.ReportField(rules.UnknownListener, "listeners", "no listener is named %q", tomldoc.Truncate(name))
		}
	}
	r.CausedBy = dec.causes(scope)
	r.Match = dec.match(scope)
	dec.checkRewrite(scope, r)
	r.StickyHeader = dec.stickyField(scope)
	dec.targets(scope, &r)
	scope.ReportUnknown()
	return r
}

// causes decodes which classes that the application serves cause a route's requests.
func (dec *decoder) causes(scope tomldoc.Scope) []string {
	if dec.version < 2 {
		return nil
	}
	causes := scope.Strings("for")
	for _, cause := range causes {
		service, class, ok := strings.Cut(cause, "/")
		if !ok || !IsName(class) || !slices.Contains(dec.app.Serves, service) {
			scope.ReportField(rules.UnknownService, "for",
				"service/class of what the application serves expected, found %q", tomldoc.Truncate(cause))
		}
	}
	return causes
}

// match decodes which requests a route takes.
func (dec *decoder) match(scope tomldoc.Scope) route.Match {
	match := route.Match{Hosts: scope.Strings("hosts"), Methods: scope.Strings("methods")}
	paths := 0
	for i, field := range []string{"prefix", "exact", "template"} {
		if scope.Has(field) {
			paths++
			match.Kind, match.Path = route.PathKind(i), scope.Text(field, "")
		} else {
			scope.MarkKnown(field)
		}
	}
	if paths > 1 {
		scope.ReportAt(scope.Value, rules.Exclusive, scope.Path, "",
			"one of prefix, exact and template expected, not several")
	}
	headers := scope.Table("headers")
	for _, name := range headers.Value.Keys {
		v := headers.Value.Fields[name]
		headers.MarkKnown(name)
		switch {
		case v.Kind == tomldoc.String:
			match.Headers = append(match.Headers, route.HeaderMatch{Name: name, Value: v.Text})
		case v.Kind == tomldoc.Bool && v.Text == "true":
			match.Headers = append(match.Headers, route.HeaderMatch{Name: name, Any: true})
		default:
			headers.ReportField(rules.WrongType, name, "a string, or true for any value, expected")
		}
	}
	return match
}

// checkRewrite reports a replacement of the prefix that is not valid, or of a route without a
// prefix.
func (dec *decoder) checkRewrite(scope tomldoc.Scope, r Route) {
	if !scope.Has("rewrite_prefix") {
		return
	}
	if canonical, err := route.CanonicalPath(r.RewritePrefix); err != nil || canonical != r.RewritePrefix {
		scope.ReportField(rules.Rewrite, "rewrite_prefix", "a path in canonical form expected")
	}
	if r.Match.Kind != route.Prefix {
		scope.ReportField(rules.Rewrite, "rewrite_prefix", "goes with prefix alone")
	}
}

// stickyField decodes the field by which the arm of a split is chosen.
func (dec *decoder) stickyField(scope tomldoc.Scope) string {
	field := scope.Text("sticky_header", "")
	if !scope.Has("sticky_header") {
		return field
	}
	field = textproto.CanonicalMIMEHeaderKey(field)
	if !route.IsToken(field) {
		scope.ReportField(rules.RouteMatch, "sticky_header", "the name of a field expected")
	}
	return field
}
