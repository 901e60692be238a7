// Package rules is the register of what a configuration must not say: every rule with its
// identifier, the reason why it is one, and what to write instead. It is pure. The tables in
// docs/operate/configuration.md are made from it.
package rules

import (
	"fmt"
	"slices"
	"strings"
)

// ID identifies a rule. Identifiers are stable: that of a rule that is withdrawn is not used again.
type ID string

// Severity is what a violation of a rule means.
type Severity int

// The severities.
const (
	Error   Severity = iota // the configuration is rejected
	Warning                 // the configuration is accepted, and the violation reported
)

// String returns "error" or "warning".
func (s Severity) String() string {
	if s == Warning {
		return "warning"
	}
	return "error"
}

// Rule is one rule. What, Why and Instead are phrases of a report, without a full stop.
type Rule struct {
	ID       ID
	Group    string // under which the operators' page lists it
	Severity Severity
	// Since is the version of the application's format from which on the sidecar itself rejects a
	// violation; 0: the sidecar always rejects it, or never sees it. Files of earlier versions stay
	// readable, and fernctl alone objects.
	Since   int
	What    string // what the rule forbids
	Why     string // why that matters
	Instead string // what to write instead
}

// Anchor returns the anchor of the rule in the operators' page, as GitHub and others make it of a
// heading.
func (r Rule) Anchor() string { return strings.ToLower(string(r.ID)) }

// Page is the path of the operators' page that has every rule.
const Page = "docs/operate/configuration.md"

// all is every rule, by group.
var all = slices.Concat(documentRules, routeRules, classRules, fleetRules)

var indexByID = func() map[ID]int {
	index := map[ID]int{}
	for i, r := range all {
		index[r.ID] = i
	}
	return index
}()

// All returns every rule, by group.
func All() []Rule { return slices.Clone(all) }

// Get returns the rule of an identifier or, if there is none, a rule whose text says so.
func Get(id ID) Rule {
	if i, ok := indexByID[id]; ok {
		return all[i]
	}
	return Rule{ID: id, What: "not registered", Why: "not registered", Instead: "not registered"}
}

// Markdown returns all rules as the operators' page has them.
func Markdown() string {
	var b strings.Builder
	group := ""
	for _, r := range all {
		if r.Group != group {
			group = r.Group
			fmt.Fprintf(&b, "### %s\n\n", group)
		}
		fmt.Fprintf(&b, "#### %s\n\n", r.ID)
		verb := "Refused"
		if r.Severity == Warning {
			verb = "Said"
		}
		fmt.Fprintf(&b, "%s: %s%s. Why: %s. Instead: %s.\n\n", verb, r.What, r.note(), r.Why, r.Instead)
	}
	return b.String()
}

// note returns what the operators' page says in brackets of when a rule holds; empty: it always
// does.
func (r Rule) note() string {
	var notes []string
	if r.Severity == Warning {
		notes = append(notes, "a warning")
	}
	if r.Since > 0 {
		note := fmt.Sprintf("refused by the sidecar from format %d on, by `fernctl check` in all", r.Since)
		notes = append(notes, note)
	}
	if len(notes) == 0 {
		return ""
	}
	return " (" + strings.Join(notes, "; ") + ")"
}
