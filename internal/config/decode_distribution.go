package config

import (
	"fmt"

	"fernlanding/internal/rules"
	"fernlanding/internal/tomldoc"
)

// MaxRelays is how many relays a file may name: more than a follower tries before the first is
// tried again.
const MaxRelays = 16

// distribution decodes the table of that name, which version 1 lacks.
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
		scope.ReportField(rules.Missing, "relays", "the address of one relay at least expected")
	case n > MaxRelays:
		scope.ReportField(rules.TooMany, "relays", "%d relays, %d expected at most", n, MaxRelays)
	default:
		checkRelays(scope)
	}
	scope.ReportUnknown()
}

// checkRelays checks the addresses of relays one by one.
func checkRelays(scope tomldoc.Scope) {
	v := scope.Get("relays", tomldoc.Array)
	if v == nil {
		return
	}
	seen := map[string]bool{}
	for i, item := range v.Items {
		path := fmt.Sprintf("%s[%d]", scope.FieldPath("relays"), i+1)
		if expect := expectedAddress(item.Text, false); item.Kind == tomldoc.String && expect != "" {
			scope.ReportAt(item, rules.Address, path, item.Describe(), expect)
		}
		if seen[item.Text] {
			scope.ReportAt(item, rules.DoubleName, path, item.Describe(), "another relay has this address")
		}
		seen[item.Text] = true
	}
}
