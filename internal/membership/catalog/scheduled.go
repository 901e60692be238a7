package catalog

import (
	"context"
	"errors"
	"fmt"
	"time"

	"fernlanding/internal/membership"
	"fernlanding/internal/start"
)

// scheduled is a Client's work where package start schedules the calls. One goroutine owns it.
type scheduled struct {
	client    *Client
	scheduler *start.PollScheduler
	sink      membership.Sink
	began     time.Time
	calls     int   // made so far
	version   int64 // that stands; negative: there is none
	hasList   bool  // from an earlier process or from discovery
}

// runScheduled is Run with a Scheduler.
func (c *Client) runScheduled(ctx context.Context, sink membership.Sink) {
	s := &scheduled{
		client: c, scheduler: c.cfg.Scheduler, sink: sink, began: time.Now(),
		version: c.cfg.KnownVersion, hasList: c.cfg.KnownVersion >= 0,
	}
	next := s.scheduler.First(s.began, s.hasList, c.cfg.KnownAge)
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
		next = s.handleEnd(list, err)
		timer.Reset(next.Delay)
	}
}

// call makes a call as it was scheduled.
func (s *scheduled) call(ctx context.Context, call start.Call) (*membership.List, error) {
	s.calls++
	if !call.Full {
		return s.client.fetch(ctx, s.version, call.Hold, call.Timeout)
	}
	list, err := s.client.fetch(ctx, noVersion, call.Hold, call.Timeout)
	if err == nil && !list.Full {
		return nil, fmt.Errorf("%w: changes up to version %d in place of the full list", errInvalidAnswer, list.Version)
	}
	return list, err
}

// handleEnd handles the end of a call, and returns the next one.
func (s *scheduled) handleEnd(list *membership.List, err error) start.Call {
	if err != nil {
		return s.fail(err)
	}
	if list.Full && len(list.Endpoints) == 0 {
		s.scheduler.ScheduleFull(time.Now())
	}
	s.take(list)
	return s.scheduler.Next(time.Now(), start.Answered, s.isUrgent(), 0)
}

// take passes an answer on to the sink, unless it is empty and there was no list before: a replica
// that took this for its list would report that it is ready, and reject all requests.
func (s *scheduled) take(list *membership.List) {
	before := s.version
	s.version = list.Version
	switch {
	case s.hasList:
		s.sink.UpdateEndpoints(list)
	case len(list.Endpoints) > 0:
		s.hasList = true
		s.client.log.Info("first endpoint list", "after", time.Since(s.began).Round(time.Millisecond),
			"calls", s.calls, "endpoints", len(list.Endpoints))
		s.sink.UpdateEndpoints(list)
	case list.Version != before:
		s.client.log.Warn("endpoint list is empty, not ready", "version", list.Version, "calls", s.calls)
	}
	s.client.tracker.Confirmed(s.version, 0)
}

// fail handles a call that was not answered, or with what is no valid list, and returns the next
// one.
func (s *scheduled) fail(err error) start.Call {
	if errors.Is(err, errInvalidAnswer) {
		s.scheduler.RequireFull()
	}
	s.client.tracker.Failed()
	s.sink.UpdateFailed()
	result, retryAfter := outcomeOf(err)
	next := s.scheduler.Next(time.Now(), result, s.isUrgent(), retryAfter)
	s.client.log.Warn("discovery call failed", "error", err, "has_list", s.hasList, "calls", s.calls,
		"next", next.Delay.Round(time.Millisecond), "full", next.Full, "reason", next.Reason)
	return next
}

// isUrgent reports whether the replica can't serve, or its backends fail, until it has a newer
// list.
func (s *scheduled) isUrgent() bool { return !s.hasList || s.client.cfg.Urgent() }
