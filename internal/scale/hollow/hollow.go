// Package hollow runs the control half of many sidecars in one process: their configurations are
// decoded and put in force, their sources follow real endpoint lists, their pools decide. They have
// neither listeners nor connections to backends.
//
// A fault of one proxy is contained as far as that is possible: a configuration that is rejected, a
// source that receives garbage, and a panic on a goroutine that this package starts end that proxy
// only. A panic on a goroutine that the sidecar itself starts (a pool's timers, a source's loop)
// ends the process and all proxies in it, as it would end a sidecar; so do a lack of memory and
// what the runtime calls fatal, such as concurrent writes to a map.
package hollow

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
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

// MaxAppliedVersions bounds the number of arrivals that a fleet keeps until they are collected.
const MaxAppliedVersions = 4 << 20

// ProxySpec describes a proxy to start.
type ProxySpec struct {
	Name      string
	Config    []byte     // the configuration file
	LocalAddr netip.Addr // of connections to list services; the zero Addr: any
}

// Fleet runs hollow proxies. Its methods may be called concurrently.
type Fleet struct {
	meter    meter
	backends int // of each service's first list
	onList   func(proxy, service string, list *membership.List)
	running  sync.WaitGroup

	mu       sync.Mutex
	closed   bool
	cancels  []context.CancelFunc // of what Close ends
	proxies  []*proxy
	failures map[string]string // reasons for which proxies ended, by name
	arrivals []AppliedVersion
	lost     int64 // arrivals beyond MaxArrivals
}

// Config configures a fleet.
type Config struct {
	BackendsPerService int // of each service's first list
	// OnList, if not nil, is called after a list of a proxy's service is in force. A panic in it
	// ends that proxy only.
	OnList func(proxy, service string, list *membership.List)
}

// proxy is one hollow proxy.
type proxy struct {
	name     string
	services []string
	sidecar  *sidecar.Sidecar
	stop     context.CancelFunc
	failed   atomic.Bool

	mu       sync.Mutex
	versions map[string]int64 // in force, by service
}

// AppliedVersion is a version of a service's list that a proxy has put in force.
type AppliedVersion struct {
	Service string
	Version int64
	At      int64 // of MonotonicNow
}

// New returns a fleet without proxies. Close ends it.
func New(cfg Config) *Fleet {
	return &Fleet{backends: cfg.BackendsPerService, onList: cfg.OnList, failures: map[string]string{}}
}

// newContext returns a context that Close cancels. Proxies and calls outlive the commands that
// start them, so it does not derive from a caller's context.
func (f *Fleet) newContext() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.Background())
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		cancel()
	}
	f.cancels = append(f.cancels, cancel)
	return ctx, cancel
}

// MonotonicNow returns the machine's monotonic clock in nanoseconds, which all its processes share.
func MonotonicNow() int64 {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &t); err != nil {
		return 0 // every Linux kernel has this clock
	}
	return t.Nano()
}

// recoverPanic calls f and returns its error, or its panic as an error.
func recoverPanic(f func() error) (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("panic: %v: %s", p, panicLocation(string(debug.Stack())))
		}
	}()
	return f()
}

// panicLocation returns the line of a stack at which it panicked, or all of the stack where that
// line cannot be found.
func panicLocation(stack string) string {
	_, below, found := strings.Cut(stack, "\npanic(")
	lines := strings.Split(below, "\n")
	const callerAt = 3 // after the arguments of panic, its file, and the caller's name
	if !found || len(lines) <= callerAt {
		return stack
	}
	return strings.TrimSpace(lines[callerAt])
}

// Start starts a proxy. If it cannot be started, the reason is returned and kept among the
// failures.
func (f *Fleet) Start(spec ProxySpec) error {
	p := &proxy{name: spec.Name, versions: map[string]int64{}}
	if err := recoverPanic(func() error { return f.build(p, spec) }); err != nil {
		f.failProxy(p, err)
		return fmt.Errorf("%s: %w", spec.Name, err)
	}
	ctx, stop := f.newContext()
	p.stop = stop
	f.mu.Lock()
	f.proxies = append(f.proxies, p)
	f.mu.Unlock()
	f.running.Go(func() {
		defer stop()
		if err := recoverPanic(func() error { return p.sidecar.Run(ctx) }); err != nil {
			f.failProxy(p, err)
		}
	})
	return nil
}

// build decodes a proxy's configuration and makes its sidecar.
func (f *Fleet) build(p *proxy, spec ProxySpec) error {
	app, err := config.Decode(spec.Name, spec.Config)
	if err != nil {
		return err
	}
	for _, service := range app.Services {
		p.services = append(p.services, service.Name)
	}
	options := sidecar.HollowOptions{
		Dial:          newDialer(spec.LocalAddr, &f.meter).dial,
		OnListApplied: func(service string, list *membership.List) { f.listInForce(p, service, list) },
	}
	p.sidecar, err = sidecar.NewHollow(app, slog.New(slog.DiscardHandler), options)
	return err
}

// listInForce records that a list is in force in a proxy.
func (f *Fleet) listInForce(p *proxy, service string, list *membership.List) {
	err := recoverPanic(func() error {
		f.recordArrivals(p, service, list)
		if f.onList != nil {
			f.onList(p.name, service, list)
		}
		return nil
	})
	if err != nil {
		f.failProxy(p, err)
	}
}

// recordArrivals records the versions that a list brings beyond the one in force before.
func (f *Fleet) recordArrivals(p *proxy, service string, list *membership.List) {
	now, version := MonotonicNow(), churn.Version(list, f.backends)
	p.mu.Lock()
	before, known := p.versions[service]
	p.versions[service] = max(before, version)
	p.mu.Unlock()
	if !known { // the first list has all changes that were made before the proxy's start
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for v := before + 1; v <= version; v++ {
		if len(f.arrivals) == MaxAppliedVersions {
			f.lost++
			continue
		}
		f.arrivals = append(f.arrivals, AppliedVersion{Service: service, Version: v, At: now})
	}
}

// failProxy ends a proxy and keeps the first reason for it.
func (f *Fleet) failProxy(p *proxy, err error) {
	p.failed.Store(true)
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, known := f.failures[p.name]; !known {
		f.failures[p.name] = err.Error()
	}
	if p.stop != nil {
		p.stop()
	}
}

// Failures returns the reasons for which proxies have ended, by their names.
func (f *Fleet) Failures() map[string]string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return maps.Clone(f.failures)
}

var errNotReady = errors.New("not all lists have come")

// WaitReady waits until all proxies that have not failed have received all their lists.
func (f *Fleet) WaitReady(ctx context.Context) error {
	for _, p := range f.alive() {
		deadline, _ := ctx.Deadline()
		if err := p.sidecar.WaitReady(ctx, timeLeft(deadline)); err != nil && !p.failed.Load() {
			return fmt.Errorf("%s: %w: %w", p.name, errNotReady, err)
		}
	}
	return nil
}

// alive returns the proxies that have not failed.
func (f *Fleet) alive() []*proxy {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []*proxy
	for _, p := range f.proxies {
		if !p.failed.Load() {
			out = append(out, p)
		}
	}
	return out
}

// Traffic returns the traffic between all proxies and list services so far.
func (f *Fleet) Traffic() Traffic { return f.meter.traffic() }

// TakeAppliedVersions returns the versions put in force since the last call, and the number of those that were
// lost because there were more than MaxArrivals.
func (f *Fleet) TakeAppliedVersions() (all []AppliedVersion, lost int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	all, lost = f.arrivals, f.lost
	f.arrivals, f.lost = nil, 0
	return all, lost
}

// Close ends all proxies and the calls on them, and returns when the proxies have ended.
func (f *Fleet) Close() {
	f.mu.Lock()
	f.closed = true
	for _, cancel := range f.cancels {
		cancel()
	}
	f.mu.Unlock()
	f.running.Wait()
}

// timeLeft returns the time until a deadline; a long time without one.
func timeLeft(deadline time.Time) time.Duration {
	const long = time.Hour
	if deadline.IsZero() {
		return long
	}
	return time.Until(deadline)
}
