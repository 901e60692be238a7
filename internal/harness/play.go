package harness

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"fernlanding/internal/harness/history"
	"fernlanding/internal/harness/launch"
	"fernlanding/internal/harness/scenario"
	"fernlanding/internal/harness/worker"
	"fernlanding/internal/sleep"
	"fernlanding/internal/standin"
)

// runSchedule carries out the schedule.
func (r *run) runSchedule(ctx context.Context) error {
	began := time.Now()
	if err := r.RunSchedule(ctx, began, launch.Schedule{Faults: r.spec.Schedule(), BeginFault: r.beginFault}); err != nil {
		return fmt.Errorf("rig: %w", err)
	}
	if !sleep.Until(ctx, began.Add(r.spec.Duration)) {
		return ctx.Err()
	}
	return nil
}

// beginFault begins a fault, and returns what ends it.
func (r *run) beginFault(ctx context.Context, f scenario.Fault) (end func() error, err error) {
	none := func() error { return nil }
	switch f.Kind {
	case scenario.Cut, scenario.OneWay, scenario.Delay, scenario.Hold, scenario.Reset, scenario.Half, scenario.Slow:
		stop := r.Links.Begin(f)
		return func() error { stop(); return nil }, nil
	case scenario.Stop:
		names := r.targetProcesses(f)
		for _, n := range names {
			r.Processes.Stop(n)
		}
		return func() error {
			for _, n := range names {
				r.Processes.Continue(n)
			}
			return nil
		}, nil
	case scenario.Kill, scenario.Term:
		return r.beginOutage(ctx, f)
	case scenario.ListDown, scenario.ListSilent, scenario.ListHalf, scenario.ListEmpty, scenario.ListOlder:
		mode := func(word string) error {
			var all []error
			for _, n := range f.Names {
				all = append(all, r.Processes.SendCommand(n, worker.Command{Do: worker.DoMode, Mode: word}))
			}
			return errors.Join(all...)
		}
		return func() error { return mode(standin.ListWell.String()) }, mode(string(f.Kind))
	case scenario.Choke, scenario.Fail:
		do := map[scenario.Kind]string{scenario.Choke: worker.DoChoke, scenario.Fail: worker.DoFail}[f.Kind]
		return func() error { return r.commandBackends(worker.Command{Do: do, Names: f.Names}) }, r.commandBackends(worker.Command{Do: do, Names: f.Names, On: true})
	case scenario.Replace:
		return r.beginReplacement(ctx, f)
	case scenario.Moved:
		r.runAfter(ctx, deregisterDelay, func() { r.setBackendStatus("DELETED", f.Names...) })
		return func() error {
			if err := r.commandBackends(worker.Command{Do: worker.DoMove, Names: f.Names}); err != nil {
				return err
			}
			r.setBackendStatus("SERVING", f.Names...)
			return nil
		}, r.commandBackends(worker.Command{Do: worker.DoMove, Names: f.Names, On: true})
	}
	return none, fmt.Errorf("no such fault: %s", f.Kind)
}

// targetProcesses are the processes that a fault acts on.
func (r *run) targetProcesses(f scenario.Fault) []string {
	if f.Group == scenario.OnBackends {
		return r.backendProcesses
	}
	return f.Names
}

// beginOutage ends processes, and starts them again when the fault ends.
func (r *run) beginOutage(ctx context.Context, f scenario.Fault) (func() error, error) {
	names := r.targetProcesses(f)
	lost := r.backendsOf(names)
	if len(lost) > 0 && !f.KeepListed { // they leave the list a while after
		r.runAfter(ctx, deregisterDelay, func() { r.setBackendStatus("DELETED", lost...) })
	}
	if f.Kind == scenario.Kill {
		for _, n := range names {
			r.Processes.Kill(n)
		}
	} else if err := r.Processes.Terminate(names, 0); err != nil {
		return nil, err
	}
	return func() error {
		for _, n := range names {
			r.Processes.Kill(n) // those that have not ended yet
			var err error
			switch i := scenario.Index(n); {
			case strings.HasPrefix(n, "sidecar-"):
				err = r.startSidecar(i)
			case strings.HasPrefix(n, "list-"):
				err = r.startListService(ctx, i)
			default:
				err = r.startBackendProcess(ctx, i, true)
			}
			if err != nil {
				return err
			}
		}
		if len(lost) > 0 {
			r.setBackendStatus("SERVING", lost...)
		}
		return nil
	}, nil
}

// backendsOf are the backends of those processes that have any.
func (r *run) backendsOf(names []string) (out []string) {
	for i, w := range r.backendNames {
		if slices.Contains(names, r.backendProcesses[i%len(r.backendProcesses)]) {
			out = append(out, w)
		}
	}
	return out
}

// beginReplacement drains backends, ends them a while after, and starts them again, cold, when the fault ends.
func (r *run) beginReplacement(ctx context.Context, f scenario.Fault) (func() error, error) {
	r.setBackendStatus("DRAINING", f.Names...)
	down := make(chan struct{})
	r.Faults.Go(func() {
		defer close(down)
		if sleep.For(ctx, min(drainDuration, f.Duration)) {
			_ = r.commandBackends(worker.Command{Do: worker.DoEnd, Names: f.Names})
			r.setBackendStatus("DELETED", f.Names...)
		}
	})
	return func() error {
		<-down
		if err := r.commandBackends(worker.Command{Do: worker.DoStart, Names: f.Names}); err != nil {
			return err
		}
		r.setBackendStatus("SERVING", f.Names...)
		return nil
	}, nil
}

func (r *run) runAfter(ctx context.Context, after time.Duration, f func()) {
	r.Faults.Go(func() {
		if sleep.For(ctx, after) {
			f()
		}
	})
}

// commandBackends tells all processes of backends; each knows which are its own.
func (r *run) commandBackends(c worker.Command) error {
	var all []error
	for _, p := range r.backendProcesses {
		all = append(all, r.Processes.SendCommand(p, c))
	}
	return errors.Join(all...)
}

// setBackendStatus changes what the lists say of backends. One that serves again has started anew.
func (r *run) setBackendStatus(status string, names ...string) {
	var all []standin.Member
	r.mu.Lock()
	for _, n := range names {
		m, ok := r.members[n]
		if !ok {
			i := r.backendIndex[n]
			m = standin.Member{Name: n, Address: fmt.Sprintf(":%d", r.backendRelayPorts[i]), Zone: r.spec.Site(i), Group: i % podCount, Weight: 1}
		}
		if status == "SERVING" {
			m.SinceMs = time.Now().UnixMilli()
		}
		m.Status = status
		all = append(all, m)
	}
	r.mu.Unlock()
	r.updateMembers(all...)
}

// updateMembers enters members and tells the list services that run.
func (r *run) updateMembers(all ...standin.Member) {
	r.mu.Lock()
	for _, m := range all {
		if m.Status == "DELETED" {
			delete(r.members, m.Name)
		} else {
			r.members[m.Name] = m
		}
	}
	r.mu.Unlock()
	for _, m := range all {
		r.Record(history.Event{Kind: history.MemberStatus, Who: m.Name, Why: m.Status})
	}
	for _, l := range r.listNames {
		_ = r.Processes.SendCommand(l, worker.Command{Do: worker.DoMembers, Members: all}) // one that is down is told all at its start
	}
}
