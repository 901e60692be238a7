package catalogue

import (
	"fernlanding/internal/rules"
	"fernlanding/internal/tomldoc"
)

// Output is a generated application file.
type Output struct {
	Application string // application name; empty in Plan.Uncalled
	Name        string // file name
	Data        []byte
	Origin      []tomldoc.Place // place in the catalogue from which each line is generated
}

// Plan is the set of files that a catalogue generates for one environment.
type Plan struct {
	Environment string
	Outputs     []Output // sorted by name
	// Uncalled has a file for each service that no application calls. The file is only checked; it
	// is never written to the disk.
	Uncalled         []Output
	MaxAmplification float64 // limit of retry amplification over all tiers
}

// Generate generates the file of each application with the overlay of an environment. The empty
// name means no environment. The output is deterministic, and does not depend on how the text of
// the catalogue is divided into files. The diagnostics are those of the catalogue. Violations in an
// application's file are found by decoding the generated file.
func (c *Catalogue) Generate(environment string) (*Plan, tomldoc.Diagnostics) {
	reader := &tomldoc.Collector{}
	root, ok := c.overlay(environment, reader)
	if !ok {
		return nil, reader.Diagnostics
	}
	m := readModel(reader, root)
	plan := &Plan{Environment: environment, MaxAmplification: m.maxAmplification}
	usedServices := map[string]bool{}
	for _, a := range m.applications {
		if len(a.calls) == 0 {
			continue // reported by readApplication
		}
		e := newEmitter(m, a)
		e.writeFile(c.Digest, environment)
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
		reader.ReportAt(s.table, rules.Unused, "services."+name, "", "no application calls the service")
		plan.Uncalled = append(plan.Uncalled, m.uncalledOutput(s, c.Digest, environment))
	}
	return plan, reader.Diagnostics
}

// uncalledOutput returns a file for checking a service that no application calls. The application
// of the file is a placeholder that is not in the catalogue.
func (m *model) uncalledOutput(s *service, digest, environment string) Output {
	c := &call{service: s, table: tomldoc.NewTable(s.table.Place)}
	for _, name := range s.classNames {
		c.classes = append(c.classes, &calledClass{name: name, class: s.classes[name]})
	}
	a := &application{name: "probe", table: tomldoc.NewTable(s.table.Place), instances: 1, calls: []*call{c}}
	e := newEmitter(m, a)
	e.isUncalled = true
	e.writeFile(digest, environment)
	return Output{Name: s.name + ".probe", Data: e.out, Origin: e.origin}
}
