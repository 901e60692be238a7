// Package catalogue is the one description of a fleet from which each application's configuration is written: services
// with their owners, applications with what they call, environments with other figures. It is pure: files come in as
// bytes; package catalogue/dir reads and writes them.
package catalogue

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"strings"

	"fernlanding/internal/config"
	"fernlanding/internal/rules"
	"fernlanding/internal/tomldoc"
)

// Version is the version of the catalogue's format.
const Version = 1

// Bounds of a catalogue.
const (
	MaxFiles        = 4096
	MaxBytes        = 64 << 20 // of all files together
	MaxInclude      = 16       // includes below each other
	MaxApplications = 20_000
	MaxServices     = 10_000
	MaxEnvironments = 64
)

// File is one file of a catalogue. Its name is relative to the catalogue, with slashes.
type File struct {
	Name string
	Data []byte
}

// Catalogue is a catalogue as it stands in its files.
type Catalogue struct {
	Digest string // of all files, by name and content
	root   *tomldoc.Value
	env    *tomldoc.Value
}

// sections are the tables of a catalogue's file.
var sections = []string{"services", "applications", "environments"}

// Read joins the files of a catalogue. With faults the catalogue may be nil, or hold what could be read.
func Read(files []File) (*Catalogue, tomldoc.Diagnostics) {
	files = slices.Clone(files)
	slices.SortFunc(files, func(a, b File) int { return strings.Compare(a.Name, b.Name) })
	r := &tomldoc.Reader{}
	c := &Catalogue{Digest: Digest(files)}
	j := joiner{Reader: r, root: tomldoc.NewTable(tomldoc.Place{}), env: tomldoc.NewTable(tomldoc.Place{})}
	for _, s := range sections {
		j.root.Set(s, tomldoc.NewTable(tomldoc.Place{}))
	}
	broken := len(files) == 0
	for i, f := range files {
		if i == 0 {
			j.root.Place = tomldoc.Place{File: f.Name, Line: 1, Col: 1}
		}
		root, faults := tomldoc.Parse(f.Name, f.Data)
		r.Faults = append(r.Faults, faults...)
		if root == nil {
			broken = true
			continue
		}
		j.join(root)
	}
	if broken {
		if len(files) == 0 {
			r.Faults = append(r.Faults, tomldoc.Diagnostic{Rule: rules.Missing, Expect: "one file of a catalogue at least expected"})
		}
		return nil, r.Faults
	}
	for _, b := range []struct {
		section string
		most    int
	}{{"services", MaxServices}, {"applications", MaxApplications}, {"environments", MaxEnvironments}} {
		if n := len(j.root.Fields[b.section].Keys); n > b.most {
			r.Fault(j.root.Fields[b.section], rules.TooMany, b.section, "", fmt.Sprintf("%d, %d expected at most", n, b.most))
			return nil, r.Faults
		}
	}
	c.root, c.env = j.root, j.root.Fields["environments"]
	return c, r.Faults
}

// Digest is a digest of files by name and content, whatever their order.
func Digest(files []File) string {
	files = slices.Clone(files)
	slices.SortFunc(files, func(a, b File) int { return strings.Compare(a.Name, b.Name) })
	h := sha256.New()
	for _, f := range files {
		fmt.Fprintf(h, "%d %s %d\n", len(f.Name), f.Name, len(f.Data))
		h.Write(f.Data)
	}
	return "sha256:" + hex.EncodeToString(h.Sum(nil))
}

// Includes are the files that a file includes, as it writes them, with their places. Faults of other kinds are left to
// Read.
func Includes(f File) (names []string, at []tomldoc.Place) {
	root, _ := tomldoc.Parse(f.Name, f.Data)
	if root == nil || root.Fields["include"] == nil {
		return nil, nil
	}
	for _, item := range root.Fields["include"].Items {
		if item.Kind == tomldoc.String {
			names, at = append(names, item.Text), append(at, item.Place)
		}
	}
	return names, at
}

// Environments are the names of the environments, in order.
func (c *Catalogue) Environments() []string {
	names := slices.Clone(c.env.Keys)
	slices.Sort(names)
	return names
}

// joiner makes one tree of the files' trees.
type joiner struct {
	*tomldoc.Reader
	root *tomldoc.Value
	env  *tomldoc.Value
}

func (j *joiner) join(root *tomldoc.Value) {
	s := tomldoc.NewScope(j.Reader, root)
	if v := s.V.Fields["catalogue"]; v == nil {
		s.Bad(rules.Version, "catalogue", "catalogue = %d expected", Version)
	} else if v.Kind != tomldoc.Integer || v.Text != fmt.Sprint(Version) {
		s.Bad(rules.Version, "catalogue", "this program (%s) reads catalogues of version %d", config.Program, Version)
		return // what else it says may mean something else there
	}
	s.Take("catalogue")
	s.Texts("include")
	if v := s.Get("fleet", tomldoc.Table); v != nil {
		if old := j.root.Fields["fleet"]; old != nil {
			j.twice(rules.DoubleField, v, "fleet", old)
		} else {
			j.root.Set("fleet", v)
		}
	}
	for _, section := range sections {
		t := s.Sub(section)
		into := j.root.Fields[section]
		for _, name := range t.V.Keys {
			v := t.Get(name, tomldoc.Table)
			old := into.Fields[name]
			switch {
			case v == nil:
			case old == nil:
				into.Set(name, v)
			case section == "environments":
				j.merge(old, v, t.Name(name))
			case section == "services":
				j.twice(rules.OwnerTwice, v, t.Name(name), old)
			default:
				j.twice(rules.AppTwice, v, t.Name(name), old)
			}
		}
	}
	s.Done()
}

func (j *joiner) twice(rule rules.ID, v *tomldoc.Value, path string, old *tomldoc.Value) {
	owner := ""
	if t := old.Fields["team"]; rule == rules.OwnerTwice && t != nil {
		owner = fmt.Sprintf("; team %s owns it there", t.Say())
	}
	j.Faults = append(j.Faults, tomldoc.Diagnostic{Place: v.Place, Rule: rule, Field: path, Expect: "stands elsewhere too" + owner, See: old.Place})
}

// merge puts one table of an environment into another of the same path.
func (j *joiner) merge(into, v *tomldoc.Value, path string) {
	for _, k := range v.Keys {
		old, one := into.Fields[k], v.Fields[k]
		switch {
		case old == nil:
			into.Set(k, one)
		case old.Kind == tomldoc.Table && one.Kind == tomldoc.Table:
			j.merge(old, one, path+"."+k)
		default:
			j.twice(rules.DoubleField, one, path+"."+k, old)
		}
	}
}
