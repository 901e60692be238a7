package catalogue

import (
	"fmt"
	"slices"
	"strings"

	"fernlanding/internal/rules"
	"fernlanding/internal/tomldoc"
)

// retrySafetyFields decide which requests may run twice. No environment changes them: the tested
// rules are to be those that run in production.
var retrySafetyFields = []string{
	"repeat", "dedup_scope", "dedup_window", "key", "resend", "early_data", "hedge", "formerly", "in_order",
}

// declaredTables are the tables to which an environment cannot add entries.
var declaredTables = []string{"services", "applications", "classes", "calls"}

// overlay returns the catalogue's tree with the values of an environment; the empty name stands for
// none. It reports false if there is no such environment.
func (c *Catalogue) overlay(name string, reader *tomldoc.Collector) (*tomldoc.Value, bool) {
	root := c.root.Clone()
	if name == "" {
		return root, true
	}
	environment := c.environments.Fields[name]
	if environment == nil {
		reader.Diagnostics = append(reader.Diagnostics, c.unknownEnvironment(name))
		return nil, false
	}
	o := overlayer{Collector: reader, environment: name}
	for _, section := range environment.Keys {
		table := environment.Fields[section]
		switch {
		case section == "fleet" && table.Kind == tomldoc.Table:
			if root.Fields["fleet"] == nil {
				root.Set("fleet", tomldoc.NewTable(table.Place))
			}
			o.merge(root.Fields["fleet"], table, []string{"fleet"})
		case (section == "services" || section == "applications") && table.Kind == tomldoc.Table:
			o.merge(root.Fields[section], table, []string{section})
		default:
			reader.ReportAt(table, rules.UnknownField, "environments."+name+"."+section, "",
				"unknown field; known here: applications, fleet, services")
		}
	}
	return root, true
}

// unknownEnvironment returns the diagnostic of an environment that the catalogue does not declare.
func (c *Catalogue) unknownEnvironment(name string) tomldoc.Diagnostic {
	expect := "one of the environments expected: " + strings.Join(c.Environments(), ", ")
	if near := tomldoc.Nearest(name, c.Environments()); near != "" {
		expect = near + " meant?"
	}
	return tomldoc.Diagnostic{
		Place: tomldoc.Place{File: c.root.Place.File}, Rule: rules.UnknownEnv, Field: "environments",
		Found: fmt.Sprintf("%q", tomldoc.Truncate(name)), Expect: expect,
	}
}

// overlayer merges an environment's tables into the catalogue's.
type overlayer struct {
	*tomldoc.Collector
	environment string
}

// merge puts the values of an environment's table into the table at a path of the catalogue. Tables
// are merged; arrays and scalars are replaced.
func (o *overlayer) merge(into, from *tomldoc.Value, path []string) {
	for _, key := range from.Keys {
		value, old := from.Fields[key], into.Fields[key]
		keyPath := append(path[:len(path):len(path)], key)
		if !o.mayOverlay(into, value, keyPath) {
			continue
		}
		if value.Kind != tomldoc.Table || old != nil && old.Kind != tomldoc.Table {
			into.Set(key, value.Clone())
			continue
		}
		if old == nil {
			// An optional table is merged and not cloned, since it may hold a forbidden field.
			old = tomldoc.NewTable(value.Place)
			into.Set(key, old)
		}
		o.merge(old, value, keyPath)
	}
}

// mayOverlay reports whether an environment may state a value at a path whose last element is a key
// of the table into; if not, it adds a diagnostic.
func (o *overlayer) mayOverlay(into, value *tomldoc.Value, path []string) bool {
	parents, key := path[:len(path)-1], path[len(path)-1]
	field := "environments." + o.environment + "." + strings.Join(path, ".")
	if slices.Contains(parents, "classes") && slices.Contains(retrySafetyFields, key) {
		o.ReportAt(value, rules.OverlayRepeat, field, "", "the catalogue's own expected")
		return false
	}
	if into.Fields[key] == nil && slices.Contains(declaredTables, parents[len(parents)-1]) {
		expect := "nothing of that name is declared"
		if near := tomldoc.Nearest(key, sortedKeys(into.Fields)); near != "" {
			expect += "; " + near + " meant?"
		}
		o.ReportAt(value, rules.OverlayNothing, field, "", expect)
		return false
	}
	return true
}
