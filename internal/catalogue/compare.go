package catalogue

import (
	"fmt"
	"net/textproto"
	"time"

	"fernlanding/internal/rules"
	"fernlanding/internal/tomldoc"
)

// checkLimits reports values of a caller that exceed the limits of the service's owner.
func checkLimits(scope tomldoc.Scope, s *service) {
	if attempts := scope.Int("attempts", 1, 1, 16); attempts > s.maxAttempts {
		scope.ReportField(rules.Range, "attempts",
			"exceeds the limit of %d set by the owner, team %s", s.maxAttempts, s.team)
	}
	if multiple := scope.Float("cold_multiple", 1, 0, 100); multiple > s.maxSlowStartMultiple {
		scope.ReportField(rules.ColdMultiple, "cold_multiple", "exceeds the limit of %g set by the owner, team %s",
			s.maxSlowStartMultiple, s.team)
	}
}

// compareClass reports the fields of a class with which a caller contradicts the service's owner.
func (m *model) compareClass(scope tomldoc.Scope, s *service, name string, owners *class) {
	for _, field := range repeatableFields {
		m.compareField(scope, s, name, owners, field)
	}
	m.compareRetryTargets(scope, s, name, owners)
}

// compareField reports a field of a class if the caller's value is not equivalent to the owner's.
func (m *model) compareField(scope tomldoc.Scope, s *service, name string, owners *class, field string) {
	callers, own := scope.Value.Fields[field], owners.table.Fields[field]
	if callers == nil || own != nil && canonicalText(field, callers) == canonicalText(field, own) {
		return
	}
	see, stated := owners.table.Place, "does not set it"
	switch {
	case own != nil:
		see, stated = own.Place, "sets "+own.Describe()
	case field == "dedup_scope" && callers.Text == "cell" && isKeyed(owners):
		return // the owner's default
	}
	m.report(tomldoc.Diagnostic{
		Place: callers.Place, Rule: rules.ClassDisagrees, Field: scope.FieldPath(field), Found: callers.Describe(),
		Expect: fmt.Sprintf("contradicts the owner of %s: team %s %s for class %s", s.name, s.team, stated, name),
		See:    see,
	})
}

// isKeyed reports whether a class is idempotent by key.
func isKeyed(c *class) bool {
	idempotency := c.table.Fields["repeat"]
	return idempotency != nil && idempotency.Text == "keyed"
}

// compareRetryTargets reports a caller that allows retries on more backends than the owner does.
func (m *model) compareRetryTargets(scope tomldoc.Scope, s *service, name string, owners *class) {
	callers, own := scope.Value.Fields["resend"], owners.table.Fields["resend"]
	breadth := map[string]int{"never": 0, "scope": 1, "any": 2}
	if callers == nil || own == nil || breadth[callers.Text] <= breadth[own.Text] {
		return
	}
	m.report(tomldoc.Diagnostic{
		Place: callers.Place, Rule: rules.ClassDisagrees, Field: scope.FieldPath("resend"), Found: callers.Describe(),
		Expect: fmt.Sprintf("exceeds what the owner of %s, team %s, allows for class %s: %s",
			s.name, s.team, name, own.Describe()),
		See: own.Place,
	})
}

// canonicalText returns the canonical text of a field's value: equivalent values have equal texts.
func canonicalText(field string, value *tomldoc.Value) string {
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
