// Package hollow runs the control half of many sidecars in one process: their configurations are decoded and put in force,
// their sources follow real lists, their pools decide. They have neither listeners nor connections to backends.
//
// A fault of one proxy is that proxy's alone as far as it can be contained: a configuration that is refused, a source that
// gets garbage, and a panic on a goroutine that this package starts. A panic on a goroutine that the sidecar itself starts
// (a pool's timers, a source's loop) ends the process and all proxies in it, as it would end a sidecar; so do a lack of
// memory and what the runtime calls fatal, such as concurrent writes to a map.
package hollow

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/netip"
	"runtime/debug"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"fernlanding/internal/config"
	"fernlanding/internal/membership"
	"fernlanding/internal/scale/churn"
	"fernlanding/internal/sidecar"

	"golang.org/x/sys/unix"
)

// MaxArrivals bounds how many times of changes in force a fleet keeps until they are collected.
const MaxArrivals = 4 << 20

// Spec is one proxy to be.
type Spec struct {
	Name string
	File []byte     // its configuration
	From netip.Addr // that it calls list services from; the zero Addr: any
}

// Fleet is the hollow proxies of a process.
type Fleet struct {
	meter    meter
	backends int // of each service's first list
	onList   func(proxy, service string, list *membership.List)
	halt     context.Context
	halted   context.CancelFunc
	running  sync.WaitGroup

	mu       sync.Mutex
	proxies  []*proxy
	failures map[string]string // why a proxy ended, by its name
	arrivals []Arrival
	lost     int64 // arrivals beyond the bound
}

// Config is what a fleet is told.
type Config struct {
	Backends int // of each service's first list
	// OnList, where given, is called beside the fleet's own books when a list is in force. A panic in it ends the proxy alone.
	OnList func(proxy, service string, list *membership.List)
}

// proxy is one hollow proxy.
type proxy struct {
	name     string
	services []string
	sidecar  *sidecar.Sidecar
	stop     context.CancelFunc
	over     atomic.Bool

	mu       sync.Mutex
	versions map[string]int64 // of each service's list that is in force
}

// Arrival is a version of a service's list that one proxy has put in force.
type Arrival struct {
	Service string
	Version int64
	At      int64 // of Now
}

// New returns a fleet without proxies. Close ends it.
func New(cfg Config) *Fleet {
	f := &Fleet{backends: cfg.Backends, onList: cfg.OnList, failures: map[string]string{}}
	f.halt, f.halted = context.WithCancel(context.Background())
	return f
}

// Now is the machine's monotonic clock in nanoseconds, which all processes share.
func Now() int64 {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &t); err != nil {
		return 0 // there is no machine without it
	}
	return t.Nano()
}

// guard runs a part of a proxy's life. A panic is an error.
func guard(f func() error) (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("panic: %v: %s", p, place(string(debug.Stack())))
		}
	}()
	return f()
}

// place is the line of a stack at which it panicked, or the whole stack where that can't be told.
func place(stack string) string {
	_, below, found := strings.Cut(stack, "\npanic(")
	lines := strings.Split(below, "\n")
	const callerAt = 3 // behind the arguments of panic, its file, and the caller's name
	if !found || len(lines) <= callerAt {
		return stack
	}
	return strings.TrimSpace(lines[callerAt])
}

// Start starts a proxy. Where it can't be started, the reason is returned and kept among the failures.
func (f *Fleet) Start(s Spec) error {
	p := &proxy{name: s.Name, versions: map[string]int64{}}
	err := guard(func() error {
		app, err := config.Decode(s.Name, s.File)
		if err != nil {
			return err
		}
		for _, v := range app.Services {
			p.services = append(p.services, v.Name)
		}
		how := sidecar.HollowOptions{
			Dial:    newDialer(s.From, &f.meter).dial,
			InForce: func(service string, list *membership.List) { f.listed(p, service, list) },
		}
		p.sidecar, err = sidecar.NewHollow(app, slog.New(slog.DiscardHandler), how)
		return err
	})
	if err != nil {
		f.fail(p, err)
		return fmt.Errorf("%s: %w", s.Name, err)
	}
	ctx, stop := context.WithCancel(f.halt)
	p.stop = stop
	f.mu.Lock()
	f.proxies = append(f.proxies, p)
	f.mu.Unlock()
	f.running.Go(func() {
		defer stop()
		if err := guard(func() error { return p.sidecar.Run(ctx) }); err != nil {
			f.fail(p, err)
		}
	})
	return nil
}

// listed notes that a list is in force.
func (f *Fleet) listed(p *proxy, service string, list *membership.List) {
	err := guard(func() error {
		f.note(p, service, list)
		if f.onList != nil {
			f.onList(p.name, service, list)
		}
		return nil
	})
	if err != nil {
		f.fail(p, err)
	}
}

func (f *Fleet) note(p *proxy, service string, list *membership.List) {
	now, version := Now(), churn.Version(list, f.backends)
	p.mu.Lock()
	before, known := p.versions[service]
	p.versions[service] = max(before, version)
	p.mu.Unlock()
	if !known { // its first list has all that was changed before
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for v := before + 1; v <= version; v++ {
		if len(f.arrivals) == MaxArrivals {
			f.lost++
			continue
		}
		f.arrivals = append(f.arrivals, Arrival{service, v, now})
	}
}

// fail ends a proxy for a reason.
func (f *Fleet) fail(p *proxy, err error) {
	p.over.Store(true)
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, known := f.failures[p.name]; !known {
		f.failures[p.name] = err.Error()
	}
	if p.stop != nil {
		p.stop()
	}
}

// Failures are the reasons for which proxies ended, by their names.
func (f *Fleet) Failures() map[string]string {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make(map[string]string, len(f.failures))
	for name, why := range f.failures {
		out[name] = why
	}
	return out
}

// errUnready is that of a wait that ended before all lists had come.
var errUnready = errors.New("not all lists have come")

// WaitReady waits until all proxies that have not failed have all lists.
func (f *Fleet) WaitReady(ctx context.Context) error {
	for _, p := range f.alive() {
		deadline, _ := ctx.Deadline()
		if err := p.sidecar.WaitReady(ctx, timeLeft(deadline)); err != nil && !p.over.Load() {
			return fmt.Errorf("%s: %w: %w", p.name, errUnready, err)
		}
	}
	return nil
}

// alive are the proxies that have not failed.
func (f *Fleet) alive() (out []*proxy) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.proxies {
		if !p.over.Load() {
			out = append(out, p)
		}
	}
	return out
}

// Traffic is what has gone between all proxies and list services so far.
func (f *Fleet) Traffic() Traffic { return f.meter.traffic() }

// Arrivals are the versions put in force since the last call, and how many of them were beyond the bound.
func (f *Fleet) Arrivals() (all []Arrival, lost int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	all, lost = f.arrivals, f.lost
	f.arrivals, f.lost = nil, 0
	return all, lost
}

// Close ends all proxies.
func (f *Fleet) Close() {
	f.halted()
	f.running.Wait()
}

// timeLeft is the time until a deadline; without one a long time.
func timeLeft(deadline time.Time) time.Duration {
	const long = time.Hour
	if deadline.IsZero() {
		return long
	}
	return time.Until(deadline)
}
