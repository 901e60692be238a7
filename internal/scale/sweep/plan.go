package sweep

import (
	"fmt"

	"fernlanding/internal/scale/result"
	"fernlanding/internal/scale/scenario"
)

const (
	spareDescriptors = 256 // of a process, for pipes, listeners and all but connections to list services
	listConnections  = 8000
	maxLists         = 64      // list services
	kernelPerConn    = 8 << 10 // bytes that the kernel holds for both ends of a connection on loopback, about
	probeProxies     = 50      // measured, and then probeMore, before a larger size
	probeMore        = 200
)

// plan is how a size is spread over processes.
type plan struct {
	size    result.Size
	workers int // of hollow proxies
	lists   int
	relays  int
}

// planOf returns the plan of a size.
func planOf(sc *scenario.Scenario, size result.Size) plan {
	p := plan{size: size, workers: min(sc.Processes.Proxies, size.Proxies)}
	switch sc.Source {
	case result.SourceConsul:
		conns := size.Proxies * size.Services
		p.lists = min(max(1, (conns+listConnections-1)/listConnections), maxLists, size.TotalServices)
	case result.SourceRelay:
		p.lists = 1
		p.relays = sc.Processes.Relays
	default: // the lists are part of the configuration
	}
	return p
}

// connections returns the number of connections that a proxy has to list services.
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

// proxiesByDescriptors returns how many proxies the descriptors of the processes allow, of which
// each process has so many.
func (p plan) proxiesByDescriptors(source result.Source, each int) int {
	conns := connections(source, p.size)
	if conns == 0 {
		return scenario.MaxProxies
	}
	room := each - spareDescriptors
	fit := room / conns * p.workers
	servers := p.relays
	if source == result.SourceConsul {
		servers = min(maxLists, p.size.TotalServices)
	}
	return min(fit, room*servers/conns)
}

// footprint is what one proxy costs in memory, in bytes, as measured with few of them.
type footprint struct {
	base    int64 // of all processes without proxies
	proxy   int64 // in the process that has it, for each
	service int64 // in the list service and the relays and the kernel, for each proxy
}

// proxiesWithin returns how many proxies a bound on memory, in bytes, allows.
func (f footprint) proxiesWithin(bound int64) int {
	each := max(1, f.proxy+f.service)
	return int(max(0, bound-f.base) / each)
}

// checkFit returns an error of one line if the size does not fit. It says why, and how many proxies
// fit.
func (p plan) checkFit(source result.Source, each int, f footprint, bound int64) error {
	if fit := p.proxiesByDescriptors(source, each); p.size.Proxies > fit {
		return fmt.Errorf(
			"%d proxies do not fit: %d do, by the %d descriptors of each of %d processes, with %d connections a proxy",
			p.size.Proxies, fit, each, p.workers, connections(source, p.size))
	}
	if fit := f.proxiesWithin(bound); p.size.Proxies > fit {
		return fmt.Errorf(
			"%d proxies do not fit: %d do, by %.1f GB of memory, at %.1f KB a proxy and %.1f KB beside it",
			p.size.Proxies, fit, float64(bound)/(1<<30), float64(f.proxy)/(1<<10), float64(f.service)/(1<<10))
	}
	return nil
}
