package config

import (
	"strconv"
	"strings"

	"fernlanding/internal/rules"
	"fernlanding/internal/tomldoc"
)

// version2Fields are the fields that version 1 of the format lacks.
var version2Fields = []string{
	"team", "host", "serves", "generated", "owner", "answers", "cold_multiple", "share",
	"path", "registered_as", "token_file", "key", "resend", "early_data", "hedge", "formerly",
	"for", "state_dir", "list_age", "distribution", "as",
}

// decoder decodes one file. Each table of the format has its own method, in a Go file named after
// the table.
type decoder struct {
	*tomldoc.Collector
	app     *App
	version int // version of the format; the newest if the file states none
}

// decode decodes the tree of the document.
func (d *Document) decode() {
	reader := &tomldoc.Collector{}
	root := tomldoc.NewScope(reader, d.root)
	defer func() { d.Diagnostics = append(d.Diagnostics, reader.Diagnostics...) }()
	if isNewer := d.decodeVersion(root); isNewer {
		return // other fields may have another meaning in a newer version
	}
	root.MarkKnown("version")
	if d.Version == 1 {
		reader.LaterFields = map[string]int{}
		for _, field := range version2Fields {
			reader.LaterFields[field] = 2
		}
		root.ReportField(rules.OldVersion, "version", "the newest version is %d", FormatVersion)
	}
	dec := decoder{Collector: reader, app: &App{Version: max(1, d.Version)}, version: d.Version}
	if d.Version == 0 {
		dec.version = FormatVersion
	}
	dec.decode(root)
	d.App = dec.app
	if len(d.rejecting(reader.Diagnostics)) == 0 {
		dec.check(root)
	}
}

// decodeVersion sets the version of the format, which stays 0 if the file states none.
// decodeVersion reports whether the version is newer than this program can read.
func (d *Document) decodeVersion(root tomldoc.Scope) (isNewer bool) {
	v := d.root.Fields["version"]
	if v == nil {
		root.ReportField(rules.Version, "version", "missing field %q: must be version = %d", "version", FormatVersion)
		return false
	}
	if v.Kind != tomldoc.Integer {
		root.Int("version", 0, 1, FormatVersion) // reports the wrong type
		return false
	}
	n, err := parseInteger(v)
	if err != nil || n < 1 {
		root.ReportField(rules.Version, "version", "must be from 1 to %d", FormatVersion)
	} else if n > FormatVersion {
		root.ReportField(rules.Version, "version",
			"program version %s supports format versions 1 to %d", ProgramVersion, FormatVersion)
		return true
	}
	d.Version = int(n)
	return false
}

// parseInteger returns the number of an integer in the range of 32 bits.
func parseInteger(v *tomldoc.Value) (int64, error) {
	return strconv.ParseInt(strings.ReplaceAll(v.Text, "_", ""), 0, 32)
}

// decode decodes all tables, in the order of their dependencies.
func (dec *decoder) decode(root tomldoc.Scope) {
	dec.identity(root)
	dec.process(root)
	dec.distribution(root)
	dec.listeners(root)
	dec.services(root)
	dec.routes(root)
	root.ReportUnknown()
}
