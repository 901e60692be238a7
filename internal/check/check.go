// Package check checks configurations: each application's file by itself, and all files of a fleet
// together. It is pure.
//
// Files checks files that exist; Catalogue checks what is generated from a catalogue; Fleet, which
// both use, checks what files say of each other.
package check

import (
	"strings"

	"fernlanding/internal/catalogue"
	"fernlanding/internal/config"
	"fernlanding/internal/rules"
	"fernlanding/internal/tomldoc"
)

// Options are what a check compares the files with.
type Options struct {
	// MaxAmplification is the bound of the product of all tiers' retry budgets;
	// 0: catalogue.DefaultRetryFactor.
	MaxAmplification float64
	// Deployed has the files that run now: what must not change in one step is compared with them.
	Deployed []*config.Document
	// ForEach calls f with 0 to n-1, in any order or concurrently, and returns when all calls have
	// returned; nil: one call after the other.
	ForEach func(n int, f func(i int))
}

// each calls Each or, where it is nil, calls f in order.
func (o *Options) each(n int, f func(i int)) {
	if o.ForEach != nil {
		o.ForEach(n, f)
		return
	}
	for i := range n {
		f(i)
	}
}

// File is an application's file that has not been decoded.
type File struct {
	Name string
	Data []byte
}

// Files checks applications' files, each by itself and all together. It returns them decoded, with
// the diagnostics in order.
func Files(files []File, o Options) ([]*config.Document, tomldoc.Diagnostics) {
	docs := make([]*config.Document, len(files))
	o.each(len(files), func(i int) { docs[i] = config.Read(files[i].Name, files[i].Data) })
	var diagnostics tomldoc.Diagnostics
	for _, doc := range docs {
		diagnostics = append(diagnostics, doc.Diagnostics...)
	}
	return docs, append(diagnostics, Fleet(docs, o)...).Sorted()
}

// Catalogue checks a catalogue with one environment: its own statements, each file that is
// generated from it, and all of them together. It returns the plan with its outputs decoded; the
// plan is nil if nothing could be generated. The diagnostics have their places in the catalogue.
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
	o.each(len(outputs), func(i int) {
		docs[i] = config.Read(outputs[i].Name, outputs[i].Data)
		docs[i].Origin = outputs[i].Origin
	})
	generated := docs[:len(plan.Outputs)]
	for i, doc := range docs {
		isUncalled := i >= len(generated)
		for _, d := range doc.Diagnostics {
			if isUncalled && (d.Warning() || !strings.HasPrefix(d.Field, "services.")) {
				continue // of the application that exists in the uncalled service's file alone
			}
			diagnostics = append(diagnostics, atSource(doc, d, outputs[i].Application))
		}
	}
	diagnostics = append(diagnostics, Fleet(generated, o)...).Sorted()
	return plan, generated, withoutDuplicates(diagnostics)
}

// atSource returns a diagnostic of a generated file with its place in the catalogue.
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

// withoutDuplicates returns one of the diagnostics that differ only in the application: a violation
// by a service's owner is found in the file of every caller.
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
		id := identity{place: d.Place, rule: d.Rule, found: d.Found, expect: d.Expect}
		if d.Line > 0 && seen[id] {
			continue
		}
		seen[id] = true
		unique = append(unique, d)
	}
	return unique
}
