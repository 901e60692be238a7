package sweep

import (
	"context"
	"fmt"

	"fernlanding/internal/scale/result"
	"fernlanding/internal/sleep"
)

// checkFit returns an error if the largest size does not fit on the machine. It measures the
// footprint with a small number of proxies.
func (r *runner) checkFit(ctx context.Context, points []result.Point) error {
	largest := points[len(points)-1].Size
	each, err := maxDescriptors()
	if err != nil {
		return err
	}
	bound := r.options.MemoryBytes
	if bound == 0 {
		machine, err := machineMemoryBytes()
		if err != nil {
			return err
		}
		bound = machine / 2
	}
	p := planOf(r.scenario, largest)
	if err := p.checkFit(r.scenario.Source, each, footprint{}, bound); err != nil {
		return err
	}
	if largest.Proxies <= largerProbeProxies {
		return nil
	}
	f, err := r.measureFootprint(ctx, largest)
	if err != nil {
		return fmt.Errorf("footprint: %w", err)
	}
	r.logf("footprint measured with %d and %d proxies: %.1f KB per proxy in its process, %.1f KB elsewhere, "+
		"%.1f MB without proxies; limit %d proxies in %.1f GB",
		probeProxies, largerProbeProxies,
		float64(f.proxy)/(1<<10), float64(f.service)/(1<<10), float64(f.base)/(1<<20),
		f.proxiesWithin(bound), float64(bound)/(1<<30))
	return p.checkFit(r.scenario.Source, each, f, bound)
}

// measureFootprint measures the memory cost of a proxy of a size, in two runs with small numbers of
// proxies in one process.
func (r *runner) measureFootprint(ctx context.Context, size result.Size) (f footprint, err error) {
	small, err := r.measureMemory(ctx, size, probeProxies)
	if err != nil {
		return f, err
	}
	large, err := r.measureMemory(ctx, size, largerProbeProxies)
	if err != nil {
		return f, err
	}
	const extra = largerProbeProxies - probeProxies
	f.proxy = max(0, large.proxies-small.proxies) / extra
	servers := max(0, large.lists+large.relays-small.lists-small.relays) / extra
	f.service = servers + int64(connections(r.scenario.Source, size))*kernelBytesPerConn
	p := planOf(r.scenario, size)
	if r.scenario.Hollow {
		f.base = max(0, small.proxies-probeProxies*f.proxy) * int64(p.workers)
	}
	f.base += small.lists*int64(max(1, p.lists)) + small.relays*int64(p.relays)
	return f, nil
}

// measureMemory returns the resident memory of the processes of a size with the given number of
// proxies and at most one process per role.
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
