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

// segmentsPerCycle is the number of segments per cycle. All segments of a cycle use the same
// schedule: directly, through the sidecars, directly, and through the sidecars. The alternation
// makes a drift of the machine affect both paths equally, and allows a comparison of the first and
// the second direct segments.
const segmentsPerCycle = 4

// Options are the settings of a run that are not part of its plan.
type Options struct {
	Program  string    // program of the sidecar under test
	Progress io.Writer // receives one line per round; nil means no progress output
}

// Run measures the cases of a plan in turn. Each case has its own processes.
func Run(ctx context.Context, p *Plan, o Options) (*Result, error) {
	if o.Progress == nil {
		o.Progress = io.Discard
	}
	r := &Result{
		Format:          Format,
		Plan:            p.Name,
		Date:            time.Now().UTC().Truncate(time.Second),
		GoVersion:       runtime.Version(),
		Cores:           runtime.NumCPU(),
		Seed:            p.Seed,
		Spacing:         p.Spacing,
		SidecarCores:    p.Sidecar.Cores,
		SidecarMemoryMB: p.Sidecar.MemoryMB,
		TargetMS:        p.TargetMS,
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

// caseRun is the state of the measurement of a case.
type caseRun struct {
	plan        *Plan
	testCase    *Case
	chain       *chain
	direct      *pool
	through     *pool
	first       *tally    // first direct segments of all cycles
	second      *tally    // second direct segments of all cycles
	sidecars    *tally    // segments through the sidecars
	sidecarTime schedTime // threads of the sidecars during the segments through them
}

// round holds the outcomes of the segments of one round.
type round struct {
	first, second, through *tally
}

func newRound() *round {
	return &round{first: newTally(), second: newTally(), through: newTally()}
}

func runCase(ctx context.Context, p *Plan, c *Case, o Options) (*CaseResult, error) {
	ch, err := startChain(ctx, o.Program, p, c)
	if err != nil {
		return nil, err
	}
	defer ch.close()
	m := &caseRun{
		plan:     p,
		testCase: c,
		chain:    ch,
		direct:   &pool{addresses: ch.backends, size: c.Connections},
		through:  &pool{addresses: []netip.AddrPort{ch.first}, size: c.Connections},
		first:    newTally(),
		second:   newTally(),
		sidecars: newTally(),
	}
	defer m.direct.close()
	defer m.through.close()
	if err := m.warmUp(ctx); err != nil {
		return nil, err
	}
	out := &CaseResult{
		Name:           c.Name,
		RatePerSecond:  c.Rate,
		Hops:           c.Hops,
		Connections:    c.Connections,
		Backends:       c.Backends,
		SegmentSeconds: p.Segment.Seconds(),
	}
	for i := range c.Rounds {
		f, err := m.round(ctx, i)
		if err != nil {
			return nil, err
		}
		out.Rounds = append(out.Rounds, *f)
		// Errors of the progress output do not stop the run.
		_, _ = fmt.Fprintf(o.Progress,
			"%s, round %d of %d: added p50 %.3f ms, p99 %.3f ms; direct against direct p99 %+.3f ms\n",
			c.Name, i+1, c.Rounds, f.AddedP50, f.AddedP99, f.DirectDifferenceP99)
	}
	all, err := statsOf(&round{first: m.first, second: m.second, through: m.sidecars})
	if err != nil {
		return nil, err
	}
	out.All = *all
	out.SidecarCPUPerCallUS = m.perCall(m.sidecarTime.running)
	out.SidecarWaitPerCallUS = m.perCall(m.sidecarTime.waiting)
	out.fillSpreads()
	return out, nil
}

// perCall returns a time divided by the number of calls through the sidecars, in microseconds.
func (m *caseRun) perCall(t time.Duration) float64 {
	return float64(t.Microseconds()) / float64(m.sidecars.sent)
}

// warmUp puts load on each path for the plan's warm-up and discards the outcome.
func (m *caseRun) warmUp(ctx context.Context) error {
	if m.plan.WarmUp == 0 {
		return nil
	}
	schedule := Schedule(m.plan.Spacing, m.testCase.Rate, callCount(m.testCase.Rate, m.plan.WarmUp), m.plan.Seed)
	for _, p := range []*pool{m.direct, m.through} {
		if err := playSchedule(ctx, p, schedule, newTally()); err != nil {
			return err
		}
	}
	return nil
}

// round measures one round and adds its outcomes to the outcomes of the case.
func (m *caseRun) round(ctx context.Context, number int) (*Stats, error) {
	r := newRound()
	for cycle := range m.testCase.Cycles {
		seed := m.plan.Seed + uint64(1+number*m.testCase.Cycles+cycle)
		schedule := Schedule(m.plan.Spacing, m.testCase.Rate, callCount(m.testCase.Rate, m.plan.Segment), seed)
		for _, direct := range []*tally{r.first, r.second} {
			if err := playSchedule(ctx, m.direct, schedule, direct); err != nil {
				return nil, err
			}
			if err := m.measureThrough(ctx, schedule, r.through); err != nil {
				return nil, err
			}
		}
	}
	m.first.add(r.first)
	m.second.add(r.second)
	m.sidecars.add(r.through)
	return statsOf(r)
}

// measureThrough plays a schedule through the sidecars and adds the CPU and wait times of their
// threads.
func (m *caseRun) measureThrough(ctx context.Context, schedule []time.Duration, t *tally) error {
	before, err := m.chain.sidecarUsage()
	if err != nil {
		return err
	}
	if err := playSchedule(ctx, m.through, schedule, t); err != nil {
		return err
	}
	after, err := m.chain.sidecarUsage()
	m.sidecarTime = m.sidecarTime.plus(after.minus(before))
	return err
}

// statsOf returns the statistics of the segments of a round.
func statsOf(r *round) (*Stats, error) {
	load, err := loadAverage()
	if err != nil {
		return nil, err
	}
	for _, t := range []*tally{r.first, r.second, r.through} {
		if t.served == 0 {
			first := fmt.Sprint(t.failure) // nil if all calls were rejected
			return nil, fmt.Errorf("no calls served: %d sent, %d rejected, first failure: %s",
				t.sent, t.rejected, first)
		}
	}
	direct, all := newTally(), newTally()
	direct.add(r.first)
	direct.add(r.second)
	all.add(direct)
	all.add(r.through)
	first, second := quantilesOf(r.first.latency), quantilesOf(r.second.latency)
	f := &Stats{
		DirectCalls:         direct.sent,
		ThroughCalls:        r.through.sent,
		Rejected:            all.rejected,
		Failed:              all.sent - all.served - all.rejected,
		Waited:              all.waited,
		Direct:              quantilesOf(direct.latency),
		Through:             quantilesOf(r.through.latency),
		CoupledP99:          coupledP99(direct.latency, r.through.latency),
		DirectDifferenceP50: second.P50 - first.P50,
		DirectDifferenceP99: second.P99 - first.P99,
		SendLatenessP50:     quantileOf(all.sendLateness, 50),
		SendLatenessP99:     quantileOf(all.sendLateness, 99),
		ReceiveLatenessP99:  quantileOf(all.receiveLateness, 99),
		LoadAverage:         load,
	}
	f.AddedP50 = f.Through.P50 - f.Direct.P50
	f.AddedP90 = f.Through.P90 - f.Direct.P90
	f.AddedP99 = f.Through.P99 - f.Direct.P99
	if all.failure != nil {
		f.Failure = all.failure.Error()
	}
	return f, nil
}

func quantileOf(h *hdrhistogram.Histogram, percent float64) float64 {
	return inMilliseconds(h.ValueAtPercentile(percent))
}

// loadAverage returns the machine's load averages over 1, 5 and 15 minutes.
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
