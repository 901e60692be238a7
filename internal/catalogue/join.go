package catalogue

import (
	"fmt"
	"strconv"

	"fernlanding/internal/config"
	"fernlanding/internal/rules"
	"fernlanding/internal/tomldoc"
)

// joiner merges the trees of a catalogue's files into one tree.
type joiner struct {
	*tomldoc.Collector
	root *tomldoc.Value
}

// newJoiner returns a joiner with an empty tree at a place.
func newJoiner(reader *tomldoc.Collector, at tomldoc.Place) *joiner {
	j := &joiner{Collector: reader, root: tomldoc.NewTable(at)}
	for _, section := range sectionNames {
		j.root.Set(section, tomldoc.NewTable(tomldoc.Place{}))
	}
	return j
}

// join adds the tree of a file to the joined tree.
func (j *joiner) join(root *tomldoc.Value) {
	scope := tomldoc.NewScope(j.Collector, root)
	version := scope.Value.Fields["catalogue"]
	if version == nil {
		scope.ReportField(rules.Version, "catalogue", "missing field %q: must be catalogue = %d",
			"catalogue", FormatVersion)
	} else if version.Kind != tomldoc.Integer || version.Text != strconv.Itoa(FormatVersion) {
		scope.ReportField(rules.Version, "catalogue",
			"must be %d, the version that this program (%s) supports", FormatVersion, config.ProgramVersion)
		return // the other fields may have another meaning in that version
	}
	scope.MarkKnown("catalogue")
	scope.Strings("include")
	if fleet := scope.Get("fleet", tomldoc.Table); fleet != nil {
		if old := j.root.Fields["fleet"]; old != nil {
			j.reportDuplicate(rules.DoubleField, fleet, "fleet", old)
		} else {
			j.root.Set("fleet", fleet)
		}
	}
	for _, section := range sectionNames {
		j.joinSection(scope.Table(section), section)
	}
	scope.ReportUnknown()
}

// joinSection adds the tables of a section of a file. Only an environment may be declared in
// several files.
func (j *joiner) joinSection(scope tomldoc.Scope, section string) {
	into := j.root.Fields[section]
	for _, name := range scope.Value.Keys {
		table := scope.Get(name, tomldoc.Table)
		old := into.Fields[name]
		switch {
		case table == nil:
		case old == nil:
			into.Set(name, table)
		case section == "environments":
			j.merge(old, table, scope.FieldPath(name))
		case section == "services":
			j.reportDuplicate(rules.OwnerTwice, table, scope.FieldPath(name), old)
		default:
			j.reportDuplicate(rules.AppTwice, table, scope.FieldPath(name), old)
		}
	}
}

// reportDuplicate reports a value at a path that another file has already set to the value old.
func (j *joiner) reportDuplicate(rule rules.ID, value *tomldoc.Value, path string, old *tomldoc.Value) {
	owner := ""
	if team := old.Fields["team"]; rule == rules.OwnerTwice && team != nil {
		owner = fmt.Sprintf("; the other definition is owned by team %s", team.Describe())
	}
	j.Diagnostics = append(j.Diagnostics, tomldoc.Diagnostic{
		Place: value.Place, Rule: rule, Field: path, Expect: "duplicate definition" + owner, See: old.Place,
	})
}

// merge adds the fields of an environment's table to the fields of other files at the same path.
func (j *joiner) merge(into, from *tomldoc.Value, path string) {
	for _, key := range from.Keys {
		old, value := into.Fields[key], from.Fields[key]
		switch {
		case old == nil:
			into.Set(key, value)
		case old.Kind == tomldoc.Table && value.Kind == tomldoc.Table:
			j.merge(old, value, path+"."+key)
		default:
			j.reportDuplicate(rules.DoubleField, value, path+"."+key, old)
		}
	}
}
