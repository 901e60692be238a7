package sweep

import (
	"fmt"

	"fernlanding/internal/scale/result"
	"fernlanding/internal/scale/scenario"
)

const (
	spareDescriptors = 256 // of a process: for its pipes, listeners and what else is not a connection to a list service
	listConnections  = 8000
	maxLists         = 64      // list services
	kernelPerConn    = 8 << 10 // bytes that the kernel holds for both ends of a connection on loopback, about
	probeProxies     = 50      // and probeMore are measured before a larger size is played
	probeMore        = 200
)

// plan is how a size is spread over processes.
type plan struct {
	size    result.Size
	workers int // of hollow proxies
	lists   int
	relays  int
}

// planOf spreads a size over processes.
func planOf(sc *scenario.Scenario, size result.Size) plan {
	p := plan{size: size, workers: min(sc.Processes.Proxies, size.Proxies)}
	switch sc.Source {
	case result.SourceConsul:
		conns := size.Proxies * size.Services
		p.lists = min(max(1, (conns+listConnections-1)/listConnections), maxLists, size.ServicesInAll)
	case result.SourceRelay:
		p.lists, p.relays = 1, sc.Processes.Relays
	}
	return p
}

// connections is how many connections a proxy has to list services.
func connections(source result.Source, size result.Size) int {
	switch source {
	case result.SourceConsul:
		return size.Services
	case result.SourceRelay:
		return 1
	}
	return 0
}

// proxiesByDescriptors is how many proxies the descriptors of the processes allow.
func (p plan) proxiesByDescriptors(source result.Source, each int) int {
	conns := connections(source, p.size)
	if conns == 0 {
		return scenario.MaxProxies
	}
	room := each - spareDescriptors
	fit := room / conns * p.workers
	servers := p.relays
	if source == result.SourceConsul {
		servers = min(maxLists, p.size.ServicesInAll)
	}
	return min(fit, room*servers/conns)
}

// footprint is what one proxy costs in memory, as measured with few of them.
type footprint struct {
	base    int64 // of all processes without proxies
	proxy   int64 // in the process that has it, for each
	service int64 // in the list service and the relays and the kernel, for each proxy
}

// proxiesWithin is how many proxies a bound on memory allows.
func (f footprint) proxiesWithin(bound int64) int {
	each := max(1, f.proxy+f.service)
	return int(max(0, bound-f.base) / each)
}

// checkFit is the one line that says why a size is not played, and how many proxies fit; nil: it is played.
func (p plan) checkFit(source result.Source, each int, f footprint, bound int64) error {
	if fit := p.proxiesByDescriptors(source, each); p.size.Proxies > fit {
		return fmt.Errorf("%d proxies do not fit: %d do, by the %d descriptors of each of %d processes, with %d connections a proxy",
			p.size.Proxies, fit, each, p.workers, connections(source, p.size))
	}
	if fit := f.proxiesWithin(bound); p.size.Proxies > fit {
		return fmt.Errorf("%d proxies do not fit: %d do, by %.1f GB of memory, at %.1f KB a proxy and %.1f KB beside it",
			p.size.Proxies, fit, float64(bound)/(1<<30), float64(f.proxy)/(1<<10), float64(f.service)/(1<<10))
	}
	return nil
}
