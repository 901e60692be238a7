package config

import (
	"bytes"
	"maps"
	"reflect"
	"slices"
	"strings"

	"fernlanding/internal/tomldoc"
)

// headFragment is the key of the fragment with the fields before the file's first table.
const headFragment = "head"

// Fragments divides an application's file, so that a change to one service is a small part of it: a
// fragment for each service under "services/NAME", one for each other top-level table under
// "table/NAME", and the fields before the first table. Join makes a file of the same meaning of
// them; the order of tables of different names is lost.
func Fragments(data []byte) map[string][]byte {
	fragments := map[string][]byte{}
	for _, section := range tomldoc.Sections(data) {
		key := fragmentKey(section.Path)
		fragments[key] = append(fragments[key], withLineEnd(section.Text)...)
	}
	return fragments
}

// fragmentKey returns the key of the fragment that a table belongs to. Tables below one of an array
// stay with it.
func fragmentKey(path []string) string {
	switch {
	case len(path) == 0:
		return headFragment
	case path[0] == "services" && len(path) > 1:
		return "services/" + path[1]
	}
	return "table/" + path[0]
}

// withLineEnd returns a text whose last line has an end.
func withLineEnd(text []byte) []byte {
	if len(text) == 0 || bytes.HasSuffix(text, []byte("\n")) {
		return text
	}
	return append(slices.Clone(text), '\n')
}

// SingleFragment returns a file as one fragment.
func SingleFragment(data []byte) map[string][]byte { return map[string][]byte{headFragment: data} }

// Join returns the file of some fragments. It does not check them.
func Join(fragments map[string][]byte) []byte {
	file := slices.Clone(fragments[headFragment])
	for _, key := range slices.Sorted(maps.Keys(fragments)) {
		if key != headFragment {
			file = append(file, fragments[key]...)
		}
	}
	return file
}

// Equivalent reports whether two configurations are the same but for the order of their services.
func Equivalent(a, b *App) bool {
	x, y := *a, *b
	x.Services, y.Services = sortedByName(a.Services), sortedByName(b.Services)
	return reflect.DeepEqual(x, y)
}

func sortedByName(services []*Service) []*Service {
	return slices.SortedFunc(slices.Values(services), func(a, b *Service) int {
		return strings.Compare(a.Name, b.Name)
	})
}
