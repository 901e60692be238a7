package sweep

import (
	"fmt"

	"fernlanding/internal/scale/result"
	"fernlanding/internal/scale/scenario"
)

const (
	spareDescriptors   = 256  // per process, for pipes, listeners and others, except connections to list services
	listServiceConns   = 8000 // per list service
	maxListServices    = 64
	kernelBytesPerConn = 8 << 10 // approximate kernel memory of both ends of a loopback connection
	probeProxies       = 50      // in the first probe of measureFootprint
	largerProbeProxies = 200     // in the second probe; sizes up to this are not probed
)

// plan is the distribution of a size over processes.
type plan struct {
	size    result.Size
	workers int // processes that run hollow proxies
	lists   int // list services, or 1 for the publisher
	relays  int
}

// planOf returns the plan of a size.
func planOf(sc *scenario.Scenario, size result.Size) plan {
	p := plan{size: size, workers: min(sc.Processes.Proxies, size.Proxies)}
	switch sc.Source {
	case result.SourceConsul:
		conns := size.Proxies * size.Services
		p.lists = min(max(1, (conns+listServiceConns-1)/listServiceConns), maxListServices, size.TotalServices)
	case result.SourceRelay:
		p.lists = 1
		p.relays = sc.Processes.Relays
	default: // static lists need no list service
	}
	return p
}

// connections returns the number of connections of a proxy to list services or relays.
func connections(source result.Source, size result.Size) int {
	switch source {
	case result.SourceConsul:
		return size.Services
	case result.SourceRelay:
		return 1
	default:
		return 0
	}
}

// proxiesByDescriptors returns the maximum number of proxies for the given number of file
// descriptors per process.
func (p plan) proxiesByDescriptors(source result.Source, each int) int {
	conns := connections(source, p.size)
	if conns == 0 {
		return scenario.MaxProxies
	}
	room := each - spareDescriptors
	maxProxies := room / conns * p.workers
	servers := p.relays
	if source == result.SourceConsul {
		servers = min(maxListServices, p.size.TotalServices)
	}
	return min(maxProxies, room*servers/conns)
}

// footprint is the measured memory cost of proxies, in bytes.
type footprint struct {
	base    int64 // all processes without proxies
	proxy   int64 // per proxy, in the process that runs the proxy
	service int64 // per proxy, in the list services, the relays and the kernel
}

// proxiesWithin returns the maximum number of proxies for a memory limit in bytes.
func (f footprint) proxiesWithin(bound int64) int {
	each := max(1, f.proxy+f.service)
	return int(max(0, bound-f.base) / each)
}

// checkFit returns an error if the size does not fit. The error is one line with the exceeded limit
// and the maximum number of proxies.
func (p plan) checkFit(source result.Source, each int, f footprint, bound int64) error {
	if maxProxies := p.proxiesByDescriptors(source, each); p.size.Proxies > maxProxies {
		return fmt.Errorf(
			"%d proxies exceed the limit of %d: %d descriptors in each of %d processes, %d connections per proxy",
			p.size.Proxies, maxProxies, each, p.workers, connections(source, p.size))
	}
	if maxProxies := f.proxiesWithin(bound); p.size.Proxies > maxProxies {
		return fmt.Errorf(
			"%d proxies exceed the limit of %d: %.1f GB of memory, %.1f KB per proxy in its process, %.1f KB elsewhere",
			p.size.Proxies, maxProxies, float64(bound)/(1<<30), float64(f.proxy)/(1<<10), float64(f.service)/(1<<10))
	}
	return nil
}
