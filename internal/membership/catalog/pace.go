package catalog

import (
	"context"
	"errors"
	"fernlanding/internal/membership"
	"fernlanding/internal/start"
	"fmt"
	"time"
)

// paced is a Client's work where package start decides when to call.
type paced struct {
	*Client
	sink  membership.Sink
	began time.Time
	calls int
	index int64 // the version that stands; negative: there is none
	had   bool  // a list
}

// pace is Run with Reads.
func (d *Client) pace(ctx context.Context, sink membership.Sink) {
	p := &paced{Client: d, sink: sink, began: time.Now(), index: d.cfg.KnownVersion, had: d.cfg.KnownVersion >= 0}
	next := d.cfg.Scheduler.First(p.began, p.had, d.cfg.KnownAge)
	timer := time.NewTimer(next.Delay)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		list, err := p.ask(ctx, next)
		if ctx.Err() != nil {
			return
		}
		next = p.ended(list, err)
		timer.Reset(next.Delay)
	}
}

// ask makes a call as package start wants it.
func (p *paced) ask(ctx context.Context, next start.Call) (*membership.List, error) {
	p.calls++
	if !next.Full {
		return p.fetch(ctx, p.index, next.Hold, next.Timeout)
	}
	list, err := p.fetch(ctx, -1, next.Hold, next.Timeout)
	if err == nil && !list.Full {
		return nil, fmt.Errorf("%w: changes up to version %d in place of the whole list", errSense, list.Version)
	}
	return list, err
}

// ended takes how a call ended, and returns the next one.
func (p *paced) ended(list *membership.List, err error) start.Call {
	if err != nil {
		return p.failed(err)
	}
	if list.Full && len(list.Endpoints) == 0 {
		p.cfg.Scheduler.EmptyList(time.Now())
	}
	p.answered(list)
	return p.cfg.Scheduler.Next(time.Now(), start.Answered, p.urgent(), 0)
}

// answered hands an answer on, unless it is an empty list and the first: a copy that took this for its list would say that it can
// serve, and refuse all that comes.
func (p *paced) answered(list *membership.List) {
	before := p.index
	p.index = list.Version
	switch {
	case p.had:
		p.sink.UpdateEndpoints(list)
	case len(list.Endpoints) > 0:
		p.had = true
		p.log.Info("first list", "after", time.Since(p.began).Round(time.Millisecond), "calls", p.calls, "endpoints", len(list.Endpoints))
		p.sink.UpdateEndpoints(list)
	case list.Version != before:
		p.log.Warn("the list is empty; not ready", "version", list.Version, "calls", p.calls)
	}
	p.stale.Confirmed(p.index, 0)
}

// failed takes a call that was not answered with sense, and returns the next one.
func (p *paced) failed(err error) start.Call {
	if errors.Is(err, errSense) {
		p.cfg.Scheduler.RequireFull()
	}
	p.stale.Failed()
	p.sink.UpdateFailed()
	outcome, after := judge(err)
	next := p.cfg.Scheduler.Next(time.Now(), outcome, p.urgent(), after)
	p.log.Warn("discovery", "error", err, "list", p.had, "calls", p.calls, "next", next.Delay.Round(time.Millisecond), "whole", next.Full, "why", next.Reason)
	return next
}

// urgent tells whether the copy can't serve, or its backends die, until it has a newer list.
func (p *paced) urgent() bool { return !p.had || p.cfg.Urgent() }
