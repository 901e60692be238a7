package worker

import (
	"fmt"
	"math"
	"net/http"
	"sync"
	"time"

	"fernlanding/internal/harness/history"
	"fernlanding/internal/socket"
	"fernlanding/internal/standin"
)

// backendGroup are several backends in one process.
type backendGroup struct {
	spec     Spec
	recorder recorder

	mu     sync.Mutex
	byName map[string]*backend
}

const (
	chokeSlowdown    = 20
	overloadSlowdown = 4           // times slower than usual, while and after a cold backend held more than it bears
	overloadRecovery = time.Second // how long after
)

func newBackends(s Spec, t recorder) (runner, Hello, error) {
	b := &backendGroup{spec: s, recorder: t, byName: map[string]*backend{}}
	h := Hello{Addresses: map[string]string{}}
	for i, name := range s.Backends {
		w := &backend{spec: s, recorder: t, name: name, pod: s.Pods[i], startedAt: time.Now().Add(-s.Warmup), address: "127.0.0.1:0"}
		if s.StartCold {
			w.startedAt = time.Now()
		}
		if err := w.start(); err != nil {
			b.close()
			return nil, h, err
		}
		w.address = w.server.Addr() // the same in its later lives
		b.byName[name] = w
		h.Addresses[name] = w.address
	}
	return b, h, nil
}

func (b *backendGroup) close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, w := range b.byName {
		w.stop()
	}
}

func (b *backendGroup) execute(c Command) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, name := range c.Names {
		w := b.byName[name]
		if w == nil {
			continue // another process's
		}
		switch c.Do {
		case DoEnd:
			w.stop()
		case DoStart:
			w.startedAt = time.Now()
			if err := w.start(); err != nil {
				return err
			}
		case DoMove:
			w.stop()
			w.update(func() { w.moved = c.On })
			w.startedAt = time.Now()
			if err := w.start(); err != nil {
				return err
			}
		case DoChoke:
			w.update(func() { w.choked = c.On })
		case DoFail:
			w.update(func() { w.failing = c.On })
		default:
			return fmt.Errorf("unknown command")
		}
	}
	return nil
}

// backend is one backend: cores, of which a fresh one has a part at first, and a waiting room. What has waited for a core and
// whose caller has gone is not begun.
type backend struct {
	spec      Spec
	recorder  recorder
	name      string
	pod       int
	address   string
	startedAt time.Time
	server    *standin.Backend
	warming   []*time.Timer // each brings a core

	mu         sync.Mutex
	inFlight   int // requests
	overloaded bool
	slowUntil  time.Time // it stays slow
	choked     bool
	failing    bool
	moved      bool // its address is another service's
}

func (w *backend) update(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f()
}

func (w *backend) start() error {
	if w.server != nil {
		return nil
	}
	cores := make(chan struct{}, w.spec.Cores)
	b, err := standin.NewBackendAt(w.address, func(c *standin.Call) bool { return w.handle(c, cores) })
	if err != nil {
		return err
	}
	for n := 2; n <= w.spec.Cores && w.capacity(time.Now()) < 1; n++ {
		// The nth core is there as soon as more than n-1 cores' part of the capacity is; see take for what is not whole.
		if after := (float64(n-1)/float64(w.spec.Cores) - w.spec.StartCapacity) / (1 - w.spec.StartCapacity) * float64(w.spec.Warmup); after > 0 {
			cores <- struct{}{}
			w.warming = append(w.warming, time.AfterFunc(time.Until(w.startedAt.Add(time.Duration(after))), func() { <-cores }))
		}
	}
	b.LimitConns(w.spec.MaxConns)
	w.server = b
	return nil
}

func (w *backend) stop() {
	if w.server != nil {
		for _, t := range w.warming {
			t.Stop()
		}
		w.server.Close()
		w.server, w.warming = nil, nil
	}
}

// capacity is the part of its capacity that it has by now.
func (w *backend) capacity(now time.Time) float64 {
	if w.spec.Warmup <= 0 {
		return 1
	}
	age := min(1, float64(now.Sub(w.startedAt))/float64(w.spec.Warmup))
	return w.spec.StartCapacity + (1-w.spec.StartCapacity)*age
}

// admit counts a request in, and says how many times as long as usual it takes; 0: there is no room.
func (w *backend) admit() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.inFlight >= w.spec.Cores+w.spec.QueueLength {
		return 0
	}
	w.inFlight++
	now := time.Now()
	warm := w.capacity(now)
	if warm < 1 && !w.overloaded && float64(w.inFlight) > math.Ceil(w.spec.ColdMultiple*warm*float64(w.spec.Cores)) {
		w.overloaded = true
		w.recorder.record(history.Event{Kind: history.WarmupOverload, Who: w.name, N: 1, Took: int64(w.inFlight)})
	}
	part := warm * float64(w.spec.Cores)
	times := math.Ceil(part) / part
	if w.overloaded || now.Before(w.slowUntil) {
		times *= overloadSlowdown
	}
	if w.choked {
		times *= chokeSlowdown
	}
	return times
}

func (w *backend) release() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.inFlight--
	now := time.Now()
	if w.overloaded && float64(w.inFlight) <= w.spec.ColdMultiple*w.capacity(now)*float64(w.spec.Cores) {
		w.overloaded, w.slowUntil = false, now.Add(overloadRecovery)
		w.recorder.record(history.Event{Kind: history.WarmupOverload, Who: w.name})
	}
}

func (w *backend) handle(c *standin.Call, cores chan struct{}) bool {
	e := history.Event{Who: w.name, ID: c.Header.Get("Request-Id"), Key: c.Header.Get("Idempotency-Key"), Class: c.Method, Conn: c.Conn.RemoteAddr().String(), N: int64(c.NumberOnConn), Pod: w.pod}
	w.mu.Lock()
	fails, moved := w.failing, w.moved
	w.mu.Unlock()
	if moved {
		e.Kind = history.Misrouted
		w.recorder.record(e)
		return c.Reply(http.StatusNotFound, "", nil) == nil
	}
	if fails {
		return c.Reply(http.StatusInternalServerError, "", nil) == nil
	}
	times := w.admit()
	if times == 0 {
		e.Kind = history.Overloaded
		w.recorder.record(e)
		return c.Reply(http.StatusServiceUnavailable, "Not-Started: 1\r\n", nil) == nil
	}
	defer w.release()
	select {
	case cores <- struct{}{}:
		defer func() { <-cores }()
	case <-c.Done:
		return false
	}
	if !socket.IsIdle(c.Conn) {
		return false // its caller has gone
	}
	e.Kind = history.Executed
	w.recorder.record(e)
	work := time.NewTimer(time.Duration(times * float64(w.spec.ServiceTime)))
	defer work.Stop()
	select {
	case <-work.C:
	case <-c.Done:
		return false
	}
	return standin.Echo(c)
}
