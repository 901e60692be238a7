package replay

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"fernlanding/internal/pcap/write"
	"fernlanding/internal/sleep"
)

// Target is the destination of a replay and the way in which requests are sent.
type Target struct {
	Addr           netip.AddrPort
	MaxConnections int           // open connections (default 256); further connections wait
	Timeout        time.Duration // timeout of a dial, a request write or a response (default 30 s)
	Pipeline       bool          // send at the captured times, without waiting for the previous response
	Capture        *write.File   // receives the data that is sent and received; may be nil
}

const (
	defaultMaxConnections = 256
	defaultTimeout        = 30 * time.Second
)

// withDefaults returns the target with zero fields set to their defaults.
func (t Target) withDefaults() Target {
	if t.MaxConnections <= 0 {
		t.MaxConnections = defaultMaxConnections
	}
	if t.Timeout <= 0 {
		t.Timeout = defaultTimeout
	}
	return t
}

// Result is the result of a step.
type Result struct {
	Step      *Step
	Sent      bool // all bytes of the request were written
	Replayed  Outcome
	BodyEqual bool          // the replayed response body equals the captured one
	Size      int64         // bytes of the replayed response body
	Err       error         // reason for which there is no complete response
	Delay     time.Duration // time of sending after the offset of the step
}

// run is one execution of a plan.
type run struct {
	target  Target
	start   time.Time
	results map[*Step]*Result // not modified once connections run
}

// Run executes the plan and returns a result for each step that is not skipped, in the order of the
// steps. A request that may have been sent is never sent again: if a connection breaks, its pending
// requests have no response, and the requests that were not started are sent over a new connection.
func (p *Plan) Run(ctx context.Context, target Target) []*Result {
	r := &run{target: target.withDefaults(), results: map[*Step]*Result{}}
	stepsOf := map[int][]*Step{} // by connection
	var connections []int        // in the order of their first steps
	var all []*Result
	for _, step := range p.Steps {
		if step.SkipReason != "" {
			continue
		}
		if stepsOf[step.Connection] == nil {
			connections = append(connections, step.Connection)
		}
		stepsOf[step.Connection] = append(stepsOf[step.Connection], step)
		result := &Result{Step: step}
		r.results[step] = result
		all = append(all, result)
	}
	r.start = time.Now()
	r.runConnections(ctx, connections, stepsOf)
	for _, result := range all {
		if !result.Sent && result.Err == nil {
			result.Err = errNotSent
		}
	}
	return all
}

// runConnections executes the steps of each connection, and returns when all connections have
// ended.
func (r *run) runConnections(ctx context.Context, connections []int, stepsOf map[int][]*Step) {
	slots := make(chan struct{}, r.target.MaxConnections)
	var running sync.WaitGroup
	defer running.Wait()
	for _, connection := range connections {
		steps := stepsOf[connection]
		if !sleep.Until(ctx, r.start.Add(steps[0].Offset)) {
			return
		}
		select {
		case slots <- struct{}{}:
		case <-ctx.Done():
		}
		if ctx.Err() != nil {
			return
		}
		running.Go(func() {
			defer func() { <-slots }()
			for len(steps) > 0 && ctx.Err() == nil {
				steps = r.runSteps(ctx, steps)
			}
		})
	}
}
