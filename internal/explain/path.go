package explain

import (
	"slices"
	"strconv"
)

// path returns the path of a field in the file with the given elements.
func path(elements ...string) []string { return elements }

// subpath returns the path of a field below a parent field.
func subpath(parent []string, elements ...string) []string { return slices.Concat(parent, elements) }

// pathIndex returns the path element for an index that counts from 0. Path elements count from 1.
func pathIndex(index int) string { return strconv.Itoa(index + 1) }
