package sweep

import (
	"context"
	"fmt"

	"fernlanding/internal/scale/result"
	"fernlanding/internal/sleep"
)

// checkFit returns an error if the largest size does not fit on the machine. It measures a few
// proxies of that size.
func (r *runner) checkFit(ctx context.Context, points []result.Point) error {
	largest := points[len(points)-1].Size
	each, err := descriptors()
	if err != nil {
		return err
	}
	bound := r.options.MemoryBytes
	if bound == 0 {
		machine, err := machineBytes()
		if err != nil {
			return err
		}
		bound = machine / 2
	}
	p := planOf(r.scenario, largest)
	if err := p.checkFit(r.scenario.Source, each, footprint{}, bound); err != nil {
		return err
	}
	if largest.Proxies <= probeMore {
		return nil
	}
	f, err := r.measureFootprint(ctx, largest)
	if err != nil {
		return fmt.Errorf("probe: %w", err)
	}
	r.logf("measured %d and %d proxies: %.1f KB a proxy and %.1f KB beside it, %.1f MB without any; %d fit in %.1f GB",
		probeProxies, probeMore,
		float64(f.proxy)/(1<<10), float64(f.service)/(1<<10), float64(f.base)/(1<<20),
		f.proxiesWithin(bound), float64(bound)/(1<<30))
	return p.checkFit(r.scenario.Source, each, f, bound)
}

// measureFootprint measures what a proxy of a size costs in memory, by two runs with few proxies in
// one process.
func (r *runner) measureFootprint(ctx context.Context, size result.Size) (f footprint, err error) {
	few, err := r.measureMemory(ctx, size, probeProxies)
	if err != nil {
		return f, err
	}
	more, err := r.measureMemory(ctx, size, probeMore)
	if err != nil {
		return f, err
	}
	const extra = probeMore - probeProxies
	f.proxy = max(0, more.proxies-few.proxies) / extra
	servers := max(0, more.lists+more.relays-few.lists-few.relays) / extra
	f.service = servers + int64(connections(r.scenario.Source, size))*kernelPerConn
	p := planOf(r.scenario, size)
	if r.scenario.Hollow {
		f.base = max(0, few.proxies-probeProxies*f.proxy) * int64(p.workers)
	}
	f.base += few.lists*int64(max(1, p.lists)) + few.relays*int64(p.relays)
	return f, nil
}

// measureMemory returns the memory of the processes of a size with few proxies, with one process
// for each role.
func (r *runner) measureMemory(ctx context.Context, size result.Size, proxies int) (m roleMemory, err error) {
	size.Proxies = proxies
	p := planOf(r.scenario, size)
	p.workers = min(1, p.workers)
	p.lists = min(1, p.lists)
	p.relays = min(1, p.relays)
	ps, err := r.startProcesses(ctx, size, p)
	if err != nil {
		return m, err
	}
	defer ps.group.close()
	if err := ps.startLoad(ctx); err != nil {
		return m, err
	}
	if !sleep.For(ctx, r.scenario.WarmUp) {
		return m, ctx.Err()
	}
	return ps.residentMemory()
}
