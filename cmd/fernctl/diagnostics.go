package main

import (
	"io"

	"github.com/urfave/cli/v3"

	"fernlanding/internal/rules"
	"fernlanding/internal/tomldoc"
)

// jsonDiagnostic is a diagnostic as check prints it with -json.
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

// newJSONDiagnostic returns a diagnostic with the texts of its rule.
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

// rulePage returns the place of a rule on the operators' page.
func rulePage(rule rules.Rule) string { return rules.Page + "#" + rule.Anchor() }

// reportDiagnostics prints the result of a check, as JSON with -json. The error is errFaults if any
// of the diagnostics is no warning.
func reportDiagnostics(c *cli.Command, diagnostics tomldoc.Diagnostics) error {
	if !c.Bool("json") {
		return printDiagnostics(c.Root().Writer, diagnostics)
	}
	all := []jsonDiagnostic{} // not nil, so that no diagnostics print as an empty array
	for _, d := range diagnostics {
		all = append(all, newJSONDiagnostic(d))
	}
	if err := asJSON(c.Root().Writer, all); err != nil {
		return err
	}
	return faultsOf(diagnostics)
}

// printDiagnostics prints a line for each diagnostic. The error is errFaults if any of them is no
// warning.
func printDiagnostics(out io.Writer, diagnostics tomldoc.Diagnostics) error {
	for _, d := range diagnostics {
		printf(out, "%s\n", d.Report())
	}
	return faultsOf(diagnostics)
}

// faultsOf returns errFaults if any of the diagnostics is no warning, else nil.
func faultsOf(diagnostics tomldoc.Diagnostics) error {
	if len(diagnostics.Errors()) > 0 {
		return errFaults
	}
	return nil
}
