package explain

import (
	"slices"
	"strconv"
)

// path returns the path of a field in the file.
func path(elements ...string) []string { return elements }

// subpath returns the path of a field below another.
func subpath(parent []string, elements ...string) []string { return slices.Concat(parent, elements) }

// position returns an index as an element of a path, which counts from 1.
func position(index int) string { return strconv.Itoa(index + 1) }
