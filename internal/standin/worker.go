package standin

import (
	"net/http"
	"sync/atomic"
	"time"
)

// Worker is a backend that works: it has cores, a speed and a waiting room, and can be made slow, hung or failing
// while it runs. Work is waited for, not done: a worker takes no processor time to speak of.
type Worker struct {
	*Backend
	cores   chan struct{}
	waiting chan struct{}
	work    time.Duration // of one request at this worker's speed
	pod     int
	effects *Effects

	slow atomic.Int64 // times slower, if more than 1
	hung atomic.Bool
	fail atomic.Bool
	full atomic.Int64 // requests that found no room
}

// WorkerConfig is what a worker is made of.
type WorkerConfig struct {
	Cores   int           // requests at once
	Waiting int           // and that wait
	Work    time.Duration // for one request at speed 1
	Speed   float64
	Pod     int      // that drops its members' duplicates
	Effects *Effects // may be nil
}

// NewWorker starts a worker. Close ends it.
func NewWorker(cfg WorkerConfig) (*Worker, error) {
	w := &Worker{
		cores: make(chan struct{}, cfg.Cores), waiting: make(chan struct{}, cfg.Cores+cfg.Waiting),
		work: time.Duration(float64(cfg.Work) / cfg.Speed), pod: cfg.Pod, effects: cfg.Effects,
	}
	var err error
	w.Backend, err = NewBackend(w.handle)
	return w, err
}

// Slow has the worker take so many times as long; 1 is its usual speed.
func (w *Worker) Slow(times int64) { w.slow.Store(times) }

// Hang has the worker take requests and answer none, or end that.
func (w *Worker) Hang(on bool) { w.hung.Store(on) }

// Fail has the worker answer 500 at once, or end that.
func (w *Worker) Fail(on bool) { w.fail.Store(on) }

// Full is how many requests found no room.
func (w *Worker) Full() int { return int(w.full.Load()) }

func (w *Worker) handle(c *Call) bool {
	switch {
	case w.hung.Load():
		return Hangs(c)
	case w.fail.Load():
		return c.Reply(http.StatusInternalServerError, "", nil) == nil
	}
	select {
	case w.waiting <- struct{}{}:
		defer func() { <-w.waiting }()
	default:
		w.full.Add(1)
		return c.Reply(http.StatusServiceUnavailable, "Not-Started: 1\r\n", nil) == nil
	}
	select {
	case w.cores <- struct{}{}:
		defer func() { <-w.cores }()
	case <-w.Done():
		return false
	}
	w.effects.happen(w.pod, c)
	work := time.NewTimer(w.work * time.Duration(max(1, w.slow.Load())))
	defer work.Stop()
	select {
	case <-work.C:
	case <-w.Done():
		return false
	}
	return Echo(c)
}
