package catalogue

import (
	"fmt"
	"slices"

	"fernlanding/internal/config"
	"fernlanding/internal/tomldoc"
)

// The oldest versions of the program that read a generated file.
const (
	minProgram      = "0.3"
	minProgramRelay = "0.4" // of a file whose endpoint lists come from relays
)

// generatorName is the name of the program in the head of a generated file.
const generatorName = "fernctl"

// emitter writes one application's file line by line, with the place in the catalogue that each
// line comes from.
type emitter struct {
	*model
	app         *application
	usedClasses map[string]map[string]bool // by service and class
	isUncalled  bool                       // the file is one of Plan.Uncalled
	out         []byte
	origin      []tomldoc.Place
}

// newEmitter returns an emitter of an application's file. It collects the services and classes that
// the file needs.
func newEmitter(m *model, app *application) *emitter {
	e := &emitter{model: m, app: app, usedClasses: map[string]map[string]bool{}}
	for _, c := range app.calls {
		e.useCall(c)
	}
	return e
}

// useCall notes the services and classes that a call leads to: its own, its split arms and its
// mirrors.
func (e *emitter) useCall(c *call) {
	arms := splitArms(c)
	for _, called := range c.classes {
		e.useClass(c.service.name, called.name)
		for _, arm := range arms {
			if e.services[arm.service] != nil {
				e.useClass(arm.service, called.name)
			}
		}
		e.useMirror(called)
	}
}

// useMirror notes the class that a call is mirrored to, if there is one.
func (e *emitter) useMirror(called *calledClass) {
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
	e.useClass(s.name, class)
}

// useClass notes a class that the file needs.
func (e *emitter) useClass(service, class string) {
	if e.usedClasses[service] == nil {
		e.usedClasses[service] = map[string]bool{}
	}
	e.usedClasses[service][class] = true
}

// line writes a line that comes from a place in the catalogue.
func (e *emitter) line(from tomldoc.Place, format string, args ...any) {
	e.out = fmt.Appendf(e.out, format, args...)
	e.out = append(e.out, '\n')
	e.origin = append(e.origin, from)
}

// field writes a value as the catalogue has it.
func (e *emitter) field(name string, value *tomldoc.Value) {
	e.line(value.Place, "%s = %s", keyText(name), valueText(value))
}

// fields writes those of the named fields that a table has.
func (e *emitter) fields(table *tomldoc.Value, names ...string) {
	for _, name := range names {
		if value := table.Fields[name]; value != nil {
			e.field(name, value)
		}
	}
}

// table writes a table of scalars, in the order of the fields' names.
func (e *emitter) table(name string, table *tomldoc.Value) {
	e.line(table.Place, "")
	e.line(table.Place, "[%s]", name)
	e.fields(table, slices.Sorted(slices.Values(table.Keys))...)
}

// file writes the complete file.
func (e *emitter) file(digest, environment string) {
	e.head(digest, environment)
	if process := e.app.table.Fields["process"]; process != nil {
		e.table("process", process)
	}
	e.distribution()
	e.listeners()
	for _, name := range sortedKeys(e.usedClasses) {
		e.service(e.services[name])
	}
	e.routes()
}

// head writes the application's identity and what the file was generated from.
func (e *emitter) head(digest, environment string) {
	a := e.app
	at := a.table.Place
	e.line(at, "# Written by fernctl for application %s. Change the catalogue, not this file.", a.name)
	e.line(at, "version = %d", config.FormatVersion)
	e.line(at, "name = %s", quote(a.name))
	e.fields(a.table, "team", "host", "serves")
	e.line(at, "")
	e.line(at, "[generated]")
	e.line(at, "by = %s", quote(generatorName+" "+config.ProgramVersion))
	e.line(at, "requires = %s", quote(e.requiredProgram()))
	e.line(at, "sources = %s", quote(digest))
	if environment != "" {
		e.line(at, "environment = %s", quote(environment))
	}
}

// requiredProgram returns the oldest version of the program that reads the file.
func (e *emitter) requiredProgram() string {
	if e.usesRelay() || e.app.table.Fields["distribution"] != nil {
		return minProgramRelay
	}
	return minProgram
}

// usesRelay reports whether the endpoint list of a service in the file comes from relays.
func (e *emitter) usesRelay() bool {
	for name := range e.usedClasses {
		membership := e.services[name].table.Fields["membership"]
		if membership != nil && membership.Text == "relay" {
			return true
		}
	}
	return false
}

// distribution writes the relays that endpoint lists come from. The file of an uncalled service has
// none of its own, and connects to none.
func (e *emitter) distribution() {
	if distribution := e.app.table.Fields["distribution"]; distribution != nil {
		e.table("distribution", distribution)
		return
	}
	if e.isUncalled && e.usesRelay() {
		at := e.app.table.Place
		e.line(at, "")
		e.line(at, "[distribution]")
		e.line(at, `relays = ["127.0.0.1:1"]`)
	}
}

// listeners writes the application's listeners.
func (e *emitter) listeners() {
	if e.isUncalled {
		at := e.app.table.Place
		e.line(at, "")
		e.line(at, "[[listeners]]")
		e.line(at, `address = "127.0.0.1:0"`)
		return
	}
	listeners := e.app.table.Fields["listeners"]
	if listeners == nil || listeners.Kind != tomldoc.Array {
		return // reported where the generated file is decoded
	}
	for _, listener := range listeners.Items {
		e.line(listener.Place, "")
		e.line(listener.Place, "[[listeners]]")
		if listener.Kind == tomldoc.Table {
			e.fields(listener, listener.Keys...)
		}
	}
}
