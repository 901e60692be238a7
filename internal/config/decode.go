package config

import (
	"fernlanding/internal/rules"
	"fernlanding/internal/tomldoc"
	"strconv"
	"strings"
)

// later are the fields that version 1 lacks.
var later = map[string]int{
	"team": 2, "host": 2, "serves": 2, "generated": 2, "owner": 2, "answers": 2, "cold_multiple": 2, "share": 2,
	"path": 2, "registered_as": 2, "token_file": 2, "key": 2, "resend": 2, "early_data": 2, "hedge": 2, "formerly": 2, "for": 2, "state_dir": 2, "list_age": 2, "distribution": 2, "as": 2,
}

// decoder reads one file. Each table of the format has a method of its own, in a file named after the table.
type decoder struct {
	*tomldoc.Reader
	app     *App
	version int
}

// read reads the tree.
func (d *Document) read() {
	r := &tomldoc.Reader{}
	s := tomldoc.NewScope(r, d.root)
	defer func() { d.Diagnostics = append(d.Diagnostics, r.Faults...) }()
	if newer := d.readVersion(s); newer {
		return // what else it says may mean something else there
	}
	s.Take("version")
	if d.Version == 1 {
		r.Later = later
		s.Bad(rules.OldVersion, "version", "version %d is the newest", Version)
	}
	x := decoder{r, &App{Version: max(1, d.Version)}, max(1, d.Version)}
	if d.Version == 0 {
		x.version = Version
	}
	x.read(s)
	d.App = x.app
	if len(d.refusedOf(r.Faults)) == 0 {
		x.check(s)
	}
}

// readVersion sets the version of the format; 0 where the file does not tell it. newer tells that this program can't read it.
func (d *Document) readVersion(s tomldoc.Scope) (newer bool) {
	v := d.root.Fields["version"]
	if v == nil {
		s.Bad(rules.Version, "version", "version = %d expected", Version)
		return false
	}
	if v.Kind != tomldoc.Integer {
		s.Whole("version", 0, 1, Version)
		return false
	}
	n, err := parseInteger(v)
	if err != nil || n < 1 {
		s.Bad(rules.Version, "version", "1 to %d expected", Version)
	} else if n > Version {
		s.Bad(rules.Version, "version", "this program (%s) reads versions 1 to %d; the file is of version %d", Program, Version, n)
		return true
	}
	d.Version = int(n)
	return false
}

// parseInteger is the number that an integer's text stands for, where it has 32 bits.
func parseInteger(v *tomldoc.Value) (int64, error) {
	return strconv.ParseInt(strings.ReplaceAll(v.Text, "_", ""), 0, 32)
}

func (d *Document) refusedOf(f Diagnostics) Diagnostics {
	return (&Document{Version: d.Version, Diagnostics: f}).refused()
}

func (x *decoder) read(s tomldoc.Scope) {
	x.identity(s)
	x.process(s)
	x.distribution(s)
	x.listeners(s)
	x.services(s)
	x.routes(s)
	s.Done()
}
