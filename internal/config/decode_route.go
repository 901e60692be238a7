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

// routes decodes the routes and checks that each route can be reached.
func (dec *decoder) routes(root tomldoc.Scope) {
	var scopes []tomldoc.Scope
	names := map[string]bool{}
	for _, scope := range root.TableArray("routes") {
		r := dec.route(scope)
		if names[r.Name] {
			scope.ReportField(rules.DoubleName, "name", "already the name of another route")
		}
		names[r.Name] = true
		dec.app.Routes = append(dec.app.Routes, r)
		scopes = append(scopes, scope)
	}
	switch {
	case !root.Has("routes"):
		root.ReportField(rules.Missing, "routes", "must contain at least one route")
	case len(scopes) > MaxRoutes:
		root.ReportField(rules.TooMany, "routes", "list of %d routes exceeds the limit of %d", len(scopes), MaxRoutes)
		return
	}
	for _, l := range dec.app.Listeners {
		dec.checkTable(l.Name, scopes)
	}
}

// route decodes one route.
func (dec *decoder) route(scope tomldoc.Scope) Route {
	r := Route{
		Name: scope.Text("name", ""), Listeners: scope.Strings("listeners"),
		RewritePrefix: scope.Text("rewrite_prefix", ""),
		Timeout:       scope.Duration("timeout", 0, minDuration, maxRouteTimeout),
	}
	CheckName(scope, "name", r.Name)
	for _, name := range r.Listeners {
		if !slices.ContainsFunc(dec.app.Listeners, func(l Listener) bool { return l.Name == name }) {
			scope.ReportField(rules.UnknownListener, "listeners", "unknown listener %q", tomldoc.Truncate(name))
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

// causes decodes the classes, of services that the application serves, that cause a route's
// requests.
func (dec *decoder) causes(scope tomldoc.Scope) []string {
	if dec.version < 2 {
		return nil
	}
	causes := scope.Strings("for")
	for _, cause := range causes {
		service, class, ok := strings.Cut(cause, "/")
		if !ok || !IsName(class) || !slices.Contains(dec.app.Serves, service) {
			scope.ReportField(rules.UnknownService, "for",
				"invalid class %q: must be service/class of a service in serves", tomldoc.Truncate(cause))
		}
	}
	return causes
}

// match decodes the conditions that requests of a route meet.
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
			"prefix, exact and template are mutually exclusive")
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
			headers.ReportField(rules.WrongType, name, "must be a string, or true for any value")
		}
	}
	return match
}

// checkRewrite reports an invalid replacement of the prefix, and a replacement in a route without
// prefix.
func (dec *decoder) checkRewrite(scope tomldoc.Scope, r Route) {
	if !scope.Has("rewrite_prefix") {
		return
	}
	if canonical, err := route.CanonicalPath(r.RewritePrefix); err != nil || canonical != r.RewritePrefix {
		scope.ReportField(rules.Rewrite, "rewrite_prefix", "must be a path in canonical form")
	}
	if r.Match.Kind != route.Prefix {
		scope.ReportField(rules.Rewrite, "rewrite_prefix", "requires prefix")
	}
}

// stickyField decodes the header field that selects the arm of a split.
func (dec *decoder) stickyField(scope tomldoc.Scope) string {
	field := scope.Text("sticky_header", "")
	if !scope.Has("sticky_header") {
		return field
	}
	field = textproto.CanonicalMIMEHeaderKey(field)
	if !route.IsToken(field) {
		scope.ReportField(rules.RouteMatch, "sticky_header", "must be the name of a header field")
	}
	return field
}
