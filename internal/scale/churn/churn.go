// Package churn defines the order in which a scale test changes the endpoint list of a service: a
// backend drains, it is deleted, and a new one joins, in turn, so that the list keeps its size.
// Each change makes a version, and the version of a list follows from the list alone, a snapshot or
// a delta. The package is pure.
package churn

import (
	"strconv"
	"strings"

	"fernlanding/internal/membership"
)

// Kind is what a change does to its backend.
type Kind int

// The kinds of change, in the order in which they alternate.
const (
	Drain Kind = iota
	Delete
	Join

	kinds = 3
)

// Change is one change of a list.
type Change struct {
	Kind    Kind
	Backend int // its number; the backends of the first list are numbered from 0
}

// At returns the change that makes a version, from 1 on; version 0 is the first list, which has so
// many backends.
func At(version int64, backends int) Change {
	turn, kind := int(version-1)/kinds, Kind((version-1)%kinds)
	if kind == Join {
		return Change{Kind: Join, Backend: backends + turn}
	}
	return Change{Kind: kind, Backend: turn}
}

// BackendRange returns the numbers of the backends that a list has at a version, from first up to but not
// including last, and whether the first one drains.
func BackendRange(version int64, backends int) (first, last int, isDraining bool) {
	turns, rest := int(version)/kinds, int(version)%kinds
	first, last = turns, backends+turns
	if rest == 2 {
		first++
	}
	return first, last, rest == 1
}

// Version returns the version of a complete list, or the version that a delta leads to; 0 where it
// does not follow from the list.
func Version(list *membership.List, backends int) int64 {
	version, first := int64(0), -1
	for _, e := range list.Endpoints {
		number := BackendNumber(e.Name)
		if number < 0 {
			continue
		}
		if first < 0 || number < first {
			first = number
		}
		version = max(version, lastChange(e.Status, number, backends))
	}
	if list.Full && first > 0 { // the backend before the first has been deleted
		version = max(version, versionOf(Delete, first-1))
	}
	return version
}

// lastChange returns the version that the last change of a backend made; 0 where it has not changed
// since the first list.
func lastChange(status membership.Status, number, backends int) int64 {
	switch {
	case status == membership.Draining:
		return versionOf(Drain, number)
	case status == membership.Deleted:
		return versionOf(Delete, number)
	case number >= backends:
		return versionOf(Join, number-backends)
	}
	return 0
}

// versionOf returns the version that a turn's change of a kind makes.
func versionOf(kind Kind, turn int) int64 { return int64(turn)*kinds + int64(kind) + 1 }

// BackendName returns the name of a backend of a service.
func BackendName(service string, number int) string { return service + "-" + strconv.Itoa(number) }

// BackendNumber returns the number of a backend by its name; -1 where the name has none.
func BackendNumber(name string) int {
	n, err := strconv.Atoi(name[strings.LastIndexByte(name, '-')+1:])
	if err != nil || n < 0 {
		return -1
	}
	return n
}
