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

// Table compiles the routing table of a listener. indexes has the index in App.Routes for each rule
// of the table. Table can't fail for a decoded App.
func (a *App) Table(listener string) (table *route.Table, indexes []int, err error) {
	matches, indexes := a.matches(listener)
	table, err = route.New(matches)
	return table, indexes, err
}

// matches returns the matches of a listener's routes, and the indexes of the routes in App.Routes.
func (a *App) matches(listener string) (matches []route.Match, indexes []int) {
	for i, r := range a.Routes {
		if len(r.Listeners) == 0 || slices.Contains(r.Listeners, listener) {
			matches = append(matches, r.Match)
			indexes = append(indexes, i)
		}
	}
	return matches, indexes
}

// checkTable reports the routes of a listener that can't be compiled or that earlier routes shadow.
// scopes has the scopes of all routes.
func (dec *decoder) checkTable(listener string, scopes []tomldoc.Scope) {
	matches, indexes := dec.app.matches(listener)
	_, err := route.New(matches)
	for _, one := range splitJoined(err) {
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
		for _, reason := range splitJoined(ruleErr.Err) {
			scopes[index].ReportAt(scopes[index].Value, rules.RouteMatch, scopes[index].Path, "", reason.Error())
		}
	}
}

// reportShadowed reports a route that no request can reach because an earlier route matches all its
// requests. index and earlier are the indexes of the two routes.
func (dec *decoder) reportShadowed(listener string, scopes []tomldoc.Scope, index, earlier int) {
	dec.Diagnostics = append(dec.Diagnostics, tomldoc.Diagnostic{
		Place: scopes[index].Value.Place, Rule: rules.RouteDead, Field: scopes[index].Path,
		Found: strconv.Quote(tomldoc.Truncate(dec.app.Routes[index].Name)), See: scopes[earlier].Value.Place,
		Expect: fmt.Sprintf("route %q can't be reached at listener %s: earlier route %q matches all its requests",
			tomldoc.Truncate(dec.app.Routes[index].Name), listener, tomldoc.Truncate(dec.app.Routes[earlier].Name)),
	})
}

// splitJoined returns the errors joined by errors.Join, or the error itself.
func splitJoined(err error) []error {
	if err == nil {
		return nil
	}
	if joined, ok := err.(interface{ Unwrap() []error }); ok {
		return joined.Unwrap()
	}
	return []error{err}
}
