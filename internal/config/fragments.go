package config

import (
	"bytes"
	"fernlanding/internal/tomldoc"
	"maps"
	"reflect"
	"slices"
	"strings"
)

// fragmentHead is the key of the fragment with the fields before the file's first table.
const fragmentHead = "head"

// Fragments divides an application's file, so that a change to one service is a small part of it: a fragment for each
// service under "services/NAME", one for each other table of the top level under its name, and the fields before the
// first table. Join makes a file of the same meaning of them; the order of tables of different names is lost.
func Fragments(data []byte) map[string][]byte {
	fragments := map[string][]byte{}
	for _, section := range tomldoc.Sections(data) {
		key := fragmentKey(section.Path)
		fragments[key] = append(fragments[key], endLine(section.Text)...)
	}
	return fragments
}

// fragmentKey is the fragment that a table belongs to. Tables below one of an array stay with it.
func fragmentKey(path []string) string {
	switch {
	case len(path) == 0:
		return fragmentHead
	case path[0] == "services" && len(path) > 1:
		return "services/" + path[1]
	}
	return "table/" + path[0]
}

// Undivided is a file as one fragment.
func Undivided(data []byte) map[string][]byte { return map[string][]byte{fragmentHead: data} }

// SameMeaning tells whether two configurations say the same, in whatever order they name their services.
func SameMeaning(a, b *App) bool {
	x, y := *a, *b
	x.Services, y.Services = byName(a.Services), byName(b.Services)
	return reflect.DeepEqual(x, y)
}

func byName(services []*Service) []*Service {
	return slices.SortedFunc(slices.Values(services), func(a, b *Service) int { return strings.Compare(a.Name, b.Name) })
}

// endLine is a text whose last line has an end.
func endLine(text []byte) []byte {
	if len(text) == 0 || bytes.HasSuffix(text, []byte("\n")) {
		return text
	}
	return append(slices.Clone(text), '\n')
}

// Join makes a file of fragments. It does not judge them.
func Join(fragments map[string][]byte) []byte {
	file := slices.Clone(fragments[fragmentHead])
	for _, key := range slices.Sorted(maps.Keys(fragments)) {
		if key != fragmentHead {
			file = append(file, fragments[key]...)
		}
	}
	return file
}
