// Package hollow runs hollow proxies: the control plane parts of many sidecars in one process. A
// hollow proxy decodes and applies its configuration, follows real endpoint lists, and selects
// endpoints for calls. It has neither listeners nor connections to backends.
//
// A failure of one proxy is isolated as far as possible. An invalid configuration, a source that
// receives invalid data, and a panic on a goroutine that this package starts end that proxy only. A
// panic on a goroutine that the sidecar itself starts (the timers of a pool, the loop of a source)
// ends the process and all proxies in it, as the panic would end a sidecar. Out-of-memory and fatal
// errors of the runtime, such as concurrent writes to a map, end the process too.
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

// MaxAppliedVersions is the maximum number of applied versions that a fleet keeps until
// TakeAppliedVersions is called.
const MaxAppliedVersions = 4 << 20

// ProxySpec describes a proxy to start.
type ProxySpec struct {
	Name      string
	Config    []byte     // the configuration file
	LocalAddr netip.Addr // of connections to list services; the zero Addr means any
}

// Fleet runs hollow proxies. Its methods are safe for concurrent use.
type Fleet struct {
	meter    meter
	backends int // per service, in the first list
	onList   func(proxy, service string, list *membership.List)
	running  sync.WaitGroup

	mu       sync.Mutex
	closed   bool
	cancels  []context.CancelFunc // of the contexts that Close cancels
	proxies  []*proxy
	failures map[string]string // errors of the proxies that failed, by name
	applied  []AppliedVersion
	dropped  int64 // applied versions beyond MaxAppliedVersions
}

// Config configures a fleet.
type Config struct {
	BackendsPerService int // in the first list
	// OnList, if not nil, is called after a proxy has applied a list. A panic in OnList ends that
	// proxy only.
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
	versions map[string]int64 // applied versions by service
}

// AppliedVersion is a version of the list of a service that a proxy has applied.
type AppliedVersion struct {
	Service string
	Version int64
	At      int64 // time of MonotonicNow
}

// New returns a fleet without proxies. The caller calls Close to stop the fleet.
func New(cfg Config) *Fleet {
	return &Fleet{backends: cfg.BackendsPerService, onList: cfg.OnList, failures: map[string]string{}}
}

// newContext returns a context that Close cancels. The context is not derived from the context of a
// caller, because proxies and calls outlive the commands that start them.
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

// MonotonicNow returns the time of the monotonic clock in nanoseconds. All processes of the machine
// share this clock.
func MonotonicNow() int64 {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &t); err != nil {
		return 0 // does not happen: every Linux kernel has this clock
	}
	return t.Nano()
}

// recoverPanic calls f and returns the error of f, or the panic of f as an error.
func recoverPanic(f func() error) (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("panic: %v: %s", p, panicLocation(string(debug.Stack())))
		}
	}()
	return f()
}

// panicLocation returns the line of a stack trace that names the location of the panic, or the whole
// trace if that line cannot be found.
func panicLocation(stack string) string {
	_, below, found := strings.Cut(stack, "\npanic(")
	lines := strings.Split(below, "\n")
	const callerAt = 3 // after the arguments of panic, the file of panic, and the name of the caller
	if !found || len(lines) <= callerAt {
		return stack
	}
	return strings.TrimSpace(lines[callerAt])
}

// Start starts a proxy. If the proxy cannot be started, Start returns the error and adds it to
// Failures.
func (f *Fleet) Start(spec ProxySpec) error {
	p := &proxy{name: spec.Name, versions: map[string]int64{}}
	if err := recoverPanic(func() error { return f.newSidecar(p, spec) }); err != nil {
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

// newSidecar decodes the configuration of a proxy and sets its sidecar.
func (f *Fleet) newSidecar(p *proxy, spec ProxySpec) error {
	app, err := config.Decode(spec.Name, spec.Config)
	if err != nil {
		return err
	}
	for _, service := range app.Services {
		p.services = append(p.services, service.Name)
	}
	options := sidecar.HollowOptions{
		Dial:          newDialer(spec.LocalAddr, &f.meter).dial,
		OnListApplied: func(service string, list *membership.List) { f.onListApplied(p, service, list) },
	}
	p.sidecar, err = sidecar.NewHollow(app, slog.New(slog.DiscardHandler), options)
	return err
}

// onListApplied records that a proxy has applied a list.
func (f *Fleet) onListApplied(p *proxy, service string, list *membership.List) {
	err := recoverPanic(func() error {
		f.recordAppliedVersions(p, service, list)
		if f.onList != nil {
			f.onList(p.name, service, list)
		}
		return nil
	})
	if err != nil {
		f.failProxy(p, err)
	}
}

// recordAppliedVersions records the versions of a list that are later than the previously applied
// version.
func (f *Fleet) recordAppliedVersions(p *proxy, service string, list *membership.List) {
	now, version := MonotonicNow(), churn.Version(list, f.backends)
	p.mu.Lock()
	before, known := p.versions[service]
	p.versions[service] = max(before, version)
	p.mu.Unlock()
	if !known { // the first list contains all changes made before the start of the proxy
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for v := before + 1; v <= version; v++ {
		if len(f.applied) == MaxAppliedVersions {
			f.dropped++
			continue
		}
		f.applied = append(f.applied, AppliedVersion{Service: service, Version: v, At: now})
	}
}

// failProxy stops a proxy and keeps its first error.
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

// Failures returns the errors of the proxies that have failed, by proxy name.
func (f *Fleet) Failures() map[string]string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return maps.Clone(f.failures)
}

var errListsMissing = errors.New("not all lists received")

// WaitReady waits until all proxies that have not failed have received all their lists.
func (f *Fleet) WaitReady(ctx context.Context) error {
	for _, p := range f.alive() {
		deadline, _ := ctx.Deadline()
		if err := p.sidecar.WaitReady(ctx, timeLeft(deadline)); err != nil && !p.failed.Load() {
			return fmt.Errorf("%s: %w: %w", p.name, errListsMissing, err)
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

// Traffic returns the traffic between all proxies and their list services so far.
func (f *Fleet) Traffic() Traffic { return f.meter.traffic() }

// TakeAppliedVersions returns the versions applied since the last call, and the number of versions
// that were dropped because there were more than MaxAppliedVersions.
func (f *Fleet) TakeAppliedVersions() (all []AppliedVersion, dropped int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	all, dropped = f.applied, f.dropped
	f.applied, f.dropped = nil, 0
	return all, dropped
}

// Close stops all proxies and the calls on them, and returns when the proxies have stopped.
func (f *Fleet) Close() {
	f.mu.Lock()
	f.closed = true
	for _, cancel := range f.cancels {
		cancel()
	}
	f.mu.Unlock()
	f.running.Wait()
}

// timeLeft returns the time until a deadline, or one hour for the zero deadline.
func timeLeft(deadline time.Time) time.Duration {
	const long = time.Hour
	if deadline.IsZero() {
		return long
	}
	return time.Until(deadline)
}
