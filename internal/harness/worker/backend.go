package worker

import (
	"math"
	"net/http"
	"sync"
	"time"

	"fernlanding/internal/harness/history"
	"fernlanding/internal/socket"
	"fernlanding/internal/standin"
)

const (
	chokeSlowdown    = 20          // service time of a choked backend, as a multiple of the normal one
	overloadSlowdown = 4           // service time of a cold backend during and after an overload, as a multiple
	overloadRecovery = time.Second // time after the end of an overload until requests have the normal service time
)

// backend is one backend. It has a queue and a number of cores, of which a cold backend has only a
// part. If a caller closes its connection while the request waits for a core, the backend does not
// execute the request.
type backend struct {
	spec     Spec
	recorder recorder
	name     string
	cell     int
	address  string

	// The mutex of backendGroup guards these fields. Requests are served only between start and
	// stop.
	startedAt time.Time
	server    *standin.Backend // nil while the backend is stopped
	warming   []*time.Timer    // timers that each add a core

	mu            sync.Mutex // guards the fields below
	inFlight      int        // requests being executed or waiting for a core
	overloaded    bool       // the backend is cold and has more requests than its warm-up allows
	slowUntil     time.Time  // end of the recovery after an overload
	choked        bool
	failing       bool
	addressReused bool // another service has the backend's address
}

// execute carries out a command. The caller holds the mutex of the group.
func (b *backend) execute(command Command) error {
	switch command.Do {
	case DoStop:
		b.stop()
	case DoStart:
		b.startedAt = time.Now()
		return b.start()
	case DoReuseAddresses:
		b.stop()
		b.update(func() { b.addressReused = command.On })
		b.startedAt = time.Now()
		return b.start()
	case DoChoke:
		b.update(func() { b.choked = command.On })
	case DoFail:
		b.update(func() { b.failing = command.On })
	default:
		return errUnknownCommand
	}
	return nil
}

// update calls change with mu held.
func (b *backend) update(change func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	change()
}

// start starts the backend's listener. It does nothing if the backend is running.
func (b *backend) start() error {
	if b.server != nil {
		return nil
	}
	cores := make(chan struct{}, b.spec.Cores) // holds a value for each core that is busy or not yet available
	server, err := standin.NewBackendAt(b.address, func(call *standin.Call) bool { return b.handle(call, cores) })
	if err != nil {
		return err
	}
	b.warmUp(cores)
	server.LimitConns(b.spec.MaxConns)
	b.server = server
	return nil
}

// warmUp occupies the cores that a cold backend does not have yet and schedules the release of each
// of them.
func (b *backend) warmUp(cores chan struct{}) {
	start := b.spec.StartCapacity
	for n := 2; n <= b.spec.Cores && b.capacity(time.Now()) < 1; n++ {
		// The nth core is added as soon as the capacity exceeds n-1 cores. The fractional part is
		// handled in admit.
		after := (float64(n-1)/float64(b.spec.Cores) - start) / (1 - start) * float64(b.spec.Warmup)
		if after > 0 {
			cores <- struct{}{}
			due := time.Until(b.startedAt.Add(time.Duration(after)))
			b.warming = append(b.warming, time.AfterFunc(due, func() { <-cores }))
		}
	}
}

// stop closes the backend's listener and all its connections. It does nothing if the backend is
// stopped.
func (b *backend) stop() {
	if b.server == nil {
		return
	}
	for _, timer := range b.warming {
		timer.Stop()
	}
	b.server.Close()
	b.server = nil
	b.warming = nil
}

// capacity returns the share of its full capacity that the backend has at the time now.
func (b *backend) capacity(now time.Time) float64 {
	if b.spec.Warmup <= 0 {
		return 1
	}
	age := min(1, float64(now.Sub(b.startedAt))/float64(b.spec.Warmup))
	return b.spec.StartCapacity + (1-b.spec.StartCapacity)*age
}

// admit admits a request and returns the request's service time as a multiple of the normal service
// time. It returns 0 if the queue is full.
func (b *backend) admit() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.inFlight >= b.spec.Cores+b.spec.QueueLength {
		return 0
	}
	b.inFlight++
	now := time.Now()
	capacity := b.capacity(now)
	cores := float64(b.spec.Cores)
	if capacity < 1 && !b.overloaded && float64(b.inFlight) > math.Ceil(b.spec.ColdMultiple*capacity*cores) {
		b.overloaded = true
		b.recorder.record(history.Event{
			Kind: history.WarmupOverload, Who: b.name, N: 1, Took: int64(b.inFlight),
		})
	}
	// The number of cores is rounded up to an integer. Slower requests compensate for the excess.
	available := capacity * cores
	slowdown := math.Ceil(available) / available
	if b.overloaded || now.Before(b.slowUntil) {
		slowdown *= overloadSlowdown
	}
	if b.choked {
		slowdown *= chokeSlowdown
	}
	return slowdown
}

// release ends an admitted request.
func (b *backend) release() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.inFlight--
	now := time.Now()
	if b.overloaded && float64(b.inFlight) <= b.spec.ColdMultiple*b.capacity(now)*float64(b.spec.Cores) {
		b.overloaded = false
		b.slowUntil = now.Add(overloadRecovery)
		b.recorder.record(history.Event{Kind: history.WarmupOverload, Who: b.name})
	}
}

// handle serves one request. It reports whether the connection can be used again.
func (b *backend) handle(call *standin.Call, cores chan struct{}) bool {
	e := history.Event{
		Who:   b.name,
		ID:    call.Header.Get("Request-Id"),
		Key:   call.Header.Get("Idempotency-Key"),
		Class: call.Method,
		Conn:  call.Conn.RemoteAddr().String(),
		N:     int64(call.NumberOnConn),
		Cell:  b.cell,
	}
	b.mu.Lock()
	failing, addressReused := b.failing, b.addressReused
	b.mu.Unlock()
	if addressReused {
		e.Kind = history.Misrouted
		b.recorder.record(e)
		return call.Reply(http.StatusNotFound, "", nil) == nil
	}
	if failing {
		return call.Reply(http.StatusInternalServerError, "", nil) == nil
	}
	slowdown := b.admit()
	if slowdown == 0 {
		e.Kind = history.Overloaded
		b.recorder.record(e)
		return call.Reply(http.StatusServiceUnavailable, "Not-Started: 1\r\n", nil) == nil
	}
	defer b.release()
	select {
	case cores <- struct{}{}:
		defer func() { <-cores }()
	case <-call.Done:
		return false
	}
	if !socket.IsIdle(call.Conn) {
		return false // the caller has closed the connection
	}
	e.Kind = history.Executed
	b.recorder.record(e)
	return b.work(call, slowdown)
}

// work waits for the service time and then echoes the request. It reports whether the connection
// can be used again.
func (b *backend) work(call *standin.Call, slowdown float64) bool {
	timer := time.NewTimer(time.Duration(slowdown * float64(b.spec.ServiceTime)))
	defer timer.Stop()
	select {
	case <-timer.C:
		return standin.Echo(call)
	case <-call.Done:
		return false
	}
}
