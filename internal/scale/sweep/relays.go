package sweep

import (
	"context"
	"fmt"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"fernlanding/internal/distribution"
	"fernlanding/internal/distribution/httpapi"
	"fernlanding/internal/scale/hollow"
	"fernlanding/internal/scale/result"
	"fernlanding/internal/scale/worker"
)

const (
	publisherName = "publisher"
	statsTimeout  = 10 * time.Second
	anyPort       = "127.0.0.1:0"
)

// server is a process that is a source or a relay of distribution.
type server struct{ name, address string }

func names(all []server) []string {
	var out []string
	for _, s := range all {
		out = append(out, s.name)
	}
	return out
}

// startDistribution starts a source of distribution, its relays and a publisher. It returns when the
// publisher has written all lists to the source.
func (ps *processes) startDistribution(ctx context.Context) error {
	state := filepath.Join(ps.runner.dir, fmt.Sprintf("source-%d", time.Now().UnixNano()))
	source, err := ps.startServer(ctx, "source", "source", "-listen", anyPort, "-state", state)
	if err != nil {
		return err
	}
	ps.source = []server{source}
	for i := range ps.plan.relays {
		name := fmt.Sprintf("relay-%d", i+1)
		relay, err := ps.startServer(ctx, name, "relay", "-listen", anyPort, "-name", name, "-upstream", source.address)
		if err != nil {
			return err
		}
		ps.relays = append(ps.relays, relay)
		ps.layout.Relays = append(ps.layout.Relays, relay.address)
	}
	spec := worker.Spec{Role: worker.Publisher, Layout: ps.layout, Source: source.address}
	if _, err := ps.group.startWorker(ctx, publisherName, spec); err != nil {
		return err
	}
	ps.lists = []string{publisherName}
	_, err = ps.group.request(ctx, publisherName, worker.Command{Kind: worker.CommandStart})
	return err
}

// startServer starts a source or a relay.
func (ps *processes) startServer(ctx context.Context, name string, args ...string) (server, error) {
	address, err := ps.group.startServer(ctx, name, append(slices.Clone(ps.runner.options.Relay), args...))
	return server{name: name, address: strings.TrimSpace(address)}, err
}

// listNames returns the names of the list services or of the source.
func (ps *processes) listNames() []string {
	if ps.runner.scenario.Source == result.SourceRelay {
		return names(ps.source)
	}
	return ps.lists
}

func (ps *processes) listUsages(ctx context.Context) ([]worker.Usage, error) {
	if ps.runner.scenario.Source == result.SourceRelay {
		usages, _, err := ps.serverUsages(ctx, ps.source)
		return usages, err
	}
	return ps.workerUsages(ctx, ps.lists)
}

// serverUsages returns the resource usage of sources or relays since their start, and the part of
// their traffic that they exchanged with followers. Sources and relays do not report allocations.
func (ps *processes) serverUsages(ctx context.Context, all []server) (total, followers []worker.Usage, err error) {
	client := httpapi.NewClient(nil)
	defer client.Close()
	for _, s := range all {
		stats, err := readStats(ctx, client, s)
		if err != nil {
			return nil, nil, err
		}
		seconds, err := cpuSeconds(ps.group.pid(s.name))
		if err != nil {
			return nil, nil, fmt.Errorf("%s: %w", s.name, err)
		}
		traffic := hollow.Traffic{
			BytesIn:     stats.BytesIn,
			BytesOut:    stats.BytesOut,
			MessagesIn:  stats.MessagesIn,
			MessagesOut: stats.MessagesOut,
			OpenConns:   stats.Sessions,
		}
		followers = append(followers, worker.Usage{Traffic: traffic})
		traffic.BytesIn += stats.UpstreamBytesIn
		traffic.BytesOut += stats.UpstreamBytesOut
		traffic.MessagesIn += stats.UpstreamMessages
		traffic.MessagesOut += stats.UpstreamMessages
		total = append(total, worker.Usage{At: hollow.MonotonicNow(), CPUSeconds: seconds, Traffic: traffic})
	}
	return total, followers, nil
}

func readStats(ctx context.Context, client *httpapi.Client, s server) (*distribution.Stats, error) {
	ctx, cancel := context.WithTimeout(ctx, statsTimeout)
	defer cancel()
	stats, err := client.Stats(ctx, s.address)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", s.name, err)
	}
	return stats, nil
}
