package catalogue

import (
	"fmt"
	"slices"

	"fernlanding/internal/config"
	"fernlanding/internal/tomldoc"
)

// Oldest versions of the program that can read a generated file.
const (
	minProgramVersion      = "0.3"
	minProgramVersionRelay = "0.4" // for a file with endpoint lists from relays
)

// generatorName is the name of the program in the header of a generated file.
const generatorName = "fernctl"

// emitter generates an application's file line by line. It records the place in the catalogue from
// which each line is generated.
type emitter struct {
	*model
	app         *application
	usedClasses map[string]map[string]bool // keyed by service, then by class
	isUncalled  bool                       // whether the file is one of Plan.Uncalled
	out         []byte
	origin      []tomldoc.Place // place of each line of out
}

// newEmitter returns an emitter for an application's file, with the services and classes that the
// file needs.
func newEmitter(m *model, app *application) *emitter {
	e := &emitter{model: m, app: app, usedClasses: map[string]map[string]bool{}}
	for _, c := range app.calls {
		e.markCallUsed(c)
	}
	return e
}

// markCallUsed records the services and classes that a call can reach: those of the call itself, of
// its split arms and of its mirrors.
func (e *emitter) markCallUsed(c *call) {
	arms := splitArms(c)
	for _, called := range c.classes {
		e.markClassUsed(c.service.name, called.name)
		for _, arm := range arms {
			if e.services[arm.service] != nil {
				e.markClassUsed(arm.service, called.name)
			}
		}
		e.markMirrorUsed(called)
	}
}

// markMirrorUsed records the class to which the requests of a called class are mirrored, if any.
func (e *emitter) markMirrorUsed(called *calledClass) {
	mirror := called.field("mirror")
	if mirror == nil || mirror.Kind != tomldoc.Table {
		return
	}
	scope := tomldoc.Scope{Collector: e.reader, Value: mirror, Path: "mirror"}
	s := e.services[scope.Text("service", "")]
	if s == nil {
		return
	}
	class := scope.Text("class", "")
	if class == "" && len(s.classNames) == 1 {
		class = s.classNames[0]
	}
	e.markClassUsed(s.name, class)
}

// markClassUsed records a class that the file needs.
func (e *emitter) markClassUsed(service, class string) {
	if e.usedClasses[service] == nil {
		e.usedClasses[service] = map[string]bool{}
	}
	e.usedClasses[service][class] = true
}

// writeLine writes a line that is generated from a place in the catalogue.
func (e *emitter) writeLine(from tomldoc.Place, format string, args ...any) {
	e.out = fmt.Appendf(e.out, format, args...)
	e.out = append(e.out, '\n')
	e.origin = append(e.origin, from)
}

// writeField writes a field with its value from the catalogue.
func (e *emitter) writeField(name string, value *tomldoc.Value) {
	e.writeLine(value.Place, "%s = %s", keyText(name), valueText(value))
}

// writeFields writes the fields of a table that are in names, in the order of names.
func (e *emitter) writeFields(table *tomldoc.Value, names ...string) {
	for _, name := range names {
		if value := table.Fields[name]; value != nil {
			e.writeField(name, value)
		}
	}
}

// writeTable writes a table of scalars, sorted by field name.
func (e *emitter) writeTable(name string, table *tomldoc.Value) {
	e.writeLine(table.Place, "")
	e.writeLine(table.Place, "[%s]", name)
	e.writeFields(table, slices.Sorted(slices.Values(table.Keys))...)
}

// writeFile writes the complete file.
func (e *emitter) writeFile(digest, environment string) {
	e.writeHeader(digest, environment)
	if process := e.app.table.Fields["process"]; process != nil {
		e.writeTable("process", process)
	}
	e.writeDistribution()
	e.writeListeners()
	for _, name := range sortedKeys(e.usedClasses) {
		e.writeService(e.services[name])
	}
	e.writeRoutes()
}

// writeHeader writes the application's identity and the provenance of the file.
func (e *emitter) writeHeader(digest, environment string) {
	a := e.app
	at := a.table.Place
	e.writeLine(at, "# Written by fernctl for application %s. Change the catalogue, not this file.", a.name)
	e.writeLine(at, "version = %d", config.FormatVersion)
	e.writeLine(at, "name = %s", quote(a.name))
	e.writeFields(a.table, "team", "host", "serves")
	e.writeLine(at, "")
	e.writeLine(at, "[generated]")
	e.writeLine(at, "by = %s", quote(generatorName+" "+config.ProgramVersion))
	e.writeLine(at, "requires = %s", quote(e.requiredProgram()))
	e.writeLine(at, "sources = %s", quote(digest))
	if environment != "" {
		e.writeLine(at, "environment = %s", quote(environment))
	}
}

// requiredProgram returns the oldest version of the program that can read the file.
func (e *emitter) requiredProgram() string {
	if e.usesRelay() || e.app.table.Fields["distribution"] != nil {
		return minProgramVersionRelay
	}
	return minProgramVersion
}

// usesRelay reports whether the endpoint list of any service in the file comes from relays.
func (e *emitter) usesRelay() bool {
	for name := range e.usedClasses {
		membership := e.services[name].table.Fields["membership"]
		if membership != nil && membership.Text == "relay" {
			return true
		}
	}
	return false
}

// writeDistribution writes the relays that provide endpoint lists. The file of an uncalled service
// has no relays of its own; it gets a placeholder address, to which nothing connects.
func (e *emitter) writeDistribution() {
	if distribution := e.app.table.Fields["distribution"]; distribution != nil {
		e.writeTable("distribution", distribution)
		return
	}
	if e.isUncalled && e.usesRelay() {
		at := e.app.table.Place
		e.writeLine(at, "")
		e.writeLine(at, "[distribution]")
		e.writeLine(at, `relays = ["127.0.0.1:1"]`)
	}
}

// writeListeners writes the application's listeners.
func (e *emitter) writeListeners() {
	if e.isUncalled {
		at := e.app.table.Place
		e.writeLine(at, "")
		e.writeLine(at, "[[listeners]]")
		e.writeLine(at, `address = "127.0.0.1:0"`)
		return
	}
	listeners := e.app.table.Fields["listeners"]
	if listeners == nil || listeners.Kind != tomldoc.Array {
		return // decoding the generated file reports it
	}
	for _, listener := range listeners.Items {
		e.writeLine(listener.Place, "")
		e.writeLine(listener.Place, "[[listeners]]")
		if listener.Kind == tomldoc.Table {
			e.writeFields(listener, listener.Keys...)
		}
	}
}
