package standin

import (
	"net/http"
	"sync/atomic"
	"time"
)

// Worker is a backend with a capacity: it has cores, a speed and a queue, and can be made slow,
// hung or failing while it runs. Its work is a wait, which takes next to no processor time.
type Worker struct {
	*Backend
	running  chan struct{}
	admitted chan struct{}
	work     time.Duration // of one request at this worker's speed
	pod      int
	effects  *Effects

	slowdown  atomic.Int64 // times slower, if more than 1
	isHung    atomic.Bool
	isFailing atomic.Bool
	rejected  atomic.Int64 // requests that found the queue full
}

// WorkerConfig is what a worker is made of.
type WorkerConfig struct {
	Cores       int           // requests at once
	QueueSize   int           // requests that wait
	ServiceTime time.Duration // for one request at speed 1
	Speed       float64
	Cell        int      // whose workers drop each other's duplicates
	Effects     *Effects // may be nil
}

// NewWorker starts a worker. Close ends it.
func NewWorker(cfg WorkerConfig) (*Worker, error) {
	w := &Worker{
		running: make(chan struct{}, cfg.Cores), admitted: make(chan struct{}, cfg.Cores+cfg.QueueSize),
		work: time.Duration(float64(cfg.ServiceTime) / cfg.Speed), pod: cfg.Cell, effects: cfg.Effects,
	}
	var err error
	w.Backend, err = NewBackend(w.handle)
	return w, err
}

// SetSlowdown has each request take so many times as long; 1 is the usual speed.
func (w *Worker) SetSlowdown(times int64) { w.slowdown.Store(times) }

// SetHung has the worker take requests and answer none, or ends that.
func (w *Worker) SetHung(on bool) { w.isHung.Store(on) }

// SetFailing has the worker answer 500 at once, or ends that.
func (w *Worker) SetFailing(on bool) { w.isFailing.Store(on) }

// Rejected returns how many requests found the queue full.
func (w *Worker) Rejected() int { return int(w.rejected.Load()) }

// handle answers a call once it has waited for a core and for its work.
func (w *Worker) handle(c *Call) bool {
	switch {
	case w.isHung.Load():
		return Hang(c)
	case w.isFailing.Load():
		return c.Reply(http.StatusInternalServerError, "", nil) == nil
	}
	select {
	case w.admitted <- struct{}{}:
		defer func() { <-w.admitted }()
	default:
		w.rejected.Add(1)
		return c.Reply(http.StatusServiceUnavailable, "Not-Started: 1\r\n", nil) == nil
	}
	select {
	case w.running <- struct{}{}:
		defer func() { <-w.running }()
	case <-w.Done():
		return false
	}
	w.effects.recordCall(w.pod, c)
	work := time.NewTimer(w.work * time.Duration(max(1, w.slowdown.Load())))
	defer work.Stop()
	select {
	case <-work.C:
	case <-w.Done():
		return false
	}
	return Echo(c)
}
