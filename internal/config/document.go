package config

import (
	"fernlanding/internal/rules"
	"fernlanding/internal/tomldoc"
)

// Document is an application's file that has been read: what it says, where it says it, and what is
// wrong with it.
type Document struct {
	File    string
	Data    []byte
	Version int  // of the format; 0: the file does not say
	App     *App // nil where a sidecar would reject the file
	// Diagnostics is all violations, warnings included, and those that a sidecar tolerates in an
	// older format.
	Diagnostics tomldoc.Diagnostics
	// Origin is, for each line of a generated file, the place that it comes from; nil for others.
	Origin []tomldoc.Place
	root   *tomldoc.Value
}

// Read reads an application's file. file is the name that diagnostics have.
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

// rejecting returns those of some diagnostics for which a sidecar rejects the file.
func (d *Document) rejecting(diagnostics tomldoc.Diagnostics) tomldoc.Diagnostics {
	var rejecting tomldoc.Diagnostics
	for _, diagnostic := range diagnostics {
		if d.rejects(rules.Get(diagnostic.Rule)) {
			rejecting = append(rejecting, diagnostic)
		}
	}
	return rejecting
}

// rejects reports whether a sidecar rejects a file of the document's version for a violation of a
// rule.
func (d *Document) rejects(rule rules.Rule) bool {
	switch {
	case rule.Severity != rules.Error:
		return false
	case rule.Since <= d.Version:
		return true
	}
	// A file that does not say its version is checked like one of the newest, except for its line
	// ends.
	return d.Version == 0 && rule.ID != rules.FileCRLF
}

// Decode reads an application's file as a sidecar does. The error is tomldoc.Diagnostics with all
// violations for which it rejects the file.
func Decode(file string, data []byte) (*App, error) {
	d := Read(file, data)
	if err := d.rejecting(d.Diagnostics).Err(); err != nil {
		return nil, err
	}
	return d.App, nil
}

// Place returns the place of the value at a path of names, and of indexes from 1 into arrays: in
// the file, or in the sources that it was generated from. isSet reports whether there is such a
// value; otherwise the place is that of the table that lacks it, and a default holds.
func (d *Document) Place(path ...string) (at tomldoc.Place, isSet bool) {
	if d.root == nil {
		return tomldoc.Place{File: d.File}, false
	}
	v, isSet := d.root.Lookup(path...)
	return d.SourcePlace(v.Place), isSet
}

// SourcePlace returns where a place of the file comes from: the place itself, unless the file was
// generated.
func (d *Document) SourcePlace(place tomldoc.Place) tomldoc.Place {
	if place.Line < 1 || place.Line > len(d.Origin) {
		return place
	}
	if origin := d.Origin[place.Line-1]; origin.Line > 0 {
		return origin
	}
	return place
}
