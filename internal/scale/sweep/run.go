// Package sweep plays the sweeps of fernctl scale: for each size it starts the processes, lets them warm up, and measures
// rounds of what each role uses.
package sweep

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"time"

	"fernlanding/internal/scale/result"
	"fernlanding/internal/scale/scenario"
	"fernlanding/internal/sleep"
)

// Options say how a sweep is played.
type Options struct {
	Worker      []string  // the program that is a worker, with its arguments
	Sidecar     []string  // the program that real proxies run, with its first arguments
	Relay       []string  // the program that is a source or a relay of distribution
	MemoryBytes int64     // that all processes may use; 0: half of the machine's
	HeldOut     Selection // whether the held-out size is played
	Log         io.Writer // takes a line for each round
}

// Selection says which sizes are played.
type Selection int

// The selections.
const (
	All            Selection = iota
	WithoutHeldOut           // not the held-out size
	HeldOutOnly              // the held-out size alone
)

// select are the points that are played.
func (s Selection) points(all []result.Point) (out []result.Point) {
	for _, p := range all {
		if s == All || p.HeldOut == (s == HeldOutOnly) {
			out = append(out, p)
		}
	}
	return out
}

// Run plays a sweep. A size that does not fit on the machine is refused before any is played.
func Run(ctx context.Context, sc *scenario.Scenario, opts Options) (*result.Result, error) {
	points := opts.HeldOut.points(sc.Points())
	if len(points) == 0 {
		return nil, fmt.Errorf("scale: %s has no held-out size", sc.Name)
	}
	dir, err := os.MkdirTemp("", "scale")
	if err != nil {
		return nil, fmt.Errorf("scale: %w", err)
	}
	defer os.RemoveAll(dir)
	s := &runner{scenario: sc, options: opts, dir: dir}
	if err := s.checkFit(ctx, points); err != nil {
		return nil, fmt.Errorf("scale: %w", err)
	}
	out := &result.Result{
		Format: result.Format, Scenario: sc.Name, Source: sc.Source, Dimension: sc.Dimension, Hollow: sc.Hollow,
		Date: time.Now().UTC().Format(time.RFC3339), Program: revision(), GoVersion: runtime.Version(), Cores: runtime.NumCPU(), LoadBefore: loadAverage(),
	}
	for _, p := range points {
		if p.Rounds, err = s.runSize(ctx, p.Size); err != nil {
			return nil, fmt.Errorf("scale: %s = %s: %w", sc.Dimension, describe(p.Size), err)
		}
		out.Points = append(out.Points, p)
	}
	return out, nil
}

// revision is the one of the sources that this program was built from.
func revision() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	at, changed := "unknown", ""
	for _, s := range info.Settings {
		switch {
		case s.Key == "vcs.revision":
			at = s.Value
		case s.Key == "vcs.modified" && s.Value == "true":
			changed = "+changes"
		}
	}
	return at + changed
}

func describe(s result.Size) string {
	return fmt.Sprintf("%d proxies, %d of %d services of %d, %g changes and %g calls a second", s.Proxies, s.Services, s.ServicesInAll, s.Backends,
		s.ChangesPerSecond, s.CallsPerSecond)
}

// runner plays one sweep.
type runner struct {
	scenario *scenario.Scenario
	options  Options
	dir      string // of the configurations of real proxies
}

// checkFit refuses sizes that do not fit. It measures a few proxies of the largest size.
func (s *runner) checkFit(ctx context.Context, points []result.Point) error {
	largest := points[len(points)-1].Size
	each, err := descriptors()
	if err != nil {
		return err
	}
	bound := s.options.MemoryBytes
	if bound == 0 {
		machine, err := machineBytes()
		if err != nil {
			return err
		}
		bound = machine / 2
	}
	p := planOf(s.scenario, largest)
	if err := p.checkFit(s.scenario.Source, each, footprint{}, bound); err != nil {
		return err
	}
	if largest.Proxies <= probeMore {
		return nil
	}
	f, err := s.measureFootprint(ctx, largest)
	if err != nil {
		return fmt.Errorf("probe: %w", err)
	}
	s.logf("measured %d and %d proxies: %.1f KB a proxy and %.1f KB beside it, %.1f MB without any; %d fit in %.1f GB", probeProxies, probeMore,
		float64(f.proxy)/(1<<10), float64(f.service)/(1<<10), float64(f.base)/(1<<20), f.proxiesWithin(bound), float64(bound)/(1<<30))
	return p.checkFit(s.scenario.Source, each, f, bound)
}

// measureFootprint measures what a proxy of a size costs in memory, from two plays with few proxies in one process.
func (s *runner) measureFootprint(ctx context.Context, size result.Size) (f footprint, err error) {
	few, err := s.measureMemory(ctx, size, probeProxies)
	if err != nil {
		return f, err
	}
	more, err := s.measureMemory(ctx, size, probeMore)
	if err != nil {
		return f, err
	}
	const extra = probeMore - probeProxies
	f.proxy = max(0, more.proxies-few.proxies) / extra
	f.service = max(0, more.lists+more.relays-few.lists-few.relays)/extra + int64(connections(s.scenario.Source, size))*kernelPerConn
	p := planOf(s.scenario, size)
	if s.scenario.Hollow {
		f.base = max(0, few.proxies-probeProxies*f.proxy) * int64(p.workers)
	}
	f.base += few.lists*int64(max(1, p.lists)) + few.relays*int64(p.relays)
	return f, nil
}

// measureMemory is what the processes of a size with few proxies hold, with one process for each role.
func (s *runner) measureMemory(ctx context.Context, size result.Size, proxies int) (m roleMemory, err error) {
	size.Proxies = proxies
	p := planOf(s.scenario, size)
	p.workers, p.lists, p.relays = min(1, p.workers), min(1, p.lists), min(1, p.relays)
	c, err := s.startProcesses(ctx, size, p)
	if err != nil {
		return m, err
	}
	defer c.group.close()
	if err := c.startLoad(ctx); err != nil {
		return m, err
	}
	if !sleep.For(ctx, s.scenario.WarmUp) {
		return m, ctx.Err()
	}
	return c.residentMemory()
}

// runSize plays one size.
func (s *runner) runSize(ctx context.Context, size result.Size) (rounds []result.Round, err error) {
	c, err := s.startProcesses(ctx, size, planOf(s.scenario, size))
	if err != nil {
		return nil, err
	}
	defer c.group.close()
	if err := c.startLoad(ctx); err != nil {
		return nil, err
	}
	if !sleep.For(ctx, s.scenario.WarmUp) {
		return nil, ctx.Err()
	}
	for i := range s.scenario.Rounds {
		r, err := c.measureRound(ctx, s.scenario.Span)
		if err := errors.Join(err, c.group.failure()); err != nil {
			return nil, fmt.Errorf("round %d: %w", i+1, err)
		}
		rounds = append(rounds, r)
		s.logf("%s: round %d: proxies %.3f s CPU, %.1f MB RSS, %.1f MB heap, %d B in, %d B out; lists %.3f s, %.1f MB; relays %.3f s, %.1f MB; in force %d, p50 %.4f, p99 %.4f, max %.4f s; calls %d, p99 %.1f us",
			describe(size), i+1, r.Proxies.CPUSeconds, megabytes(r.Proxies.RSSBytes), megabytes(r.Proxies.HeapBytes), r.Proxies.BytesIn, r.Proxies.BytesOut,
			r.Lists.CPUSeconds, megabytes(r.Lists.RSSBytes), r.Relays.CPUSeconds, megabytes(r.Relays.RSSBytes),
			r.InForce.Count, r.InForce.P50, r.InForce.P99, r.InForce.Max, r.Call.Count, r.Call.P99*1e6)
	}
	return rounds, nil
}

func megabytes(n int64) float64 { return float64(n) / (1 << 20) }

func (s *runner) logf(format string, args ...any) {
	if s.options.Log != nil {
		fmt.Fprintf(s.options.Log, format+"\n", args...)
	}
}

// writeConfig writes a real proxy's configuration and returns its path.
func (s *runner) writeConfig(name string, data []byte) (string, error) {
	path := filepath.Join(s.dir, name+".toml")
	return path, os.WriteFile(path, data, 0o600)
}
