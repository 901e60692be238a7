package catalogue

import (
	"slices"
	"strings"

	"fernlanding/internal/config"
	"fernlanding/internal/rules"
	"fernlanding/internal/tomldoc"
)

// readApplication decodes an application.
func (m *model) readApplication(scope tomldoc.Scope, name string) *application {
	config.CheckName(scope, "", name)
	served := scope.Strings("serves")
	instances := scope.Int("instances", 1, 1, 100_000)
	a := &application{name: name, table: scope.Value, instances: int(instances)}
	scope.MarkKnown("team", "host", "zone")
	scope.Get("process", tomldoc.Table)
	scope.Get("distribution", tomldoc.Table)
	scope.Get("listeners", tomldoc.Array)
	for _, service := range served {
		m.findService(scope, "serves", service)
	}
	names, scopes := scope.Tables("calls")
	for i, table := range scopes {
		if c := m.readCall(table, names[i]); c != nil {
			a.calls = append(a.calls, c)
		}
	}
	slices.SortFunc(a.calls, func(a, b *call) int { return strings.Compare(a.service.name, b.service.name) })
	if len(names) == 0 {
		scope.ReportField(rules.Missing, "calls", "one service that it calls at least expected")
	}
	scope.ReportUnknown()
	return a
}

// findService returns the service of a name, or nil after it has reported the field that names it.
func (m *model) findService(scope tomldoc.Scope, field, name string) *service {
	s := m.services[name]
	if s == nil {
		expect := tomldoc.WithSuggestion("one of the services of the catalogue expected", name, m.serviceNames)
		scope.ReportField(rules.UnknownService, field, "%s, found %q", expect, tomldoc.Truncate(name))
	}
	return s
}

// readCall decodes an application's call of a service; nil if there is no such service.
func (m *model) readCall(scope tomldoc.Scope, name string) *call {
	s := m.findService(scope, "", name)
	c := &call{service: s, table: scope.Value, tenants: scope.Strings("tenants")}
	scope.MarkKnown(callFields...)
	scope.MarkKnown("share", "time_limit", "zone", "for")
	scope.Get("retry_budget", tomldoc.Table)
	scope.Get("split", tomldoc.Array)
	names, scopes := scope.Tables("classes")
	for i, table := range scopes {
		if called := m.readCalledClass(table, s, names[i]); called != nil {
			c.classes = append(c.classes, called)
		}
	}
	scope.ReportUnknown()
	if s == nil {
		return nil
	}
	if len(names) == 0 {
		for _, class := range s.classNames {
			c.classes = append(c.classes, &calledClass{name: class, class: s.classes[class]})
		}
	}
	slices.SortFunc(c.classes, func(a, b *calledClass) int { return strings.Compare(a.name, b.name) })
	for _, tenant := range c.tenants {
		if s.tenants[tenant] == nil {
			expect := tomldoc.WithSuggestion("no tenant of "+name+" is named so", tenant, sortedKeys(s.tenants))
			scope.ReportField(rules.UnknownTenant, "tenants", "%s, found %q", expect, tomldoc.Truncate(tenant))
		}
	}
	checkBounds(scope, s)
	return c
}

// readCalledClass decodes a call's own table of a class; nil if the service, which may itself be
// nil, has no such class.
func (m *model) readCalledClass(scope tomldoc.Scope, s *service, name string) *calledClass {
	scope.MarkKnown(narrowableFields...)
	scope.MarkKnown(repeatableFields...)
	scope.MarkKnown("time_limit", "for", "mirror")
	readMatches(scope)
	scope.ReportUnknown()
	if s == nil {
		return nil
	}
	class := s.classes[name]
	if class == nil {
		m.reportUnknownClass(scope, s, name)
		return nil
	}
	m.compareClass(scope, s, name, class)
	return &calledClass{name: name, class: class, table: scope.Value}
}

// reportUnknownClass reports a class that the service does not have, with its new name if it has
// been renamed.
func (m *model) reportUnknownClass(scope tomldoc.Scope, s *service, name string) {
	for _, current := range s.classNames {
		former := s.classes[current].table.Fields["formerly"]
		if former != nil && slices.ContainsFunc(former.Items, func(v *tomldoc.Value) bool { return v.Text == name }) {
			m.report(tomldoc.Diagnostic{
				Place: scope.Value.Place, Rule: rules.ClassRenamed, Field: scope.Path,
				Expect: current + " expected: that is its name now", See: former.Place,
			})
			return
		}
	}
	expect := tomldoc.WithSuggestion("one of the classes of "+s.name+" expected", name, s.classNames)
	scope.ReportAt(scope.Value, rules.UnknownClass, scope.Path, "", expect)
}
