package core

import (
	"fernlanding/internal/membership"
	"fernlanding/logic"
	"hash/fnv"
	"io"
)

// zones numbers zones by name: the settings' own from 0, any other by a hash, so that names without end leave
// nothing behind.
type zones map[string]int

func newZones(names []string) zones {
	z := zones{}
	for i, n := range names {
		z[n] = i
	}
	return z
}

func (z zones) number(name string) int {
	if n, ok := z[name]; ok {
		return n
	}
	h := fnv.New32a()
	_, _ = io.WriteString(h, name) // never fails
	return len(z) + int(h.Sum32()>>1)
}

// servers turns entries into the module's. Its clock shows Unix time (see Clock), so SinceMs needs no shift.
func (z zones) servers(entries []membership.Endpoint) []logic.Endpoint {
	out := make([]logic.Endpoint, 0, len(entries))
	for _, e := range entries {
		s := logic.Endpoint{ID: e.Name, Zone: z.number(e.Zone), Cell: e.Cell, Weight: e.Weight, StartedAt: e.SinceMs * 1000}
		switch e.Status {
		case membership.Serving:
			s.State = logic.Ready
		case membership.Draining:
			s.State = logic.Draining
		}
		out = append(out, s)
	}
	return out
}
