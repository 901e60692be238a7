package core

import (
	"hash/fnv"
	"io"

	"fernlanding/internal/membership"
	"fernlanding/logic"
)

// zoneNumbers numbers zones by name: the settings' own from 0, any other by a hash, so that an
// unbounded number of names takes no memory.
type zoneNumbers map[string]int

// newZoneNumbers numbers names in their order.
func newZoneNumbers(names []string) zoneNumbers {
	numbers := zoneNumbers{}
	for i, name := range names {
		numbers[name] = i
	}
	return numbers
}

// number returns a zone's number.
func (z zoneNumbers) number(name string) int {
	if number, ok := z[name]; ok {
		return number
	}
	hash := fnv.New32a()
	_, _ = io.WriteString(hash, name) // never fails
	return len(z) + int(hash.Sum32()>>1)
}

// endpoints converts entries of a list to the module's. Its clock shows Unix time (see Clock), so
// SinceMs needs no shift.
func (z zoneNumbers) endpoints(entries []membership.Endpoint) []logic.Endpoint {
	converted := make([]logic.Endpoint, 0, len(entries))
	for _, entry := range entries {
		converted = append(converted, logic.Endpoint{
			ID: entry.Name, State: endpointState(entry.Status), Zone: z.number(entry.Zone), Cell: entry.Cell,
			Weight: entry.Weight, StartedAt: entry.StartedMs * 1000,
		})
	}
	return converted
}

// endpointState converts a status to the module's.
func endpointState(status membership.Status) logic.State {
	switch status {
	case membership.Serving:
		return logic.Ready
	case membership.Draining:
		return logic.Draining
	case membership.Deleted:
		return logic.Removed
	default:
		return logic.Removed
	}
}
