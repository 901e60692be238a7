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

// play carries out the schedule.
func (r *run) play(ctx context.Context) error {
	began := time.Now()
	if err := r.CarryOut(ctx, began, launch.Schedule{Faults: r.sc.Schedule(), Begin: r.begin}); err != nil {
		return fmt.Errorf("rig: %w", err)
	}
	if !sleep.Until(ctx, began.Add(r.sc.For)) {
		return ctx.Err()
	}
	return nil
}

// begin begins a fault, and returns what ends it.
func (r *run) begin(ctx context.Context, f scenario.Fault) (end func() error, err error) {
	none := func() error { return nil }
	switch f.Kind {
	case scenario.Cut, scenario.OneWay, scenario.Delay, scenario.Hold, scenario.Reset, scenario.Half, scenario.Slow:
		stop := r.Links.Begin(f)
		return func() error { stop(); return nil }, nil
	case scenario.Stop:
		names := r.processes(f)
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
		return r.away(ctx, f)
	case scenario.ListDown, scenario.ListSilent, scenario.ListHalf, scenario.ListEmpty, scenario.ListOlder:
		mode := func(word string) error {
			var all []error
			for _, n := range f.Names {
				all = append(all, r.Processes.Say(n, worker.Command{Do: worker.DoMode, Mode: word}))
			}
			return errors.Join(all...)
		}
		return func() error { return mode(standin.ListWell.String()) }, mode(string(f.Kind))
	case scenario.Choke, scenario.Fail:
		do := map[scenario.Kind]string{scenario.Choke: worker.DoChoke, scenario.Fail: worker.DoFail}[f.Kind]
		return func() error { return r.backends(worker.Command{Do: do, Names: f.Names}) }, r.backends(worker.Command{Do: do, Names: f.Names, On: true})
	case scenario.Replace:
		return r.replace(ctx, f)
	case scenario.Moved:
		r.later(ctx, noticeAfter, func() { r.state("DELETED", f.Names...) })
		return func() error {
			if err := r.backends(worker.Command{Do: worker.DoMove, Names: f.Names}); err != nil {
				return err
			}
			r.state("SERVING", f.Names...)
			return nil
		}, r.backends(worker.Command{Do: worker.DoMove, Names: f.Names, On: true})
	}
	return none, fmt.Errorf("no such fault: %s", f.Kind)
}

// processes are the processes that a fault acts on.
func (r *run) processes(f scenario.Fault) []string {
	if f.On == scenario.OnBackends {
		return r.backs
	}
	return f.Names
}

// away ends processes, and starts them again when the fault ends.
func (r *run) away(ctx context.Context, f scenario.Fault) (func() error, error) {
	names := r.processes(f)
	lost := r.workersOf(names)
	if len(lost) > 0 && !f.Unnoticed { // they leave the list a while after
		r.later(ctx, noticeAfter, func() { r.state("DELETED", lost...) })
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
			switch i := scenario.Number(n); {
			case strings.HasPrefix(n, "sidecar-"):
				err = r.startSidecar(i)
			case strings.HasPrefix(n, "list-"):
				err = r.startList(ctx, i)
			default:
				err = r.startBackends(ctx, i, true)
			}
			if err != nil {
				return err
			}
		}
		if len(lost) > 0 {
			r.state("SERVING", lost...)
		}
		return nil
	}, nil
}

// workersOf are the backends of those processes that have any.
func (r *run) workersOf(names []string) (out []string) {
	for i, w := range r.workers {
		if slices.Contains(names, r.backs[i%len(r.backs)]) {
			out = append(out, w)
		}
	}
	return out
}

// replace drains backends, ends them a while after, and starts them again, cold, when the fault ends.
func (r *run) replace(ctx context.Context, f scenario.Fault) (func() error, error) {
	r.state("DRAINING", f.Names...)
	down := make(chan struct{})
	r.Faults.Go(func() {
		defer close(down)
		if sleep.For(ctx, min(drainFor, f.For)) {
			_ = r.backends(worker.Command{Do: worker.DoEnd, Names: f.Names})
			r.state("DELETED", f.Names...)
		}
	})
	return func() error {
		<-down
		if err := r.backends(worker.Command{Do: worker.DoStart, Names: f.Names}); err != nil {
			return err
		}
		r.state("SERVING", f.Names...)
		return nil
	}, nil
}

func (r *run) later(ctx context.Context, after time.Duration, f func()) {
	r.Faults.Go(func() {
		if sleep.For(ctx, after) {
			f()
		}
	})
}

// backends tells all processes of backends; each knows which are its own.
func (r *run) backends(c worker.Command) error {
	var all []error
	for _, p := range r.backs {
		all = append(all, r.Processes.Say(p, c))
	}
	return errors.Join(all...)
}

// state changes what the lists say of backends. One that serves again has started anew.
func (r *run) state(status string, names ...string) {
	var all []standin.Member
	r.mu.Lock()
	for _, n := range names {
		m, ok := r.members[n]
		if !ok {
			i := r.names[n]
			m = standin.Member{Name: n, Address: fmt.Sprintf(":%d", r.backPort[i]), Zone: r.sc.Site(i), Group: i % pods, Weight: 1}
		}
		if status == "SERVING" {
			m.SinceMs = time.Now().UnixMilli()
		}
		m.Status = status
		all = append(all, m)
	}
	r.mu.Unlock()
	r.change(all...)
}

// change enters members and tells the list services that run.
func (r *run) change(all ...standin.Member) {
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
		r.Tell(history.Event{Kind: history.Member, Who: m.Name, Why: m.Status})
	}
	for _, l := range r.lists {
		_ = r.Processes.Say(l, worker.Command{Do: worker.DoMembers, Members: all}) // one that is down is told all at its start
	}
}
