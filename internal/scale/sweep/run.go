// Package sweep runs the sweeps of fernctl scale run. For each size, it starts the processes, waits
// for the warm-up, and measures the resource usage of each role in rounds.
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

// Options are the settings of a run.
type Options struct {
	Worker      []string  // command line of a worker
	Sidecar     []string  // program of real proxies with its first arguments
	Relay       []string  // program of sources and relays of distribution with its first arguments
	MemoryBytes int64     // memory limit of all processes; 0 means half of the machine's memory
	Selection   Selection // sizes to measure
	Log         io.Writer // receives one line per round; nil means no log
}

// Selection selects the sizes of a sweep to measure.
type Selection int

// The selections.
const (
	All            Selection = iota
	WithoutHeldOut           // all sizes except the held-out size
	HeldOutOnly              // the held-out size only
)

// points returns the selected points.
func (s Selection) points(all []result.Point) []result.Point {
	var out []result.Point
	for _, p := range all {
		if s == All || p.HeldOut == (s == HeldOutOnly) {
			out = append(out, p)
		}
	}
	return out
}

// Run measures a sweep. If a size does not fit on the machine, Run returns an error before it
// measures any size.
func Run(ctx context.Context, sc *scenario.Scenario, opts Options) (*result.Result, error) {
	points := opts.Selection.points(sc.Points())
	if len(points) == 0 {
		return nil, fmt.Errorf("scale: %s has no held-out size", sc.Name)
	}
	dir, err := os.MkdirTemp("", "scale")
	if err != nil {
		return nil, fmt.Errorf("scale: %w", err)
	}
	defer func() { _ = os.RemoveAll(dir) }() // on failure, files remain in the temporary directory
	r := &runner{scenario: sc, options: opts, dir: dir}
	if err := r.checkFit(ctx, points); err != nil {
		return nil, fmt.Errorf("scale: %w", err)
	}
	out := &result.Result{
		Format:     result.Format,
		Scenario:   sc.Name,
		Source:     sc.Source,
		Dimension:  sc.Dimension,
		Hollow:     sc.Hollow,
		Date:       time.Now().UTC().Format(time.RFC3339),
		Program:    revision(),
		GoVersion:  runtime.Version(),
		Cores:      runtime.NumCPU(),
		LoadBefore: loadAverage(),
	}
	for _, p := range points {
		p.Rounds, err = r.runSize(ctx, p.Size)
		if err != nil {
			return nil, fmt.Errorf("scale: %s = %s: %w", sc.Dimension, sizeText(p.Size), err)
		}
		out.Points = append(out.Points, p)
	}
	return out, nil
}

// revision returns the source revision of this program.
func revision() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	revision, suffix := "unknown", ""
	for _, s := range info.Settings {
		switch {
		case s.Key == "vcs.revision":
			revision = s.Value
		case s.Key == "vcs.modified" && s.Value == "true":
			suffix = "+changes"
		}
	}
	return revision + suffix
}

func sizeText(s result.Size) string {
	return fmt.Sprintf("%d proxies, %d of %d services of %d, %g changes and %g calls a second",
		s.Proxies, s.Services, s.TotalServices, s.Backends, s.ChangesPerSecond, s.CallsPerSecond)
}

// runner runs one sweep.
type runner struct {
	scenario *scenario.Scenario
	options  Options
	dir      string // directory of the configurations of real proxies
}

// runSize measures the rounds of one size.
func (r *runner) runSize(ctx context.Context, size result.Size) ([]result.Round, error) {
	ps, err := r.startProcesses(ctx, size, planOf(r.scenario, size))
	if err != nil {
		return nil, err
	}
	defer ps.group.close()
	if err := ps.startLoad(ctx); err != nil {
		return nil, err
	}
	if !sleep.For(ctx, r.scenario.WarmUp) {
		return nil, ctx.Err()
	}
	var rounds []result.Round
	for i := range r.scenario.Rounds {
		round, err := ps.measureRound(ctx, r.scenario.RoundDuration)
		if err := errors.Join(err, ps.group.unexpectedExit()); err != nil {
			return nil, fmt.Errorf("round %d: %w", i+1, err)
		}
		rounds = append(rounds, round)
		r.logRound(size, i+1, &round)
	}
	return rounds, nil
}

func (r *runner) logRound(size result.Size, number int, round *result.Round) {
	proxies, lists, relays := round.Proxies, round.Lists, round.Relays
	r.logf("%s: round %d: "+
		"proxies %.3f s CPU, %.1f MB RSS, %.1f MB heap, %d B in, %d B out; "+
		"lists %.3f s, %.1f MB; relays %.3f s, %.1f MB; "+
		"propagations %d, p50 %.4f, p99 %.4f, max %.4f s; calls %d, p99 %.1f us",
		sizeText(size), number,
		proxies.CPUSeconds, megabytes(proxies.RSSBytes), megabytes(proxies.HeapBytes),
		proxies.BytesIn, proxies.BytesOut,
		lists.CPUSeconds, megabytes(lists.RSSBytes), relays.CPUSeconds, megabytes(relays.RSSBytes),
		round.Propagation.Count, round.Propagation.P50, round.Propagation.P99, round.Propagation.Max,
		round.Call.Count, round.Call.P99*1e6)
}

func megabytes(n int64) float64 { return float64(n) / (1 << 20) }

func (r *runner) logf(format string, args ...any) {
	if r.options.Log != nil {
		_, _ = fmt.Fprintf(r.options.Log, format+"\n", args...) // log errors do not stop a run
	}
}

// writeConfig writes the configuration of a real proxy and returns the path of the file.
func (r *runner) writeConfig(name string, data []byte) (string, error) {
	path := filepath.Join(r.dir, name+".toml")
	return path, os.WriteFile(path, data, 0o600)
}
