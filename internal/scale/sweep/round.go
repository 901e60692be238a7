package sweep

import (
	"context"
	"fmt"
	"time"

	"fernlanding/internal/scale/result"
	"fernlanding/internal/scale/topology"
	"fernlanding/internal/scale/worker"
	"fernlanding/internal/sleep"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// measureRound measures one round.
func (ps *processes) measureRound(ctx context.Context, duration time.Duration) (result.Round, error) {
	var r result.Round
	if _, err := ps.takeChanges(ctx); err != nil { // discards earlier changes
		return r, err
	}
	before, err := ps.sampleUsage(ctx)
	if err != nil {
		return r, err
	}
	if !sleep.For(ctx, duration) {
		return r, ctx.Err()
	}
	after, err := ps.sampleUsage(ctx)
	if err != nil {
		return r, err
	}
	changes, err := ps.takeChanges(ctx)
	if err != nil {
		return r, err
	}
	memory, err := ps.residentMemory()
	if err != nil {
		return r, err
	}
	r = ps.roundOf(before, after, memory)
	if len(changes) > 0 && !sleep.For(ctx, ps.runner.scenario.SettleTime) {
		return r, ctx.Err()
	}
	return r, ps.collect(ctx, changes, &r)
}

// roundOf returns the costs between two samples.
func (ps *processes) roundOf(before, after usageSample, memory roleMemory) result.Round {
	r := result.Round{
		Seconds: after.at.Sub(before.at).Seconds(),
		Proxies: costBetween(before.proxies, after.proxies),
		Lists:   costBetween(before.lists, after.lists),
		Relays:  costBetween(before.relays, after.relays),
	}
	if !ps.runner.scenario.Hollow {
		// Real proxies do not count their control traffic. The counts of their peers are used instead.
		r.Proxies = peerTraffic(r.Lists)
		if len(ps.relays) > 0 {
			r.Proxies = peerTraffic(costBetween(before.followers, after.followers))
		}
		r.Proxies.Processes = len(ps.realProxies)
		r.Proxies.CPUSeconds = after.realCPU - before.realCPU
	}
	r.Proxies.RSSBytes = memory.proxies
	r.Lists.RSSBytes = memory.lists
	r.Relays.RSSBytes = memory.relays
	return r
}

// takeChanges returns the changes made since the last call of takeChanges.
func (ps *processes) takeChanges(ctx context.Context) ([]worker.Change, error) {
	replies, err := ps.group.requestAll(ctx, ps.lists, worker.Command{Kind: worker.CommandChanges})
	if err != nil {
		return nil, err
	}
	var changes []worker.Change
	for _, r := range replies {
		changes = append(changes, r.Changes...)
	}
	return changes, nil
}

// collect adds the state after a garbage collection, the propagation times of the changes and the
// latencies of calls to a round.
func (ps *processes) collect(ctx context.Context, changes []worker.Change, r *result.Round) error {
	command := worker.Command{Kind: worker.CommandCollect, Changes: changes}
	replies, err := ps.group.requestAll(ctx, ps.workers, command)
	if err != nil {
		return err
	}
	propagation, calls := worker.NewPropagationHistogram(), hdrhistogram.New(1, int64(time.Minute), 3)
	for i, reply := range replies {
		addState(&r.Proxies, reply.State)
		if err := ps.checkState(ps.workers[i], reply.State); err != nil {
			return err
		}
		if err := mergeHistogram(propagation, reply.State.Propagation); err != nil {
			return err
		}
		if err := mergeHistogram(calls, reply.State.Calls); err != nil {
			return err
		}
	}
	r.Late = ps.expectedPropagations(changes) - propagation.TotalCount()
	r.Propagation = summaryOf(propagation, time.Microsecond)
	r.Call = summaryOf(calls, time.Nanosecond)
	if ps.runner.scenario.Source == result.SourceRelay {
		return nil // sources and relays do not report their heap sizes
	}
	replies, err = ps.group.requestAll(ctx, ps.lists, worker.Command{Kind: worker.CommandCollect})
	if err != nil {
		return err
	}
	for _, reply := range replies {
		addState(&r.Lists, reply.State)
	}
	return nil
}

// checkState returns an error if the measurement of a worker is incomplete. It logs calls that were
// not served.
func (ps *processes) checkState(name string, s worker.State) error {
	for proxy, reason := range s.Failures {
		return fmt.Errorf("%s: %s failed: %s", name, proxy, reason)
	}
	if s.Lost > 0 {
		return fmt.Errorf("%s: %d applied versions dropped", name, s.Lost)
	}
	if s.NotServed+s.Skipped > 0 {
		ps.runner.logf("%s: %d calls rejected or failed, %d skipped, of %d",
			name, s.NotServed, s.Skipped, s.Served+s.NotServed+s.Skipped)
	}
	return nil
}

// expectedPropagations returns how many times the changes have to be applied, over all proxies that
// follow their services.
func (ps *processes) expectedPropagations(changes []worker.Change) int64 {
	if ps.followers == nil {
		ps.followers = map[string]int64{}
		for n := range ps.layout.Size.Proxies {
			for _, service := range ps.layout.FollowedServices(n) {
				ps.followers[topology.ServiceName(service)]++
			}
		}
	}
	sum := int64(0)
	for _, change := range changes {
		sum += ps.followers[change.Service]
	}
	return sum
}

func addState(cost *result.Cost, s worker.State) {
	cost.HeapBytes += s.HeapBytes
	cost.Goroutines += s.Goroutines
}

// mergeHistogram adds an encoded histogram to another histogram. Empty data is an empty histogram.
func mergeHistogram(to *hdrhistogram.Histogram, data []byte) error {
	if len(data) == 0 {
		return nil
	}
	h, err := hdrhistogram.Decode(data)
	if err != nil {
		return fmt.Errorf("histogram: %w", err)
	}
	if dropped := to.Merge(h); dropped > 0 {
		return fmt.Errorf("histogram: %d values out of range", dropped)
	}
	return nil
}

// summaryOf returns the summary of a histogram whose values have the given unit.
func summaryOf(h *hdrhistogram.Histogram, unit time.Duration) result.TimeSummary {
	if h.TotalCount() == 0 {
		return result.TimeSummary{}
	}
	seconds := func(n int64) float64 { return float64(n) * unit.Seconds() }
	return result.TimeSummary{
		Count: h.TotalCount(),
		P50:   seconds(h.ValueAtQuantile(50)),
		P99:   seconds(h.ValueAtQuantile(99)),
		Max:   seconds(h.Max()),
	}
}
