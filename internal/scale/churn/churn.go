// Package churn is the order in which a scale test changes the list of a service: a backend drains, it is deleted, and a
// new one joins, in turn, so that the list keeps its size. Each change is a version, and the version that a list stands at
// can be told from the list alone. It is pure.
package churn

import (
	"strconv"
	"strings"

	"fernlanding/internal/membership"
)

// Kind is what a change does to its backend.
type Kind int

// The kinds of change, in their order.
const (
	Drain Kind = iota
	Delete
	Join

	kinds = 3
)

// Change is one change of a list.
type Change struct {
	Kind    Kind
	Backend int // its number; those of the first list are numbered from 0
}

// At is the change that makes a version, from 1 on; backends is how many the first list had. Version 0 is the first list.
func At(version int64, backends int) Change {
	turn, kind := int(version-1)/kinds, Kind((version-1)%kinds)
	if kind == Join {
		return Change{Join, backends + turn}
	}
	return Change{kind, turn}
}

// Range is the numbers of the backends that a list has at a version, last not included, and whether the first drains.
func Range(version int64, backends int) (first, last int, drains bool) {
	turns, rest := int(version)/kinds, int(version)%kinds
	first, last = turns, backends+turns
	if rest == 2 {
		first++
	}
	return first, last, rest == 1
}

// Version is the version that a list stands at, or that a list of changes leads to; 0 where that can't be told from it.
func Version(list *membership.List, backends int) int64 {
	version, first := int64(0), -1
	for _, e := range list.Endpoints {
		number := Number(e.Name)
		if number < 0 {
			continue
		}
		if first < 0 || number < first {
			first = number
		}
		made := int64(0)
		switch {
		case e.Status == membership.Draining:
			made = versionOf(Drain, number)
		case e.Status == membership.Deleted:
			made = versionOf(Delete, number)
		case number >= backends:
			made = versionOf(Join, number-backends)
		}
		version = max(version, made)
	}
	if list.Full && first > 0 { // the one before it has been deleted
		version = max(version, versionOf(Delete, first-1))
	}
	return version
}

func versionOf(kind Kind, turn int) int64 { return int64(turn)*kinds + int64(kind) + 1 }

// Name is the name of a service's backend.
func Name(service string, number int) string { return service + "-" + strconv.Itoa(number) }

// Number is the number of a backend by its name; -1 where it has none.
func Number(name string) int {
	n, err := strconv.Atoi(name[strings.LastIndexByte(name, '-')+1:])
	if err != nil || n < 0 {
		return -1
	}
	return n
}
