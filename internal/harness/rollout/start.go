package rollout

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"fernlanding/internal/harness/launch"
	"fernlanding/internal/harness/process"
	"fernlanding/internal/harness/rollout/plan"
	"fernlanding/internal/harness/worker"
)

const (
	// startTimeout is the time within which all processes must have started and every follower must
	// have every resource that it follows.
	startTimeout = 30 * time.Second
	// healthInterval is the interval between two health checks of a starting server.
	healthInterval = 20 * time.Millisecond
)

// start starts all processes, writes all resources once, and waits until every follower has every
// resource that it follows.
func (r *run) start(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, name := range r.servers() {
		if err := r.startServer(name); err != nil {
			return err
		}
		if err := r.awaitHealthy(ctx, name); err != nil {
			return err
		}
	}
	if err := r.startPublisher(ctx); err != nil {
		return err
	}
	for _, name := range r.sc.Names(plan.OnFollowers) {
		if err := r.startFollowers(ctx, name); err != nil {
			return err
		}
	}
	if err := r.Processes.SendCommand(plan.PublisherName, worker.Command{Do: worker.DoInitialPuts}); err != nil {
		return err
	}
	select {
	case <-r.firstUpdates.complete:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("%d first updates of resources not received: %w",
			r.firstUpdates.missing(), ctx.Err())
	}
}

// startServer starts the source or a relay.
func (r *run) startServer(name string) error {
	var args []string
	switch {
	case name == plan.Source:
		args = []string{"source", "-listen", r.address(name), "-state", filepath.Join(r.Dir, "state")}
	case slices.Contains(r.sc.Names(plan.OnRegions), name):
		args = r.relayArgs(name, r.sc.Names(plan.OnSource))
	default:
		args = r.relayArgs(name, r.sc.Names(plan.OnRegions))
	}
	return r.Processes.Start(process.Spec{
		Name:       name,
		Args:       append(slices.Clone(r.opts.Program), args...),
		Env:        r.opts.Env,
		ReadStderr: r.copyLog,
	})
}

// relayArgs returns the command-line arguments of a relay.
func (r *run) relayArgs(name string, upstream []string) []string {
	addresses := make([]string, 0, len(upstream))
	for _, server := range upstream {
		addresses = append(addresses, r.linkAddress(name, server))
	}
	return []string{
		"relay", "-listen", r.address(name), "-name", name, "-hold", r.sc.Relays.Hold.String(),
		"-upstream", strings.Join(addresses, ","),
	}
}

// copyLog copies the log of a program under test to its end.
func (r *run) copyLog(from io.Reader) {
	to := r.opts.Logs
	if to == nil {
		to = io.Discard
	}
	_, _ = io.Copy(to, from)
	_, _ = io.Copy(io.Discard, from) // the program must not block if the log cannot be written
}

// awaitHealthy waits until a server responds to a health check or ctx is done.
func (r *run) awaitHealthy(ctx context.Context, name string) error {
	ticker := time.NewTicker(healthInterval)
	defer ticker.Stop()
	for {
		err := r.checkHealth(ctx, name)
		if err == nil {
			return nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return fmt.Errorf("%s: no response to health checks: %w", name, err)
		}
	}
}

// checkHealth returns nil if a server responds to a health check, with any status.
func (r *run) checkHealth(ctx context.Context, name string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+r.address(name)+"/_health", nil)
	if err != nil {
		return err
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

// startPublisher starts the publisher. If the faults have begun, the publisher continues with the
// puts that are due from now on.
func (r *run) startPublisher(ctx context.Context) error {
	return r.startWorker(ctx, worker.Spec{
		Name:        plan.PublisherName,
		Group:       plan.OnPublisher,
		Source:      r.linkAddress(plan.PublisherName, plan.Source),
		InitialPuts: r.sc.InitialPuts(),
		Puts:        r.sc.Puts(),
		RunStart:    r.startedAt,
	})
}

// startFollowers starts one process of followers.
func (r *run) startFollowers(ctx context.Context, name string) error {
	spec := worker.Spec{Name: name, Group: plan.OnFollowers, Hold: r.sc.Followers.Hold, Seed: r.sc.Seed}
	for _, follower := range r.sc.FollowerNames() {
		if r.sc.ProcessOf(follower) != name {
			continue
		}
		relays := r.sc.RelaysOf(follower)
		one := worker.FollowerSpec{Name: follower, RelayNames: relays, Resources: r.sc.ResourcesOf(follower)}
		for _, relay := range relays {
			one.Relays = append(one.Relays, r.linkAddress(follower, relay))
		}
		spec.Followers = append(spec.Followers, one)
	}
	return r.startWorker(ctx, spec)
}

// startWorker starts a worker and records its events.
func (r *run) startWorker(ctx context.Context, spec worker.Spec) error {
	workers := launch.WorkerStarter{
		Processes: r.Processes,
		Program:   r.opts.Worker,
		Env:       r.opts.Env,
		Clock:     r.Clock,
		OnEvent:   r.recordEvent,
	}
	_, err := workers.Start(ctx, spec)
	return err
}

// restart starts a process that was killed. After a restart of the source, it records the source's
// resources.
func (r *run) restart(ctx context.Context, name string) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), startTimeout)
	defer cancel()
	switch {
	case name == plan.PublisherName:
		return r.startPublisher(ctx)
	case slices.Contains(r.sc.Names(plan.OnFollowers), name):
		return r.startFollowers(ctx, name)
	}
	if err := r.startServer(name); err != nil {
		return err
	}
	if err := r.awaitHealthy(ctx, name); err != nil || name != plan.Source {
		return err
	}
	for _, resource := range r.sc.Resources() { // the source must still have all answered puts
		r.recordResource(ctx, resource)
	}
	return nil
}

// firstUpdates tracks which followers still lack the first update of a resource that they follow.
// It is safe for concurrent use.
type firstUpdates struct {
	complete chan struct{} // closed when every follower has every resource that it follows

	mu      sync.Mutex
	pending map[followed]bool
}

// followed is a follower and a resource that it follows.
type followed struct{ follower, resource string }

// newFirstUpdates returns the firstUpdates for the followers of a scenario, with all updates
// pending.
func newFirstUpdates(sc *plan.Scenario) *firstUpdates {
	f := &firstUpdates{complete: make(chan struct{}), pending: make(map[followed]bool)}
	for _, follower := range sc.FollowerNames() {
		for _, resource := range sc.ResourcesOf(follower) {
			f.pending[followed{follower: follower, resource: resource}] = true
		}
	}
	return f
}

// add records that a follower has received a resource.
func (f *firstUpdates) add(follower, resource string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	key := followed{follower: follower, resource: resource}
	if !f.pending[key] {
		return
	}
	delete(f.pending, key)
	if len(f.pending) == 0 {
		close(f.complete)
	}
}

// missing returns the number of pending first updates of all followers.
func (f *firstUpdates) missing() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.pending)
}
