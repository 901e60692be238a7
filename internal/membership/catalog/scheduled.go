package catalog

import (
	"context"
	"errors"
	"fmt"
	"time"

	"fernlanding/internal/membership"
	"fernlanding/internal/start"
)

// scheduled is the state of a Client in the scheduled mode, in which package start schedules the
// calls. One goroutine owns it.
type scheduled struct {
	client    *Client
	scheduler *start.PollScheduler
	sink      membership.Sink
	startedAt time.Time
	calls     int   // made so far
	version   int64 // version of the list in use; negative if there is none
	hasList   bool  // whether there is a list, from an earlier process or from discovery
}

// runScheduled is Run in the scheduled mode.
func (c *Client) runScheduled(ctx context.Context, sink membership.Sink) {
	s := &scheduled{
		client: c, scheduler: c.cfg.Scheduler, sink: sink, startedAt: time.Now(),
		version: c.cfg.KnownVersion, hasList: c.cfg.KnownVersion >= 0,
	}
	next := s.scheduler.First(s.startedAt, s.hasList, c.cfg.KnownAge)
	timer := time.NewTimer(next.Delay)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		list, err := s.call(ctx, next)
		if ctx.Err() != nil {
			return
		}
		next = s.handleResult(list, err)
		timer.Reset(next.Delay)
	}
}

// call makes a call as scheduled.
func (s *scheduled) call(ctx context.Context, call start.Call) (*membership.List, error) {
	s.calls++
	if !call.Full {
		return s.client.fetch(ctx, s.version, call.Hold, call.Timeout)
	}
	list, err := s.client.fetch(ctx, noVersion, call.Hold, call.Timeout)
	if err == nil && !list.Full {
		return nil, fmt.Errorf("%w: delta to version %d instead of the full list", errInvalidResponse, list.Version)
	}
	return list, err
}

// handleResult handles the result of a call and returns the next call.
func (s *scheduled) handleResult(list *membership.List, err error) start.Call {
	if err != nil {
		return s.handleFailure(err)
	}
	if list.Full && len(list.Endpoints) == 0 {
		s.scheduler.ScheduleFull(time.Now())
	}
	s.deliver(list)
	return s.scheduler.Next(time.Now(), start.Answered, s.isUrgent(), 0)
}

// deliver passes a list to the sink, unless it is empty and there was no list before. A replica
// that used an empty first list would report that it is ready and reject all requests.
func (s *scheduled) deliver(list *membership.List) {
	before := s.version
	s.version = list.Version
	switch {
	case s.hasList:
		s.sink.UpdateEndpoints(list)
	case len(list.Endpoints) > 0:
		s.hasList = true
		s.client.log.Info("first endpoint list", "after", time.Since(s.startedAt).Round(time.Millisecond),
			"calls", s.calls, "endpoints", len(list.Endpoints))
		s.sink.UpdateEndpoints(list)
	case list.Version != before:
		s.client.log.Warn("endpoint list is empty, not ready", "version", list.Version, "calls", s.calls)
	}
	s.client.tracker.Confirmed(s.version, 0)
}

// handleFailure handles a failed call or an invalid response, and returns the next call.
func (s *scheduled) handleFailure(err error) start.Call {
	if errors.Is(err, errInvalidResponse) {
		s.scheduler.RequireFull()
	}
	s.client.tracker.Failed()
	s.sink.UpdateFailed()
	outcome, retryAfter := outcomeOf(err)
	next := s.scheduler.Next(time.Now(), outcome, s.isUrgent(), retryAfter)
	s.client.log.Warn("discovery call failed", "error", err, "has_list", s.hasList, "calls", s.calls,
		"next", next.Delay.Round(time.Millisecond), "full", next.Full, "reason", next.Reason)
	return next
}

// isUrgent reports whether the replica can't serve, or its backends fail, until a newer list
// arrives.
func (s *scheduled) isUrgent() bool { return !s.hasList || s.client.cfg.Urgent() }
