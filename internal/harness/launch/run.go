package launch

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"sync"
	"time"

	"fernlanding/internal/harness/history"
	"fernlanding/internal/harness/link"
	"fernlanding/internal/harness/process"
	"fernlanding/internal/harness/scenario"
	"fernlanding/internal/sleep"
)

// Run is what all runs of the rig have: a clock, a history that is written, processes, links between them, and a folder.
type Run struct {
	Clock     history.Clock
	Processes *process.Set
	Links     *link.Network // nil until OpenLinks
	Dir       string        // for files of the processes
	Faults    sync.WaitGroup

	history   *history.Writer
	temporary bool // Dir is removed at the end
}

// Begin begins a run: its history goes to out. Dir empty: a temporary folder, which End removes.
func Begin(out io.Writer, dir, name string, seed uint64) (*Run, error) {
	r := &Run{Clock: history.NewClock(), Dir: dir, history: history.NewWriter(out)}
	if dir == "" {
		var err error
		if r.Dir, err = os.MkdirTemp("", "rig"); err != nil {
			return nil, err
		}
		r.temporary = true
	}
	r.Record(history.Event{Kind: history.Began, ID: name, N: int64(seed)})
	r.Processes = process.New(r.Record)
	return r, nil
}

// Record writes an event into the history; one without a time is of now.
func (r *Run) Record(e history.Event) {
	if e.At == 0 {
		e.At = r.Clock.Now()
	}
	r.history.Write(e)
}

// OpenLinks finds a network and a port, the first of a count, that nobody uses, and has open listen there on the run's links.
func (r *Run) OpenLinks(count int, watcher link.Watcher, open func(network, port int) error) error {
	return FindNetwork(count, func(network, port int) error {
		r.Links = link.New(watcher)
		err := open(network, port)
		if err != nil {
			r.Links.Close()
			r.Links = nil
		}
		return err
	})
}

// End ends all processes, links and faults, and the history. It returns what the run came to, with the history's own error.
func (r *Run) End(err error) error {
	left := r.Processes.Close()
	if r.Links != nil {
		r.Links.Close()
	}
	r.Faults.Wait()
	r.Record(history.Event{Kind: history.Ended, N: int64(left)})
	err = errors.Join(err, r.history.Flush())
	if r.temporary {
		err = errors.Join(err, os.RemoveAll(r.Dir))
	}
	return err
}

// Schedule is the faults of a run, and how they are carried out.
type Schedule struct {
	Faults []scenario.Fault
	// BeginFault begins a fault and returns what ends it.
	BeginFault func(context.Context, scenario.Fault) (end func() error, err error)
	// RecordEndAfterRecovery has the history tell a fault's end when what it disturbed has been mended, not when that begins.
	RecordEndAfterRecovery bool
}

// step is the beginning or the end of a fault.
type step struct {
	at    time.Duration
	fault int
	end   bool
}

// RunSchedule begins and ends all faults of a schedule at their times from began on.
func (r *Run) RunSchedule(ctx context.Context, began time.Time, schedule Schedule) error {
	ends := make([]func() error, len(schedule.Faults))
	for _, s := range steps(schedule.Faults) {
		if !sleep.Until(ctx, began.Add(s.at)) {
			return ctx.Err()
		}
		f := schedule.Faults[s.fault]
		e := history.Event{Kind: history.Fault, ID: f.Name(s.fault), Names: f.Names, Why: f.String(), To: f.Link}
		if !s.end {
			e.N = 1
		}
		var err error
		switch {
		case !s.end:
			r.Record(e)
			ends[s.fault], err = schedule.BeginFault(ctx, f)
		case schedule.RecordEndAfterRecovery:
			err = ends[s.fault]()
			r.Record(e)
		default:
			r.Record(e)
			err = ends[s.fault]()
		}
		if err != nil {
			return fmt.Errorf("%s: %w", f, err)
		}
	}
	return nil
}

// steps are the beginnings and ends of faults in order of time.
func steps(faults []scenario.Fault) (out []step) {
	for i, f := range faults {
		out = append(out, step{f.At, i, false}, step{f.At + f.Duration, i, true})
	}
	slices.SortStableFunc(out, func(a, b step) int { return cmp.Compare(a.at, b.at) })
	return out
}
