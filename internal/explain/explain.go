// Package explain says what a sidecar would do with a request, and which line of its file each part
// of that comes from. It is pure and sends nothing: it names as such what depends on the state of
// the fleet.
package explain

import (
	"errors"
	"fmt"
	"net/http"
	"net/textproto"
	"slices"
	"strings"

	"fernlanding/internal/config"
	"fernlanding/internal/route"
	"fernlanding/internal/tomldoc"
)

// healthPath is the path at which a sidecar reports its own health.
const healthPath = "/_health"

// Line is one part of an explanation.
type Line struct {
	Part      string        `json:"what"`
	Text      string        `json:"says"`
	Place     tomldoc.Place `json:"-"`
	IsDefault bool          `json:"default,omitempty"` // the file does not state the value
	Location  string        `json:"where,omitempty"`   // Place as file:line
}

// Explanation is what a sidecar would do with a request.
type Explanation struct {
	// Status is the status code with which the sidecar responds itself, without an attempt at a
	// backend; 0: the request is forwarded.
	Status int    `json:"status,omitempty"`
	Lines  []Line `json:"lines"`
}

// Explain returns what the sidecar of a file would do with a request that comes to a listener; the
// empty name stands for the first one. It returns an error if a sidecar would reject the file, or
// if there is no such listener.
func Explain(doc *config.Document, listener string, r Request) (Explanation, error) {
	if doc.App == nil {
		return Explanation{}, errors.New("the file is one that a sidecar refuses")
	}
	index := slices.IndexFunc(doc.App.Listeners, func(l config.Listener) bool {
		return listener == "" || l.Name == listener
	})
	if index < 0 {
		return Explanation{}, fmt.Errorf("no listener is named %q", listener)
	}
	e := &explainer{doc: doc, request: r, header: canonicalHeader(r.Header)}
	l := doc.App.Listeners[index]
	e.explain("listener", path("listeners", position(index)), "%s, %s", l.Name, l.Address)
	if r.Path == healthPath {
		e.respond(http.StatusOK, "the sidecar's own health, or 503; no route is asked")
		return e.explanation, nil
	}
	table, numbers, err := doc.App.Table(l.Name)
	if err != nil {
		return Explanation{}, err
	}
	e.routing(table, numbers)
	return e.explanation, nil
}

// canonicalHeader returns a header with canonical names, whatever names the caller has set.
func canonicalHeader(header http.Header) map[string][]string {
	canonical := map[string][]string{}
	for name, values := range header {
		canonical[textproto.CanonicalMIMEHeaderKey(name)] = values
	}
	return canonical
}

// explainer builds the explanation of one request.
type explainer struct {
	doc         *config.Document
	request     Request
	header      map[string][]string // by canonical name
	explanation Explanation
}

// explain adds a part. The path is that of the field which it comes from; nil: no field of the
// file.
func (e *explainer) explain(part string, path []string, format string, args ...any) {
	line := Line{Part: part, Text: fmt.Sprintf(format, args...)}
	if path != nil {
		place, isStated := e.doc.Place(path...)
		line.Place = place
		line.IsDefault = !isStated
		line.Location = place.Short()
	}
	e.explanation.Lines = append(e.explanation.Lines, line)
}

// respond adds that the sidecar responds itself, as the last part.
func (e *explainer) respond(status int, format string, args ...any) {
	e.explanation.Status = status
	e.explain("answer", nil, "%d %s: %s", status, http.StatusText(status), fmt.Sprintf(format, args...))
}

// headerValue returns the first value of a header field, or "".
func (e *explainer) headerValue(name string) string {
	values := e.header[name]
	if len(values) == 0 {
		return ""
	}
	return values[0]
}

// matchedRoute is the route that a request takes.
type matchedRoute struct {
	*config.Route
	path []string // of the route in the file
}

// routing explains which route a request takes, and what the sidecar does with it there.
func (e *explainer) routing(table *route.Table, numbers []int) {
	matched, err := table.Match(route.Request{
		Method: e.request.Method, Host: e.request.Host, Path: e.request.Path, Header: e.header,
	})
	if err != nil {
		e.respond(http.StatusBadRequest, "%v", err)
		return
	}
	if matched < 0 {
		e.respond(http.StatusNotFound, "no route takes it")
		return
	}
	index := numbers[matched]
	r := matchedRoute{Route: &e.doc.App.Routes[index], path: path("routes", position(index))}
	e.explain("route", r.path, "%s, number %d of %d", r.Name, index+1, len(e.doc.App.Routes))
	target := e.target(r)
	e.rewrite(table, matched, r)
	e.service(r, target)
}

// rewrite explains the path that a request is forwarded with.
func (e *explainer) rewrite(table *route.Table, matched int, r matchedRoute) {
	if r.RewritePrefix == "" {
		return
	}
	field := subpath(r.path, "rewrite_prefix")
	if rewritten, ok := table.Rewrite(matched, e.request.Path, r.RewritePrefix); ok {
		e.explain("path", field, "goes on as %s", rewritten)
	} else {
		e.explain("path", field, "answered 400: a path that is not in canonical form can't be rewritten")
	}
}

// target returns the target of a route; of a split it is that of the arm which the request's key is
// assigned to, or the first where the arm is drawn at random.
func (e *explainer) target(r matchedRoute) config.Target {
	if len(r.Targets) == 1 {
		e.explain("service", subpath(r.path, "service"), "%s", r.Targets[0].Service)
		return r.Targets[0]
	}
	field := subpath(r.path, "split")
	weights := splitWeights(r.Targets)
	keyHeader := e.splitKeyHeader(r)
	split, err := route.NewSplit(r.Name, splitArms(r.Targets))
	if key := e.headerValue(keyHeader); err == nil && key != "" {
		target := r.Targets[split.ForKey(key)]
		e.explain("service", field,
			"%s, by the hash of %s: %s (of %s); a key that went elsewhere before goes there while it is recalled",
			target.Service, keyHeader, key, weights)
		return target
	}
	e.explain("service", field, "drawn: %s; what follows is for %s", weights, r.Targets[0].Service)
	return r.Targets[0]
}

// splitKeyHeader returns the header field by which the arm of a split is assigned: the route's
// sticky header if the request has one, else that of the idempotency key.
func (e *explainer) splitKeyHeader(r matchedRoute) string {
	if r.StickyHeader != "" && e.headerValue(r.StickyHeader) != "" {
		return r.StickyHeader
	}
	if key := e.policy(r.Targets[0]).Key; key != "" {
		return key
	}
	return config.DefaultKey
}

// splitArms returns the arms of a split.
func splitArms(targets []config.Target) []route.Arm {
	var arms []route.Arm
	for _, target := range targets {
		arms = append(arms, route.Arm{Name: target.Service, Weight: target.Weight})
	}
	return arms
}

// splitWeights returns the services of a split with their percentages.
func splitWeights(targets []config.Target) string {
	total := 0
	for _, target := range targets {
		total += target.Weight
	}
	var weights []string
	for _, target := range targets {
		percentage := 100 * float64(target.Weight) / float64(total)
		weights = append(weights, fmt.Sprintf("%s %.4g%%", target.Service, percentage))
	}
	return strings.Join(weights, ", ")
}

// policy returns the policy of the class that a target names.
func (e *explainer) policy(target config.Target) config.ClassPolicy {
	s := e.doc.App.Service(target.Service)
	return s.ClassPolicies[s.Class(target.Class)]
}
