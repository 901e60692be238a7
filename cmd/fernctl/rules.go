package main

import (
	"context"
	"io"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	"fernlanding/internal/rules"
)

// jsonRule is a rule as rules -json prints it.
type jsonRule struct {
	ID       rules.ID `json:"id"`
	Group    string   `json:"group"`
	Severity string   `json:"severity"`
	Since    int      `json:"since_version,omitempty"`
	What     string   `json:"what"`
	Why      string   `json:"why"`
	Instead  string   `json:"instead"`
	Page     string   `json:"page"`
}

// newJSONRule returns a rule together with the link to its section of the operators' page.
func newJSONRule(r rules.Rule) jsonRule {
	return jsonRule{
		ID: r.ID, Group: r.Group, Severity: r.Severity.String(), Since: r.Since,
		What: r.What, Why: r.Why, Instead: r.Instead, Page: rulePage(r),
	}
}

// rulesCommand returns the command that lists the rules.
func rulesCommand() *cli.Command {
	return &cli.Command{
		Name: "rules", Usage: "list every rule with its reason",
		Flags: []cli.Flag{
			jsonFlag(), &cli.BoolFlag{Name: "markdown", Usage: "as the operators' page has them"},
		},
		Action: listRules,
	}
}

// listRules prints the rules as text, as JSON, or as Markdown for the operators' page.
func listRules(_ context.Context, c *cli.Command) error {
	out := c.Root().Writer
	if err := noArgs(c); err != nil {
		return err
	}
	if c.Bool("markdown") {
		_, err := io.WriteString(out, rules.Markdown())
		return err
	}
	if c.Bool("json") {
		var all []jsonRule
		for _, r := range rules.All() {
			all = append(all, newJSONRule(r))
		}
		return writeJSON(out, all)
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, r := range rules.All() {
		printf(w, "%s\t%s\t%s\t%s\n", r.ID, r.Severity, r.What, rulePage(r))
		printf(w, "\t\twhy: %s\t\n\t\tinstead: %s\t\n", r.Why, r.Instead)
	}
	return w.Flush()
}
