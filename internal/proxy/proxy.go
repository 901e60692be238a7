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
	leastPart   = 8  // connections on either side, at least
	acceptAfter = 550 * time.Millisecond
	killAfter   = 3 * time.Second // SIGKILL follows the longest deadline, or this if it is longer,
	killLeeway  = 500 * time.Millisecond
	drainStep   = 20 * time.Millisecond
)

// Config is what a proxy is told at its start.
type Config struct {
	Listen    string
	Discovery string
	Seed      uint64
	Sockets   int   // descriptors that the process may hold
	Known     *List // the list as last known; may be nil
	Site      *settings.Site
	Log       *slog.Logger
}

// Run serves until the context ends, then finishes what it has taken.
func Run(ctx context.Context, cfg Config) error {
	bal, err := logic.New(cfg.Site.Logic, cfg.Seed)
	if err != nil {
		return err
	}
	each := (cfg.Sockets - ownSockets - overCap) / 2
	if each < leastPart {
		return fmt.Errorf("%d sockets are too few", cfg.Sockets)
	}
	listener, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	l := newLoop(bal, clock{time.Now()}, newBackends(cfg.Site.DialTimeout, cfg.Site.IdleClose, each),
		newZones(cfg.Site.Zones), cfg.Log)
	if cfg.Known != nil {
		l.apply(logic.Cached, cfg.Known)
	}
	f := newFrontend(cfg.Site, l, each, cfg.Log)

	inner, stop := context.WithCancel(context.Background())
	var parts sync.WaitGroup
	defer parts.Wait()
	defer stop()
	parts.Go(func() { l.run(inner) })
	parts.Go(func() { newDiscovery(cfg.Discovery, cfg.Log, l.lists, l.asked).run(inner, cfg.Site.Logic.Subscribe) })
	served := make(chan error, 1)
	f.listener = newCappedListener(listener, each+overCap)
	parts.Go(func() { served <- f.serve() })

	select {
	case err := <-served:
		return err
	case <-ctx.Done():
	}
	longest := time.Duration(0)
	for _, c := range cfg.Site.Logic.Classes {
		longest = max(longest, time.Duration(c.Deadline)*time.Microsecond)
	}
	cutoff := time.Now().Add(min(longest, killAfter) + killLeeway)
	f.draining.Store(true)
	l.post(func() { l.hurry(l.clock.at(cutoff)) })
	f.drain(acceptAfter, cutoff)
	return nil
}
