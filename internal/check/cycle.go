package check

import (
	"fmt"
	"slices"
	"strings"

	"fernlanding/internal/rules"
	"fernlanding/internal/tomldoc"
)

// visitState is the state of a node in the depth-first search.
type visitState int

const (
	unvisited visitState = iota
	onPath
	visited
)

// cycleFinder finds cycles by a depth-first search against the direction of the calls.
type cycleFinder struct {
	*fleet
	graph  *graph
	states map[node]visitState
	path   []*edge // edges from the start node of the search to the current node
	found  bool
}

// findCycles adds a diagnostic for each cycle of services that call each other. It reports whether
// there are any cycles.
func (f *fleet) findCycles(g *graph) bool {
	c := &cycleFinder{fleet: f, graph: g, states: map[node]visitState{}}
	for _, n := range g.nodes {
		if c.states[n] == unvisited {
			c.visit(n)
		}
	}
	return c.found
}

// visit searches for cycles from a node.
func (c *cycleFinder) visit(n node) {
	c.states[n] = onPath
	for _, e := range c.graph.incoming[n] {
		for _, cause := range e.causes {
			switch c.states[cause] {
			case unvisited:
				c.path = append(c.path, e)
				c.visit(cause)
				c.path = c.path[:len(c.path)-1]
			case onPath:
				c.found = true
				c.reportCycle(append(c.path[:len(c.path):len(c.path)], e), cause)
			case visited: // all cycles through the node have been found
			}
		}
	}
	c.states[n] = visited
}

// reportCycle reports a cycle. The edges of the path backwards are in the reverse order of the
// calls. The node start causes the last edge and is the target of one of the edges.
func (f *fleet) reportCycle(backwards []*edge, start node) {
	begin := slices.IndexFunc(backwards, func(e *edge) bool { return e.to == start })
	cycle := slices.Clone(backwards[max(begin, 0):])
	slices.Reverse(cycle)
	// The text begins with the smallest place, so that it does not depend on the start of the
	// search.
	first := slices.MinFunc(cycle, func(a, b *edge) int { return a.place().Compare(b.place()) })
	for cycle[0] != first {
		cycle = append(cycle[1:], cycle[0])
	}
	steps := []string{cycle[len(cycle)-1].to.String()}
	var calls []string
	for _, e := range cycle {
		steps = append(steps, fmt.Sprintf("%s (%s by %s)", e.to, e.place().Short(), e.doc.App.Name))
		calls = append(calls, e.to.service+" by "+e.doc.App.Name)
	}
	slices.Sort(calls)
	identity := strings.Join(calls, ", ")
	if f.reportedCycles[identity] {
		return // reported for other classes of the same services
	}
	f.reportedCycles[identity] = true
	f.report(first.doc, rules.ServiceCycle, first.path(), "", "call cycle: "+strings.Join(steps, " -> "),
		tomldoc.Place{})
}
