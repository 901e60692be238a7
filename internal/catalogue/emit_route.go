package catalogue

import (
	"cmp"
	"slices"
	"strconv"
	"strings"

	"fernlanding/internal/tomldoc"
)

// generatedRoute is a route of the generated file with the values that determine its position
// there.
type generatedRoute struct {
	name  string
	match *tomldoc.Value // nil matches all paths
	call  *call
	class *calledClass
}

// writeRoutes writes the routes of all calls. More specific routes come first, since the first
// matching route is used.
func (e *emitter) writeRoutes() {
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
		e.writeRoute(r)
	}
}

// classRoutes returns the routes to a class. The matches are those of the call. If the call has
// none, the matches are those of the owner. If neither has any, there is one default match.
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

// defaultMatch returns the match of a class for which neither the call nor the owner states a
// route. It matches all paths if the class is the only one that the application calls, and
// otherwise the prefix /SERVICE/CLASS.
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

// specificity returns the sort key of a route. Exact paths come first, then templates, then
// prefixes. Within a kind, longer paths come first, and routes with hosts, headers and methods come
// before routes without them.
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

// place returns the place in the catalogue from which a route is generated.
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

// field returns a field that the call states for the class. If there is none, it returns the field
// that the call states for all classes, or nil.
func (r *generatedRoute) field(name string) *tomldoc.Value {
	return cmp.Or(r.class.field(name), r.call.table.Fields[name])
}

// writeRoute writes a route.
func (e *emitter) writeRoute(r generatedRoute) {
	at := r.place()
	e.writeLine(at, "")
	e.writeLine(at, "[[routes]]")
	e.writeLine(at, "name = %s", quote(r.name))
	if r.match != nil && r.match.Kind == tomldoc.Table {
		e.writeFields(r.match, matchFields...)
	}
	if causes := r.field("for"); causes != nil {
		e.writeField("for", causes)
	}
	if split := r.call.table.Fields["split"]; split != nil && split.Kind == tomldoc.Array {
		e.writeSplit(r, split)
	} else {
		e.writeLine(r.call.table.Place, "service = %s", quote(r.call.service.name))
		e.writeLine(r.call.table.Place, "class = %s", quote(r.class.name))
	}
	if timeout := r.field("time_limit"); timeout != nil {
		e.writeField("timeout", timeout)
	}
	if mirror := r.class.field("mirror"); mirror != nil {
		e.writeField("mirror", mirror)
	}
}

// writeSplit writes the arms of the split of a route.
func (e *emitter) writeSplit(r generatedRoute, split *tomldoc.Value) {
	e.writeLine(split.Place, "split = [")
	for _, arm := range splitArms(r.call) {
		weight := ""
		if value := arm.table.Fields["weight"]; value != nil {
			weight = ", weight = " + valueText(value)
		}
		e.writeLine(arm.table.Place, "  { service = %s, class = %s%s },",
			quote(arm.service), quote(r.class.name), weight)
	}
	e.writeLine(split.Place, "]")
}

// splitArm is an arm of a call's split.
type splitArm struct {
	service string
	table   *tomldoc.Value
}

// splitArms returns the arms of a call's split, or nil if the call has no split.
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
