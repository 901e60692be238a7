package check

import (
	"fmt"
	"slices"
	"strings"

	"fernlanding/internal/rules"
	"fernlanding/internal/tomldoc"
)

// visitState is the state of a node in a depth-first search.
type visitState int

const (
	unvisited visitState = iota
	onPath
	visited
)

// cycleFinder is a depth-first search for cycles, against the direction of the calls.
type cycleFinder struct {
	*fleet
	graph  *graph
	states map[node]visitState
	path   []*edge // from the node that the search began at to the causes
	found  bool
}

// findCycles reports services that call each other in a cycle, one path for each cycle. It reports
// whether there are any.
func (f *fleet) findCycles(g *graph) bool {
	c := &cycleFinder{fleet: f, graph: g, states: map[node]visitState{}}
	for _, n := range g.nodes {
		if c.states[n] == unvisited {
			c.visit(n)
		}
	}
	return c.found
}

// visit searches from a node.
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
			case visited: // no cycle leads through it that has not been found
			}
		}
	}
	c.states[n] = visited
}

// reportCycle reports a cycle. The path leads backwards; its last edge is caused by the node start,
// which one of its edges leads to.
func (f *fleet) reportCycle(backwards []*edge, start node) {
	begin := slices.IndexFunc(backwards, func(e *edge) bool { return e.to == start })
	cycle := slices.Clone(backwards[max(begin, 0):])
	slices.Reverse(cycle)
	// Begin with the smallest place, so that a cycle has one text wherever the search met it.
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
		return // by other classes of the same services
	}
	f.reportedCycles[identity] = true
	f.report(first.doc, rules.ServiceCycle, first.path(), "", strings.Join(steps, " -> "), tomldoc.Place{})
}
