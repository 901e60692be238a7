package sweep

import (
	"context"
	"fmt"
	"net"
	"time"

	"fernlanding/internal/scale/result"
	"fernlanding/internal/scale/topology"
	"fernlanding/internal/scale/worker"
	"fernlanding/internal/sleep"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	listenPollInterval = 20 * time.Millisecond
	listenTimeout      = time.Minute
	realStartInterval  = 10 * time.Millisecond // between the starts of two real proxies
)

// processes is the processes of one size by their roles.
type processes struct {
	runner      *runner
	group       *processGroup
	layout      topology.Layout
	plan        plan
	lists       []string // workers that are list services, or the one that writes to the source
	source      []server // of distribution
	relays      []server
	workers     []string // those with hollow proxies
	realProxies []string // processes of real proxies

	followers map[string]int64 // proxies by the services that they follow; nil: not counted yet
}

// startProcesses starts the processes of a size. Their proxies are not started yet.
func (s *runner) startProcesses(ctx context.Context, size result.Size, p plan) (*processes, error) {
	c := &processes{runner: s, group: newProcessGroup(s.options.Worker), plan: p, layout: topology.Layout{Source: s.scenario.Source, Size: size, Seed: s.scenario.Seed}}
	if err := c.startServices(ctx); err != nil {
		c.group.close()
		return nil, err
	}
	return c, nil
}

// startServices starts all processes but real proxies.
func (c *processes) startServices(ctx context.Context) error {
	s, size, p := c.runner, c.layout.Size, c.plan
	if s.scenario.Source == result.SourceRelay {
		if err := c.startDistribution(ctx); err != nil {
			return err
		}
	} else if err := c.startListServices(ctx); err != nil {
		return err
	}
	if !s.scenario.Hollow {
		return nil
	}
	for i := range p.workers {
		name := fmt.Sprintf("hollow-%d", i+1)
		first, next := size.Proxies*i/p.workers, size.Proxies*(i+1)/p.workers
		if _, err := c.group.startWorker(ctx, name, worker.Spec{Role: worker.Proxies, Layout: c.layout, First: first, Count: next - first, GCPercent: s.scenario.Processes.GCPercent}); err != nil {
			return err
		}
		c.workers = append(c.workers, name)
	}
	return nil
}

// startListServices starts the list services.
func (c *processes) startListServices(ctx context.Context) error {
	for i := range c.plan.lists {
		name := fmt.Sprintf("lists-%d", i+1)
		hello, err := c.group.startWorker(ctx, name, worker.Spec{Role: worker.Lists, Layout: c.layout, Index: i, ListServices: c.plan.lists})
		if err != nil {
			return err
		}
		c.lists = append(c.lists, name)
		c.layout.Lists = append(c.layout.Lists, hello.Address)
	}
	return nil
}

// startLoad starts the proxies, the changes and the calls.
func (c *processes) startLoad(ctx context.Context) error {
	if c.runner.scenario.Hollow {
		if _, err := c.group.requestAll(ctx, c.workers, worker.Command{Kind: worker.CommandStart}); err != nil {
			return err
		}
	} else if err := c.startRealProxies(ctx); err != nil {
		return err
	}
	if _, err := c.group.requestAll(ctx, c.workers, worker.Command{Kind: worker.CommandLoad}); err != nil {
		return err
	}
	_, err := c.group.requestAll(ctx, c.lists, worker.Command{Kind: worker.CommandLoad})
	return err
}

// startRealProxies starts a process for each proxy, and waits until all listen.
func (c *processes) startRealProxies(ctx context.Context) error {
	for n := range c.layout.Size.Proxies {
		name := topology.Proxy(n)
		file, err := c.runner.writeConfig(name, c.layout.Config(n))
		if err != nil {
			return err
		}
		args := append(append([]string(nil), c.runner.options.Sidecar...), "-config", file)
		if err := c.group.startProgram(name, args); err != nil {
			return err
		}
		c.realProxies = append(c.realProxies, name)
		if !sleep.For(ctx, realStartInterval) {
			return ctx.Err()
		}
	}
	ctx, cancel := context.WithTimeout(ctx, listenTimeout)
	defer cancel()
	for n := range c.layout.Size.Proxies {
		for {
			conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", topology.ListenAddr(n))
			if err == nil {
				conn.Close()
				break
			}
			if fallen := c.group.failure(); fallen != nil {
				return fallen
			}
			if !sleep.For(ctx, listenPollInterval) {
				return fmt.Errorf("%s does not listen: %w", topology.Proxy(n), err)
			}
		}
	}
	return nil
}

// roleMemory is what the processes of each role hold.
type roleMemory struct{ proxies, lists, relays int64 }

func (c *processes) residentMemory() (m roleMemory, err error) {
	for _, role := range []struct {
		names []string
		sum   *int64
	}{{c.workers, &m.proxies}, {c.realProxies, &m.proxies}, {c.listNames(), &m.lists}, {names(c.relays), &m.relays}} {
		for _, name := range role.names {
			n, err := residentBytes(c.group.pid(name))
			if err != nil {
				return m, fmt.Errorf("%s: %w", name, err)
			}
			*role.sum += n
		}
	}
	return m, nil
}

// usageSample is what all processes have used up to a moment.
type usageSample struct {
	at      time.Time
	proxies []worker.Usage
	lists   []worker.Usage
	relays  []worker.Usage
	realCPU float64 // seconds of processor time

	followers []worker.Usage // what went between relays and proxies alone
}

func (c *processes) usage(ctx context.Context) (u usageSample, err error) {
	u.at = time.Now()
	if u.proxies, err = c.usages(ctx, c.workers); err != nil {
		return u, err
	}
	if u.lists, err = c.listUsages(ctx); err != nil {
		return u, err
	}
	if u.relays, u.followers, err = c.serverUsages(ctx, c.relays); err != nil {
		return u, err
	}
	for _, name := range c.realProxies {
		seconds, err := cpuSeconds(c.group.pid(name))
		if err != nil {
			return u, fmt.Errorf("%s: %w", name, err)
		}
		u.realCPU += seconds
	}
	return u, nil
}

func (c *processes) usages(ctx context.Context, names []string) (out []worker.Usage, err error) {
	replies, err := c.group.requestAll(ctx, names, worker.Command{Kind: worker.CommandUsage})
	for _, r := range replies {
		out = append(out, r.Usage)
	}
	return out, err
}

// measureRound measures one span.
func (c *processes) measureRound(ctx context.Context, span time.Duration) (r result.Round, err error) {
	if _, err := c.changes(ctx); err != nil { // those before the span
		return r, err
	}
	before, err := c.usage(ctx)
	if err != nil {
		return r, err
	}
	if !sleep.For(ctx, span) {
		return r, ctx.Err()
	}
	after, err := c.usage(ctx)
	if err != nil {
		return r, err
	}
	changes, err := c.changes(ctx)
	if err != nil {
		return r, err
	}
	held, err := c.residentMemory()
	if err != nil {
		return r, err
	}
	r.Seconds = after.at.Sub(before.at).Seconds()
	r.Proxies, r.Lists, r.Relays = cost(before.proxies, after.proxies), cost(before.lists, after.lists), cost(before.relays, after.relays)
	r.Proxies.RSSBytes, r.Lists.RSSBytes, r.Relays.RSSBytes = held.proxies, held.lists, held.relays
	if !c.runner.scenario.Hollow {
		r.Proxies = peerTraffic(r.Lists)
		if len(c.relays) > 0 {
			r.Proxies = peerTraffic(cost(before.followers, after.followers))
		}
		r.Proxies.Processes, r.Proxies.CPUSeconds, r.Proxies.RSSBytes = len(c.realProxies), after.realCPU-before.realCPU, held.proxies
	}
	if len(changes) > 0 && !sleep.For(ctx, c.runner.scenario.Settle) {
		return r, ctx.Err()
	}
	return r, c.collect(ctx, changes, &r)
}

// peerTraffic is the traffic of the other side of a role.
func peerTraffic(of result.Cost) result.Cost {
	return result.Cost{BytesIn: of.BytesOut, BytesOut: of.BytesIn, MessagesIn: of.MessagesOut, MessagesOut: of.MessagesIn, Connections: of.Connections}
}

// cost is what the processes of a role used between two moments.
func cost(before, after []worker.Usage) (sum result.Cost) {
	sum.Processes = len(after)
	for i, a := range after {
		b := before[i]
		sum.CPUSeconds += a.CPUSeconds - b.CPUSeconds
		sum.AllocatedBytes += a.AllocatedBytes - b.AllocatedBytes
		sum.Allocations += a.Allocations - b.Allocations
		sum.BytesIn += a.BytesIn - b.BytesIn
		sum.BytesOut += a.BytesOut - b.BytesOut
		sum.MessagesIn += a.MessagesIn - b.MessagesIn
		sum.MessagesOut += a.MessagesOut - b.MessagesOut
		sum.Connections += a.Open
	}
	return sum
}

// changes are those that were made since they were last asked for.
func (c *processes) changes(ctx context.Context) (out []worker.Change, err error) {
	replies, err := c.group.requestAll(ctx, c.lists, worker.Command{Kind: worker.CommandChanges})
	for _, r := range replies {
		out = append(out, r.Changes...)
	}
	return out, err
}

// collect adds what lives after a collection, how long changes took and how long calls did.
func (c *processes) collect(ctx context.Context, changes []worker.Change, r *result.Round) error {
	replies, err := c.group.requestAll(ctx, c.workers, worker.Command{Kind: worker.CommandCollect, Changes: changes})
	if err != nil {
		return err
	}
	inForce, calls := worker.NewInForceHistogram(), hdrhistogram.New(1, int64(time.Minute), 3)
	for i, reply := range replies {
		s := reply.State
		addState(&r.Proxies, s)
		for name, why := range s.Failures {
			return fmt.Errorf("%s: %s failed: %s", c.workers[i], name, why)
		}
		if s.Lost > 0 {
			return fmt.Errorf("%s: %d times of changes in force could not be kept", c.workers[i], s.Lost)
		}
		if s.NotServed+s.Skipped > 0 {
			c.runner.logf("%s: %d calls refused or failed, %d not made in time, of %d", c.workers[i], s.NotServed, s.Skipped, s.Served+s.NotServed+s.Skipped)
		}
		if err := mergeHistogram(inForce, s.InForce); err != nil {
			return err
		}
		if err := mergeHistogram(calls, s.Calls); err != nil {
			return err
		}
	}
	r.Late = c.expectedArrivals(changes) - inForce.TotalCount()
	r.InForce, r.Call = spreadOf(inForce, time.Microsecond), spreadOf(calls, time.Nanosecond)
	if c.runner.scenario.Source == result.SourceRelay {
		return nil // what sources and relays have alive they do not tell
	}
	if replies, err = c.group.requestAll(ctx, c.lists, worker.Command{Kind: worker.CommandCollect}); err != nil {
		return err
	}
	for _, reply := range replies {
		addState(&r.Lists, reply.State)
	}
	return nil
}

// expectedArrivals is how many times changes are to come in force, over all proxies that follow their services.
func (c *processes) expectedArrivals(changes []worker.Change) (sum int64) {
	if c.followers == nil {
		c.followers = map[string]int64{}
		for n := range c.layout.Size.Proxies {
			for _, service := range c.layout.Followed(n) {
				c.followers[topology.Service(service)]++
			}
		}
	}
	for _, change := range changes {
		sum += c.followers[change.Service]
	}
	return sum
}

func addState(to *result.Cost, s worker.State) {
	to.HeapBytes += s.HeapBytes
	to.Goroutines += s.Goroutines
}

// mergeHistogram adds an encoded histogram to another.
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

// spreadOf is a histogram's figures in seconds.
func spreadOf(h *hdrhistogram.Histogram, unit time.Duration) result.Spread {
	if h.TotalCount() == 0 {
		return result.Spread{}
	}
	seconds := func(n int64) float64 { return float64(n) * unit.Seconds() }
	return result.Spread{Count: h.TotalCount(), P50: seconds(h.ValueAtQuantile(50)), P99: seconds(h.ValueAtQuantile(99)), Max: seconds(h.Max())}
}
