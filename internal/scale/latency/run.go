package latency

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"os"
	"runtime"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Each cycle plays one schedule four times: directly, through the sidecars, directly, and through them again. So a drift of the
// machine meets both ways alike, and the first and second direct segments can be held against each other.
const segmentsPerCycle = 4

// Options are what a run needs beside its plan.
type Options struct {
	Program  string    // the sidecar's
	Progress io.Writer // one line a round; nil: none
}

// Run plays a plan: the cases in turn, each on processes of its own.
func Run(ctx context.Context, p *Plan, o Options) (*Result, error) {
	if o.Progress == nil {
		o.Progress = io.Discard
	}
	r := &Result{
		Format: Format, Plan: p.Name, Date: time.Now().UTC().Truncate(time.Second), GoVersion: runtime.Version(), Cores: runtime.NumCPU(),
		Seed: p.Seed, Spacing: p.Spacing, SidecarCores: p.Sidecar.Cores, SidecarMemoryMB: p.Sidecar.MemoryMB, TargetMS: p.TargetMS,
	}
	for i := range p.Cases {
		c, err := runCase(ctx, p, &p.Cases[i], o)
		if err != nil {
			return nil, fmt.Errorf("case %s: %w", p.Cases[i].Name, err)
		}
		r.Cases = append(r.Cases, *c)
	}
	return r, nil
}

// measurement is a case that is being measured.
type measurement struct {
	plan            *Plan
	of              *Case
	chain           *chain
	direct, through *pool
	first, second   *tally // of the direct segments, of all rounds
	sidecars        *tally // of the others
	used            usage  // of the sidecars, while calls went through them
}

// round is what came of one round's segments.
type round struct {
	first, second, through *tally
}

func newRound() *round { return &round{newTally(), newTally(), newTally()} }

func runCase(ctx context.Context, p *Plan, c *Case, o Options) (*CaseResult, error) {
	ch, err := startChain(ctx, o.Program, p, c)
	if err != nil {
		return nil, err
	}
	defer ch.end()
	m := &measurement{
		plan: p, of: c, chain: ch,
		direct:  &pool{addresses: ch.backends, size: c.Connections},
		through: &pool{addresses: []netip.AddrPort{ch.first}, size: c.Connections},
		first:   newTally(), second: newTally(), sidecars: newTally(),
	}
	defer m.direct.close()
	defer m.through.close()
	if err := m.warm(ctx); err != nil {
		return nil, err
	}
	out := &CaseResult{
		Name: c.Name, RatePerSecond: c.Rate, Hops: c.Hops, Connections: c.Connections, Backends: c.Backends,
		SegmentSeconds: p.Segment.Seconds(),
	}
	for i := range c.Rounds {
		f, err := m.round(ctx, i)
		if err != nil {
			return nil, err
		}
		out.Rounds = append(out.Rounds, *f)
		fmt.Fprintf(o.Progress, "%s, round %d of %d: added p50 %.3f ms, p99 %.3f ms; direct against direct p99 %+.3f ms\n",
			c.Name, i+1, c.Rounds, f.AddedP50, f.AddedP99, f.SameP99)
	}
	all, err := figuresOf(&round{m.first, m.second, m.sidecars})
	if err != nil {
		return nil, err
	}
	out.All = *all
	out.SidecarCPUPerCallUS = m.perCall(m.used.running)
	out.SidecarWaitPerCallUS = m.perCall(m.used.waiting)
	out.sum()
	return out, nil
}

// perCall is a time's part in microseconds for each call that went through the sidecars.
func (m *measurement) perCall(t time.Duration) float64 {
	return float64(t.Microseconds()) / float64(m.sidecars.sent)
}

// warm plays each way for a while, of which nothing is kept.
func (m *measurement) warm(ctx context.Context) error {
	if m.plan.Warm == 0 {
		return nil
	}
	schedule := Schedule(m.plan.Spacing, m.of.Rate, callsOf(m.of.Rate, m.plan.Warm), m.plan.Seed)
	for _, p := range []*pool{m.direct, m.through} {
		if err := play(ctx, p, schedule, newTally()); err != nil {
			return err
		}
	}
	return nil
}

// round plays one round and adds it to the case's.
func (m *measurement) round(ctx context.Context, number int) (*Figures, error) {
	r := newRound()
	for cycle := range m.of.Cycles {
		seed := m.plan.Seed + uint64(1+number*m.of.Cycles+cycle)
		schedule := Schedule(m.plan.Spacing, m.of.Rate, callsOf(m.of.Rate, m.plan.Segment), seed)
		for _, direct := range []*tally{r.first, r.second} {
			if err := play(ctx, m.direct, schedule, direct); err != nil {
				return nil, err
			}
			if err := m.playThrough(ctx, schedule, r.through); err != nil {
				return nil, err
			}
		}
	}
	m.first.add(r.first)
	m.second.add(r.second)
	m.sidecars.add(r.through)
	return figuresOf(r)
}

// playThrough plays a schedule through the sidecars and counts what they use of the cores for it.
func (m *measurement) playThrough(ctx context.Context, schedule []time.Duration, t *tally) error {
	before, err := m.chain.sidecarUsage()
	if err != nil {
		return err
	}
	if err := play(ctx, m.through, schedule, t); err != nil {
		return err
	}
	after, err := m.chain.sidecarUsage()
	m.used = m.used.plus(after.minus(before))
	return err
}

// figuresOf works out the figures of segments.
func figuresOf(r *round) (*Figures, error) {
	load, err := loadAverage()
	if err != nil {
		return nil, err
	}
	for _, t := range []*tally{r.first, r.second, r.through} {
		if t.served == 0 {
			return nil, fmt.Errorf("none of %d calls was served, %d were refused; first failure: %v", t.sent, t.refused, t.failure)
		}
	}
	direct, all := newTally(), newTally()
	direct.add(r.first)
	direct.add(r.second)
	all.add(direct)
	all.add(r.through)
	first, second := quantilesOf(r.first.latency), quantilesOf(r.second.latency)
	f := &Figures{
		DirectCalls: direct.sent, ThroughCalls: r.through.sent, Refused: all.refused, Failed: all.sent - all.served - all.refused, Waited: all.waited,
		Direct: quantilesOf(direct.latency), Through: quantilesOf(r.through.latency),
		CoupledP99: coupledP99(direct.latency, r.through.latency),
		SameP50:    second.P50 - first.P50, SameP99: second.P99 - first.P99,
		SendLatenessP50:    quantileOf(all.sendLate, 50),
		SendLatenessP99:    quantileOf(all.sendLate, 99),
		ReceiveLatenessP99: quantileOf(all.receiveLate, 99),
		LoadAverage:        load,
	}
	f.AddedP50, f.AddedP90, f.AddedP99 = f.Through.P50-f.Direct.P50, f.Through.P90-f.Direct.P90, f.Through.P99-f.Direct.P99
	if all.failure != nil {
		f.Failure = all.failure.Error()
	}
	return f, nil
}

func quantileOf(h *hdrhistogram.Histogram, percent float64) float64 {
	return inMilliseconds(h.ValueAtPercentile(percent))
}

// loadAverage is the machine's, over 1, 5 and 15 minutes.
func loadAverage() (load [3]float64, err error) {
	const file = "/proc/loadavg"
	data, err := os.ReadFile(file)
	if err != nil {
		return load, err
	}
	if _, err := fmt.Sscan(string(data), &load[0], &load[1], &load[2]); err != nil {
		return load, fmt.Errorf("%s: %w", file, err)
	}
	return load, nil
}
