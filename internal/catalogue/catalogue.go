// Package catalogue reads the description of a fleet and generates a configuration file for each
// application from it. The description has the services with their owners, the applications with
// the services that they call, and the environments with the values that they override. The package
// performs no I/O: package catalogue/dir reads and writes the files.
//
// Read merges the files into one tree. Catalogue.Generate applies the overlay of an environment,
// decodes the result into a model and generates the files of a Plan.
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

// FormatVersion is the version of the catalogue format.
const FormatVersion = 1

// Limits of a catalogue.
const (
	MaxFiles        = 4096
	MaxBytes        = 64 << 20 // total size of all files
	MaxIncludeDepth = 16       // nested includes
	MaxApplications = 20_000
	MaxServices     = 10_000
	MaxEnvironments = 64
)

// File is one file of a catalogue.
type File struct {
	Name string // path relative to the catalogue, separated by slashes
	Data []byte
}

// Catalogue is the merged content of a catalogue's files. It is immutable.
type Catalogue struct {
	Digest       string // digest of the names and contents of all files
	root         *tomldoc.Value
	environments *tomldoc.Value
}

// sectionNames are the names of the tables whose entries a catalogue file may declare.
var sectionNames = []string{"services", "applications", "environments"}

// Read merges the files of a catalogue. If it returns diagnostics, the catalogue is nil or has only
// the content that could be read.
func Read(files []File) (*Catalogue, tomldoc.Diagnostics) {
	files = sortedByName(files)
	reader := &tomldoc.Collector{}
	if len(files) == 0 {
		expect := "catalogue must contain at least one file"
		return nil, tomldoc.Diagnostics{{Rule: rules.Missing, Expect: expect}}
	}
	j := newJoiner(reader, tomldoc.Place{File: files[0].Name, Line: 1, Col: 1})
	isParsed := true
	for _, file := range files {
		root, diagnostics := tomldoc.Parse(file.Name, file.Data)
		reader.Diagnostics = append(reader.Diagnostics, diagnostics...)
		if root == nil {
			isParsed = false
			continue
		}
		j.join(root)
	}
	if !isParsed || !j.checkSectionSizes() {
		return nil, reader.Diagnostics
	}
	c := &Catalogue{Digest: Digest(files), root: j.root, environments: j.root.Fields["environments"]}
	return c, reader.Diagnostics
}

// checkSectionSizes reports whether the number of entries of every section is within its limit. It
// adds a diagnostic for the first section that exceeds its limit.
func (j *joiner) checkSectionSizes() bool {
	for _, section := range []struct {
		name  string
		limit int
	}{
		{"services", MaxServices},
		{"applications", MaxApplications},
		{"environments", MaxEnvironments},
	} {
		table := j.root.Fields[section.name]
		if count := len(table.Keys); count > section.limit {
			expect := fmt.Sprintf("count of %d exceeds the limit of %d", count, section.limit)
			j.ReportAt(table, rules.TooMany, section.name, "", expect)
			return false
		}
	}
	return true
}

// Digest returns a digest of the names and contents of files. The digest does not depend on the
// order of the files.
func Digest(files []File) string {
	hash := sha256.New()
	for _, file := range sortedByName(files) {
		// hash.Hash.Write never returns an error.
		_, _ = fmt.Fprintf(hash, "%d %s %d\n", len(file.Name), file.Name, len(file.Data))
		_, _ = hash.Write(file.Data)
	}
	return "sha256:" + hex.EncodeToString(hash.Sum(nil))
}

// sortedByName returns a copy of files that is sorted by name.
func sortedByName(files []File) []File {
	files = slices.Clone(files)
	slices.SortFunc(files, func(a, b File) int { return strings.Compare(a.Name, b.Name) })
	return files
}

// Includes returns the names of the files that a file includes, as they are written, and the place
// of each name. Other violations of the format are left to Read.
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

// Environments returns the sorted names of the environments.
func (c *Catalogue) Environments() []string {
	return slices.Sorted(slices.Values(c.environments.Keys))
}
