package config

import (
	"fernlanding/internal/rules"
	"fernlanding/internal/tomldoc"
	"fmt"
)

// MaxRelays is how many relays a file may name: more than a follower tries before the first is asked again.
const MaxRelays = 16

// distribution reads the table of that name, which version 1 lacks.
func (x *decoder) distribution(s tomldoc.Scope) {
	if x.version < 2 {
		return
	}
	t := s.Sub("distribution")
	out := &x.app.Distribution
	if out.Name = t.Text("name", ""); t.Has("name") {
		Named(t, "name", out.Name)
	}
	if out.Configuration = t.Text("configuration", ""); t.Has("configuration") {
		Named(t, "configuration", out.Configuration)
	}
	out.Relays = t.Texts("relays")
	switch n := len(out.Relays); {
	case s.Has("distribution") && n == 0:
		t.Bad(rules.Missing, "relays", "the address of one relay at least expected")
	case n > MaxRelays:
		t.Bad(rules.TooMany, "relays", "%d relays, %d expected at most", n, MaxRelays)
	default:
		relayAddresses(t)
	}
	t.Done()
}

// relayAddresses checks the addresses of relays one by one.
func relayAddresses(s tomldoc.Scope) {
	v := s.Get("relays", tomldoc.Array)
	if v == nil {
		return
	}
	seen := map[string]bool{}
	for i, item := range v.Items {
		path := fmt.Sprintf("%s[%d]", s.Name("relays"), i+1)
		if expect := expectedAddress(item.Text, false); item.Kind == tomldoc.String && expect != "" {
			s.Fault(item, rules.Address, path, item.Say(), expect)
		}
		if seen[item.Text] {
			s.Fault(item, rules.DoubleName, path, item.Say(), "another relay has this address")
		}
		seen[item.Text] = true
	}
}
