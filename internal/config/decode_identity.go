package config

import (
	"fernlanding/internal/route"
	"fernlanding/internal/rules"
	"fernlanding/internal/tomldoc"
	"fmt"
	"strconv"
)

const (
	maxNames  = 64 // bytes of a name
	maxServes = 64 // services that one application is a backend of
)

// identity reads which application the file is for, who runs it, and what wrote the file.
func (x *decoder) identity(s tomldoc.Scope) {
	app := x.app
	app.Name, app.Seed = s.Text("name", ""), uint64(s.Whole("seed", 0, 0, 1<<62))
	if x.version < 2 {
		return
	}
	if !s.Has("name") {
		s.Bad(rules.Missing, "name", "the application's name expected")
	} else {
		Named(s, "name", app.Name)
	}
	app.Team, app.Host = s.Text("team", ""), s.Text("host", "")
	for _, f := range []string{"team", "host"} {
		if s.Has(f) {
			Named(s, f, s.Text(f, ""))
		}
	}
	app.Serves = s.Texts("serves")
	if len(app.Serves) > maxServes {
		s.Bad(rules.TooMany, "serves", "%d services, %d expected at most", len(app.Serves), maxServes)
	}
	for _, name := range app.Serves {
		Named(s, "serves", name)
	}
	x.head(s)
}

// head reads what a generator has written about the file.
func (x *decoder) head(s tomldoc.Scope) {
	h := s.Sub("generated")
	x.app.Head = Head{GeneratedBy: h.Text("by", ""), Requires: h.Text("requires", ""), Sources: h.Text("sources", ""), Environment: h.Text("environment", "")}
	if want := x.app.Head.Requires; h.Has("requires") {
		if newer, err := Newer(want, Program); err != nil {
			h.Bad(rules.Version, "requires", "a version such as %q expected", Program)
		} else if newer {
			h.Bad(rules.Version, "requires", "this program is of version %s; the file asks for %s", Program, tomldoc.Clip(want))
		}
	}
	h.Done()
}

// IsName tells whether a name can be one: a token of RFC 9110 of 1 to 64 bytes.
func IsName(name string) bool { return len(name) <= maxNames && route.IsToken(name) }

// Named faults a name that is none; without a field, that of the table itself.
func Named(s tomldoc.Scope, field, name string) {
	if IsName(name) {
		return
	}
	at, path := s.V, s.Path
	if field != "" {
		path = s.Name(field)
		if v := s.V.Fields[field]; v != nil {
			at = v
		}
	}
	s.Fault(at, rules.Name, path, strconv.Quote(tomldoc.Clip(name)), fmt.Sprintf("a name of 1 to %d letters, digits and signs expected", maxNames))
}
