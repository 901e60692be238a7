package check

import (
	"slices"
	"strings"
	"time"

	"fernlanding/internal/config"
	"fernlanding/internal/tomldoc"
)

// node is a class of a service.
type node struct{ service, class string }

// String returns the node as service/class.
func (n node) String() string { return n.service + "/" + n.class }

// edge is a call: a route of an application to a node, with the nodes whose requests cause the
// call.
type edge struct {
	doc         *config.Document
	route       int // index of the route in the document
	to          node
	timeout     time.Duration
	retryFactor float64 // most attempts per request that the retry budget allows over time
	// mayDuplicate is whether a request that may have run can be retried or mirrored.
	mayDuplicate bool
	policy       config.ClassPolicy
	causes       []node // empty if the calls come from outside of the fleet
}

// place returns the place of the edge's route.
func (e *edge) place() tomldoc.Place {
	place, _ := e.doc.Place(e.path()...)
	return place
}

// path returns the path of the edge's route.
func (e *edge) path() []string { return itemPath(e.route, "routes") }

// timeoutPath returns the path of the edge's timeout.
func (e *edge) timeoutPath() []string { return append(e.path(), "timeout") }

// service returns the service to which the edge leads.
func (e *edge) service() *config.Service { return e.doc.App.Service(e.to.service) }

// graph is the call graph of a fleet. Calls form a chain where an application that is a backend of
// a service calls a class of another service.
type graph struct {
	incoming map[node][]*edge
	nodes    []node // sorted
}

// newGraph builds the graph from the routes of all files.
func (f *fleet) newGraph() *graph {
	g := &graph{incoming: map[node][]*edge{}}
	classes := f.classNames()
	for _, doc := range f.docs {
		var served []node // classes of the services of which the application is a backend
		for _, service := range doc.App.Serves {
			for _, class := range classes[service] {
				served = append(served, node{service: service, class: class})
			}
		}
		for i := range doc.App.Routes {
			g.addRoute(doc, i, served)
		}
	}
	slices.SortFunc(g.nodes, func(a, b node) int { return strings.Compare(a.String(), b.String()) })
	return g
}

// classNames returns the classes of each service in all files.
func (f *fleet) classNames() map[string][]string {
	classes := map[string][]string{}
	for _, doc := range f.docs {
		for _, s := range doc.App.Services {
			for _, class := range s.Classes {
				if !slices.Contains(classes[s.Name], class) {
					classes[s.Name] = append(classes[s.Name], class)
				}
			}
		}
	}
	return classes
}

// addRoute adds an edge for each target of a route and for its mirror. If the route does not state
// the causes of its calls, they are the nodes that the application serves.
func (g *graph) addRoute(doc *config.Document, route int, served []node) {
	r := &doc.App.Routes[route]
	causes := served
	if len(r.CausedBy) > 0 {
		causes = parseNodes(r.CausedBy)
	}
	for _, target := range r.Targets {
		g.add(newEdge(doc, route, target, causes))
	}
	if r.Mirror != nil {
		e := newEdge(doc, route, *r.Mirror, causes)
		e.mayDuplicate = true
		g.add(e)
	}
}

// parseNodes parses names of the form service/class.
func parseNodes(names []string) []node {
	var nodes []node
	for _, name := range names {
		service, class, _ := strings.Cut(name, "/")
		nodes = append(nodes, node{service: service, class: class})
	}
	return nodes
}

// newEdge returns the edge of a route to one of its targets.
func newEdge(doc *config.Document, route int, target config.Target, causes []node) *edge {
	s := doc.App.Service(target.Service)
	policy := s.ClassPolicies[s.Class(target.Class)]
	mayRetry := policy.RetryScope != config.RetryNever
	e := &edge{
		doc:          doc,
		route:        route,
		to:           node{service: target.Service, class: target.Class},
		timeout:      doc.App.Deadline(&doc.App.Routes[route], target),
		retryFactor:  1,
		mayDuplicate: mayRetry,
		policy:       policy,
		causes:       causes,
	}
	if mayRetry && s.Balancer.MaxAttempts > 1 {
		e.retryFactor += min(s.Balancer.RetryBudgetRatio, float64(s.Balancer.MaxAttempts-1))
	}
	return e
}

// add adds an edge and its target node.
func (g *graph) add(e *edge) {
	if g.incoming[e.to] == nil {
		g.nodes = append(g.nodes, e.to)
	}
	g.incoming[e.to] = append(g.incoming[e.to], e)
}
