package catalogue

import (
	"fmt"
	"net/textproto"
	"time"

	"fernlanding/internal/rules"
	"fernlanding/internal/tomldoc"
)

// checkBounds reports what a caller states beyond the bounds of the service's owner.
func checkBounds(scope tomldoc.Scope, s *service) {
	if attempts := scope.Int("attempts", 1, 1, 16); attempts > s.maxAttempts {
		scope.ReportField(rules.Range, "attempts",
			"%d at most expected, as the owner states, team %s", s.maxAttempts, s.team)
	}
	if multiple := scope.Float("cold_multiple", 1, 0, 100); multiple > s.maxSlowStartMultiple {
		scope.ReportField(rules.ColdMultiple, "cold_multiple", "%g at most expected, as the owner states, team %s",
			s.maxSlowStartMultiple, s.team)
	}
}

// compareClass reports where a caller's statements of a class contradict the owner's.
func (m *model) compareClass(scope tomldoc.Scope, s *service, name string, owners *class) {
	for _, field := range repeatableFields {
		m.compareField(scope, s, name, owners, field)
	}
	m.compareRetryTargets(scope, s, name, owners)
}

// compareField reports a field of a class that means something else than the owner's.
func (m *model) compareField(scope tomldoc.Scope, s *service, name string, owners *class, field string) {
	callers, own := scope.Value.Fields[field], owners.table.Fields[field]
	if callers == nil || own != nil && canonical(field, callers) == canonical(field, own) {
		return
	}
	see, says := owners.table.Place, "says nothing"
	switch {
	case own != nil:
		see, says = own.Place, "says "+own.Describe()
	case field == "dedup_scope" && callers.Text == "cell" && isKeyed(owners):
		return // the owner's default
	}
	m.report(tomldoc.Diagnostic{
		Place: callers.Place, Rule: rules.ClassDisagrees, Field: scope.FieldPath(field), Found: callers.Describe(),
		Expect: fmt.Sprintf("team %s, which owns %s, %s of class %s", s.team, s.name, says, name), See: see,
	})
}

// isKeyed reports whether a class is idempotent by key.
func isKeyed(c *class) bool {
	idempotency := c.table.Fields["repeat"]
	return idempotency != nil && idempotency.Text == "keyed"
}

// compareRetryTargets reports a caller that would retry on more backends than the owner allows.
func (m *model) compareRetryTargets(scope tomldoc.Scope, s *service, name string, owners *class) {
	callers, own := scope.Value.Fields["resend"], owners.table.Fields["resend"]
	breadth := map[string]int{"never": 0, "scope": 1, "any": 2}
	if callers == nil || own == nil || breadth[callers.Text] <= breadth[own.Text] {
		return
	}
	m.report(tomldoc.Diagnostic{
		Place: callers.Place, Rule: rules.ClassDisagrees, Field: scope.FieldPath("resend"), Found: callers.Describe(),
		Expect: fmt.Sprintf("team %s, which owns %s, allows %s of class %s", s.team, s.name, own.Describe(), name),
		See:    own.Place,
	})
}

// canonical returns the text of a field's value in one form, however it is written.
func canonical(field string, value *tomldoc.Value) string {
	switch field {
	case "dedup_window":
		if window, err := time.ParseDuration(value.Text); err == nil {
			return window.String()
		}
	case "key":
		return textproto.CanonicalMIMEHeaderKey(value.Text)
	}
	return value.Text
}
