package sweep

import (
	"context"
	"fmt"
	"path/filepath"
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

func names(all []server) (out []string) {
	for _, s := range all {
		out = append(out, s.name)
	}
	return out
}

// startDistribution starts a source of distribution, relays, and what writes to the source, and has all lists written.
func (c *processes) startDistribution(ctx context.Context) error {
	state := filepath.Join(c.runner.dir, fmt.Sprintf("source-%d", time.Now().UnixNano()))
	source, err := c.startServer(ctx, "source", "source", "-listen", anyPort, "-state", state)
	if err != nil {
		return err
	}
	c.source = []server{source}
	for i := range c.plan.relays {
		name := fmt.Sprintf("relay-%d", i+1)
		relay, err := c.startServer(ctx, name, "relay", "-listen", anyPort, "-name", name, "-upstream", source.address)
		if err != nil {
			return err
		}
		c.relays = append(c.relays, relay)
		c.layout.Relays = append(c.layout.Relays, relay.address)
	}
	if _, err := c.group.startWorker(ctx, publisherName, worker.Spec{Role: worker.Publisher, Layout: c.layout, Source: source.address}); err != nil {
		return err
	}
	c.lists = []string{publisherName}
	_, err = c.group.request(ctx, publisherName, worker.Command{Kind: worker.CommandStart})
	return err
}

func (c *processes) startServer(ctx context.Context, name string, args ...string) (server, error) {
	address, err := c.group.startServer(ctx, name, append(append([]string(nil), c.runner.options.Relay...), args...))
	return server{name, strings.TrimSpace(address)}, err
}

// listNames are the processes whose costs are those of the list service.
func (c *processes) listNames() []string {
	if c.runner.scenario.Source == result.SourceRelay {
		return names(c.source)
	}
	return c.lists
}

func (c *processes) listUsages(ctx context.Context) ([]worker.Usage, error) {
	if c.runner.scenario.Source == result.SourceRelay {
		used, _, err := c.serverUsages(ctx, c.source)
		return used, err
	}
	return c.usages(ctx, c.lists)
}

// serverUsages is what sources or relays have used since their start, and what of it went between them and followers. What
// they allocate they do not tell.
func (c *processes) serverUsages(ctx context.Context, all []server) (out, followers []worker.Usage, err error) {
	client := httpapi.NewClient(nil)
	defer client.Close()
	for _, s := range all {
		stats, err := stats(ctx, client, s)
		if err != nil {
			return nil, nil, err
		}
		seconds, err := cpuSeconds(c.group.pid(s.name))
		if err != nil {
			return nil, nil, fmt.Errorf("%s: %w", s.name, err)
		}
		out = append(out, worker.Usage{At: hollow.MonotonicNow(), CPUSeconds: seconds, Traffic: hollow.Traffic{
			BytesIn: stats.BytesIn + stats.UpstreamBytesIn, BytesOut: stats.BytesOut + stats.UpstreamBytesOut,
			MessagesIn: stats.MessagesIn + stats.UpstreamMessages, MessagesOut: stats.MessagesOut + stats.UpstreamMessages,
			Open: stats.Sessions,
		}})
		followers = append(followers, worker.Usage{Traffic: hollow.Traffic{
			BytesIn: stats.BytesIn, BytesOut: stats.BytesOut,
			MessagesIn: stats.MessagesIn, MessagesOut: stats.MessagesOut, Open: stats.Sessions,
		}})
	}
	return out, followers, nil
}

func stats(ctx context.Context, client *httpapi.Client, s server) (*distribution.Stats, error) {
	ctx, cancel := context.WithTimeout(ctx, statsTimeout)
	defer cancel()
	out, err := client.Stats(ctx, s.address)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", s.name, err)
	}
	return out, nil
}
