// Package sidecar joins the parts of a running proxy: fronts, pools, upstreams and the sources of their lists. It
// starts them, drains them, and ends them.
package sidecar

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"time"

	"fernlanding/internal/core"
	front "fernlanding/internal/front/http1"
	"fernlanding/internal/membership"
	"fernlanding/internal/membership/catalog"
	"fernlanding/internal/settings"
	upstream "fernlanding/internal/upstream/http1"
)

const (
	ownSockets  = 32 // descriptors that are neither a client's nor a backend's, generously
	leastEach   = 8  // connections on either side, at least
	leastLarge  = 2  // large answers that are read at a time, at least
	largeMB     = 16 // of memory for each of them
	requestPart = 3  // clients hold this part of the descriptors at most for requests

	killAfter  = 3 * time.Second        // SIGKILL comes the longest deadline, or this, after SIGTERM
	killLeeway = 500 * time.Millisecond // and somewhat more
	servePart  = 0.7                    // of the time between: requests are taken; the rest is for their answers
)

// Config is what a proxy is told at its start.
type Config struct {
	Listen    string
	Discovery string
	Seed      uint64
	Sockets   int              // descriptors that the process may hold
	MemoryMB  float64          // that it may hold; 0 if it is not told
	Known     *membership.List // the list as last known; may be nil
	Site      *settings.Site
	Trusted   bool // backends send nothing behind their answers: connections need no rest
	Log       *slog.Logger
}

// rest is how long a connection to a backend rests after an answer.
func (c Config) rest() time.Duration {
	if c.Trusted {
		return 0
	}
	return upstream.RestSpoilt
}

// Proxy is one proxy with its listener open.
type Proxy struct {
	cfg    Config
	pool   *core.Pool
	up     *upstream.Upstream
	front  *front.Front
	renews chan string // addresses of discovery that new configurations name
	ended  chan struct{}
}

// New opens the listener; clients are served from Run on.
func New(cfg Config) (*Proxy, error) {
	// Each open request has at most one attempt out, and a third more connections to backends may be kept for
	// the next. What is left is the clients': their open requests, and those that are silent or idle.
	forBackends := cfg.Sockets / requestPart * 4 / 3
	forClients := cfg.Sockets - ownSockets - forBackends
	if forClients < leastEach {
		return nil, fmt.Errorf("%d sockets are too few", cfg.Sockets)
	}
	p := &Proxy{cfg: cfg, renews: make(chan string), ended: make(chan struct{})}
	var err error
	p.up = upstream.New(upstream.Config{DialTimeout: cfg.Site.DialTimeout, IdleClose: cfg.Site.IdleClose,
		Most: forBackends, Large: max(leastLarge, int(cfg.MemoryMB)/largeMB), Rest: cfg.rest()})
	p.pool, err = core.New(core.Config{Settings: cfg.Site.Logic, Seed: cfg.Seed, Zones: cfg.Site.Zones,
		Clock: core.NewClock(), Log: cfg.Log, Upstream: p.up})
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	if cfg.Known != nil {
		p.pool.Cached(cfg.Known)
	}
	p.front = front.New(front.Config{Listener: listener, Resolver: newPlatform(cfg.Site, p.pool), Healthy: p.healthy,
		Longest: p.longest(), Most: forClients, Log: cfg.Log})
	return p, nil
}

// Addr is where clients connect.
func (p *Proxy) Addr() string { return p.front.Addr() }

func (p *Proxy) healthy() bool {
	select {
	case <-p.pool.Ready():
		return true
	default:
		return false
	}
}

// longest is the longest deadline of all classes.
func (p *Proxy) longest() (d time.Duration) {
	for _, c := range p.cfg.Site.Logic.Classes {
		d = max(d, time.Duration(c.Deadline)*time.Microsecond)
	}
	return d
}

// Run serves until the context ends, then finishes what it has taken.
func (p *Proxy) Run(ctx context.Context) error {
	defer close(p.ended)
	inner, stop := context.WithCancel(context.Background())
	var parts sync.WaitGroup
	defer parts.Wait()
	defer stop()
	parts.Go(func() { p.pool.Run(inner) })
	parts.Go(func() { p.watch(inner) })
	served := make(chan error, 1)
	parts.Go(func() { served <- p.front.Serve() })
	select {
	case err := <-served:
		return err
	case <-ctx.Done():
	}
	told, window := time.Now(), min(p.longest(), killAfter)+killLeeway
	cutoff := told.Add(window)
	p.pool.Hurry(cutoff)
	p.front.Drain(told.Add(time.Duration(servePart*float64(window))), cutoff)
	return nil
}

// Renew takes the address of discovery that a new configuration names. It may be called while Run does its work.
func (p *Proxy) Renew(discovery string) {
	select {
	case p.renews <- discovery:
	case <-p.ended:
	}
}

// watch keeps a watch on the list at the address named last. A new one begins with the whole list, since the
// versions of two addresses do not compare, and only when the old one has ended, so that nothing of the old
// follows the new. Until the new one has answered the old list stands.
func (p *Proxy) watch(ctx context.Context) {
	subscribe := p.cfg.Site.Logic.Subscribe && p.cfg.Known != nil // with no list at all nobody says when to ask
	for addr := p.cfg.Discovery; ctx.Err() == nil; subscribe = false {
		one, stop := context.WithCancel(ctx)
		d, first := catalog.New(addr, p.cfg.Site.Logic.Subscribe, p.cfg.Log, p.pool, p.pool.Asked()), subscribe
		var part sync.WaitGroup
		part.Go(func() { d.Run(one, p.cfg.Site.Logic.Subscribe, first) })
		addr = p.renewed(ctx, addr)
		stop()
		part.Wait()
	}
}

// renewed waits for another address than the present one, or the end.
func (p *Proxy) renewed(ctx context.Context, present string) string {
	for {
		select {
		case addr := <-p.renews:
			if addr != present {
				return addr
			}
		case <-ctx.Done():
			return present
		}
	}
}
