package catalogue

import (
	"cmp"
	"slices"
	"strconv"
	"strings"

	"fernlanding/internal/tomldoc"
)

// generatedRoute is one route with what its position in the file depends on.
type generatedRoute struct {
	name  string
	match *tomldoc.Value // nil: all paths
	call  *call
	class *calledClass
}

// routes writes the routes of all calls, the more specific ones first, since the first match
// decides.
func (e *emitter) routes() {
	var all []generatedRoute
	for _, c := range e.app.calls {
		for _, called := range c.classes {
			all = append(all, e.classRoutes(c, called)...)
		}
	}
	slices.SortStableFunc(all, func(a, b generatedRoute) int {
		return cmp.Or(slices.Compare(a.specificity(), b.specificity()), strings.Compare(a.name, b.name))
	})
	for _, r := range all {
		e.route(r)
	}
}

// classRoutes returns the routes to a class: those of the call, else those of the owner, else one
// by default.
func (e *emitter) classRoutes(c *call, called *calledClass) []generatedRoute {
	matches := called.class.routes
	if own := called.field("routes"); own != nil {
		matches = own.Items
	}
	if len(matches) == 0 {
		matches = []*tomldoc.Value{e.defaultMatch(c, called)}
	}
	var routes []generatedRoute
	for i, match := range matches {
		name := c.service.name + "." + called.name
		if i > 0 {
			name += "." + strconv.Itoa(i+1)
		}
		routes = append(routes, generatedRoute{name: name, match: match, call: c, class: called})
	}
	return routes
}

// defaultMatch returns the match of a class for which neither side states a route: all paths where
// the application calls only this class, else a prefix of the service's and the class's name.
func (e *emitter) defaultMatch(c *call, called *calledClass) *tomldoc.Value {
	if len(e.app.calls) == 1 && len(c.classes) == 1 && !e.isUncalled {
		return nil
	}
	at := called.class.table.Place
	match := tomldoc.NewTable(at)
	prefix := "/" + c.service.name + "/" + called.name
	match.Set("prefix", &tomldoc.Value{Kind: tomldoc.String, Place: at, Text: prefix})
	return match
}

// specificity returns what routes are ordered by: exact paths, templates, then prefixes, long ones
// first; those with hosts, headers and methods before those without.
func (r *generatedRoute) specificity() []int {
	rank := []int{2, 0, 1, 1, 1}
	if r.match == nil || r.match.Kind != tomldoc.Table {
		return rank
	}
	path := ""
	for i, field := range []string{"exact", "template", "prefix"} {
		if value := r.match.Fields[field]; value != nil {
			rank[0] = i
			path = value.Text
			break
		}
	}
	rank[1] = -len(strings.Trim(path, "/"))
	for i, field := range []string{"hosts", "headers", "methods"} {
		if r.match.Fields[field] != nil {
			rank[2+i] = 0
		}
	}
	return rank
}

// place returns the place in the catalogue that a route comes from.
func (r *generatedRoute) place() tomldoc.Place {
	switch {
	case r.match != nil:
		return r.match.Place
	case r.class.table != nil:
		return r.class.table.Place
	default:
		return r.class.class.table.Place
	}
}

// field returns a field that the call states for the class or, where it does not, for all classes;
// nil if for neither.
func (r *generatedRoute) field(name string) *tomldoc.Value {
	return cmp.Or(r.class.field(name), r.call.table.Fields[name])
}

// route writes one route.
func (e *emitter) route(r generatedRoute) {
	at := r.place()
	e.line(at, "")
	e.line(at, "[[routes]]")
	e.line(at, "name = %s", quote(r.name))
	if r.match != nil && r.match.Kind == tomldoc.Table {
		e.fields(r.match, matchFields...)
	}
	if causes := r.field("for"); causes != nil {
		e.field("for", causes)
	}
	if split := r.call.table.Fields["split"]; split != nil && split.Kind == tomldoc.Array {
		e.split(r, split)
	} else {
		e.line(r.call.table.Place, "service = %s", quote(r.call.service.name))
		e.line(r.call.table.Place, "class = %s", quote(r.class.name))
	}
	if timeout := r.field("time_limit"); timeout != nil {
		e.field("timeout", timeout)
	}
	if mirror := r.class.field("mirror"); mirror != nil {
		e.field("mirror", mirror)
	}
}

// split writes the arms of a route's split.
func (e *emitter) split(r generatedRoute, split *tomldoc.Value) {
	e.line(split.Place, "split = [")
	for _, arm := range splitArms(r.call) {
		weight := ""
		if value := arm.table.Fields["weight"]; value != nil {
			weight = ", weight = " + valueText(value)
		}
		e.line(arm.table.Place, "  { service = %s, class = %s%s },", quote(arm.service), quote(r.class.name), weight)
	}
	e.line(split.Place, "]")
}

// splitArm is one arm of a call's split.
type splitArm struct {
	service string
	table   *tomldoc.Value
}

// splitArms returns the arms of a call's split; none if it has no split.
func splitArms(c *call) []splitArm {
	split := c.table.Fields["split"]
	if split == nil || split.Kind != tomldoc.Array {
		return nil
	}
	var arms []splitArm
	for _, item := range split.Items {
		if item.Kind == tomldoc.Table && item.Fields["service"] != nil {
			arms = append(arms, splitArm{service: item.Fields["service"].Text, table: item})
		}
	}
	return arms
}
