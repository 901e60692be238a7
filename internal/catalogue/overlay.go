package catalogue

import (
	"fmt"
	"slices"
	"strings"

	"fernlanding/internal/rules"
	"fernlanding/internal/tomldoc"
)

// retrySafetyFields are the fields of a class that determine which requests may run twice. An
// environment cannot override them, so that the rules in production are those that were tested.
var retrySafetyFields = []string{
	"repeat", "dedup_scope", "dedup_window", "key", "resend", "early_data", "hedge", "formerly", "in_order",
}

// declaredTables are the names of the tables to which an environment cannot add entries.
var declaredTables = []string{"services", "applications", "classes", "calls"}

// overlay returns a copy of the catalogue's tree with the values of an environment. The empty name
// means no environment. It returns false after it has reported an unknown environment.
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
				fmt.Sprintf("unknown field %q; known fields: applications, fleet, services", tomldoc.Truncate(section)))
		}
	}
	return root, true
}

// unknownEnvironment returns the diagnostic for an environment that the catalogue does not declare.
func (c *Catalogue) unknownEnvironment(name string) tomldoc.Diagnostic {
	const unknown = "unknown environment"
	expect := tomldoc.WithSuggestion(unknown, name, c.Environments())
	if expect == unknown {
		expect += "; known environments: " + strings.Join(c.Environments(), ", ")
	}
	return tomldoc.Diagnostic{
		Place: tomldoc.Place{File: c.root.Place.File}, Rule: rules.UnknownEnv, Field: "environments",
		Found: fmt.Sprintf("%q", tomldoc.Truncate(name)), Expect: expect,
	}
}

// overlayer merges the tables of an environment into those of the catalogue.
type overlayer struct {
	*tomldoc.Collector
	environment string
}

// merge adds the values of an environment's table to the table at a path of the catalogue. Tables
// are merged; arrays and scalars are replaced.
func (o *overlayer) merge(into, from *tomldoc.Value, path []string) {
	for _, key := range from.Keys {
		value, old := from.Fields[key], into.Fields[key]
		keyPath := append(path[:len(path):len(path)], key)
		if !o.checkOverride(into, value, keyPath) {
			continue
		}
		if value.Kind != tomldoc.Table || old != nil && old.Kind != tomldoc.Table {
			into.Set(key, value.Clone())
			continue
		}
		if old == nil {
			// An optional table is merged instead of cloned, since it may contain a field that the
			// environment cannot override.
			old = tomldoc.NewTable(value.Place)
			into.Set(key, old)
		}
		o.merge(old, value, keyPath)
	}
}

// checkOverride reports whether an environment may set a value at a path, whose last element is a
// key of the table into. If not, it adds a diagnostic.
func (o *overlayer) checkOverride(into, value *tomldoc.Value, path []string) bool {
	parents, key := path[:len(path)-1], path[len(path)-1]
	field := "environments." + o.environment + "." + strings.Join(path, ".")
	if slices.Contains(parents, "classes") && slices.Contains(retrySafetyFields, key) {
		o.ReportAt(value, rules.OverlayRepeat, field, "", "an environment cannot override "+key+" of a class")
		return false
	}
	if into.Fields[key] == nil && slices.Contains(declaredTables, parents[len(parents)-1]) {
		expect := fmt.Sprintf("unknown name %q, which the catalogue does not declare", tomldoc.Truncate(key))
		expect = tomldoc.WithSuggestion(expect, key, sortedKeys(into.Fields))
		o.ReportAt(value, rules.OverlayNothing, field, "", expect)
		return false
	}
	return true
}
