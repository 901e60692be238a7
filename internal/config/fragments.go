package config

import (
	"bytes"
	"maps"
	"reflect"
	"slices"
	"strings"

	"fernlanding/internal/tomldoc"
)

// headFragment is the key of the fragment with the fields before the first table.
const headFragment = "head"

// Fragments splits an application's file into fragments, so that a change to one service affects
// only a small part of the file. There is a fragment "services/NAME" for each service, a fragment
// "table/NAME" for each other top-level table, and a fragment "head" for the fields before the
// first table. Join builds an equivalent file from the fragments. The order of tables with
// different names is lost.
func Fragments(data []byte) map[string][]byte {
	fragments := map[string][]byte{}
	for _, section := range tomldoc.Sections(data) {
		key := fragmentKey(section.Path)
		fragments[key] = append(fragments[key], withLineEnd(section.Text)...)
	}
	return fragments
}

// fragmentKey returns the key of the fragment for a table. A table below an item of an array
// belongs to the fragment of the array.
func fragmentKey(path []string) string {
	switch {
	case len(path) == 0:
		return headFragment
	case path[0] == "services" && len(path) > 1:
		return "services/" + path[1]
	}
	return "table/" + path[0]
}

// withLineEnd returns text with a line ending after its last line.
func withLineEnd(text []byte) []byte {
	if len(text) == 0 || bytes.HasSuffix(text, []byte("\n")) {
		return text
	}
	return append(slices.Clone(text), '\n')
}

// SingleFragment returns a file as a single fragment.
func SingleFragment(data []byte) map[string][]byte { return map[string][]byte{headFragment: data} }

// Join builds a file from fragments. Join does not check the file.
func Join(fragments map[string][]byte) []byte {
	file := slices.Clone(fragments[headFragment])
	for _, key := range slices.Sorted(maps.Keys(fragments)) {
		if key != headFragment {
			file = append(file, fragments[key]...)
		}
	}
	return file
}

// Equivalent reports whether two configurations differ at most in the order of their services.
func Equivalent(a, b *App) bool {
	x, y := *a, *b
	x.Services, y.Services = sortedByName(a.Services), sortedByName(b.Services)
	return reflect.DeepEqual(x, y)
}

// sortedByName returns a copy of services, sorted by name.
func sortedByName(services []*Service) []*Service {
	return slices.SortedFunc(slices.Values(services), func(a, b *Service) int {
		return strings.Compare(a.Name, b.Name)
	})
}
