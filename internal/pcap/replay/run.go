package replay

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"fernlanding/internal/pcap/write"
	"fernlanding/internal/sleep"
)

// Target is where a replay goes, and how.
type Target struct {
	Addr           netip.AddrPort
	MaxConnections int           // open at a time (default 256); the others wait
	Timeout        time.Duration // of a response (default 30 s)
	Pipeline       bool          // send without waiting for the response before, as the capture's times say
	Capture        *write.File   // takes what is sent and received; may be nil
}

const (
	defaultMaxConnections = 256
	defaultTimeout        = 30 * time.Second
)

// withDefaults returns the target with the defaults for zero values.
func (t Target) withDefaults() Target {
	if t.MaxConnections <= 0 {
		t.MaxConnections = defaultMaxConnections
	}
	if t.Timeout <= 0 {
		t.Timeout = defaultTimeout
	}
	return t
}

// Result is what became of a step.
type Result struct {
	Step      *Step
	Sent      bool // its last byte was written
	Replayed  Outcome
	BodyEqual bool // the response's body is the captured one
	Size      int64
	Err       error         // why there is no complete response
	Delay     time.Duration // after the step's offset
}

// run is a plan that is carried out.
type run struct {
	target  Target
	start   time.Time
	results map[*Step]*Result // is not changed after its making
}

// Run carries a plan out and returns a result for each step that is not skipped, in their order. A
// request that may have been sent is never sent again: where a connection breaks, the requests on
// it have no response, and those that were not begun go over a new connection.
func (p *Plan) Run(ctx context.Context, target Target) []*Result {
	r := &run{target: target.withDefaults(), results: map[*Step]*Result{}}
	stepsOf := map[int][]*Step{} // by connection
	var connections []int        // by the offsets of their first steps
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

// runConnections carries out the steps of each connection, and returns when all have ended.
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
