package config

import "fmt"

const (
	ownDescriptors = 32       // descriptors of the process itself, with a generous margin
	minConnections = 8        // connections, both to clients and to backends
	bodyFraction   = 4        // divisor of the process's memory that gives the memory for bodies
	bodyMemory     = 64 << 20 // bytes for bodies if the process's memory is unknown

	requestFraction      = 5        // divisor of the process's memory that gives the memory of requests
	unknownRequestMemory = 64 << 20 // bytes for requests if the process's memory is unknown

	programMemory       = 9 << 20 // bytes of the program's file in memory
	baseMemory          = 2 << 20 // bytes of an idle process beside programMemory
	clientConnMemory    = 8 << 10 // bytes of a connection of a client, with the front's freeBuffer
	backendConnMemory   = 2 << 10 // bytes of an idle connection to a backend
	garbageLimitPercent = 60      // part of the process's memory near which garbage is collected more often
	garbageOvershoot    = 4 << 20 // bytes that are allocated while garbage is collected

	// platformResponseFraction is the divisor of the process's memory that gives the memory for large
	// responses, and as much for others, on the platform.
	platformResponseFraction = 16
	minLargeResponses        = 2 // responses of the largest size that can be held at once, on the platform

	// LargeResponsesConsumer is the name of the consumer that holds the bodies of responses of more
	// than LargeResponse bytes, on the platform.
	LargeResponsesConsumer = "(large responses)"
	// LargeResponse is the size in bytes up to which the body of a response is not large.
	LargeResponse = 64 << 10

	// ClientsConsumer is the name of the consumer that holds the connections of clients.
	ClientsConsumer = "(clients)"
)

// Allocation is the division of a resource among consumers; see package quota.
type Allocation struct {
	Total  int64    // total capacity
	Names  []string // names of the consumers
	Floors []int64  // guaranteed part of each consumer
}

// add adds a consumer.
func (a *Allocation) add(name string, floor int64) {
	a.Names = append(a.Names, name)
	a.Floors = append(a.Floors, floor)
}

// Descriptors divides the process's file descriptors among clients and services. Of the descriptors
// that the process does not need itself, a third is guaranteed to clients, a third is guaranteed to
// services, and any consumer can borrow from the last third.
func (a *App) Descriptors() (Allocation, error) {
	allocation := Allocation{Total: int64(a.Process.Sockets - ownDescriptors)}
	if a.Kind == Platform {
		return a.platformDescriptors(allocation)
	}
	if allocation.Total < 2*minConnections {
		return allocation, fmt.Errorf("%d file descriptors are too few: must be at least %d",
			a.Process.Sockets, ownDescriptors+2*minConnections)
	}
	clients := max(minConnections, allocation.Total/3)
	allocation.add(ClientsConsumer, clients)
	sum := clients
	for _, s := range a.Services {
		floor := s.Connections
		if floor == 0 {
			floor = max(1, allocation.Total/3/int64(len(a.Services)))
		}
		allocation.add(s.Name, floor)
		sum += floor
	}
	if sum > allocation.Total {
		return allocation, fmt.Errorf(
			"%d file descriptors are too few: the process needs %d, clients %d and services %d",
			a.Process.Sockets, ownDescriptors, clients, sum-clients)
	}
	return allocation, nil
}

// platformDescriptors divides the file descriptors of a sidecar of the platform. Each open request
// has at most one attempt in flight, and a third more connections to backends may be kept idle for
// later attempts. The remaining descriptors are for clients: those with open requests, and those
// that are silent or idle.
func (a *App) platformDescriptors(allocation Allocation) (Allocation, error) {
	backends := int64(a.Process.Sockets / 3 * 4 / 3)
	clients := allocation.Total - backends
	allocation.add(ClientsConsumer, clients)
	allocation.add(PlatformService, backends)
	if clients < minConnections {
		return allocation, fmt.Errorf("%d file descriptors are too few: %d are left for clients, must be at least %d",
			a.Process.Sockets, clients, minConnections)
	}
	return allocation, nil
}

// RequestMemory is the limit of the memory that the requests of all clients hold, in bytes.
type RequestMemory struct {
	Total      int64
	Unfinished int64 // part of Total for requests that have not been received completely
}

// RequestMemory returns the limit of the memory of requests: a fifth of the process's memory, of
// which requests that have not been received completely may use half.
func (a *App) RequestMemory() RequestMemory {
	total := int64(unknownRequestMemory)
	if a.Process.MemoryMB > 0 {
		total = int64(a.Process.MemoryMB * (1 << 20) / requestFraction)
	}
	return RequestMemory{Total: total, Unfinished: total / 2}
}

// platformMemory divides the memory for response bodies of a sidecar of the platform: as much for
// large bodies as for all others, so that clients that do not read their large responses leave room
// for the responses of others. Request bodies are counted in RequestMemory alone.
func (a *App) platformMemory() Allocation {
	part := int64(a.Process.MemoryMB * (1 << 20) / platformResponseFraction)
	if a.Process.MemoryMB == 0 {
		part = bodyMemory / platformResponseFraction
	}
	part = max(part, minLargeResponses*a.Services[0].MaxResponse)
	allocation := Allocation{Total: 2 * part}
	allocation.add(PlatformService, part)
	allocation.add(LargeResponsesConsumer, part)
	return allocation
}

// MemoryBounds are the bounds of what the process holds, in bytes. The runtime collects garbage more
// often near GarbageLimit, which covers everything but Program.
type MemoryBounds struct {
	Program            int64 // pages of the program's file
	Base               int64 // an idle process, without Program
	ClientConnections  int64 // connections of clients, beside their requests
	Requests           int64 // RequestMemory
	Responses          int64 // Memory, except what Requests counts too
	BackendConnections int64 // connections to backends, beside their requests

	GarbageLimit int64 // limit of the runtime's memory
	Overshoot    int64 // what is allocated beyond GarbageLimit while a collection runs
}

// Live returns the sum of what the process holds in the memory of the runtime.
func (b *MemoryBounds) Live() int64 {
	return b.Base + b.ClientConnections + b.Requests + b.Responses + b.BackendConnections
}

// Peak returns the bound of the memory of the process.
func (b *MemoryBounds) Peak() int64 { return b.Program + b.GarbageLimit + b.Overshoot }

// MemoryBounds returns the bounds of a process whose memory is limited. Endpoint lists and learned
// state come on top: see docs/CAPACITY.md.
func (a *App) MemoryBounds() (MemoryBounds, error) {
	descriptors, err := a.Descriptors()
	if err != nil {
		return MemoryBounds{}, err
	}
	responses, err := a.Memory()
	if err != nil {
		return MemoryBounds{}, err
	}
	clients := descriptors.Total
	if a.Kind == Platform {
		clients = descriptors.Floors[0] // clients can't borrow
	}
	return MemoryBounds{
		Program:            programMemory,
		Base:               baseMemory,
		ClientConnections:  clients * clientConnMemory,
		Requests:           a.RequestMemory().Total,
		Responses:          responses.Total,
		BackendConnections: (descriptors.Total - descriptors.Floors[0]) * backendConnMemory,
		GarbageLimit:       a.GarbageLimit(),
		Overshoot:          garbageOvershoot,
	}, nil
}

// GarbageLimit returns the limit of the runtime's memory in bytes, or 0 if the memory of the process
// is unknown.
func (a *App) GarbageLimit() int64 {
	limit := int64(a.Process.MemoryMB * (1 << 20))
	return max(0, min(limit*garbageLimitPercent/100, max(limit-programMemory-garbageOvershoot, limit/2)))
}

// Memory divides the process's memory for bodies, in bytes, among services. Half of the memory is
// guaranteed to services in equal parts, and any service can borrow from the other half.
func (a *App) Memory() (Allocation, error) {
	if a.Kind == Platform {
		return a.platformMemory(), nil
	}
	allocation := Allocation{Total: bodyMemory}
	if a.Process.MemoryMB > 0 {
		allocation.Total = int64(a.Process.MemoryMB * (1 << 20) / bodyFraction)
	}
	for _, s := range a.Services {
		allocation.add(s.Name, allocation.Total/2/int64(len(a.Services)))
		if s.MaxBody > allocation.Total/4 || s.MaxResponse > allocation.Total/4 {
			return allocation, fmt.Errorf("service %s: request bodies of %d bytes or response bodies of %d bytes"+
				" exceed the limit of %d: a quarter of the %d bytes that all bodies share",
				s.Name, s.MaxBody, s.MaxResponse, allocation.Total/4, allocation.Total)
		}
	}
	return allocation, nil
}
