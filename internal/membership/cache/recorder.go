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
	// writeDelay is the delay between a list and its write if there is no file, because the list
	// may remove endpoints. It combines the changes of a burst.
	writeDelay = 250 * time.Millisecond
	// confirmInterval is the delay between a list and its write if the list removes no endpoint
	// from the file. Such a write updates the time of confirmation and adds new endpoints.
	confirmInterval = 10 * time.Second
)

// Recorder is a Sink that forwards to the next Sink and writes the lists to a Store. Run does the
// writing, so the next sink does not wait for a disk. Recorder is safe for concurrent use.
type Recorder struct {
	next    membership.Sink
	store   *Store
	current func() *membership.List // returns the present full list of next; nil if there is none
	log     *slog.Logger
	updated chan struct{} // signals a new list

	mu        sync.Mutex
	confirmed time.Time // when the source last sent a list; zero if that was before the last write
	removed   bool      // there is no file, because its list would bring back a removed endpoint
	removals  int       // number of lists so far that may have removed an endpoint
	failing   bool      // the last write or removal failed, and the failure is logged
	stopped   bool      // another recorder writes the list
}

// NewRecorder returns a Recorder in front of next. The function current returns the present full
// list of next, or nil if there is none.
func NewRecorder(
	next membership.Sink, store *Store, current func() *membership.List, log *slog.Logger,
) *Recorder {
	return &Recorder{next: next, store: store, current: current, log: log, updated: make(chan struct{}, 1)}
}

// UpdateEndpoints implements membership.Sink. It calls the next sink first, because a drain must
// not wait for a disk.
func (r *Recorder) UpdateEndpoints(list *membership.List) {
	r.next.UpdateEndpoints(list)
	r.recordUpdate(list)
	r.wakeWriter()
}

// recordUpdate records that the next sink has applied a list, and removes the file if the list may
// remove an endpoint.
func (r *Recorder) recordUpdate(list *membership.List) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if mayRemove(list) {
		r.removals++
		if !r.removed && !r.stopped {
			r.removed = r.recordResult(r.store.Remove())
		}
	}
	r.confirmed = time.Now()
}

// mayRemove reports whether a list may stop an endpoint from serving. A full list may, because
// endpoints can be absent from it.
func mayRemove(list *membership.List) bool {
	return list.Full || slices.ContainsFunc(list.Endpoints, func(e membership.Endpoint) bool {
		return e.Status != membership.Serving
	})
}

func (r *Recorder) wakeWriter() {
	select {
	case r.updated <- struct{}{}:
	default: // the writer is signaled already
	}
}

// Stop makes the recorder leave the store unchanged from now on, because another recorder writes
// the list.
func (r *Recorder) Stop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopped = true
}

// UpdateFailed implements membership.Sink.
func (r *Recorder) UpdateFailed() { r.next.UpdateFailed() }

// Run writes lists until the context ends, and then writes the last list.
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

// wait waits until the next write is due. It returns false if the context ends before that. A write
// that replaces a file without removed endpoints can wait for confirmInterval; a missing file is
// written after writeDelay.
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

// hasFile reports whether the store may have a file: none has been removed since the last write.
func (r *Recorder) hasFile() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.removed
}

// write writes the present list if the source has sent a list since the last write. A list that
// removes an endpoint during the write does not wait for the disk; the staged file is then
// discarded.
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
		r.recordResult(err)
	case r.stopped:
		staged.Discard()
	case r.removals != removals:
		staged.Discard()
		r.wakeWriter()
	case r.recordResult(staged.Commit()):
		r.removed = false
		if r.confirmed.Equal(confirmed) {
			r.confirmed = time.Time{}
		}
	}
}

// recordResult records the result of a write or removal and reports whether it succeeded. Failures
// are logged once until the next success.
func (r *Recorder) recordResult(err error) bool {
	if err != nil && !r.failing {
		r.log.Warn("endpoint list not cached", "error", err)
	}
	r.failing = err != nil
	return err == nil
}
