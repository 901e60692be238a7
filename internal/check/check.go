// Package check checks configurations: the file of each application, and the files of a fleet
// against each other. It performs no I/O.
//
// Files checks existing files. Catalogue checks the files that are generated from a catalogue. Both
// use Fleet, which checks files against each other.
package check

import (
	"fmt"
	"strings"

	"fernlanding/internal/catalogue"
	"fernlanding/internal/config"
	"fernlanding/internal/rules"
	"fernlanding/internal/tomldoc"
)

// Options are the options of a check.
type Options struct {
	// MaxAmplification is the limit of retry amplification over all tiers. 0 means
	// catalogue.DefaultMaxAmplification.
	MaxAmplification float64
	// Deployed has the files that are in use. The files under check are compared with them to find
	// changes that are unsafe in one step.
	Deployed []*config.Document
	// ForEach calls f with each number from 0 to n-1, in any order or concurrently, and returns
	// when all calls have returned. nil means sequential calls.
	ForEach func(n int, f func(i int))
}

// forEach calls f with each number from 0 to n-1, by ForEach if it is set.
func (o *Options) forEach(n int, f func(i int)) {
	if o.ForEach != nil {
		o.ForEach(n, f)
		return
	}
	for i := range n {
		f(i)
	}
}

// File is the encoded file of an application.
type File struct {
	Name string
	Data []byte
}

// Files checks the files of applications, each by itself and all together. It returns the decoded
// files and the sorted diagnostics.
func Files(files []File, o Options) ([]*config.Document, tomldoc.Diagnostics) {
	docs := make([]*config.Document, len(files))
	o.forEach(len(files), func(i int) { docs[i] = config.Read(files[i].Name, files[i].Data) })
	var diagnostics tomldoc.Diagnostics
	for _, doc := range docs {
		diagnostics = append(diagnostics, doc.Diagnostics...)
	}
	return docs, append(diagnostics, Fleet(docs, o)...).Sorted()
}

// Catalogue checks a catalogue with one environment: the catalogue itself, each generated file, and
// all generated files together. It returns the plan, its decoded outputs and the diagnostics with
// their places in the catalogue. The plan is nil if nothing could be generated.
func Catalogue(
	c *catalogue.Catalogue, environment string, o Options,
) (*catalogue.Plan, []*config.Document, tomldoc.Diagnostics) {
	plan, diagnostics := c.Generate(environment)
	if plan == nil {
		return nil, nil, diagnostics.Sorted()
	}
	if o.MaxAmplification == 0 {
		o.MaxAmplification = plan.MaxAmplification
	}
	outputs := append(plan.Outputs[:len(plan.Outputs):len(plan.Outputs)], plan.Uncalled...)
	docs := make([]*config.Document, len(outputs))
	o.forEach(len(outputs), func(i int) {
		docs[i] = config.Read(outputs[i].Name, outputs[i].Data)
		docs[i].Origin = outputs[i].Origin
	})
	generated := docs[:len(plan.Outputs)]
	for i, doc := range docs {
		isUncalled := i >= len(generated)
		for _, d := range doc.Diagnostics {
			if isUncalled && (d.Warning() || !strings.HasPrefix(d.Field, "services.")) {
				continue // concerns the placeholder application in the file of an uncalled service
			}
			diagnostics = append(diagnostics, atSource(doc, d, outputs[i].Application))
		}
	}
	diagnostics = append(diagnostics, Fleet(generated, o)...).Sorted()
	return plan, generated, withoutDuplicates(diagnostics)
}

// atSource returns the diagnostic of a generated file with its place and its field in the
// catalogue.
func atSource(doc *config.Document, d tomldoc.Diagnostic, application string) tomldoc.Diagnostic {
	d.Place = doc.SourcePlace(d.Place)
	if d.See.File != "" {
		d.See = doc.SourcePlace(d.See)
	}
	if strings.HasPrefix(d.Field, "services.") {
		return d
	}
	field := "applications." + application
	if d.Field != "" {
		field += "." + d.Field
	}
	d.Field = field
	return d
}

// withoutDuplicates removes diagnostics that differ from an earlier one only in the application: a
// violation by the owner of a service is found in the file of every caller. A service without pods
// is missing both pods in the catalogue and endpoints in the generated files; one of them remains.
func withoutDuplicates(diagnostics tomldoc.Diagnostics) tomldoc.Diagnostics {
	type identity struct {
		place  tomldoc.Place
		rule   rules.ID
		found  string
		expect string
	}
	var unique tomldoc.Diagnostics
	seen := map[identity]bool{}
	for _, d := range diagnostics {
		id := identity{place: d.Place, rule: d.Rule, found: d.Found, expect: reason(d)}
		if d.Line > 0 && seen[id] {
			continue
		}
		seen[id] = true
		unique = append(unique, d)
	}
	return unique
}

// reason returns Expect without the name of a missing field, which tomldoc.Scope.ReportField adds.
func reason(d tomldoc.Diagnostic) string {
	if d.Rule != rules.Missing {
		return d.Expect
	}
	name := d.Field[strings.LastIndexByte(d.Field, '.')+1:]
	return strings.TrimPrefix(d.Expect, fmt.Sprintf("missing field %q: ", name))
}
