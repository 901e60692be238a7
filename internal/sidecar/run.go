package sidecar

import (
	"context"
	"sync"
	"time"
)

const (
	// The drain window is the minimum of the longest deadline and maxDrainWindow, plus drainLeeway.
	// SIGKILL is sent after the drain window.
	maxDrainWindow = 3 * time.Second
	drainLeeway    = 500 * time.Millisecond

	acceptFraction    = 0.7         // part of the drain window with new requests; the rest is for their responses
	responseWriteTime = time.Second // after the cutoff, for a stalled or slow process to write responses
)

// Run serves until the context ends and then drains: it finishes the accepted requests. Run must be
// called only once.
//
// Services run beyond the end of the context, since they serve during the drain. Run stops them
// before it returns.
func (s *Sidecar) Run(ctx context.Context) error {
	s.startServices(context.WithoutCancel(ctx))
	defer s.stop()
	var background sync.WaitGroup
	defer background.Wait()
	if s.shared.sharedListService {
		logCtx, stopLog := context.WithCancel(ctx)
		defer stopLog()
		background.Go(func() { s.logStartup(logCtx) })
	}
	served := make(chan error, len(s.fronts))
	for _, f := range s.fronts {
		background.Go(func() { served <- f.Serve() })
	}
	var err error
	select {
	case err = <-served:
	case <-ctx.Done():
	}
	window := s.limitDeadlines()
	if err != nil { // one listener has failed, so all fronts close at once
		s.closeFronts()
		return err
	}
	s.drainFronts(window)
	return nil
}

// startServices starts the services and the relay follower.
func (s *Sidecar) startServices(ctx context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, svc := range s.services {
		svc.start(ctx, s.log)
	}
	s.shared.relays.start(ctx)
	s.started = true
}

// drainWindow is the schedule of a drain.
type drainWindow struct {
	closingStart time.Time // when fronts start to close each connection with its next response
	cutoff       time.Time // deadline of all requests
}

// limitDeadlines disables reloads and limits the deadlines of all requests to the drain window, so
// that the requests end before SIGKILL.
func (s *Sidecar) limitDeadlines() drainWindow {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.stopping) // prevents further reloads
	longest := time.Duration(0)
	for _, svc := range s.services {
		longest = max(longest, svc.cfg.LongestDeadline())
	}
	now, window := time.Now(), min(longest, maxDrainWindow)+drainLeeway
	cutoff := now.Add(window)
	for _, svc := range s.services {
		svc.pool.LimitDeadlines(cutoff)
	}
	for svc := range s.drainingServices {
		svc.pool.LimitDeadlines(cutoff)
	}
	return drainWindow{closingStart: now.Add(time.Duration(acceptFraction * float64(window))), cutoff: cutoff}
}

// drainFronts drains all fronts and waits until they have ended.
func (s *Sidecar) drainFronts(window drainWindow) {
	var fronts sync.WaitGroup
	for _, f := range s.fronts {
		fronts.Go(func() { f.Drain(window.closingStart, window.cutoff, window.cutoff.Add(responseWriteTime)) })
	}
	fronts.Wait()
}

// closeFronts closes all fronts without a drain.
func (s *Sidecar) closeFronts() {
	var fronts sync.WaitGroup
	for _, f := range s.fronts {
		fronts.Go(f.Close)
	}
	fronts.Wait()
}

// stop stops all services, including draining ones, and the relay follower, and waits for their
// end.
func (s *Sidecar) stop() {
	s.cancelDrains()
	s.drains.Wait()
	var stopped sync.WaitGroup
	for _, svc := range s.services {
		stopped.Go(svc.stop)
	}
	stopped.Wait()
	s.shared.relays.stop()
}
