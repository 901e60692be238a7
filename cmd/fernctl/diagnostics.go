package main

import (
	"io"

	"github.com/urfave/cli/v3"

	"fernlanding/internal/rules"
	"fernlanding/internal/tomldoc"
)

// jsonDiagnostic is a diagnostic as check -json prints it.
type jsonDiagnostic struct {
	File     string   `json:"file"`
	Line     int      `json:"line"`
	Col      int      `json:"col"`
	Rule     rules.ID `json:"rule"`
	Severity string   `json:"severity"`
	Field    string   `json:"field,omitempty"`
	Found    string   `json:"found,omitempty"`
	Expect   string   `json:"expect"`
	See      string   `json:"see,omitempty"`
	Why      string   `json:"why"`
	Instead  string   `json:"instead"`
	Page     string   `json:"page"`
}

// newJSONDiagnostic returns a diagnostic together with the texts of its rule.
func newJSONDiagnostic(d tomldoc.Diagnostic) jsonDiagnostic {
	rule := rules.Get(d.Rule)
	j := jsonDiagnostic{
		File: d.File, Line: d.Line, Col: d.Col,
		Rule: d.Rule, Severity: rule.Severity.String(),
		Field: d.Field, Found: d.Found, Expect: d.Expect,
		Why: rule.Why, Instead: rule.Instead, Page: rulePage(rule),
	}
	if d.See.File != "" {
		j.See = d.See.String()
	}
	return j
}

// rulePage returns the link to a rule on the operators' page.
func rulePage(rule rules.Rule) string { return rules.Page + "#" + rule.Anchor() }

// reportDiagnostics prints the diagnostics of a check, as JSON with -json. reportDiagnostics
// returns errFindings if any of the diagnostics is an error rather than a warning.
func reportDiagnostics(c *cli.Command, diagnostics tomldoc.Diagnostics) error {
	if !c.Bool("json") {
		return printDiagnostics(c.Root().Writer, diagnostics)
	}
	all := []jsonDiagnostic{} // not nil, so that an empty list prints as []
	for _, d := range diagnostics {
		all = append(all, newJSONDiagnostic(d))
	}
	if err := writeJSON(c.Root().Writer, all); err != nil {
		return err
	}
	return diagnosticsError(diagnostics)
}

// printDiagnostics prints a line for each diagnostic. printDiagnostics returns errFindings if any
// of the diagnostics is an error rather than a warning.
func printDiagnostics(out io.Writer, diagnostics tomldoc.Diagnostics) error {
	for _, d := range diagnostics {
		printf(out, "%s\n", d.Report())
	}
	return diagnosticsError(diagnostics)
}

// diagnosticsError returns errFindings if any of the diagnostics is an error rather than a warning.
func diagnosticsError(diagnostics tomldoc.Diagnostics) error {
	if len(diagnostics.Errors()) > 0 {
		return errFindings
	}
	return nil
}
