package worker

import (
	"context"
	"fmt"
	"time"

	"fernlanding/internal/scale/hollow"
	"fernlanding/internal/scale/topology"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// startGap is between the starts of two proxies, so that they do not all read their lists in one moment.
const startGap = time.Millisecond

// proxies is a worker with hollow proxies.
type proxies struct {
	spec  Spec
	fleet *hollow.Fleet
	load  *hollow.Load // nil: no calls are made
}

func newProxies(spec Spec) *proxies {
	return &proxies{spec: spec, fleet: hollow.New(hollow.Config{Backends: spec.Layout.Size.Backends})}
}

func (p *proxies) traffic() hollow.Traffic { return p.fleet.Traffic() }

func (p *proxies) do(ctx context.Context, c Command, r *Reply) error {
	switch c.Do {
	case DoStart:
		return p.start(ctx)
	case DoLoad:
		if rate := p.spec.Layout.Size.CallsPerSecond; rate > 0 && p.load == nil {
			p.load = hollow.NewLoad(p.fleet, rate)
		}
		return nil
	case DoCollect:
		return p.collect(c.Changes, &r.State)
	}
	return errNoCommand
}

func (p *proxies) start(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyWithin)
	defer cancel()
	gap := time.NewTicker(startGap)
	defer gap.Stop()
	for n := p.spec.First; n < p.spec.First+p.spec.Count; n++ {
		s := hollow.ProxySpec{Name: topology.Proxy(n), Config: p.spec.Layout.Config(n), LocalAddr: topology.ClientAddr(n)}
		if err := p.fleet.Start(s); err != nil {
			return err
		}
		select {
		case <-gap.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return p.fleet.WaitReady(ctx)
}

// collect adds what has been gathered since it was last called.
func (p *proxies) collect(changes []Change, s *State) (err error) {
	s.Failures = p.fleet.Failures()
	arrivals, lost := p.fleet.Arrivals()
	s.Lost = lost
	if s.InForce, err = encode(delays(changes, arrivals)); err != nil {
		return err
	}
	if p.load == nil {
		return nil
	}
	calls := p.load.Take()
	s.Served, s.Others, s.Skipped = calls.Served, calls.NotServed, calls.Skipped
	s.Calls, err = encode(calls.Latency)
	return err
}

// delays is how long changes took until they were in force, over all proxies.
func delays(changes []Change, arrivals []hollow.Arrival) *hdrhistogram.Histogram {
	type version struct {
		service string
		number  int64
	}
	made := make(map[version]int64, len(changes))
	for _, c := range changes {
		made[version{c.Service, c.Version}] = c.At
	}
	h := NewInForce()
	for _, a := range arrivals {
		if at, known := made[version{a.Service, a.Version}]; known {
			took := (a.At - at) / int64(time.Microsecond)
			_ = h.RecordValue(min(max(1, took), slowestInUs)) // in range
		}
	}
	return h
}

// encode is a histogram for the pipe; nothing where it is empty.
func encode(h *hdrhistogram.Histogram) ([]byte, error) {
	if h.TotalCount() == 0 {
		return nil, nil
	}
	data, err := h.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
	if err != nil {
		return nil, fmt.Errorf("histogram: %w", err)
	}
	return data, nil
}

func (p *proxies) close() {
	if p.load != nil {
		p.load.Close()
	}
	p.fleet.Close()
}
