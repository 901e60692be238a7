// Package launch has the parts that runs of the harness and of its rollout tests share: the search
// for free addresses and ports, the start of worker processes, the execution of the fault schedule,
// and the writing of the history.
package launch

import (
	"errors"
	"io"
	"os"
	"sync"

	"fernlanding/internal/harness/history"
	"fernlanding/internal/harness/link"
	"fernlanding/internal/harness/process"
)

// Run is the state of a run: a clock, a history, processes, the links between them, and a
// directory.
type Run struct {
	Clock     history.Clock
	Processes *process.Set
	Links     *link.Network // nil until OpenLinks
	Dir       string        // directory for files of the processes
	// Faults counts the goroutines that carry out faults. End waits for these goroutines.
	Faults sync.WaitGroup

	history   *history.Writer
	isTempDir bool // End removes Dir
}

// Begin begins a run and writes its history to out. If dir is empty, Begin creates a temporary
// directory, which End removes.
func Begin(out io.Writer, dir, name string, seed uint64) (*Run, error) {
	r := &Run{Clock: history.NewClock(), Dir: dir, history: history.NewWriter(out)}
	if dir == "" {
		tempDir, err := os.MkdirTemp("", "rig")
		if err != nil {
			return nil, err
		}
		r.Dir = tempDir
		r.isTempDir = true
	}
	r.Record(history.Event{Kind: history.RunStarted, ID: name, N: int64(seed)})
	r.Processes = process.New(r.Record)
	return r, nil
}

// Record writes an event to the history. If the event has no time, Record sets the current time.
// Record may be called from any goroutine.
func (r *Run) Record(e history.Event) {
	if e.At == 0 {
		e.At = r.Clock.Now()
	}
	r.history.Write(e)
}

// OpenLinks creates the run's links. It finds a network and a range of count ports that are free,
// and calls open to listen there.
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

// End ends all processes, links and faults, and then the history. It returns runErr, the result of
// the run, joined with the errors of the cleanup.
func (r *Run) End(runErr error) error {
	left := r.Processes.Close()
	if r.Links != nil {
		r.Links.Close()
	}
	r.Faults.Wait()
	r.Record(history.Event{Kind: history.RunEnded, N: int64(left)})
	err := errors.Join(runErr, r.history.Flush())
	if r.isTempDir {
		err = errors.Join(err, os.RemoveAll(r.Dir))
	}
	return err
}
