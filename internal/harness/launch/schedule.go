package launch

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	"fernlanding/internal/harness/history"
	"fernlanding/internal/harness/scenario"
	"fernlanding/internal/sleep"
)

// Schedule is the faults of a run and the function that carries them out.
type Schedule struct {
	Faults []scenario.Fault
	// BeginFault begins a fault and returns the function that ends it.
	BeginFault func(context.Context, scenario.Fault) (end func() error, err error)
	// RecordEndAfterRecovery records the end of a fault when the affected processes are running
	// again, instead of when their recovery begins.
	RecordEndAfterRecovery bool
}

// step is the beginning or the end of a fault.
type step struct {
	at    time.Duration // time since the schedule's start
	fault int           // index into the schedule's faults
	isEnd bool
}

// RunSchedule begins and ends all faults of a schedule at their times, counted from start. It
// returns after the last end of a fault or at the first error.
func (r *Run) RunSchedule(ctx context.Context, start time.Time, schedule Schedule) error {
	ends := make([]func() error, len(schedule.Faults))
	for _, s := range steps(schedule.Faults) {
		if !sleep.Until(ctx, start.Add(s.at)) {
			return ctx.Err()
		}
		fault := schedule.Faults[s.fault]
		e := history.Event{
			Kind:   history.Fault,
			ID:     fault.Name(s.fault),
			Names:  fault.Names,
			Reason: fault.String(),
			To:     fault.Link,
		}
		if !s.isEnd {
			e.N = 1
		}
		var err error
		switch {
		case !s.isEnd:
			r.Record(e)
			ends[s.fault], err = schedule.BeginFault(ctx, fault)
		case schedule.RecordEndAfterRecovery:
			err = ends[s.fault]()
			r.Record(e)
		default:
			r.Record(e)
			err = ends[s.fault]()
		}
		if err != nil {
			return fmt.Errorf("%s: %w", fault, err)
		}
	}
	return nil
}

// steps returns the beginnings and ends of faults, sorted by time. The sort is stable, so that a
// fault without duration begins before it ends.
func steps(faults []scenario.Fault) []step {
	var all []step
	for i, fault := range faults {
		all = append(all,
			step{at: fault.At, fault: i},
			step{at: fault.At + fault.Duration, fault: i, isEnd: true})
	}
	slices.SortStableFunc(all, func(a, b step) int { return cmp.Compare(a.at, b.at) })
	return all
}
