package harness

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"fernlanding/internal/harness/launch"
	"fernlanding/internal/harness/scenario"
	"fernlanding/internal/harness/worker"
	"fernlanding/internal/sleep"
	"fernlanding/internal/standin"
)

const (
	deregisterDelay = 500 * time.Millisecond // time from a process's end until its backends leave the endpoint list
	drainDuration   = time.Second            // time from the start of a backend's draining until the backend stops
)

// runSchedule carries out the fault schedule and waits until the scenario's duration has passed.
func (r *run) runSchedule(ctx context.Context) error {
	start := time.Now()
	schedule := launch.Schedule{Faults: r.spec.Schedule(), BeginFault: r.beginFault}
	if err := r.RunSchedule(ctx, start, schedule); err != nil {
		return fmt.Errorf("rig: %w", err)
	}
	if !sleep.Until(ctx, start.Add(r.spec.Duration)) {
		return ctx.Err()
	}
	return nil
}

// beginFault begins a fault and returns the function that ends it.
func (r *run) beginFault(ctx context.Context, fault scenario.Fault) (end func() error, err error) {
	switch fault.Kind {
	case scenario.Cut, scenario.OneWay, scenario.Delay, scenario.Hold, scenario.Reset, scenario.HalfClose,
		scenario.Slow:
		remove := r.Links.Begin(fault)
		return func() error {
			remove()
			return nil
		}, nil
	case scenario.Stop:
		return r.beginPause(fault), nil
	case scenario.Kill, scenario.Term:
		return r.beginOutage(ctx, fault)
	case scenario.ListDown, scenario.ListSilent, scenario.ListTruncated, scenario.ListEmpty, scenario.ListOlder:
		return r.beginListFault(fault)
	case scenario.Choke:
		return r.beginBackendFault(worker.DoChoke, fault)
	case scenario.Fail:
		return r.beginBackendFault(worker.DoFail, fault)
	case scenario.Replace:
		return r.beginReplacement(ctx, fault)
	case scenario.AddressReused:
		return r.beginAddressReuse(ctx, fault)
	}
	return nil, fmt.Errorf("unknown kind of fault %q", fault.Kind)
}

// beginPause stops processes (SIGSTOP). The processes are continued (SIGCONT) when the fault ends.
func (r *run) beginPause(fault scenario.Fault) (end func() error) {
	names := r.targetProcesses(fault)
	for _, name := range names {
		r.Processes.Stop(name)
	}
	return func() error {
		for _, name := range names {
			r.Processes.Continue(name)
		}
		return nil
	}
}

// beginListFault switches list services to a faulty mode. The services return to the normal mode
// when the fault ends.
func (r *run) beginListFault(fault scenario.Fault) (end func() error, err error) {
	setMode := func(mode string) error {
		var all []error
		for _, name := range fault.Names {
			command := worker.Command{Do: worker.DoMode, Mode: mode}
			all = append(all, r.Processes.SendCommand(name, command))
		}
		return errors.Join(all...)
	}
	return func() error { return setMode(standin.DiscoveryOK.String()) }, setMode(string(fault.Kind))
}

// beginBackendFault switches a fault of backends on by a command. The same command with On unset
// switches the fault off when it ends.
func (r *run) beginBackendFault(do string, fault scenario.Fault) (end func() error, err error) {
	end = func() error {
		return r.commandBackends(worker.Command{Do: do, Names: fault.Names})
	}
	return end, r.commandBackends(worker.Command{Do: do, Names: fault.Names, On: true})
}

// beginOutage ends processes by SIGKILL or SIGTERM. The processes are started again when the fault
// ends.
func (r *run) beginOutage(ctx context.Context, fault scenario.Fault) (end func() error, err error) {
	names := r.targetProcesses(fault)
	lost := r.backendsOf(names)
	if len(lost) > 0 && !fault.KeepListed {
		r.runAfter(ctx, deregisterDelay, func() { r.setBackendStatus(statusDeleted, lost...) })
	}
	if fault.Kind == scenario.Kill {
		for _, name := range names {
			r.Processes.Kill(name)
		}
	} else if err := r.Processes.Terminate(names, 0); err != nil {
		return nil, err
	}
	return func() error {
		for _, name := range names {
			if err := r.restart(ctx, name); err != nil {
				return err
			}
		}
		if len(lost) > 0 {
			r.setBackendStatus(statusServing, lost...)
		}
		return nil
	}, nil
}

// restart starts a process again. Backends in the process start cold.
func (r *run) restart(ctx context.Context, name string) error {
	r.Processes.Kill(name) // the process may not have exited yet after SIGTERM
	index := scenario.Index(name)
	switch {
	case strings.HasPrefix(name, "sidecar-"):
		return r.startSidecar(index)
	case strings.HasPrefix(name, "list-"):
		return r.startListService(ctx, index)
	default:
		return r.startBackendProcess(ctx, index, true)
	}
}

// beginReplacement drains backends and stops them after drainDuration, or at the end of the fault
// if that is earlier. The backends start again, cold, when the fault ends.
func (r *run) beginReplacement(ctx context.Context, fault scenario.Fault) (end func() error, err error) {
	r.setBackendStatus(statusDraining, fault.Names...)
	stopped := make(chan struct{})
	r.Faults.Go(func() {
		defer close(stopped)
		if sleep.For(ctx, min(drainDuration, fault.Duration)) {
			// An error means that the process has exited, so that its backends have stopped.
			_ = r.commandBackends(worker.Command{Do: worker.DoStop, Names: fault.Names})
			r.setBackendStatus(statusDeleted, fault.Names...)
		}
	})
	return func() error {
		<-stopped
		if err := r.commandBackends(worker.Command{Do: worker.DoStart, Names: fault.Names}); err != nil {
			return err
		}
		r.setBackendStatus(statusServing, fault.Names...)
		return nil
	}, nil
}

// beginAddressReuse stops backends and gives their addresses to another service. The backends take
// their addresses back when the fault ends.
func (r *run) beginAddressReuse(ctx context.Context, fault scenario.Fault) (end func() error, err error) {
	r.runAfter(ctx, deregisterDelay, func() { r.setBackendStatus(statusDeleted, fault.Names...) })
	end = func() error {
		if err := r.commandBackends(worker.Command{Do: worker.DoReuseAddresses, Names: fault.Names}); err != nil {
			return err
		}
		r.setBackendStatus(statusServing, fault.Names...)
		return nil
	}
	return end, r.commandBackends(worker.Command{Do: worker.DoReuseAddresses, Names: fault.Names, On: true})
}

// targetProcesses returns the processes that a fault acts on.
func (r *run) targetProcesses(fault scenario.Fault) []string {
	if fault.Group == scenario.OnBackends {
		return r.backendProcesses
	}
	return fault.Names
}

// backendsOf returns the names of the backends that run in the named processes.
func (r *run) backendsOf(processes []string) []string {
	var backends []string
	for i, name := range r.backendNames {
		if slices.Contains(processes, r.backendProcesses[i%len(r.backendProcesses)]) {
			backends = append(backends, name)
		}
	}
	return backends
}

// runAfter calls f after a delay unless ctx is done first. The end of the run waits for the call's
// goroutine.
func (r *run) runAfter(ctx context.Context, delay time.Duration, f func()) {
	r.Faults.Go(func() {
		if sleep.For(ctx, delay) {
			f()
		}
	})
}
