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

// backends are several backends in one process.
type backends struct {
	spec Spec
	t    teller

	mu  sync.Mutex
	all map[string]*worker
}

const (
	chokeTimes = 20
	pushedSlow = 4           // times slower than usual, while and after a cold backend held more than it bears
	pushedRest = time.Second // how long after
)

func newBackends(s Spec, t teller) (doer, Hello, error) {
	b := &backends{spec: s, t: t, all: map[string]*worker{}}
	h := Hello{Addresses: map[string]string{}}
	for i, name := range s.Backends {
		w := &worker{spec: s, t: t, name: name, pod: s.Pods[i], born: time.Now().Add(-s.Cold), address: "127.0.0.1:0"}
		if s.Fresh {
			w.born = time.Now()
		}
		if err := w.start(); err != nil {
			b.close()
			return nil, h, err
		}
		w.address = w.backend.Addr() // the same in its later lives
		b.all[name] = w
		h.Addresses[name] = w.address
	}
	return b, h, nil
}

func (b *backends) close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, w := range b.all {
		w.end()
	}
}

func (b *backends) do(c Command) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, name := range c.Names {
		w := b.all[name]
		if w == nil {
			continue // another process's
		}
		switch c.Do {
		case DoEnd:
			w.end()
		case DoStart:
			w.born = time.Now()
			if err := w.start(); err != nil {
				return err
			}
		case DoMove:
			w.end()
			w.set(func() { w.moved = c.On })
			w.born = time.Now()
			if err := w.start(); err != nil {
				return err
			}
		case DoChoke:
			w.set(func() { w.choked = c.On })
		case DoFail:
			w.set(func() { w.fails = c.On })
		default:
			return fmt.Errorf("unknown command")
		}
	}
	return nil
}

// worker is one backend: cores, of which a fresh one has a part at first, and a waiting room. What has waited for a core and
// whose caller has gone is not begun.
type worker struct {
	spec    Spec
	t       teller
	name    string
	pod     int
	address string
	born    time.Time
	backend *standin.Backend
	warming []*time.Timer // each brings a core

	mu     sync.Mutex
	held   int // requests
	pushed bool
	until  time.Time // it stays slow
	choked bool
	fails  bool
	moved  bool // its address is another service's
}

func (w *worker) set(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f()
}

func (w *worker) start() error {
	if w.backend != nil {
		return nil
	}
	cores := make(chan struct{}, w.spec.Cores)
	b, err := standin.NewBackendAt(w.address, func(c *standin.Call) bool { return w.handle(c, cores) })
	if err != nil {
		return err
	}
	for n := 2; n <= w.spec.Cores && w.warmth(time.Now()) < 1; n++ {
		// The nth core is there as soon as more than n-1 cores' part of the capacity is; see take for what is not whole.
		if after := (float64(n-1)/float64(w.spec.Cores) - w.spec.Part) / (1 - w.spec.Part) * float64(w.spec.Cold); after > 0 {
			cores <- struct{}{}
			w.warming = append(w.warming, time.AfterFunc(time.Until(w.born.Add(time.Duration(after))), func() { <-cores }))
		}
	}
	b.LimitConns(w.spec.Conns)
	w.backend = b
	return nil
}

func (w *worker) end() {
	if w.backend != nil {
		for _, t := range w.warming {
			t.Stop()
		}
		w.backend.Close()
		w.backend, w.warming = nil, nil
	}
}

// warmth is the part of its capacity that it has by now.
func (w *worker) warmth(now time.Time) float64 {
	if w.spec.Cold <= 0 {
		return 1
	}
	age := min(1, float64(now.Sub(w.born))/float64(w.spec.Cold))
	return w.spec.Part + (1-w.spec.Part)*age
}

// take counts a request in, and says how many times as long as usual it takes; 0: there is no room.
func (w *worker) take() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.held >= w.spec.Cores+w.spec.Waiting {
		return 0
	}
	w.held++
	now := time.Now()
	warm := w.warmth(now)
	if warm < 1 && !w.pushed && float64(w.held) > math.Ceil(w.spec.Bears*warm*float64(w.spec.Cores)) {
		w.pushed = true
		w.t.tell(history.Event{Kind: history.Pushed, Who: w.name, N: 1, Took: int64(w.held)})
	}
	part := warm * float64(w.spec.Cores)
	times := math.Ceil(part) / part
	if w.pushed || now.Before(w.until) {
		times *= pushedSlow
	}
	if w.choked {
		times *= chokeTimes
	}
	return times
}

func (w *worker) leave() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.held--
	now := time.Now()
	if w.pushed && float64(w.held) <= w.spec.Bears*w.warmth(now)*float64(w.spec.Cores) {
		w.pushed, w.until = false, now.Add(pushedRest)
		w.t.tell(history.Event{Kind: history.Pushed, Who: w.name})
	}
}

func (w *worker) handle(c *standin.Call, cores chan struct{}) bool {
	e := history.Event{Who: w.name, ID: c.Header.Get("Request-Id"), Key: c.Header.Get("Idempotency-Key"), Class: c.Method, Conn: c.Conn.RemoteAddr().String(), N: int64(c.NumberOnConn), Pod: w.pod}
	w.mu.Lock()
	fails, moved := w.fails, w.moved
	w.mu.Unlock()
	if moved {
		e.Kind = history.Strayed
		w.t.tell(e)
		return c.Reply(http.StatusNotFound, "", nil) == nil
	}
	if fails {
		return c.Reply(http.StatusInternalServerError, "", nil) == nil
	}
	times := w.take()
	if times == 0 {
		e.Kind = history.Full
		w.t.tell(e)
		return c.Reply(http.StatusServiceUnavailable, "Not-Started: 1\r\n", nil) == nil
	}
	defer w.leave()
	select {
	case cores <- struct{}{}:
		defer func() { <-cores }()
	case <-c.Done:
		return false
	}
	if !socket.IsIdle(c.Conn) {
		return false // its caller has gone
	}
	e.Kind = history.Ran
	w.t.tell(e)
	work := time.NewTimer(time.Duration(times * float64(w.spec.Work)))
	defer work.Stop()
	select {
	case <-work.C:
	case <-c.Done:
		return false
	}
	return standin.Echo(c)
}
