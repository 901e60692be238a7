// Package rules is the register of the rules that a configuration must obey. Each rule has an
// identifier, a reason and a valid alternative. The package is pure: it does no I/O. The rules in
// docs/operate/configuration.md are generated from the register.
package rules

import (
	"fmt"
	"slices"
	"strings"
)

// ID identifies a rule. Identifiers are stable, and the identifier of a removed rule is not reused.
type ID string

// Severity is the consequence of a violation of a rule.
type Severity int

// The severities.
const (
	Error   Severity = iota // the configuration is rejected
	Warning                 // the configuration is accepted, and the violation is reported
)

// String returns "error" or "warning".
func (s Severity) String() string {
	if s == Warning {
		return "warning"
	}
	return "error"
}

// Rule is one rule. What, Why and Instead are phrases for reports, without a full stop.
type Rule struct {
	ID       ID
	Group    string // heading of the rule on the operators' page
	Severity Severity
	// Since is the first version of the application's format in which the sidecar rejects a
	// violation. The sidecar accepts a violation in files of earlier versions, so that they stay
	// readable; only fernctl rejects it. 0 means that the sidecar rejects a violation in all
	// versions or can't detect it.
	Since   int
	What    string // configuration that the rule forbids
	Why     string // reason of the rule
	Instead string // valid alternative
}

// Anchor returns the anchor of the rule on the operators' page, in the form that GitHub and others
// derive from a heading.
func (r Rule) Anchor() string { return strings.ToLower(string(r.ID)) }

// Page is the path of the operators' page that lists all rules.
const Page = "docs/operate/configuration.md"

// all is all rules, ordered by group.
var all = slices.Concat(documentRules, routeRules, classRules, fleetRules)

// indexByID maps the identifier of a rule to the rule's index in all.
var indexByID = func() map[ID]int {
	index := map[ID]int{}
	for i, r := range all {
		index[r.ID] = i
	}
	return index
}()

// All returns all rules, ordered by group.
func All() []Rule { return slices.Clone(all) }

// Get returns the rule with an identifier. For an unknown identifier, Get returns a rule with the
// texts "not registered".
func Get(id ID) Rule {
	if i, ok := indexByID[id]; ok {
		return all[i]
	}
	return Rule{ID: id, What: "not registered", Why: "not registered", Instead: "not registered"}
}

// Markdown returns the section of the operators' page with all rules.
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

// note returns a remark on the severity and the versions of a rule, in parentheses, or "" for a
// rule that always rejects.
func (r Rule) note() string {
	var notes []string
	if r.Severity == Warning {
		notes = append(notes, "a warning")
	}
	if r.Since > 0 {
		note := fmt.Sprintf("by the sidecar from format version %d on, by `fernctl check` in all versions", r.Since)
		notes = append(notes, note)
	}
	if len(notes) == 0 {
		return ""
	}
	return " (" + strings.Join(notes, "; ") + ")"
}
