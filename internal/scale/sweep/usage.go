package sweep

import (
	"context"
	"fmt"
	"time"

	"fernlanding/internal/scale/result"
	"fernlanding/internal/scale/worker"
)

// roleMemory is the resident memory of processes by role, in bytes.
type roleMemory struct {
	proxies int64
	lists   int64
	relays  int64
}

func (ps *processes) residentMemory() (roleMemory, error) {
	var m roleMemory
	for _, role := range []struct {
		names []string
		sum   *int64
	}{
		{ps.workers, &m.proxies},
		{ps.realProxies, &m.proxies},
		{ps.listNames(), &m.lists},
		{names(ps.relays), &m.relays},
	} {
		for _, name := range role.names {
			n, err := residentBytes(ps.group.pid(name))
			if err != nil {
				return m, fmt.Errorf("%s: %w", name, err)
			}
			*role.sum += n
		}
	}
	return m, nil
}

// usageSample is the cumulative resource usage of all processes at one time.
type usageSample struct {
	at        time.Time
	proxies   []worker.Usage // by worker
	lists     []worker.Usage
	relays    []worker.Usage
	followers []worker.Usage // traffic between relays and proxies only
	realCPU   float64        // CPU seconds of the real proxies
}

// sampleUsage returns the current usage of all processes.
func (ps *processes) sampleUsage(ctx context.Context) (usageSample, error) {
	u := usageSample{at: time.Now()}
	var err error
	if u.proxies, err = ps.workerUsages(ctx, ps.workers); err != nil {
		return u, err
	}
	if u.lists, err = ps.listUsages(ctx); err != nil {
		return u, err
	}
	if u.relays, u.followers, err = ps.serverUsages(ctx, ps.relays); err != nil {
		return u, err
	}
	for _, name := range ps.realProxies {
		seconds, err := cpuSeconds(ps.group.pid(name))
		if err != nil {
			return u, fmt.Errorf("%s: %w", name, err)
		}
		u.realCPU += seconds
	}
	return u, nil
}

func (ps *processes) workerUsages(ctx context.Context, names []string) ([]worker.Usage, error) {
	replies, err := ps.group.requestAll(ctx, names, worker.Command{Kind: worker.CommandUsage})
	if err != nil {
		return nil, err
	}
	usages := make([]worker.Usage, len(replies))
	for i, r := range replies {
		usages[i] = r.Usage
	}
	return usages, nil
}

// costBetween returns the cost of the processes of a role between two samples.
func costBetween(before, after []worker.Usage) result.Cost {
	sum := result.Cost{Processes: len(after)}
	for i, a := range after {
		b := before[i]
		sum.CPUSeconds += a.CPUSeconds - b.CPUSeconds
		sum.AllocatedBytes += a.AllocatedBytes - b.AllocatedBytes
		sum.Allocations += a.Allocations - b.Allocations
		sum.BytesIn += a.BytesIn - b.BytesIn
		sum.BytesOut += a.BytesOut - b.BytesOut
		sum.MessagesIn += a.MessagesIn - b.MessagesIn
		sum.MessagesOut += a.MessagesOut - b.MessagesOut
		sum.Connections += a.OpenConns
	}
	return sum
}

// peerTraffic returns the traffic of the peers of a role: the counts with both directions swapped.
func peerTraffic(c result.Cost) result.Cost {
	return result.Cost{
		BytesIn:     c.BytesOut,
		BytesOut:    c.BytesIn,
		MessagesIn:  c.MessagesOut,
		MessagesOut: c.MessagesIn,
		Connections: c.Connections,
	}
}
