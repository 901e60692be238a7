package catalogue

import (
	"fmt"
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
		scope.ReportField(rules.Missing, "calls", "must contain at least one service")
	}
	scope.ReportUnknown()
	return a
}

// findService returns the service with a name. If there is none, it reports the field that refers
// to the service and returns nil.
func (m *model) findService(scope tomldoc.Scope, field, name string) *service {
	s := m.services[name]
	if s == nil {
		expect := fmt.Sprintf("unknown service %q", tomldoc.Truncate(name))
		scope.ReportField(rules.UnknownService, field, "%s", tomldoc.WithSuggestion(expect, name, m.serviceNames))
	}
	return s
}

// readCall decodes an application's call of a service. It returns nil if the service is unknown.
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
			expect := fmt.Sprintf("unknown tenant %q of service %s", tomldoc.Truncate(tenant), name)
			scope.ReportField(rules.UnknownTenant, "tenants", "%s",
				tomldoc.WithSuggestion(expect, tenant, sortedKeys(s.tenants)))
		}
	}
	checkLimits(scope, s)
	return c
}

// readCalledClass decodes a call's table of a class. It returns nil if the service has no such
// class or s is nil.
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

// reportUnknownClass reports a class that the service does not have. If the class has been renamed,
// the diagnostic has its current name.
func (m *model) reportUnknownClass(scope tomldoc.Scope, s *service, name string) {
	for _, current := range s.classNames {
		former := s.classes[current].table.Fields["formerly"]
		if former != nil && slices.ContainsFunc(former.Items, func(v *tomldoc.Value) bool { return v.Text == name }) {
			m.report(tomldoc.Diagnostic{
				Place: scope.Value.Place, Rule: rules.ClassRenamed, Field: scope.Path,
				Expect: "must be " + current + ", the new name of the class", See: former.Place,
			})
			return
		}
	}
	expect := fmt.Sprintf("unknown class %q of service %s", tomldoc.Truncate(name), s.name)
	scope.ReportAt(scope.Value, rules.UnknownClass, scope.Path, "", tomldoc.WithSuggestion(expect, name, s.classNames))
}
