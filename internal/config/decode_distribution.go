package config

import (
	"fmt"

	"fernlanding/internal/rules"
	"fernlanding/internal/tomldoc"
)

// MaxRelays is the maximum number of relays in a file. A follower tries fewer relays before it
// tries the first one again.
const MaxRelays = 16

// distribution decodes the table [distribution], which version 1 of the format lacks.
func (dec *decoder) distribution(root tomldoc.Scope) {
	if dec.version < 2 {
		return
	}
	scope := root.Table("distribution")
	distribution := &dec.app.Distribution
	distribution.Name = optionalName(scope, "name")
	distribution.Configuration = optionalName(scope, "configuration")
	distribution.Relays = scope.Strings("relays")
	switch n := len(distribution.Relays); {
	case root.Has("distribution") && n == 0:
		scope.ReportField(rules.Missing, "relays", "must contain the address of at least one relay")
	case n > MaxRelays:
		scope.ReportField(rules.TooMany, "relays", "list of %d relays exceeds the limit of %d", n, MaxRelays)
	default:
		checkRelays(scope)
	}
	scope.ReportUnknown()
}

// checkRelays checks the address of each relay.
func checkRelays(scope tomldoc.Scope) {
	v := scope.Get("relays", tomldoc.Array)
	if v == nil {
		return
	}
	seen := map[string]bool{}
	for i, item := range v.Items {
		path := fmt.Sprintf("%s[%d]", scope.FieldPath("relays"), i+1)
		if reason := addressError(item.Text, false); item.Kind == tomldoc.String && reason != "" {
			scope.ReportAt(item, rules.Address, path, item.Describe(), reason)
		}
		if seen[item.Text] {
			scope.ReportAt(item, rules.DoubleName, path, item.Describe(), "already the address of another relay")
		}
		seen[item.Text] = true
	}
}
