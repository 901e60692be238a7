package cache

import (
	"context"
	"fernlanding/internal/membership"
	"log/slog"
	"slices"
	"sync"
	"time"
)

const (
	// settle is how long a list stands before it is written: changes come in bunches.
	settle = 250 * time.Millisecond
	// confirmEvery is between two writings of a list that has not changed, for the time at which it was last confirmed.
	confirmEvery = 10 * time.Second
)

// Recorder is a Sink before another: it keeps what goes through it in a Store, without the next one having to wait for a disk.
// Run does the writing.
type Recorder struct {
	next  membership.Sink
	store *Store
	whole func() *membership.List // the whole list as it stands behind next; nil: there is none
	log   *slog.Logger
	fresh chan struct{} // a list has come

	mu        sync.Mutex
	confirmed time.Time // when the source last said something; zero: nothing since the last writing
	dropped   bool      // there is no file
	outs      int       // lists that may have taken something out
	broken    bool      // the last writing has failed: said once
	retired   bool      // another keeps the list
}

// NewRecorder returns a Keeper over what the store has.
func NewRecorder(next membership.Sink, store *Store, whole func() *membership.List, log *slog.Logger) *Recorder {
	return &Recorder{next: next, store: store, whole: whole, log: log, fresh: make(chan struct{}, 1)}
}

// UpdateEndpoints implements membership.Sink. The next one is told first, since a drain must not wait for a disk.
func (k *Recorder) UpdateEndpoints(l *membership.List) {
	k.next.UpdateEndpoints(l)
	k.mu.Lock()
	if takesOut(l) {
		if k.outs++; !k.dropped && !k.retired {
			k.dropped = k.report(k.store.Remove())
		}
	}
	k.confirmed = time.Now()
	k.mu.Unlock()
	k.wake()
}

func (k *Recorder) wake() {
	select {
	case k.fresh <- struct{}{}:
	default:
	}
}

// Stop has it touch the store no more: another keeps the list from here on.
func (k *Recorder) Stop() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.retired = true
}

// UpdateFailed implements membership.Sink.
func (k *Recorder) UpdateFailed() { k.next.UpdateFailed() }

// takesOut tells whether a list may take a backend out. A whole one may, by what it lacks.
func takesOut(l *membership.List) bool {
	return l.Full || slices.ContainsFunc(l.Endpoints, func(e membership.Endpoint) bool { return e.Status != membership.Serving })
}

// Run writes lists until the context ends, and then the last one.
func (k *Recorder) Run(ctx context.Context) {
	defer k.write()
	timer := time.NewTimer(settle)
	defer timer.Stop()
	for {
		select {
		case <-k.fresh:
		case <-ctx.Done():
			return
		}
		// A file that is right but for its time can wait; one that is not there can't.
		wait := settle
		if k.kept() {
			wait = confirmEvery
		}
		timer.Reset(wait)
		for waiting := true; waiting; {
			select {
			case <-timer.C:
				waiting = false
			case <-k.fresh:
				if wait > settle && !k.kept() {
					wait = settle
					timer.Reset(wait)
				}
			case <-ctx.Done():
				return
			}
		}
		k.write()
	}
}

// kept tells whether the store has a file that is not known to be wrong.
func (k *Recorder) kept() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return !k.dropped
}

// write writes the list as it stands, if the source has said anything since the last writing. A list that takes something out
// meanwhile does not wait for the disk; what was written of the one before is then thrown away.
func (k *Recorder) write() {
	k.mu.Lock()
	confirmed, outs, retired := k.confirmed, k.outs, k.retired
	k.mu.Unlock()
	list := k.whole()
	if confirmed.IsZero() || list == nil || retired {
		return
	}
	staged, err := k.store.Stage(list, confirmed)
	k.mu.Lock()
	defer k.mu.Unlock()
	switch {
	case err != nil:
		k.report(err)
	case k.retired:
		staged.Discard()
	case k.outs != outs:
		staged.Discard()
		k.wake()
	case k.report(staged.Commit()):
		k.dropped = false
		if k.confirmed.Equal(confirmed) {
			k.confirmed = time.Time{}
		}
	}
}

// report says in the log what has failed, once until something succeeds.
func (k *Recorder) report(err error) (ok bool) {
	if err != nil && !k.broken {
		k.log.Warn("the last list is not kept", "error", err)
	}
	k.broken = err != nil
	return err == nil
}
