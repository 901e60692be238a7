package config

import (
	"fernlanding/internal/rules"
	"fernlanding/internal/tomldoc"
)

// Document is an application's file after reading: the configuration, the places of all values, and
// all violations.
type Document struct {
	File    string
	Data    []byte
	Version int  // version of the format; 0 means that the file states none
	App     *App // nil if a sidecar would reject the file
	// Diagnostics is all violations, including warnings and the violations that a sidecar tolerates
	// in an older version of the format.
	Diagnostics tomldoc.Diagnostics
	// Origin is the source place of each line of a generated file; nil for other files.
	Origin []tomldoc.Place
	root   *tomldoc.Value
}

// Read reads an application's file. file is the name of the file in diagnostics.
func Read(file string, data []byte) *Document {
	d := &Document{File: file, Data: data}
	d.root, d.Diagnostics = tomldoc.Parse(file, data)
	if d.root != nil {
		d.decode()
	}
	d.Diagnostics = d.Diagnostics.Sorted()
	if len(d.rejecting(d.Diagnostics)) > 0 {
		d.App = nil
	}
	return d
}

// rejecting returns the diagnostics for which a sidecar rejects the file.
func (d *Document) rejecting(diagnostics tomldoc.Diagnostics) tomldoc.Diagnostics {
	var rejecting tomldoc.Diagnostics
	for _, diagnostic := range diagnostics {
		if d.rejects(rules.Get(diagnostic.Rule)) {
			rejecting = append(rejecting, diagnostic)
		}
	}
	return rejecting
}

// rejects reports whether a sidecar rejects a file of the document's version if the file violates a
// rule.
func (d *Document) rejects(rule rules.Rule) bool {
	switch {
	case rule.Severity != rules.Error:
		return false
	case rule.Since <= d.Version:
		return true
	}
	// A file that states no version is checked as a file of the newest version, except for its line
	// endings.
	return d.Version == 0 && rule.ID != rules.FileCRLF
}

// Decode reads an application's file for a sidecar. The error is of type tomldoc.Diagnostics and
// has all violations for which a sidecar rejects the file.
func Decode(file string, data []byte) (*App, error) {
	d := Read(file, data)
	if err := d.rejecting(d.Diagnostics).Err(); err != nil {
		return nil, err
	}
	return d.App, nil
}

// Place returns the place of the value at a path of field names and of array indexes, which start
// at 1. The place is in the file, or in the sources of a generated file. isSet reports whether the
// value exists. If it does not, a default applies, and the place is the place of the last table on
// the path that exists.
func (d *Document) Place(path ...string) (at tomldoc.Place, isSet bool) {
	if d.root == nil {
		return tomldoc.Place{File: d.File}, false
	}
	v, isSet := d.root.Lookup(path...)
	return d.SourcePlace(v.Place), isSet
}

// SourcePlace returns the place in the sources of a generated file that a place of the file comes
// from. For other files, SourcePlace returns the place itself.
func (d *Document) SourcePlace(place tomldoc.Place) tomldoc.Place {
	if place.Line < 1 || place.Line > len(d.Origin) {
		return place
	}
	if origin := d.Origin[place.Line-1]; origin.Line > 0 {
		return origin
	}
	return place
}
