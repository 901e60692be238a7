package config

import (
	"errors"
	"fmt"
	"slices"
	"strconv"

	"fernlanding/internal/route"
	"fernlanding/internal/rules"
	"fernlanding/internal/tomldoc"
)

// Table compiles the routing table of a listener; indexes has, for each of its rules, the index of
// the route in App.Routes. It can't fail on a decoded App.
func (a *App) Table(listener string) (table *route.Table, indexes []int, err error) {
	matches, indexes := a.matches(listener)
	table, err = route.New(matches)
	return table, indexes, err
}

// matches returns the matches of a listener's routes, with the indexes of the routes in App.Routes.
func (a *App) matches(listener string) (matches []route.Match, indexes []int) {
	for i, r := range a.Routes {
		if len(r.Listeners) == 0 || slices.Contains(r.Listeners, listener) {
			matches = append(matches, r.Match)
			indexes = append(indexes, i)
		}
	}
	return matches, indexes
}

// checkTable reports the routes of a listener that can't be compiled, or that earlier ones shadow.
// scopes are those of all routes.
func (dec *decoder) checkTable(listener string, scopes []tomldoc.Scope) {
	matches, indexes := dec.app.matches(listener)
	_, err := route.New(matches)
	for _, one := range unjoin(err) {
		var ruleErr *route.RuleError
		if !errors.As(one, &ruleErr) {
			continue
		}
		index := indexes[ruleErr.Rule]
		var shadowed *route.ShadowedError
		if errors.As(one, &shadowed) {
			dec.reportShadowed(listener, scopes, index, indexes[shadowed.By])
			continue
		}
		for _, reason := range unjoin(ruleErr.Err) {
			scopes[index].ReportAt(scopes[index].Value, rules.RouteMatch, scopes[index].Path, "", reason.Error())
		}
	}
}

// reportShadowed reports a route all of whose requests an earlier one takes, by their indexes.
func (dec *decoder) reportShadowed(listener string, scopes []tomldoc.Scope, index, earlier int) {
	dec.Diagnostics = append(dec.Diagnostics, tomldoc.Diagnostic{
		Place: scopes[index].Value.Place, Rule: rules.RouteDead, Field: scopes[index].Path,
		Found: strconv.Quote(tomldoc.Truncate(dec.app.Routes[index].Name)), See: scopes[earlier].Value.Place,
		Expect: fmt.Sprintf("it can't be reached at listener %s: %q takes all its requests before",
			listener, tomldoc.Truncate(dec.app.Routes[earlier].Name)),
	})
}

// unjoin returns the errors that errors.Join has joined, or the error itself.
func unjoin(err error) []error {
	if err == nil {
		return nil
	}
	if joined, ok := err.(interface{ Unwrap() []error }); ok {
		return joined.Unwrap()
	}
	return []error{err}
}
