package standin

import (
	"net/http"
	"sync/atomic"
	"time"
)

// Worker is a backend with a capacity: it has a number of cores, a speed and a queue. Slowness,
// hangs and failures can be injected into a running Worker. It waits for the service time of a
// request instead of computing, which takes almost no processor time.
type Worker struct {
	*Backend
	running     chan struct{} // has an element for each request that occupies a core
	admitted    chan struct{} // has an element for each request that is queued or running
	serviceTime time.Duration // time of one request at this worker's speed
	cell        int
	effects     *Effects

	slowdown  atomic.Int64 // factor of the service time; values below 1 mean 1
	isHung    atomic.Bool
	isFailing atomic.Bool
	rejected  atomic.Int64 // requests that were received while the queue was full
}

// WorkerConfig configures a Worker.
type WorkerConfig struct {
	Cores       int           // requests that run at the same time
	QueueSize   int           // requests that wait for a core
	ServiceTime time.Duration // time that one request takes at speed 1
	Speed       float64       // divisor of ServiceTime
	Cell        int           // cell whose workers drop each other's duplicates
	Effects     *Effects      // record of the requests that have had an effect; nil means none
}

// NewWorker starts a Worker. Close stops it.
func NewWorker(cfg WorkerConfig) (*Worker, error) {
	w := &Worker{
		running: make(chan struct{}, cfg.Cores), admitted: make(chan struct{}, cfg.Cores+cfg.QueueSize),
		serviceTime: time.Duration(float64(cfg.ServiceTime) / cfg.Speed), cell: cfg.Cell, effects: cfg.Effects,
	}
	var err error
	w.Backend, err = NewBackend(w.handle)
	return w, err
}

// SetSlowdown sets the factor by which each request takes longer. 1 means the usual speed.
func (w *Worker) SetSlowdown(factor int64) { w.slowdown.Store(factor) }

// SetHung sets whether the worker accepts requests without ever responding.
func (w *Worker) SetHung(on bool) { w.isHung.Store(on) }

// SetFailing sets whether the worker responds to every request with 500 at once.
func (w *Worker) SetFailing(on bool) { w.isFailing.Store(on) }

// Rejected returns the number of requests that the worker has rejected because its queue was full.
func (w *Worker) Rejected() int { return int(w.rejected.Load()) }

// handle responds to a call after the call has waited for a core and for its service time.
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
	w.effects.recordCall(w.cell, c)
	work := time.NewTimer(w.serviceTime * time.Duration(max(1, w.slowdown.Load())))
	defer work.Stop()
	select {
	case <-work.C:
	case <-w.Done():
		return false
	}
	return Echo(c)
}
