package sidecar

import (
	"context"
	"sync"
	"time"
)

const (
	// SIGKILL comes after the longest deadline, or after this if it is less, and the leeway.
	maxDrainWindow = 3 * time.Second
	drainLeeway    = 500 * time.Millisecond

	acceptFraction  = 0.7         // of the drain window in which requests are accepted; the rest is for their answers
	answerWriteTime = time.Second // beyond the cutoff, for answers to be written by a process that is stalled or slow
)

// Run serves until the context ends, then drains: it finishes the requests that it has accepted. It
// is called once.
//
// Services outlive the context, since they serve during the drain; Run stops them before it
// returns.
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
	if err != nil { // one listener has failed: the rest end at once
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

// drainWindow is the time of a drain.
type drainWindow struct {
	lastCall time.Time // from which on fronts close connections with their next answer
	cutoff   time.Time // the deadline of all requests
}

// limitDeadlines ends reloads and gives all requests a deadline before SIGKILL comes.
func (s *Sidecar) limitDeadlines() drainWindow {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.stopping) // no configuration is applied from here on
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
	return drainWindow{lastCall: now.Add(time.Duration(acceptFraction * float64(window))), cutoff: cutoff}
}

// drainFronts drains all fronts and waits for their end.
func (s *Sidecar) drainFronts(window drainWindow) {
	var fronts sync.WaitGroup
	for _, f := range s.fronts {
		fronts.Go(func() { f.Drain(window.lastCall, window.cutoff, window.cutoff.Add(answerWriteTime)) })
	}
	fronts.Wait()
}

// closeFronts closes all fronts at once.
func (s *Sidecar) closeFronts() {
	var fronts sync.WaitGroup
	for _, f := range s.fronts {
		fronts.Go(f.Close)
	}
	fronts.Wait()
}

// stop stops all services, those included that drain, and waits until nothing of them is left.
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
