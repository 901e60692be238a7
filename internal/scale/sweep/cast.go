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
	listenPoll  = 20 * time.Millisecond
	listensWith = time.Minute
	realGap     = 10 * time.Millisecond // between the starts of two real proxies
)

// cast is the processes of one size by their roles.
type cast struct {
	player  *player
	team    *team
	layout  topology.Layout
	plan    plan
	lists   []string // workers that are list services, or the one that writes to the source
	source  []server // of distribution
	relays  []server
	workers []string // those with hollow proxies
	real    []string // processes of real proxies

	followers map[string]int64 // proxies by the services that they follow; nil: not counted yet
}

// begin starts the processes of a size. Their proxies are not started yet.
func (s *player) begin(ctx context.Context, size result.Size, p plan) (*cast, error) {
	c := &cast{player: s, team: newTeam(s.opts.Worker), plan: p, layout: topology.Layout{Source: s.sc.Source, Size: size, Seed: s.sc.Seed}}
	if err := c.hire(ctx); err != nil {
		c.team.end()
		return nil, err
	}
	return c, nil
}

// hire starts all processes but real proxies.
func (c *cast) hire(ctx context.Context) error {
	s, size, p := c.player, c.layout.Size, c.plan
	if s.sc.Source == result.SourceRelay {
		if err := c.distribute(ctx); err != nil {
			return err
		}
	} else if err := c.serveLists(ctx); err != nil {
		return err
	}
	if !s.sc.Hollow {
		return nil
	}
	for i := range p.workers {
		name := fmt.Sprintf("hollow-%d", i+1)
		first, next := size.Proxies*i/p.workers, size.Proxies*(i+1)/p.workers
		if _, err := c.team.worker(ctx, name, worker.Spec{Role: worker.Proxies, Layout: c.layout, First: first, Count: next - first, GC: s.sc.Processes.GCPercent}); err != nil {
			return err
		}
		c.workers = append(c.workers, name)
	}
	return nil
}

// serveLists starts the list services.
func (c *cast) serveLists(ctx context.Context) error {
	for i := range c.plan.lists {
		name := fmt.Sprintf("lists-%d", i+1)
		hello, err := c.team.worker(ctx, name, worker.Spec{Role: worker.Lists, Layout: c.layout, Index: i, Of: c.plan.lists})
		if err != nil {
			return err
		}
		c.lists = append(c.lists, name)
		c.layout.Lists = append(c.layout.Lists, hello.Address)
	}
	return nil
}

// start starts the proxies, the changes and the calls.
func (c *cast) start(ctx context.Context) error {
	if c.player.sc.Hollow {
		if _, err := c.team.askAll(ctx, c.workers, worker.Command{Do: worker.DoStart}); err != nil {
			return err
		}
	} else if err := c.startReal(ctx); err != nil {
		return err
	}
	if _, err := c.team.askAll(ctx, c.workers, worker.Command{Do: worker.DoLoad}); err != nil {
		return err
	}
	_, err := c.team.askAll(ctx, c.lists, worker.Command{Do: worker.DoLoad})
	return err
}

// startReal starts a process for each proxy, and waits until all listen.
func (c *cast) startReal(ctx context.Context) error {
	for n := range c.layout.Size.Proxies {
		name := topology.Proxy(n)
		file, err := c.player.file(name, c.layout.Config(n))
		if err != nil {
			return err
		}
		args := append(append([]string(nil), c.player.opts.Sidecar...), "-config", file)
		if err := c.team.program(name, args); err != nil {
			return err
		}
		c.real = append(c.real, name)
		if !sleep.For(ctx, realGap) {
			return ctx.Err()
		}
	}
	ctx, cancel := context.WithTimeout(ctx, listensWith)
	defer cancel()
	for n := range c.layout.Size.Proxies {
		for {
			conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", topology.ListenAddr(n))
			if err == nil {
				conn.Close()
				break
			}
			if fallen := c.team.failure(); fallen != nil {
				return fallen
			}
			if !sleep.For(ctx, listenPoll) {
				return fmt.Errorf("%s does not listen: %w", topology.Proxy(n), err)
			}
		}
	}
	return nil
}

// memory is what the processes of each role hold.
type memory struct{ proxies, lists, relays int64 }

func (c *cast) resident() (m memory, err error) {
	for _, role := range []struct {
		names []string
		sum   *int64
	}{{c.workers, &m.proxies}, {c.real, &m.proxies}, {c.listNames(), &m.lists}, {names(c.relays), &m.relays}} {
		for _, name := range role.names {
			n, err := residentBytes(c.team.pid(name))
			if err != nil {
				return m, fmt.Errorf("%s: %w", name, err)
			}
			*role.sum += n
		}
	}
	return m, nil
}

// used is what all processes have used up to a moment.
type used struct {
	at      time.Time
	proxies []worker.Usage
	lists   []worker.Usage
	relays  []worker.Usage
	real    float64 // seconds of processor time

	followed []worker.Usage // what went between relays and proxies alone
}

func (c *cast) used(ctx context.Context) (u used, err error) {
	u.at = time.Now()
	if u.proxies, err = c.usages(ctx, c.workers); err != nil {
		return u, err
	}
	if u.lists, err = c.listUsages(ctx); err != nil {
		return u, err
	}
	if u.relays, u.followed, err = c.serverUsages(ctx, c.relays); err != nil {
		return u, err
	}
	for _, name := range c.real {
		seconds, err := cpuSeconds(c.team.pid(name))
		if err != nil {
			return u, fmt.Errorf("%s: %w", name, err)
		}
		u.real += seconds
	}
	return u, nil
}

func (c *cast) usages(ctx context.Context, names []string) (out []worker.Usage, err error) {
	replies, err := c.team.askAll(ctx, names, worker.Command{Do: worker.DoUsage})
	for _, r := range replies {
		out = append(out, r.Usage)
	}
	return out, err
}

// round measures one span.
func (c *cast) round(ctx context.Context, span time.Duration) (r result.Round, err error) {
	if _, err := c.changes(ctx); err != nil { // those before the span
		return r, err
	}
	before, err := c.used(ctx)
	if err != nil {
		return r, err
	}
	if !sleep.For(ctx, span) {
		return r, ctx.Err()
	}
	after, err := c.used(ctx)
	if err != nil {
		return r, err
	}
	changes, err := c.changes(ctx)
	if err != nil {
		return r, err
	}
	held, err := c.resident()
	if err != nil {
		return r, err
	}
	r.Seconds = after.at.Sub(before.at).Seconds()
	r.Proxies, r.Lists, r.Relays = cost(before.proxies, after.proxies), cost(before.lists, after.lists), cost(before.relays, after.relays)
	r.Proxies.RSSBytes, r.Lists.RSSBytes, r.Relays.RSSBytes = held.proxies, held.lists, held.relays
	if !c.player.sc.Hollow {
		r.Proxies = facing(r.Lists)
		if len(c.relays) > 0 {
			r.Proxies = facing(cost(before.followed, after.followed))
		}
		r.Proxies.Processes, r.Proxies.CPUSeconds, r.Proxies.RSSBytes = len(c.real), after.real-before.real, held.proxies
	}
	if len(changes) > 0 && !sleep.For(ctx, c.player.sc.Settle) {
		return r, ctx.Err()
	}
	return r, c.collect(ctx, changes, &r)
}

// facing is the traffic of the other side of a role.
func facing(of result.Cost) result.Cost {
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
func (c *cast) changes(ctx context.Context) (out []worker.Change, err error) {
	replies, err := c.team.askAll(ctx, c.lists, worker.Command{Do: worker.DoChanges})
	for _, r := range replies {
		out = append(out, r.Changes...)
	}
	return out, err
}

// collect adds what lives after a collection, how long changes took and how long calls did.
func (c *cast) collect(ctx context.Context, changes []worker.Change, r *result.Round) error {
	replies, err := c.team.askAll(ctx, c.workers, worker.Command{Do: worker.DoCollect, Changes: changes})
	if err != nil {
		return err
	}
	inForce, calls := worker.NewInForce(), hdrhistogram.New(1, int64(time.Minute), 3)
	for i, reply := range replies {
		s := reply.State
		add(&r.Proxies, s)
		for name, why := range s.Failures {
			return fmt.Errorf("%s: %s failed: %s", c.workers[i], name, why)
		}
		if s.Lost > 0 {
			return fmt.Errorf("%s: %d times of changes in force could not be kept", c.workers[i], s.Lost)
		}
		if s.Others+s.Skipped > 0 {
			c.player.logf("%s: %d calls refused or failed, %d not made in time, of %d", c.workers[i], s.Others, s.Skipped, s.Served+s.Others+s.Skipped)
		}
		if err := merge(inForce, s.InForce); err != nil {
			return err
		}
		if err := merge(calls, s.Calls); err != nil {
			return err
		}
	}
	r.Late = c.due(changes) - inForce.TotalCount()
	r.InForce, r.Call = spread(inForce, time.Microsecond), spread(calls, time.Nanosecond)
	if c.player.sc.Source == result.SourceRelay {
		return nil // what sources and relays have alive they do not tell
	}
	if replies, err = c.team.askAll(ctx, c.lists, worker.Command{Do: worker.DoCollect}); err != nil {
		return err
	}
	for _, reply := range replies {
		add(&r.Lists, reply.State)
	}
	return nil
}

// due is how many times changes are to come in force, over all proxies that follow their services.
func (c *cast) due(changes []worker.Change) (sum int64) {
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

func add(to *result.Cost, s worker.State) {
	to.HeapBytes += s.HeapBytes
	to.Goroutines += s.Goroutines
}

// merge adds an encoded histogram to another.
func merge(to *hdrhistogram.Histogram, data []byte) error {
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

// spread is a histogram's figures in seconds.
func spread(h *hdrhistogram.Histogram, unit time.Duration) result.Spread {
	if h.TotalCount() == 0 {
		return result.Spread{}
	}
	seconds := func(n int64) float64 { return float64(n) * unit.Seconds() }
	return result.Spread{Count: h.TotalCount(), P50: seconds(h.ValueAtQuantile(50)), P99: seconds(h.ValueAtQuantile(99)), Max: seconds(h.Max())}
}
