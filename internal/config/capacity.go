package config

import "fmt"

const (
	ownDescriptors = 32       // that are neither a client's nor a backend's, generously
	minConnections = 8        // on either side
	bodyFraction   = 4        // one part in so many of the process's memory holds bodies
	bodyMemory     = 64 << 20 // bytes for bodies where the process's memory is not known
	// ClientsConsumer is the party under which clients' connections are counted.
	ClientsConsumer = "(clients)"
)

// Allocation is how a resource is divided among parties: see package quota.
type Allocation struct {
	Total  int64
	Names  []string
	Floors []int64 // what each party can have at any time
}

// add adds a party.
func (p *Allocation) add(name string, floor int64) {
	p.Names = append(p.Names, name)
	p.Floors = append(p.Floors, floor)
}

// Descriptors divides the process's file descriptors among clients and services. A third of what is
// not the process's own is the clients' at any time, a third the services'; the last third is lent.
func (a *App) Descriptors() (Allocation, error) {
	parts := Allocation{Total: int64(a.Process.Sockets - ownDescriptors)}
	if a.Kind == Platform {
		return a.platformDescriptors(parts)
	}
	if parts.Total < 2*minConnections {
		return parts, fmt.Errorf("%d descriptors are too few: %d expected at least",
			a.Process.Sockets, ownDescriptors+2*minConnections)
	}
	clients := max(minConnections, parts.Total/3)
	parts.add(ClientsConsumer, clients)
	sum := clients
	for _, s := range a.Services {
		floor := s.Connections
		if floor == 0 {
			floor = max(1, parts.Total/3/int64(len(a.Services)))
		}
		parts.add(s.Name, floor)
		sum += floor
	}
	if sum > parts.Total {
		return parts, fmt.Errorf("%d descriptors are too few: %d for the process, %d for clients and %d for services"+
			" that are theirs at any time", a.Process.Sockets, ownDescriptors, clients, sum-clients)
	}
	return parts, nil
}

// platformDescriptors divides the descriptors of a sidecar of the platform. Each open request has
// at most one attempt in flight, and a third more connections to backends may be kept for the next.
// What is left is the clients': their open requests, and those that are silent or idle.
func (a *App) platformDescriptors(parts Allocation) (Allocation, error) {
	backends := int64(a.Process.Sockets / 3 * 4 / 3)
	clients := parts.Total - backends
	parts.add(ClientsConsumer, clients)
	parts.add(PlatformService, backends)
	if clients < minConnections {
		return parts, fmt.Errorf("%d sockets are too few", a.Process.Sockets)
	}
	return parts, nil
}

// Memory divides the process's memory for bodies, in bytes, among services. Half of it is theirs at
// any time, evenly; the other half is lent.
func (a *App) Memory() (Allocation, error) {
	parts := Allocation{Total: bodyMemory}
	if a.Process.MemoryMB > 0 {
		parts.Total = int64(a.Process.MemoryMB * (1 << 20) / bodyFraction)
	}
	for _, s := range a.Services {
		parts.add(s.Name, parts.Total/2/int64(len(a.Services)))
		if s.MaxBody > parts.Total/4 || s.MaxResponse > parts.Total/4 {
			return parts, fmt.Errorf("service %s: bodies of %d and answers of %d bytes are too large:"+
				" a quarter of the %d bytes that all bodies share expected at most",
				s.Name, s.MaxBody, s.MaxResponse, parts.Total)
		}
	}
	return parts, nil
}
