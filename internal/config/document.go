package config

import (
	"fernlanding/internal/rules"
	"fernlanding/internal/tomldoc"
	"strconv"
	"strings"
)

// Diagnostic and Faults are what is wrong with a file.
type (
	Diagnostic  = tomldoc.Diagnostic
	Diagnostics = tomldoc.Diagnostics
)

// Document is an application's file that has been read: what it says, where it says it, and what is wrong with it.
type Document struct {
	File    string
	Data    []byte
	Version int
	App     *App // nil where the sidecar would refuse the file
	// Diagnostics is all that the rules object to, warnings included, and what a sidecar tolerates in an older format too.
	Diagnostics Diagnostics
	// Origin is, for each line of a generated file, where it comes from; nil for others.
	Origin []tomldoc.Place
	root   *tomldoc.Value
}

// Read reads an application's file. file is the name that faults give.
func Read(file string, data []byte) *Document {
	d := &Document{File: file, Data: data}
	d.root, d.Diagnostics = tomldoc.Parse(file, data)
	if d.root != nil {
		d.read()
	}
	d.Diagnostics = d.Diagnostics.Sorted()
	if len(d.refused()) > 0 {
		d.App = nil
	}
	return d
}

// refused are the faults for which a sidecar refuses the file.
func (d *Document) refused() (out Diagnostics) {
	for _, f := range d.Diagnostics {
		if r := rules.Get(f.Rule); r.Severity == rules.Error && (r.Since <= d.Version || d.Version == 0 && f.Rule != rules.FileCRLF) {
			out = append(out, f)
		}
	}
	return out
}

// Decode reads an application's file as a sidecar does. The error is a Faults with all for which it refuses it.
func Decode(file string, data []byte) (*App, error) {
	d := Read(file, data)
	if err := d.refused().Err(); err != nil {
		return nil, err
	}
	return d.App, nil
}

// Place is where a value stands that a path of names, and of numbers from 1 into arrays, leads to: in the file, or in the
// sources that it was generated from. said tells whether the value stands there; otherwise the place is that of the table
// which lacks it, and a default holds.
func (d *Document) Place(path ...string) (at tomldoc.Place, said bool) {
	if d.root == nil {
		return tomldoc.Place{File: d.File}, false
	}
	v, said := d.root.At(path...)
	return d.From(v.Place), said
}

// From is where a place of the file comes from: the place itself, unless the file was generated.
func (d *Document) From(p tomldoc.Place) tomldoc.Place {
	if p.Line >= 1 && p.Line <= len(d.Origin) && d.Origin[p.Line-1].Line > 0 {
		return d.Origin[p.Line-1]
	}
	return p
}

// Values lists the values of the file by the paths of their fields, in the order of the file. Tables in arrays that have
// a name go by it.
func (d *Document) Values() (paths []string, values map[string]string) {
	values = map[string]string{}
	var walk func(path string, v *tomldoc.Value)
	walk = func(path string, v *tomldoc.Value) {
		switch v.Kind {
		case tomldoc.Table:
			for _, k := range v.Keys {
				walk(join(path, k), v.Fields[k])
			}
		case tomldoc.Array:
			for i, item := range v.Items {
				name := strconv.Itoa(i + 1)
				if item.Kind == tomldoc.Table {
					if n := item.Fields["name"]; n != nil && n.Kind == tomldoc.String {
						name = n.Text
					} else if n := item.Fields["service"]; n != nil && n.Kind == tomldoc.String {
						name = n.Text
					}
				}
				at := path + "[" + name + "]"
				if _, twice := values[at]; twice {
					at = path + "[" + strconv.Itoa(i+1) + "]"
				}
				walk(at, item)
			}
		default:
			paths = append(paths, path)
			values[path] = v.Say()
		}
	}
	if d.root != nil {
		walk("", d.root)
	}
	return paths, values
}

func join(path, field string) string {
	if strings.ContainsAny(field, ". []\n\"") {
		field = strconv.Quote(field)
	}
	if path == "" {
		return field
	}
	return path + "." + field
}
