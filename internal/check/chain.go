package check

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"fernlanding/internal/config"
	"fernlanding/internal/rules"
	"fernlanding/internal/tomldoc"
	"fernlanding/logic"
)

// A chain is made of calls: an application that is a backend of one service calls a class of another. A node is a class of
// a service; an edge is a route of an application that leads to it, with the nodes that cause it.

// node is a class of a service.
type node struct{ service, class string }

func (n node) String() string { return n.service + "/" + n.class }

// edge is a route to a node.
type edge struct {
	d      *config.Document
	route  int // of the document, from 0
	to     node
	limit  time.Duration
	budget float64 // how often a request becomes an attempt at the most, over time
	may    bool    // a request that may have run may be sent again, or beside itself
	rule   config.ClassPolicy
	causes []node // empty: the calls come from outside of the fleet
}

func (e *edge) at() tomldoc.Place {
	p, _ := e.d.Place("routes", strconv.Itoa(e.route+1))
	return p
}

func (e *edge) limitAt() []string { return []string{"routes", strconv.Itoa(e.route + 1), "timeout"} }

// graph is all calls of a fleet.
type graph struct {
	in    map[node][]*edge // that lead to a node
	nodes []node           // in order
}

// graph reads the calls out of all routes.
func (f *fleet) graph() *graph {
	g := &graph{in: map[node][]*edge{}}
	classes := f.classNames()
	for _, d := range f.docs {
		var served []node // all that the application is a backend of
		for _, s := range d.App.Serves {
			for _, c := range classes[s] {
				served = append(served, node{s, c})
			}
		}
		for i := range d.App.Routes {
			g.addRoute(d, i, served)
		}
	}
	slices.SortFunc(g.nodes, func(a, b node) int { return strings.Compare(a.String(), b.String()) })
	return g
}

// classNames are the classes of each service, as any file has them.
func (f *fleet) classNames() map[string][]string {
	classes := map[string][]string{}
	for _, d := range f.docs {
		for _, s := range d.App.Services {
			for _, c := range s.Classes {
				if !slices.Contains(classes[s.Name], c) {
					classes[s.Name] = append(classes[s.Name], c)
				}
			}
		}
	}
	return classes
}

// addRoute adds a call for each target of a route; served is all that may cause it where the route doesn't say what does.
func (g *graph) addRoute(d *config.Document, route int, served []node) {
	r := &d.App.Routes[route]
	causes := served
	if len(r.For) > 0 {
		causes = nodes(r.For)
	}
	for _, t := range r.To {
		g.add(newEdge(d, route, t, causes))
	}
	if r.Mirror != nil {
		e := newEdge(d, route, *r.Mirror, causes)
		e.may = true
		g.add(e)
	}
}

// nodes reads names like service/class.
func nodes(names []string) (out []node) {
	for _, name := range names {
		service, class, _ := strings.Cut(name, "/")
		out = append(out, node{service, class})
	}
	return out
}

func newEdge(d *config.Document, route int, t config.Target, causes []node) *edge {
	s := d.App.Service(t.Service)
	rule := s.ClassPolicies[s.Class(t.Class)]
	resent := rule.Resend != config.Never
	e := &edge{d: d, route: route, to: node{t.Service, t.Class}, limit: d.App.Deadline(&d.App.Routes[route], t), budget: 1, causes: causes, may: resent, rule: rule}
	if resent && s.Balancer.MaxAttempts > 1 {
		e.budget += min(s.Balancer.RetryBudgetRatio, float64(s.Balancer.MaxAttempts-1))
	}
	return e
}

func (g *graph) add(e *edge) {
	if g.in[e.to] == nil {
		g.nodes = append(g.nodes, e.to)
	}
	g.in[e.to] = append(g.in[e.to], e)
}

// chains judges what goes over several tiers.
func (f *fleet) chains() {
	g := f.graph()
	if f.cycles(g) {
		return // along a circle nothing else makes sense
	}
	c := chain{fleet: f, g: g, spans: map[node]span{}, factors: map[node]product{}, repeated: map[node]*edge{}}
	for _, n := range g.nodes {
		for _, e := range g.in[n] {
			c.limits(e)
			c.window(e)
			c.again(e)
			c.retries(e)
		}
	}
}

// cycles finds services that call each other in a circle, and prints one way round for each.
func (f *fleet) cycles(g *graph) bool {
	const (
		fresh = iota
		open
		done
	)
	state, found := map[node]int{}, false
	var way []*edge // from a node back to what causes it
	var visit func(n node)
	visit = func(n node) {
		state[n] = open
		for _, e := range g.in[n] {
			for _, cause := range e.causes {
				switch state[cause] {
				case fresh:
					way = append(way, e)
					visit(cause)
					way = way[:len(way)-1]
				case open:
					found = true
					f.cycle(append(way[:len(way):len(way)], e), cause)
				}
			}
		}
		state[n] = done
	}
	for _, n := range g.nodes {
		if state[n] == fresh {
			visit(n)
		}
	}
	return found
}

// cycle reports a circle. way leads backwards; its last edge is caused by from, which is one of its nodes.
func (f *fleet) cycle(way []*edge, from node) {
	for i, e := range way {
		if e.to == from {
			way = way[i:]
			break
		}
	}
	// Begin with the smallest place, so that one circle is told in one way.
	way = slices.Clone(way)
	slices.Reverse(way)
	first := slices.MinFunc(way, func(a, b *edge) int { return a.at().Compare(b.at()) })
	for way[0] != first {
		way = append(way[1:], way[0])
	}
	words, services := []string{way[len(way)-1].to.String()}, []string{}
	for _, e := range way {
		words = append(words, fmt.Sprintf("%s (%s by %s)", e.to, e.at().Short(), e.d.App.Name))
		services = append(services, e.to.service+" by "+e.d.App.Name)
	}
	slices.Sort(services)
	round := strings.Join(services, ", ")
	if f.circles[round] {
		return // by other classes
	}
	f.circles[round] = true
	f.bad(first.d, rules.ServiceCycle, []string{"routes", strconv.Itoa(first.route + 1)}, "", strings.Join(words, " -> "), tomldoc.Place{})
}

// chain is one look at all chains.
type chain struct {
	*fleet
	g        *graph
	spans    map[node]span
	factors  map[node]product
	repeated map[node]*edge
}

// limits compares a call's time with what its caller has.
func (c *chain) limits(e *edge) {
	var short *edge
	for _, cause := range e.causes {
		for _, outer := range c.g.in[cause] {
			if outer.limit < e.limit && (short == nil || outer.limit < short.limit) {
				short = outer
			}
		}
	}
	if short != nil {
		at, _ := short.d.Place(short.limitAt()...)
		c.bad(e.d, rules.LimitGrows, e.limitAt(), e.limit.String(),
			fmt.Sprintf("%s allows %v for %s, which causes the call", short.d.App.Name, short.limit, short.to), at)
	}
}

// span is how long after the first copy of a request another may come to a node, and the call that allows it.
type span struct {
	time time.Duration
	by   *edge
}

// span is that of all calls to a node together.
func (c *chain) span(n node) span {
	if s, known := c.spans[n]; known {
		return s
	}
	var most span
	for _, e := range c.g.in[n] {
		if e.may && e.limit > most.time {
			most = span{e.limit, e}
		}
		if s := c.outer(e); s.time > most.time {
			most = s
		}
	}
	c.spans[n] = most
	return most
}

// outer is what outer tiers allow of a call.
func (c *chain) outer(e *edge) (most span) {
	for _, cause := range e.causes {
		if s := c.span(cause); s.time > most.time {
			most = s
		}
	}
	return most
}

// window finds calls that outer tiers may make again when the records of their keys are gone.
func (c *chain) window(e *edge) {
	s := e.d.App.Service(e.to.service)
	rule := s.ClassPolicies[s.Class(e.to.class)]
	if rule.Idempotency != logic.IdempotentByKey {
		return
	}
	if outer := c.outer(e); outer.time > rule.DedupWindow {
		c.bad(e.d, rules.WindowChain, []string{"routes", strconv.Itoa(e.route + 1)}, e.to.String()+" recalled for "+rule.DedupWindow.String(),
			fmt.Sprintf("%s may send %s, which causes it, again for %v", outer.by.d.App.Name, outer.by.to, outer.time), outer.by.at())
	}
}

// repeats is a call by which requests of a class run again: a safe one is sent again, or its caller is. Classes that are
// keyed run once, whatever is sent; nil where nothing is repeated.
func (c *chain) repeats(n node) *edge {
	if e, known := c.repeated[n]; known {
		return e
	}
	c.repeated[n] = nil
	for _, e := range c.g.in[n] {
		if e.rule.Idempotency == logic.IdempotentByKey {
			continue
		}
		if e.rule.Idempotency == logic.Idempotent && e.may {
			c.repeated[n] = e
			break
		}
		for _, cause := range e.causes {
			if by := c.repeats(cause); by != nil && c.repeated[n] == nil {
				c.repeated[n] = by
			}
		}
	}
	return c.repeated[n]
}

// again finds calls that must not run twice and are made anew with each run of what causes them.
func (c *chain) again(e *edge) {
	for _, cause := range e.causes {
		by := c.repeats(cause)
		if by == nil {
			continue
		}
		at := []string{"routes", strconv.Itoa(e.route + 1)}
		switch {
		case e.rule.Idempotency == logic.NonIdempotent:
			c.bad(e.d, rules.RepeatChain, at, e.to.String(), fmt.Sprintf("%s may send %s, which causes it, again", by.d.App.Name, by.to), by.at())
			return
		case e.rule.Idempotency == logic.IdempotentByKey && e.rule.DedupScope != logic.DedupTier && several(e.d.App.Service(e.to.service), e.rule.DedupScope):
			c.bad(e.d, rules.ScopeChain, at, e.to.String()+" of scope "+config.DedupScopeName(e.rule.DedupScope), fmt.Sprintf("%s may send %s, which causes it, again", by.d.App.Name, by.to), by.at())
			return
		}
	}
}

// groupOf names the group of backends that drop each other's repeats which an endpoint is in.
func groupOf(cell int, zone string, g logic.DedupScope) string {
	switch g {
	case logic.DedupZone:
		return zone
	case logic.DedupCell:
		return strconv.Itoa(cell)
	}
	return ""
}

// several tells whether a service has, or may have, more than one group of backends that drop each other's repeats.
func several(s *config.Service, g logic.DedupScope) bool {
	if s.Source.Kind != config.Static {
		return true
	}
	groups := map[string]bool{}
	for _, e := range s.Source.Endpoints {
		groups[groupOf(e.Cell, e.Zone, g)] = true
	}
	return len(groups) > 1
}

// product is how often an outermost request may become an attempt at a node, and the calls that multiply it.
type product struct {
	x   float64
	way []*edge
}

func (c *chain) factor(n node) product {
	if p, known := c.factors[n]; known {
		return p
	}
	most := product{x: 0}
	for _, e := range c.g.in[n] {
		if p := c.along(e); p.x > most.x {
			most = p
		}
	}
	c.factors[n] = most
	return most
}

// along is the product of the calls up to and including one.
func (c *chain) along(e *edge) product {
	most := product{x: 1}
	for _, cause := range e.causes {
		if p := c.factor(cause); p.x > most.x {
			most = p
		}
	}
	return product{most.x * e.budget, append(most.way[:len(most.way):len(most.way)], e)}
}

// retries finds the call with which attempts multiply beyond the factor.
func (c *chain) retries(e *edge) {
	p := c.along(e)
	if p.x <= c.fleet.factor+1e-9 || p.x/e.budget > c.fleet.factor+1e-9 {
		return // not, or further out already
	}
	var words []string
	for _, w := range p.way {
		words = append(words, fmt.Sprintf("%s to %s %s", w.d.App.Name, w.to, number(w.budget)))
	}
	c.bad(e.d, rules.RetryFactor, []string{"routes", strconv.Itoa(e.route + 1)}, number(p.x)+" = "+strings.Join(words, " x "),
		number(c.fleet.factor)+" at most", tomldoc.Place{})
}
