package catalogue

import (
	"fernlanding/internal/rules"
	"fernlanding/internal/tomldoc"
)

// Output is one generated application file.
type Output struct {
	Application string // empty in Plan.Uncalled
	Name        string // of the file
	Data        []byte
	Origin      []tomldoc.Place // of each line, in the catalogue
}

// Plan is what a catalogue generates for one environment.
type Plan struct {
	Environment string
	Outputs     []Output // by name
	// Uncalled has a file for each service that no application calls: it is checked, and never
	// written to the disk.
	Uncalled         []Output
	MaxAmplification float64 // bound of the product of all tiers' retry budgets
}

// Generate generates each application's file with the overlay of an environment; the empty name
// stands for none. The same catalogue gives the same bytes, however its text is divided into files.
// The diagnostics are those of the catalogue; what an application's file must not say is found by
// decoding the generated file.
func (c *Catalogue) Generate(environment string) (*Plan, tomldoc.Diagnostics) {
	reader := &tomldoc.Collector{}
	root, ok := c.overlay(environment, reader)
	if !ok {
		return nil, reader.Diagnostics
	}
	m := readModel(reader, root)
	plan := &Plan{Environment: environment, MaxAmplification: m.retryFactor}
	usedServices := map[string]bool{}
	for _, a := range m.applications {
		if len(a.calls) == 0 {
			continue // already reported by readApplication
		}
		e := newEmitter(m, a)
		e.file(c.Digest, environment)
		plan.Outputs = append(plan.Outputs, Output{
			Application: a.name, Name: a.name + ".toml", Data: e.out, Origin: e.origin,
		})
		for name := range e.usedClasses {
			usedServices[name] = true
		}
	}
	for _, name := range m.serviceNames {
		if usedServices[name] {
			continue
		}
		s := m.services[name]
		reader.ReportAt(s.table, rules.Unused, "services."+name, "", "an application that calls it expected")
		plan.Uncalled = append(plan.Uncalled, m.uncalledOutput(s, c.Digest, environment))
	}
	return plan, reader.Diagnostics
}

// uncalledOutput returns a file in which a service that no application calls can be checked. Its
// application exists in this file alone.
func (m *model) uncalledOutput(s *service, digest, environment string) Output {
	c := &call{service: s, table: tomldoc.NewTable(s.table.Place)}
	for _, name := range s.classNames {
		c.classes = append(c.classes, &calledClass{name: name, class: s.classes[name]})
	}
	a := &application{name: "probe", table: tomldoc.NewTable(s.table.Place), instances: 1, calls: []*call{c}}
	e := newEmitter(m, a)
	e.isUncalled = true
	e.file(digest, environment)
	return Output{Name: s.name + ".probe", Data: e.out, Origin: e.origin}
}
