package harness

import (
	"context"
	"math/rand/v2"
	"net"
	"strconv"
	"time"

	"fernlanding/internal/harness/history"
	"fernlanding/internal/harness/launch"
	"fernlanding/internal/harness/scenario"
	"fernlanding/internal/harness/worker"
	"fernlanding/internal/standin"
)

const (
	startTimeout = 60 * time.Second // time for the start of all list services and backends together
	cellCount    = 4                // cells that the backends are distributed over; a cell deduplicates by key
	skewStream   = 9                // stream of the random generator for clock skews
)

// startStandIns starts the backends and the list services.
func (r *run) startStandIns(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	startCold := r.spec.Backends.StartCold
	for i := range r.backendProcesses {
		if err := r.startBackendProcess(ctx, i, startCold); err != nil {
			return err
		}
	}
	since := int64(0)
	if startCold {
		since = time.Now().UnixMilli()
	}
	var all []standin.Member
	for i, name := range r.backendNames {
		member := r.newMember(name, i)
		member.StartedMs = since
		member.Status = statusServing
		all = append(all, member)
	}
	r.updateMembers(all...)
	for i := range r.listNames {
		if err := r.startListService(ctx, i); err != nil {
			return err
		}
	}
	return nil
}

// startBackendProcess starts one of the processes that backends share. The backends start cold if
// startCold is set, else warm.
func (r *run) startBackendProcess(ctx context.Context, index int, startCold bool) error {
	b := r.spec.Backends
	spec := worker.Spec{
		Name:          r.backendProcesses[index],
		Group:         scenario.OnBackends,
		Cores:         b.Cores,
		QueueLength:   b.QueueLength,
		ServiceTime:   b.ServiceTime,
		Warmup:        b.Warmup,
		StartCapacity: b.StartCapacity,
		ColdMultiple:  b.ColdMultiple,
		MaxConns:      b.MaxConns,
		StartCold:     startCold,
	}
	for i, name := range r.backendNames {
		if i%len(r.backendProcesses) == index {
			spec.Backends = append(spec.Backends, name)
			spec.Cells = append(spec.Cells, i%cellCount)
		}
	}
	hello, err := r.startWorker(ctx, spec)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, addr := range hello.Addresses {
		r.backendAddrs[name] = addr
	}
	return nil
}

// startListService starts a list service and sends it the current endpoint list.
func (r *run) startListService(ctx context.Context, index int) error {
	lists := r.spec.Lists
	hello, err := r.startWorker(ctx, worker.Spec{
		Name:          r.listNames[index],
		Group:         scenario.OnLists,
		SnapshotRate:  lists.SnapshotRate,
		SnapshotQueue: lists.QueueLength,
		RetryAfter:    lists.RetryAfter,
		SidecarNames:  r.sidecarsByAddr(),
		ClockSkews:    r.clockSkews(),
	})
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.listAddrs[index] = hello.Address
	var all []standin.Member
	for _, name := range r.backendNames {
		if member, ok := r.members[name]; ok {
			all = append(all, member)
		}
	}
	r.mu.Unlock()
	return r.Processes.SendCommand(r.listNames[index], worker.Command{Do: worker.DoMembers, Members: all})
}

// sidecarsByAddr returns the names of the sidecars by address.
func (r *run) sidecarsByAddr() map[string]string {
	names := map[string]string{}
	for i, name := range r.sidecarNames {
		names[r.addrs[i].String()] = name
	}
	return names
}

// clockSkews draws the clock skew of each sidecar and returns the skews by the sidecar's address. A
// skew is the delay, in milliseconds, of the sidecar's clock relative to the list services. The
// skews depend only on the seed, so that all list services use the same values.
func (r *run) clockSkews() map[string]int64 {
	skews := map[string]int64{}
	bound := r.spec.Sidecars.ClockSkew.Milliseconds()
	if bound <= 0 {
		return skews
	}
	rnd := rand.New(rand.NewPCG(r.spec.Seed, skewStream))
	for i := range r.sidecarNames {
		skews[r.addrs[i].String()] = rnd.Int64N(2*bound+1) - bound
	}
	return skews
}

// startClients starts the client processes without load.
func (r *run) startClients(ctx context.Context) error {
	clients := r.spec.Clients
	for i, name := range r.clientNames {
		spec := worker.Spec{
			Name:           name,
			Group:          scenario.OnClients,
			Sidecars:       map[string]string{},
			RequestRate:    clients.Rate / float64(len(r.clientNames)),
			HealthInterval: clients.HealthInterval,
			Seed:           r.spec.Seed + uint64(i),
		}
		for n, sidecar := range r.sidecarNames {
			local := n%len(r.clientNames) == i
			if clients.CrossSite && local {
				spec.LocalSidecars = append(spec.LocalSidecars, sidecar)
			}
			if clients.CrossSite || local {
				spec.Sidecars[sidecar] = net.JoinHostPort(r.addrs[n].String(), strconv.Itoa(r.sidecarRelayPort))
			}
		}
		if _, err := r.startWorker(ctx, spec); err != nil {
			return err
		}
	}
	return nil
}

// startWorker starts a stand-in process and returns its first line of output.
func (r *run) startWorker(ctx context.Context, spec worker.Spec) (worker.Hello, error) {
	starter := launch.WorkerStarter{
		Processes: r.Processes,
		Program:   r.opts.Worker,
		Env:       r.opts.Env,
		Clock:     r.Clock,
		OnEvent:   r.recordWorkerEvent,
	}
	return starter.Start(ctx, spec)
}

// recordWorkerEvent records an event that a stand-in process reports.
func (r *run) recordWorkerEvent(e history.Event) {
	r.Record(e)
	if e.Kind == history.LoadEnded {
		r.loadEnded <- struct{}{}
	}
}
