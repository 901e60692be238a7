package sweep

import (
	"context"
	"fmt"
	"net"
	"slices"
	"time"

	"fernlanding/internal/scale/result"
	"fernlanding/internal/scale/topology"
	"fernlanding/internal/scale/worker"
	"fernlanding/internal/sleep"
)

const (
	listenPollInterval = 20 * time.Millisecond
	listenTimeout      = time.Minute
	realStartInterval  = 10 * time.Millisecond // between the starts of two real proxies
)

// processes holds the processes of one size by role.
type processes struct {
	runner      *runner
	group       *processGroup
	layout      topology.Layout
	plan        plan
	lists       []string // workers: the list services or the publisher
	source      []server // source of distribution; at most one
	relays      []server
	workers     []string // workers that run hollow proxies
	realProxies []string

	followers map[string]int64 // number of following proxies by service; nil until counted
}

// startProcesses starts the processes of a size without proxies.
func (r *runner) startProcesses(ctx context.Context, size result.Size, p plan) (*processes, error) {
	ps := &processes{
		runner: r,
		group:  newProcessGroup(r.options.Worker),
		layout: topology.Layout{Source: r.scenario.Source, Size: size, Seed: r.scenario.Seed},
		plan:   p,
	}
	if err := ps.startServices(ctx); err != nil {
		ps.group.close()
		return nil, err
	}
	return ps, nil
}

// startServices starts all processes except real proxies.
func (ps *processes) startServices(ctx context.Context) error {
	if ps.runner.scenario.Source == result.SourceRelay {
		if err := ps.startDistribution(ctx); err != nil {
			return err
		}
	} else if err := ps.startListServices(ctx); err != nil {
		return err
	}
	if !ps.runner.scenario.Hollow {
		return nil
	}
	for i := range ps.plan.workers {
		name := fmt.Sprintf("hollow-%d", i+1)
		first := ps.layout.Size.Proxies * i / ps.plan.workers
		next := ps.layout.Size.Proxies * (i + 1) / ps.plan.workers
		spec := worker.Spec{
			Role:      worker.Proxies,
			Layout:    ps.layout,
			First:     first,
			Count:     next - first,
			GCPercent: ps.runner.scenario.Processes.GCPercent,
		}
		if _, err := ps.group.startWorker(ctx, name, spec); err != nil {
			return err
		}
		ps.workers = append(ps.workers, name)
	}
	return nil
}

func (ps *processes) startListServices(ctx context.Context) error {
	for i := range ps.plan.lists {
		name := fmt.Sprintf("lists-%d", i+1)
		spec := worker.Spec{Role: worker.ListService, Layout: ps.layout, Index: i, ListServices: ps.plan.lists}
		reply, err := ps.group.startWorker(ctx, name, spec)
		if err != nil {
			return err
		}
		ps.lists = append(ps.lists, name)
		ps.layout.ListServices = append(ps.layout.ListServices, reply.Address)
	}
	return nil
}

// startLoad starts the proxies, then the calls, then the list changes.
func (ps *processes) startLoad(ctx context.Context) error {
	if ps.runner.scenario.Hollow {
		if _, err := ps.group.requestAll(ctx, ps.workers, worker.Command{Kind: worker.CommandStart}); err != nil {
			return err
		}
	} else if err := ps.startRealProxies(ctx); err != nil {
		return err
	}
	if _, err := ps.group.requestAll(ctx, ps.workers, worker.Command{Kind: worker.CommandLoad}); err != nil {
		return err
	}
	_, err := ps.group.requestAll(ctx, ps.lists, worker.Command{Kind: worker.CommandLoad})
	return err
}

// startRealProxies starts one process per proxy and waits until all of them listen.
func (ps *processes) startRealProxies(ctx context.Context) error {
	for n := range ps.layout.Size.Proxies {
		name := topology.ProxyName(n)
		file, err := ps.runner.writeConfig(name, ps.layout.Config(n))
		if err != nil {
			return err
		}
		args := append(slices.Clone(ps.runner.options.Sidecar), "-config", file)
		if err := ps.group.startProgram(name, args); err != nil {
			return err
		}
		ps.realProxies = append(ps.realProxies, name)
		if !sleep.For(ctx, realStartInterval) {
			return ctx.Err()
		}
	}
	ctx, cancel := context.WithTimeout(ctx, listenTimeout)
	defer cancel()
	for n := range ps.layout.Size.Proxies {
		if err := ps.waitListening(ctx, n); err != nil {
			return err
		}
	}
	return nil
}

// waitListening waits until a real proxy accepts connections. It returns an error if a process
// exits.
func (ps *processes) waitListening(ctx context.Context, proxy int) error {
	for {
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", topology.ListenAddr(proxy))
		if err == nil {
			_ = conn.Close() // no data was sent
			return nil
		}
		if exit := ps.group.unexpectedExit(); exit != nil {
			return exit
		}
		if !sleep.For(ctx, listenPollInterval) {
			return fmt.Errorf("%s: not listening: %w", topology.ProxyName(proxy), err)
		}
	}
}
