package cache

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"fernlanding/internal/membership"
)

const (
	// writeDelay is how long after a list came it is written: changes come in bursts.
	writeDelay = 250 * time.Millisecond
	// confirmInterval is the time between two writes of a list that has not changed, for the time
	// of its confirmation.
	confirmInterval = 10 * time.Second
)

// Recorder is a Sink before another: it writes what goes through it to a Store, without the next
// sink having to wait for a disk. Run does the writing. It is safe for concurrent use.
type Recorder struct {
	next    membership.Sink
	store   *Store
	current func() *membership.List // the full list as it stands behind next; nil: there is none
	log     *slog.Logger
	updated chan struct{} // a list has come

	mu        sync.Mutex
	confirmed time.Time // when the source last sent a list; zero: not since the last write
	removed   bool      // there is no file, since its list would bring an endpoint back
	removals  int       // lists so far that may have removed an endpoint
	failing   bool      // the last write or removal has failed, which is logged
	stopped   bool      // another recorder writes the list
}

// NewRecorder returns a Recorder before a sink. current returns the full list as it stands behind
// the sink; nil: there is none.
func NewRecorder(
	next membership.Sink, store *Store, current func() *membership.List, log *slog.Logger,
) *Recorder {
	return &Recorder{next: next, store: store, current: current, log: log, updated: make(chan struct{}, 1)}
}

// UpdateEndpoints implements membership.Sink. The next sink comes first, since a drain must not
// wait for a disk.
func (r *Recorder) UpdateEndpoints(list *membership.List) {
	r.next.UpdateEndpoints(list)
	r.noteUpdate(list)
	r.wakeWriter()
}

// noteUpdate notes a list that the next sink has, and removes the file if the list may remove an
// endpoint.
func (r *Recorder) noteUpdate(list *membership.List) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if mayRemove(list) {
		r.removals++
		if !r.removed && !r.stopped {
			r.removed = r.noteResult(r.store.Remove())
		}
	}
	r.confirmed = time.Now()
}

// mayRemove reports whether a list may stop an endpoint from serving. A full one may, by what it
// lacks.
func mayRemove(list *membership.List) bool {
	return list.Full || slices.ContainsFunc(list.Endpoints, func(e membership.Endpoint) bool {
		return e.Status != membership.Serving
	})
}

func (r *Recorder) wakeWriter() {
	select {
	case r.updated <- struct{}{}:
	default: // it is to wake already
	}
}

// Stop has the recorder touch the store no more: another writes the list from here on.
func (r *Recorder) Stop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopped = true
}

// UpdateFailed implements membership.Sink.
func (r *Recorder) UpdateFailed() { r.next.UpdateFailed() }

// Run writes lists until the context ends, and then the last one.
func (r *Recorder) Run(ctx context.Context) {
	defer r.write()
	timer := time.NewTimer(writeDelay)
	defer timer.Stop()
	for {
		select {
		case <-r.updated:
		case <-ctx.Done():
			return
		}
		if !r.wait(ctx, timer) {
			return
		}
		r.write()
	}
}

// wait waits until it is time for the next write; it returns false if the context ends before. A
// file that is right but for its time can wait; one that is not there can't.
func (r *Recorder) wait(ctx context.Context, timer *time.Timer) bool {
	delay := writeDelay
	if r.hasFile() {
		delay = confirmInterval
	}
	timer.Reset(delay)
	for {
		select {
		case <-timer.C:
			return true
		case <-r.updated:
			if delay > writeDelay && !r.hasFile() {
				delay = writeDelay
				timer.Reset(delay)
			}
		case <-ctx.Done():
			return false
		}
	}
}

// hasFile reports whether the store has a file that is not known to be wrong.
func (r *Recorder) hasFile() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.removed
}

// write writes the list as it stands, if the source has sent any since the last write. A list that
// removes an endpoint meanwhile does not wait for the disk; what was written of the one before is
// then discarded.
func (r *Recorder) write() {
	r.mu.Lock()
	confirmed, removals, stopped := r.confirmed, r.removals, r.stopped
	r.mu.Unlock()
	list := r.current()
	if confirmed.IsZero() || list == nil || stopped {
		return
	}
	staged, err := r.store.Stage(list, confirmed)
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case err != nil:
		r.noteResult(err)
	case r.stopped:
		staged.Discard()
	case r.removals != removals:
		staged.Discard()
		r.wakeWriter()
	case r.noteResult(staged.Commit()):
		r.removed = false
		if r.confirmed.Equal(confirmed) {
			r.confirmed = time.Time{}
		}
	}
}

// noteResult notes the result of a write or removal, and reports whether it succeeded. Failures are
// logged once until something succeeds.
func (r *Recorder) noteResult(err error) bool {
	if err != nil && !r.failing {
		r.log.Warn("endpoint list not cached", "error", err)
	}
	r.failing = err != nil
	return err == nil
}
