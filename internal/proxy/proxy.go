// Package proxy is the real proxy round the decision module: clients on one side, backends and discovery on
// the other. One goroutine, the loop, owns the module; the rest carry out what it decides and report back.
package proxy

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"time"

	"fernlanding/internal/settings"
	"fernlanding/logic"
)

const (
	ownSockets  = 32 // descriptors that are neither a client's nor a backend's, generously
	leastEach   = 8  // connections on either side, at least
	leastLarge  = 2  // large answers that are read at a time, at least
	largeMB     = 16 // of memory for each of them
	requestPart = 3  // clients hold this part of the descriptors at most for requests

	boundAfter  = 200 * time.Millisecond // new connections surely come for this long after SIGTERM
	acceptAfter = 550 * time.Millisecond // and may still come for this long
	killAfter   = 3 * time.Second        // SIGKILL comes the longest deadline, or this, after SIGTERM
	killLeeway  = 500 * time.Millisecond // and somewhat more
	servePart   = 0.7                    // of the time between: requests are taken; the rest is for their answers
	drainStep   = 20 * time.Millisecond
)

// Config is what a proxy is told at its start.
type Config struct {
	Listen    string
	Discovery string
	Seed      uint64
	Sockets   int     // descriptors that the process may hold
	MemoryMB  float64 // that it may hold; 0 if it is not told
	Known     *List   // the list as last known; may be nil
	Site      *settings.Site
	Log       *slog.Logger
}

// Proxy is one proxy with its listener open.
type Proxy struct {
	cfg    Config
	loop   *loop
	front  *frontend
	renews chan string // addresses of discovery that new configurations name
}

// New opens the listener; clients are served from Run on.
func New(cfg Config) (*Proxy, error) {
	bal, err := logic.New(cfg.Site.Logic, cfg.Seed)
	if err != nil {
		return nil, err
	}
	// Each open request has at most one attempt out, and a third more connections to backends may be kept for
	// the next. What is left is the clients': their open requests, and those that are silent or idle.
	forBackends := cfg.Sockets / requestPart * 4 / 3
	forClients := cfg.Sockets - ownSockets - forBackends
	if forClients < leastEach {
		return nil, fmt.Errorf("%d sockets are too few", cfg.Sockets)
	}
	listener, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	l := newLoop(bal, clock{time.Now()}, newBackends(cfg.Site.DialTimeout, cfg.Site.IdleClose, forBackends,
		max(leastLarge, int(cfg.MemoryMB)/largeMB)),
		newZones(cfg.Site.Zones), cfg.Log)
	if cfg.Known != nil {
		l.apply(logic.Cached, cfg.Known)
	}
	return &Proxy{cfg: cfg, loop: l, renews: make(chan string), front: newFrontend(cfg.Site, l, listener, forClients, cfg.Log)}, nil
}

// Addr is where clients connect.
func (p *Proxy) Addr() string { return p.front.clients.Addr().String() }

// Run serves until the context ends, then finishes what it has taken.
func (p *Proxy) Run(ctx context.Context) error {
	inner, stop := context.WithCancel(context.Background())
	var parts sync.WaitGroup
	defer parts.Wait()
	defer stop()
	parts.Go(func() { p.loop.run(inner) })
	parts.Go(func() { p.watch(inner) })
	served := make(chan error, 1)
	parts.Go(func() { served <- p.front.serve() })
	select {
	case err := <-served:
		return err
	case <-ctx.Done():
	}
	longest := time.Duration(0)
	for _, c := range p.cfg.Site.Logic.Classes {
		longest = max(longest, time.Duration(c.Deadline)*time.Microsecond)
	}
	told, window := time.Now(), min(longest, killAfter)+killLeeway
	cutoff := told.Add(window)
	p.front.draining.Store(true)
	p.loop.post(func() { p.loop.hurry(p.loop.clock.at(cutoff)) })
	p.front.drain(told.Add(time.Duration(servePart*float64(window))), cutoff)
	return nil
}

// Renew takes the address of discovery that a new configuration names. It may be called while Run does its work.
func (p *Proxy) Renew(discovery string) {
	select {
	case p.renews <- discovery:
	case <-p.loop.done:
	}
}

// watch keeps a watch on the list at the address named last. A new one begins with the whole list, since the
// versions of two addresses do not compare, and only when the old one has ended, so that nothing of the old
// follows the new. Until the new one has answered the old list stands.
func (p *Proxy) watch(ctx context.Context) {
	subscribe := p.cfg.Site.Logic.Subscribe && p.cfg.Known != nil // with no list at all nobody says when to ask
	for addr := p.cfg.Discovery; ctx.Err() == nil; subscribe = false {
		one, stop := context.WithCancel(ctx)
		d, first := newDiscovery(addr, p.cfg.Site.Logic.Subscribe, p.cfg.Log, p.loop.lists, p.loop.asked), subscribe
		var part sync.WaitGroup
		part.Go(func() { d.run(one, p.cfg.Site.Logic.Subscribe, first) })
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
