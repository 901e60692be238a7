// Package catalogue reads the one description of a fleet and generates each application's
// configuration file from it: services with their owners, applications with what they call,
// environments with other values. It is pure: files come in as bytes; package catalogue/dir reads
// and writes them.
//
// Read joins the files into one tree; Catalogue.Generate merges an environment into it, decodes it
// to a model and writes the files of a Plan.
package catalogue

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"strings"

	"fernlanding/internal/rules"
	"fernlanding/internal/tomldoc"
)

// FormatVersion is the version of the catalogue's format.
const FormatVersion = 1

// Bounds of a catalogue.
const (
	MaxFiles        = 4096
	MaxBytes        = 64 << 20 // of all files together
	MaxIncludeDepth = 16       // depth of nested includes
	MaxApplications = 20_000
	MaxServices     = 10_000
	MaxEnvironments = 64
)

// File is one file of a catalogue.
type File struct {
	Name string // relative to the catalogue, with slashes
	Data []byte
}

// Catalogue is a catalogue whose files have been joined. It does not change.
type Catalogue struct {
	Digest       string // of all files, by name and content
	root         *tomldoc.Value
	environments *tomldoc.Value
}

// sections are the tables of a catalogue's file.
var sections = []string{"services", "applications", "environments"}

// Read joins the files of a catalogue. With diagnostics the catalogue may be nil, or hold what
// could be read.
func Read(files []File) (*Catalogue, tomldoc.Diagnostics) {
	files = sortedByName(files)
	reader := &tomldoc.Collector{}
	if len(files) == 0 {
		expect := "one file of a catalogue at least expected"
		return nil, tomldoc.Diagnostics{{Rule: rules.Missing, Expect: expect}}
	}
	j := newJoiner(reader, tomldoc.Place{File: files[0].Name, Line: 1, Col: 1})
	isParsed := true
	for _, file := range files {
		root, faults := tomldoc.Parse(file.Name, file.Data)
		reader.Diagnostics = append(reader.Diagnostics, faults...)
		if root == nil {
			isParsed = false
			continue
		}
		j.join(root)
	}
	if !isParsed || !j.withinBounds() {
		return nil, reader.Diagnostics
	}
	c := &Catalogue{Digest: Digest(files), root: j.root, environments: j.root.Fields["environments"]}
	return c, reader.Diagnostics
}

// withinBounds reports whether no section has more entries than its bound; it adds a diagnostic of
// the first that has.
func (j *joiner) withinBounds() bool {
	for _, bound := range []struct {
		section string
		limit   int
	}{
		{"services", MaxServices},
		{"applications", MaxApplications},
		{"environments", MaxEnvironments},
	} {
		table := j.root.Fields[bound.section]
		if count := len(table.Keys); count > bound.limit {
			expect := fmt.Sprintf("%d, %d expected at most", count, bound.limit)
			j.ReportAt(table, rules.TooMany, bound.section, "", expect)
			return false
		}
	}
	return true
}

// Digest returns a digest of files by name and content, whatever their order.
func Digest(files []File) string {
	hash := sha256.New()
	for _, file := range sortedByName(files) {
		// A hash's Write returns no error.
		_, _ = fmt.Fprintf(hash, "%d %s %d\n", len(file.Name), file.Name, len(file.Data))
		_, _ = hash.Write(file.Data)
	}
	return "sha256:" + hex.EncodeToString(hash.Sum(nil))
}

// sortedByName returns a copy of files in the order of their names.
func sortedByName(files []File) []File {
	files = slices.Clone(files)
	slices.SortFunc(files, func(a, b File) int { return strings.Compare(a.Name, b.Name) })
	return files
}

// Includes returns the files that a file includes, as it writes them, with their places. Other
// violations are left to Read.
func Includes(file File) (names []string, places []tomldoc.Place) {
	root, _ := tomldoc.Parse(file.Name, file.Data)
	if root == nil || root.Fields["include"] == nil {
		return nil, nil
	}
	for _, item := range root.Fields["include"].Items {
		if item.Kind == tomldoc.String {
			names = append(names, item.Text)
			places = append(places, item.Place)
		}
	}
	return names, places
}

// Environments returns the names of the environments, in order.
func (c *Catalogue) Environments() []string {
	return slices.Sorted(slices.Values(c.environments.Keys))
}
