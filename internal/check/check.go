// Package check judges configurations: each file by itself, and all files of a fleet together. It is pure.
package check

import (
	"fmt"
	"strconv"
	"strings"

	"fernlanding/internal/catalogue"
	"fernlanding/internal/config"
	"fernlanding/internal/rules"
	"fernlanding/internal/tomldoc"
)

// Options are bounds that a fleet states.
type Options struct {
	// RetryFactor is how often attempts may multiply over all tiers; 0: catalogue.DefaultRetryFactor.
	RetryFactor float64
	// Deployed are the files that run now. What may not change in one step is compared with them.
	Deployed []*config.Document
	// Each calls f with 0 to n-1, in any order or at once, and returns when all have returned; nil: in order.
	Each func(n int, f func(i int))
}

func (o *Options) each(n int, f func(i int)) {
	if o.Each != nil {
		o.Each(n, f)
		return
	}
	for i := range n {
		f(i)
	}
}

// File is a file to be read.
type File struct {
	Name string
	Data []byte
}

// Files judges applications' files, each by itself and all together.
func Files(files []File, o Options) ([]*config.Document, tomldoc.Diagnostics) {
	docs := make([]*config.Document, len(files))
	o.each(len(files), func(i int) { docs[i] = config.Read(files[i].Name, files[i].Data) })
	var faults tomldoc.Diagnostics
	for _, d := range docs {
		faults = append(faults, d.Diagnostics...)
	}
	return docs, append(faults, Fleet(docs, o)...).Sorted()
}

// Catalogue judges a catalogue with one environment's figures: what it says itself, each file that it gives, and all of
// them together. Faults stand at their places in the catalogue. The plan is nil where nothing could be written.
func Catalogue(c *catalogue.Catalogue, environment string, o Options) (*catalogue.Plan, []*config.Document, tomldoc.Diagnostics) {
	plan, faults := c.Generate(environment)
	if plan == nil {
		return nil, nil, faults.Sorted()
	}
	if o.RetryFactor == 0 {
		o.RetryFactor = plan.RetryFactor
	}
	all := append(plan.Outputs[:len(plan.Outputs):len(plan.Outputs)], plan.Uncalled...)
	docs := make([]*config.Document, len(all))
	o.each(len(all), func(i int) {
		docs[i] = config.Read(all[i].Name, all[i].Data)
		docs[i].Origin = all[i].Origin
	})
	written := docs[:len(plan.Outputs)]
	for i, d := range docs {
		for _, f := range d.Diagnostics {
			if i >= len(written) && (f.Warning() || !strings.HasPrefix(f.Field, "services.")) {
				continue // a probe's own
			}
			faults = append(faults, atSource(d, f, all[i].Application))
		}
	}
	return plan, written, once(append(faults, Fleet(written, o)...).Sorted())
}

// atSource puts a fault of a generated file at its place in the catalogue.
func atSource(d *config.Document, f tomldoc.Diagnostic, application string) tomldoc.Diagnostic {
	f.Place = d.From(f.Place)
	if f.See.File != "" {
		f.See = d.From(f.See)
	}
	if !strings.HasPrefix(f.Field, "services.") {
		if f.Field == "" {
			f.Field = "applications." + application
		} else {
			f.Field = "applications." + application + "." + f.Field
		}
	}
	return f
}

// once leaves one of faults that differ in the application alone: what a service says wrong, every caller's file does.
func once(faults tomldoc.Diagnostics) (out tomldoc.Diagnostics) {
	type same struct {
		at     tomldoc.Place
		rule   rules.ID
		found  string
		expect string
	}
	seen := map[same]bool{}
	for _, f := range faults {
		k := same{f.Place, f.Rule, f.Found, f.Expect}
		if f.Place.Line > 0 && seen[k] {
			continue
		}
		seen[k] = true
		out = append(out, f)
	}
	return out
}

// fault is a fault at a value of a document.
func fault(d *config.Document, rule rules.ID, path []string, found, expect string, see tomldoc.Place) tomldoc.Diagnostic {
	at, said := d.Place(path...)
	field := ""
	for i, p := range path {
		switch _, err := strconv.Atoi(p); {
		case err == nil:
			field += "[" + p + "]"
		case i > 0:
			field += "." + p
		default:
			field = p
		}
	}
	if !said && found != "" {
		found += " by default"
	}
	if d.App != nil && len(path) > 0 && path[0] != "services" {
		field = d.App.Name + ": " + field
	}
	return tomldoc.Diagnostic{Place: at, Rule: rule, Field: field, Found: found, Expect: expect, See: see}
}

func number(x float64) string { return fmt.Sprintf("%.4g", x) }
