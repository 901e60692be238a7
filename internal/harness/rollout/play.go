package rollout

import (
	"context"
	"encoding/json"
	"fernlanding/internal/distribution"
	"fernlanding/internal/harness/history"
	"fernlanding/internal/harness/launch"
	"fernlanding/internal/harness/process"
	"fernlanding/internal/harness/rollout/plan"
	"fernlanding/internal/harness/scenario"
	"fernlanding/internal/harness/worker"
	"fernlanding/internal/sleep"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"time"
)

const (
	askWithin   = time.Second // the source and relays, of what they know of themselves
	askEvery    = 300 * time.Millisecond
	answerBytes = 64 << 20
	waitEvery   = 50 * time.Millisecond
	waitLeast   = time.Millisecond // that is told
	rigName     = "rig"
)

// play has the publisher write, carries out the schedule, waits until all has settled, and asks the source what there is.
func (r *run) play(ctx context.Context) error {
	waits := r.lookAtWaits(nil) // so that nothing waits unseen
	began := time.Now()
	r.zero = r.Clock.Now()
	if err := r.Processes.Say(plan.PublisherName, worker.Command{Do: worker.DoBegin, At: r.zero}); err != nil {
		return fmt.Errorf("rollout: %w", err)
	}
	asking, stop := context.WithCancel(ctx)
	r.Faults.Go(func() { r.ask(asking) })
	r.Faults.Go(func() { r.watchWaits(asking, waits) })
	r.Faults.Go(func() { history.WatchLag(asking, rigName, r.Clock, r.Tell) })
	defer stop()
	faults := launch.Schedule{Faults: r.sc.Schedule(), Begin: r.begin, ToldMended: true}
	if err := r.CarryOut(ctx, began, faults); err != nil {
		return fmt.Errorf("rollout: %w", err)
	}
	if !sleep.Until(ctx, began.Add(r.sc.For+r.sc.Settle)) {
		return ctx.Err()
	}
	for _, resource := range r.sc.Resources() {
		r.askResource(ctx, resource)
		r.askStatus(ctx, resource)
	}
	return nil
}

// begin begins a fault, and returns what ends it.
func (r *run) begin(ctx context.Context, f plan.Fault) (end func() error, err error) {
	each := func(do func(name string) error) error {
		for _, name := range f.Names {
			if err := do(name); err != nil {
				return err
			}
		}
		return nil
	}
	switch f.Kind {
	case scenario.Stop:
		_ = each(func(name string) error { r.Processes.Stop(name); return nil })
		return func() error { return each(func(name string) error { r.Processes.Continue(name); return nil }) }, nil
	case scenario.Kill:
		_ = each(func(name string) error { r.Processes.Kill(name); return nil })
		return func() error { return each(func(name string) error { return r.startAgain(ctx, name) }) }, nil
	case plan.KillBetweenPuts:
		return r.betweenWrites(ctx, f), nil
	case plan.RestartFollowers:
		restart := func(name string) error { return r.Processes.Say(name, worker.Command{Do: worker.DoRestart}) }
		return func() error { return nil }, each(restart)
	}
	stop := r.Links.Begin(f)
	return func() error { stop(); return nil }, nil
}

// betweenWrites kills the publisher when its next write has been answered.
func (r *run) betweenWrites(ctx context.Context, f plan.Fault) (end func() error) {
	ctx, cancel := context.WithCancel(ctx)
	killed := make(chan struct{})
	select {
	case <-r.wrote: // one before the fault
	default:
	}
	r.Faults.Go(func() {
		defer close(killed)
		select {
		case <-r.wrote:
			r.Processes.Kill(plan.PublisherName)
		case <-ctx.Done():
		}
	})
	return func() error {
		cancel()
		<-killed
		if r.Processes.PID(plan.PublisherName) != 0 {
			return nil // nothing was written in that time
		}
		return r.startAgain(ctx, plan.PublisherName)
	}
}

// startAgain starts a process that was killed.
func (r *run) startAgain(ctx context.Context, name string) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), startWithin)
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
	if err := r.healthy(ctx, name); err != nil || name != plan.Source {
		return err
	}
	for _, resource := range r.sc.Resources() { // what it was told before is to be there
		r.askResource(ctx, resource)
	}
	return nil
}

// ask asks the source and the relays what they use, and the source what is in force, until the context ends.
func (r *run) ask(ctx context.Context) {
	tick := time.NewTicker(askEvery)
	defer tick.Stop()
	for {
		for _, name := range r.servers() {
			r.askStats(ctx, name)
		}
		for _, resource := range r.sc.Resources() {
			r.askStatus(ctx, resource)
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// look is how long a process had waited for a core in all when it was looked at.
type look struct {
	at     int64 // on the run's clock
	waited time.Duration
}

// watchWaits tells how long the processes on the ways from the source to followers wait for a core.
func (r *run) watchWaits(ctx context.Context, before map[int]look) {
	tick := time.NewTicker(waitEvery)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			before = r.lookAtWaits(before)
		case <-ctx.Done():
			return
		}
	}
}

// lookAtWaits looks at all processes, by id, and tells how long they have waited since the look before.
func (r *run) lookAtWaits(before map[int]look) map[int]look {
	now := map[int]look{}
	for _, name := range slices.Concat(r.servers(), r.sc.Names(plan.OnFollowers)) {
		pid := r.Processes.PID(name)
		now[pid] = look{r.Clock.Now(), process.Waited(pid)}
		last, known := before[pid]
		if took := now[pid].waited - last.waited; known && took >= waitLeast {
			r.Tell(history.Event{Kind: history.Waited, Who: name, N: last.at, Took: took.Microseconds()})
		}
	}
	return now
}

// askStats tells what a server says of itself, and what the system says of it.
func (r *run) askStats(ctx context.Context, name string) {
	var stats map[string]any
	if r.get(ctx, name, "/v1/stats", &stats) != nil {
		return // it is down, or stopped
	}
	figures := map[string]float64{history.UsedResident: float64(process.Resident(r.Processes.PID(name)))}
	for field, value := range stats {
		if number, ok := value.(float64); ok {
			figures[field] = number
		}
	}
	r.Tell(history.Event{Kind: history.Used, Who: name, Figures: figures})
}

// askStatus tells what the source knows of a resource's being in force.
func (r *run) askStatus(ctx context.Context, resource string) {
	var status distribution.ResourceStatus
	if r.get(ctx, plan.Source, "/v1/status?resource="+url.QueryEscape(resource), &status) != nil {
		return
	}
	r.Tell(history.Event{Kind: history.Reported, Who: plan.Source, Resource: resource, Report: &status})
}

// askResource tells what the source has.
func (r *run) askResource(ctx context.Context, resource string) {
	began := r.Clock.Now()
	var u distribution.Update
	if err := r.get(ctx, plan.Source, "/v1/resource?name="+url.QueryEscape(resource), &u); err != nil {
		r.Tell(history.Event{Kind: history.Log, Who: plan.Source, Resource: resource, Why: err.Error()})
		return
	}
	now := r.Clock.Now()
	r.Tell(history.Event{At: now, Kind: history.Source, Who: plan.Source, Resource: resource, Version: u.Version, Digest: worker.DigestOf(u.Items), Took: now - began})
}

// get asks a server directly, over no link.
func (r *run) get(ctx context.Context, server, path string, into any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+r.address(server)+path, nil)
	if err != nil {
		return err
	}
	response, err := r.client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: status %d", path, response.StatusCode)
	}
	return json.NewDecoder(io.LimitReader(response.Body, answerBytes)).Decode(into)
}
