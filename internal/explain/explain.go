// Package explain explains how a sidecar would handle a request, and which line of its file
// determines each part of the explanation. The package performs no I/O and sends no request. It
// marks the parts that depend on the state of the fleet.
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

// Line is a part of an explanation.
type Line struct {
	Part      string        `json:"what"`
	Text      string        `json:"says"`
	Place     tomldoc.Place `json:"-"`
	IsDefault bool          `json:"default,omitempty"` // whether the file does not set the value
	Location  string        `json:"where,omitempty"`   // Place as file:line
}

// Explanation describes how a sidecar would handle a request.
type Explanation struct {
	// Status is the status code of the sidecar's own response, which it sends without an attempt at
	// a backend. 0 means that the request is forwarded.
	Status int    `json:"status,omitempty"`
	Lines  []Line `json:"lines"`
}

// Explain explains how the sidecar of a file would handle a request to a listener. The empty name
// means the first listener. Explain returns an error if a sidecar would reject the file, or if the
// listener is unknown.
func Explain(doc *config.Document, listener string, r Request) (Explanation, error) {
	if doc.App == nil {
		return Explanation{}, errors.New("invalid configuration file: a sidecar would reject it")
	}
	index := slices.IndexFunc(doc.App.Listeners, func(l config.Listener) bool {
		return listener == "" || l.Name == listener
	})
	if index < 0 {
		return Explanation{}, fmt.Errorf("unknown listener %q", listener)
	}
	e := &explainer{doc: doc, request: r, header: canonicalHeader(r.Header)}
	l := doc.App.Listeners[index]
	e.addLine("listener", path("listeners", pathIndex(index)), "%s, %s", l.Name, l.Address)
	if r.Path == healthPath {
		e.addResponse(http.StatusOK, "the sidecar's own health, or 503; no route is asked")
		return e.explanation, nil
	}
	table, numbers, err := doc.App.Table(l.Name)
	if err != nil {
		return Explanation{}, err
	}
	e.explainRouting(table, numbers)
	return e.explanation, nil
}

// canonicalHeader returns a copy of a header with canonical field names.
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
	header      map[string][]string // keyed by canonical name
	explanation Explanation
}

// addLine adds a part to the explanation. path is the path of the field that determines the part;
// nil means that no field of the file does.
func (e *explainer) addLine(part string, path []string, format string, args ...any) {
	line := Line{Part: part, Text: fmt.Sprintf(format, args...)}
	if path != nil {
		place, isStated := e.doc.Place(path...)
		line.Place = place
		line.IsDefault = !isStated
		line.Location = place.Short()
	}
	e.explanation.Lines = append(e.explanation.Lines, line)
}

// addResponse adds the last part of an explanation: the sidecar's own response.
func (e *explainer) addResponse(status int, format string, args ...any) {
	e.explanation.Status = status
	e.addLine("answer", nil, "%d %s: %s", status, http.StatusText(status), fmt.Sprintf(format, args...))
}

// headerValue returns the first value of a header field, or the empty string.
func (e *explainer) headerValue(name string) string {
	values := e.header[name]
	if len(values) == 0 {
		return ""
	}
	return values[0]
}

// matchedRoute is the route that matches a request.
type matchedRoute struct {
	*config.Route
	path []string // path of the route in the file
}

// explainRouting explains which route matches a request and how the sidecar handles the request.
func (e *explainer) explainRouting(table *route.Table, numbers []int) {
	matched, err := table.Match(route.Request{
		Method: e.request.Method, Host: e.request.Host, Path: e.request.Path, Header: e.header,
	})
	if err != nil {
		e.addResponse(http.StatusBadRequest, "%v", err)
		return
	}
	if matched < 0 {
		e.addResponse(http.StatusNotFound, "no route takes it")
		return
	}
	index := numbers[matched]
	r := matchedRoute{Route: &e.doc.App.Routes[index], path: path("routes", pathIndex(index))}
	e.addLine("route", r.path, "%s, number %d of %d", r.Name, index+1, len(e.doc.App.Routes))
	target := e.explainTarget(r)
	e.explainRewrite(table, matched, r)
	e.explainService(r, target)
}

// explainRewrite explains the path with which a request is forwarded.
func (e *explainer) explainRewrite(table *route.Table, matched int, r matchedRoute) {
	if r.RewritePrefix == "" {
		return
	}
	field := subpath(r.path, "rewrite_prefix")
	if rewritten, ok := table.Rewrite(matched, e.request.Path, r.RewritePrefix); ok {
		e.addLine("path", field, "goes on as %s", rewritten)
	} else {
		e.addLine("path", field, "answered 400: a path that is not in canonical form can't be rewritten")
	}
}

// explainTarget explains and returns the target of a route. For a split, it is the target of the
// arm to which the request's key is assigned, or the first target if the arm is drawn at random.
func (e *explainer) explainTarget(r matchedRoute) config.Target {
	if len(r.Targets) == 1 {
		e.addLine("service", subpath(r.path, "service"), "%s", r.Targets[0].Service)
		return r.Targets[0]
	}
	field := subpath(r.path, "split")
	weights := splitWeights(r.Targets)
	keyHeader := e.splitKeyHeader(r)
	split, err := route.NewSplit(r.Name, splitArms(r.Targets))
	if key := e.headerValue(keyHeader); err == nil && key != "" {
		target := r.Targets[split.ForKey(key)]
		e.addLine("service", field,
			"%s, by the hash of %s: %s (of %s); a key that went elsewhere before goes there while it is recalled",
			target.Service, keyHeader, key, weights)
		return target
	}
	e.addLine("service", field, "drawn: %s; what follows is for %s", weights, r.Targets[0].Service)
	return r.Targets[0]
}

// splitKeyHeader returns the header field that determines the arm of a split. It is the route's
// sticky header if the request has that field, and otherwise the header field of the idempotency
// key.
func (e *explainer) splitKeyHeader(r matchedRoute) string {
	if r.StickyHeader != "" && e.headerValue(r.StickyHeader) != "" {
		return r.StickyHeader
	}
	if key := e.policy(r.Targets[0]).Key; key != "" {
		return key
	}
	return config.DefaultKey
}

// splitArms returns the arms of a split with the given targets.
func splitArms(targets []config.Target) []route.Arm {
	var arms []route.Arm
	for _, target := range targets {
		arms = append(arms, route.Arm{Name: target.Service, Weight: target.Weight})
	}
	return arms
}

// splitWeights returns the services of a split with the percentages of their requests.
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

// policy returns the policy of the class of a target.
func (e *explainer) policy(target config.Target) config.ClassPolicy {
	s := e.doc.App.Service(target.Service)
	return s.ClassPolicies[s.Class(target.Class)]
}
