package core

import (
	"hash/fnv"
	"io"

	"fernlanding/internal/membership"
	"fernlanding/logic"
)

// zoneNumbers maps zone names to numbers. The zones of the settings are numbered from 0. Any other
// name gets a number by a hash, so that an unbounded number of names takes no memory.
type zoneNumbers map[string]int

// newZoneNumbers numbers names by their index.
func newZoneNumbers(names []string) zoneNumbers {
	numbers := zoneNumbers{}
	for i, name := range names {
		numbers[name] = i
	}
	return numbers
}

// number returns the number of a zone.
func (z zoneNumbers) number(name string) int {
	if number, ok := z[name]; ok {
		return number
	}
	hash := fnv.New32a()
	_, _ = io.WriteString(hash, name) // never fails
	return len(z) + int(hash.Sum32()>>1)
}

// endpoints converts entries of an endpoint list to the balancer's type. The clock of the balancer
// shows Unix time (see [Clock]), so StartedMs is only converted to microseconds.
func (z zoneNumbers) endpoints(entries []membership.Endpoint) []logic.Endpoint {
	converted := make([]logic.Endpoint, 0, len(entries))
	for _, entry := range entries {
		converted = append(converted, logic.Endpoint{
			ID: entry.Name, Address: entry.Address, State: endpointState(entry.Status), Zone: z.number(entry.Zone),
			Cell: entry.Cell, Weight: entry.Weight, StartedAt: entry.StartedMs * 1000,
		})
	}
	return converted
}

// endpointState converts a status to the balancer's type.
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
