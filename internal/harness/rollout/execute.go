package rollout

import (
	"context"
	"fmt"
	"time"

	"fernlanding/internal/harness/history"
	"fernlanding/internal/harness/launch"
	"fernlanding/internal/harness/rollout/plan"
	"fernlanding/internal/harness/scenario"
	"fernlanding/internal/harness/worker"
	"fernlanding/internal/sleep"
)

// harnessName is the name of the harness itself in the history.
const harnessName = "rig"

// execute starts the puts, carries out the fault schedule, waits for the settling period, and
// records the final resources and reports of the source.
func (r *run) execute(ctx context.Context) error {
	waits := r.recordCPUWaits(nil) // the first sample is taken before the puts, so that no wait is missed
	began := time.Now()
	r.startedAt = r.Clock.Now()
	err := r.Processes.SendCommand(plan.PublisherName, worker.Command{Do: worker.DoStartPuts, At: r.startedAt})
	if err != nil {
		return fmt.Errorf("rollout: %w", err)
	}
	observing, stop := context.WithCancel(ctx)
	r.Faults.Go(func() { r.observeServers(observing) })
	r.Faults.Go(func() { r.observeCPUWaits(observing, waits) })
	r.Faults.Go(func() { history.WatchLag(observing, harnessName, r.Clock, r.Record) })
	defer stop()
	schedule := launch.Schedule{Faults: r.sc.Schedule(), BeginFault: r.beginFault, RecordEndAfterRecovery: true}
	if err := r.RunSchedule(ctx, began, schedule); err != nil {
		return fmt.Errorf("rollout: %w", err)
	}
	if !sleep.Until(ctx, began.Add(r.sc.Duration+r.sc.Settle)) {
		return ctx.Err()
	}
	for _, resource := range r.sc.Resources() {
		r.recordResource(ctx, resource)
		r.recordStatus(ctx, resource)
	}
	return nil
}

// beginFault begins a fault and returns the function that ends it.
func (r *run) beginFault(ctx context.Context, f plan.Fault) (end func() error, err error) {
	switch f.Kind {
	case scenario.Stop:
		for _, name := range f.Names {
			r.Processes.Stop(name)
		}
		return func() error {
			for _, name := range f.Names {
				r.Processes.Continue(name)
			}
			return nil
		}, nil
	case scenario.Kill:
		for _, name := range f.Names {
			r.Processes.Kill(name)
		}
		return func() error {
			return forEach(f.Names, func(name string) error { return r.restart(ctx, name) })
		}, nil
	case plan.KillBetweenPuts:
		return r.killBetweenPuts(ctx), nil
	case plan.RestartFollowers:
		return func() error { return nil }, forEach(f.Names, func(name string) error {
			return r.Processes.SendCommand(name, worker.Command{Do: worker.DoRestart})
		})
	default: // a fault on links
		endOnLinks := r.Links.Begin(f)
		return func() error {
			endOnLinks()
			return nil
		}, nil
	}
}

// forEach calls do for each name until the first error, which it returns.
func forEach(names []string, do func(name string) error) error {
	for _, name := range names {
		if err := do(name); err != nil {
			return err
		}
	}
	return nil
}

// killBetweenPuts kills the publisher when its next put has been answered. It returns the function
// that starts the publisher again.
func (r *run) killBetweenPuts(ctx context.Context) (end func() error) {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	select {
	case <-r.putAnswered: // discards a signal from before the fault
	default:
	}
	r.Faults.Go(func() {
		defer close(done)
		select {
		case <-r.putAnswered:
			r.Processes.Kill(plan.PublisherName)
		case <-ctx.Done():
		}
	})
	return func() error {
		cancel()
		<-done
		if r.Processes.PID(plan.PublisherName) != 0 {
			return nil // no put was answered during the fault, so that the publisher is still running
		}
		return r.restart(ctx, plan.PublisherName)
	}
}
