package config

import (
	"fmt"
	"strconv"

	"fernlanding/internal/route"
	"fernlanding/internal/rules"
	"fernlanding/internal/tomldoc"
)

const (
	maxNameBytes = 64
	maxServes    = 64 // number of services of which one application is a backend
)

// identity decodes the application, its team and host, and the provenance of the file.
func (dec *decoder) identity(root tomldoc.Scope) {
	app := dec.app
	app.Name = root.Text("name", "")
	app.Seed = uint64(root.Int("seed", 0, 0, 1<<62))
	if dec.version < 2 {
		return
	}
	if root.Has("name") {
		CheckName(root, "name", app.Name)
	} else {
		root.ReportField(rules.Missing, "name", "must be the name of the application")
	}
	app.Team = optionalName(root, "team")
	app.Host = optionalName(root, "host")
	app.Serves = root.Strings("serves")
	if len(app.Serves) > maxServes {
		root.ReportField(rules.TooMany, "serves",
			"list of %d services exceeds the limit of %d", len(app.Serves), maxServes)
	}
	for _, name := range app.Serves {
		CheckName(root, "serves", name)
	}
	dec.provenance(root)
}

// provenance decodes the table that a generator has written about the file.
func (dec *decoder) provenance(root tomldoc.Scope) {
	scope := root.Table("generated")
	dec.app.Provenance = Provenance{
		GeneratedBy: scope.Text("by", ""), Requires: scope.Text("requires", ""),
		Sources: scope.Text("sources", ""), Environment: scope.Text("environment", ""),
	}
	if scope.Has("requires") {
		dec.checkRequires(scope)
	}
	scope.ReportUnknown()
}

// checkRequires reports a file that requires a newer program.
func (dec *decoder) checkRequires(scope tomldoc.Scope) {
	want := dec.app.Provenance.Requires
	isNewer, err := IsNewer(want, ProgramVersion)
	if err != nil {
		scope.ReportField(rules.Version, "requires", "must be a version such as %q", ProgramVersion)
	} else if isNewer {
		scope.ReportField(rules.Version, "requires", "must be at most the program version %s", ProgramVersion)
	}
}

// IsName reports whether name is valid: a token (RFC 9110) of 1 to 64 bytes.
func IsName(name string) bool { return len(name) <= maxNameBytes && route.IsToken(name) }

// CheckName reports an invalid name in a field. An empty field means the name of the table itself.
func CheckName(scope tomldoc.Scope, field, name string) {
	if IsName(name) {
		return
	}
	at, path := scope.Value, scope.Path
	if field != "" {
		path = scope.FieldPath(field)
		if v := scope.Value.Fields[field]; v != nil {
			at = v
		}
	}
	scope.ReportAt(at, rules.Name, path, strconv.Quote(tomldoc.Truncate(name)),
		fmt.Sprintf("must be a name of 1 to %d letters, digits and signs", maxNameBytes))
}

// optionalName decodes an optional name.
func optionalName(scope tomldoc.Scope, field string) string {
	name := scope.Text(field, "")
	if scope.Has(field) {
		CheckName(scope, field, name)
	}
	return name
}
