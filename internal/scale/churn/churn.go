// Package churn defines the order in which a scale test changes the endpoint list of a service. A
// backend starts to drain, the same backend is deleted, and a new backend joins, in turn, so that
// the list keeps its size. Each change creates a version. The version of a list can be computed
// from the list alone, from a snapshot or from a delta. The package does no I/O.
package churn

import (
	"strconv"
	"strings"

	"fernlanding/internal/membership"
)

// Kind is the kind of a change.
type Kind int

// The kinds of change, in the order in which they alternate.
const (
	Drain Kind = iota
	Delete
	Join

	kindCount = 3
)

// Change is a change to one backend of a list.
type Change struct {
	Kind    Kind
	Backend int // number of the backend; the backends of the first list are numbered from 0
}

// At returns the change that creates a version, which is 1 or more. Version 0 is the first list. The
// parameter backends is the number of backends of the first list.
func At(version int64, backends int) Change {
	turn, kind := int(version-1)/kindCount, Kind((version-1)%kindCount)
	if kind == Join {
		return Change{Kind: Join, Backend: backends + turn}
	}
	return Change{Kind: kind, Backend: turn}
}

// BackendRange returns the numbers of the backends of a list at a version, from first up to but not
// including last, and whether the first backend is draining.
func BackendRange(version int64, backends int) (first, last int, isDraining bool) {
	turns, rest := int(version)/kindCount, int(version)%kindCount
	first, last = turns, backends+turns
	if rest == 2 {
		first++
	}
	return first, last, rest == 1
}

// Version returns the version of a snapshot, or the version that a delta leads to. It returns 0 if
// no change can be derived from the list.
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
	if list.Full && first > 0 { // the backend before the first one has been deleted
		version = max(version, versionOf(Delete, first-1))
	}
	return version
}

// lastChange returns the version that the last change of a backend created. It returns 0 if the
// backend has not changed since the first list.
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

// versionOf returns the version that the change of a kind creates in a turn, which is one cycle of
// all kinds.
func versionOf(kind Kind, turn int) int64 { return int64(turn)*kindCount + int64(kind) + 1 }

// BackendName returns the name of the backend of a service with a number.
func BackendName(service string, number int) string { return service + "-" + strconv.Itoa(number) }

// BackendNumber returns the number in the name of a backend, or -1 if the name has no number.
func BackendNumber(name string) int {
	n, err := strconv.Atoi(name[strings.LastIndexByte(name, '-')+1:])
	if err != nil || n < 0 {
		return -1
	}
	return n
}
