package catalog

import (
	"context"
	"errors"
	"fmt"
	"time"

	"fernlanding/internal/membership"
	"fernlanding/internal/start"
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
	p := &paced{Client: d, sink: sink, began: time.Now(), index: d.cfg.Known, had: d.cfg.Known >= 0}
	next := d.cfg.Reads.First(p.began, p.had, d.cfg.Age)
	timer := time.NewTimer(next.After)
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
		timer.Reset(next.After)
	}
}

// ask makes a call as package start wants it.
func (p *paced) ask(ctx context.Context, next start.Call) (*membership.List, error) {
	p.calls++
	if !next.Whole {
		return p.fetch(ctx, p.index, next.Hold, next.Patience)
	}
	list, err := p.fetch(ctx, -1, next.Hold, next.Patience)
	if err == nil && !list.Full {
		return nil, fmt.Errorf("%w: changes up to version %d in place of the whole list", errSense, list.Index)
	}
	return list, err
}

// ended takes how a call ended, and returns the next one.
func (p *paced) ended(list *membership.List, err error) start.Call {
	if err != nil {
		return p.failed(err)
	}
	if list.Full && len(list.Endpoints) == 0 {
		p.cfg.Reads.Emptied(time.Now())
	}
	p.answered(list)
	return p.cfg.Reads.Next(time.Now(), start.Answered, p.urgent(), 0)
}

// answered hands an answer on, unless it is an empty list and the first: a copy that took this for its list would say that it can
// serve, and refuse all that comes.
func (p *paced) answered(list *membership.List) {
	before := p.index
	p.index = list.Index
	switch {
	case p.had:
		p.sink.Listed(list)
	case len(list.Endpoints) > 0:
		p.had = true
		p.log.Info("first list", "after", time.Since(p.began).Round(time.Millisecond), "calls", p.calls, "endpoints", len(list.Endpoints))
		p.sink.Listed(list)
	case list.Index != before:
		p.log.Warn("the list is empty; not ready", "version", list.Index, "calls", p.calls)
	}
	p.stale.Confirmed(p.index, 0)
}

// failed takes a call that was not answered with sense, and returns the next one.
func (p *paced) failed(err error) start.Call {
	if errors.Is(err, errSense) {
		p.cfg.Reads.Doubt()
	}
	p.stale.Failed()
	p.sink.Missed()
	outcome, after := judge(err)
	next := p.cfg.Reads.Next(time.Now(), outcome, p.urgent(), after)
	p.log.Warn("discovery", "error", err, "list", p.had, "calls", p.calls, "next", next.After.Round(time.Millisecond), "whole", next.Whole, "why", next.Why)
	return next
}

// urgent tells whether the copy can't serve, or its backends die, until it has a newer list.
func (p *paced) urgent() bool { return !p.had || p.cfg.Urgent() }
