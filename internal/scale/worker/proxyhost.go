package worker

import (
	"context"
	"fmt"
	"time"

	"fernlanding/internal/scale/hollow"
	"fernlanding/internal/scale/topology"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// startInterval is the time between the starts of two proxies, so that the proxies do not all read
// their lists at once.
const startInterval = time.Millisecond

// readyTimeout is the timeout for the start of all proxies and the receipt of all lists.
const readyTimeout = 2 * time.Minute

const (
	maxPropagationMicros = int64(10 * time.Minute / time.Microsecond)
	precision            = 3 // significant digits of a histogram
)

// NewPropagationHistogram returns an empty histogram of propagation times in microseconds.
func NewPropagationHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxPropagationMicros, precision)
}

// proxyHost is a worker that runs hollow proxies.
type proxyHost struct {
	spec  Spec
	fleet *hollow.Fleet
	load  *hollow.Load // nil if no calls are made
}

func newProxyHost(spec Spec) *proxyHost {
	return &proxyHost{spec: spec, fleet: hollow.New(hollow.Config{BackendsPerService: spec.Layout.Size.Backends})}
}

func (p *proxyHost) traffic() hollow.Traffic { return p.fleet.Traffic() }

func (p *proxyHost) do(ctx context.Context, c Command, r *Reply) error {
	switch c.Kind {
	case CommandStart:
		return p.start(ctx)
	case CommandLoad:
		if rate := p.spec.Layout.Size.CallsPerSecond; rate > 0 && p.load == nil {
			p.load = hollow.NewLoad(p.fleet, rate) //nolint:contextcheck // calls outlive the command that starts them
		}
		return nil
	case CommandCollect:
		return p.collect(c.Changes, &r.State)
	default:
		return errUnknownCommand
	}
}

func (p *proxyHost) start(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	pace := time.NewTicker(startInterval)
	defer pace.Stop()
	for n := p.spec.First; n < p.spec.First+p.spec.Count; n++ {
		spec := hollow.ProxySpec{
			Name:      topology.ProxyName(n),
			Config:    p.spec.Layout.Config(n),
			LocalAddr: topology.ClientAddr(n),
		}
		if err := p.fleet.Start(spec); err != nil { //nolint:contextcheck // proxies outlive the command
			return err
		}
		select {
		case <-pace.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return p.fleet.WaitReady(ctx)
}

// collect sets the measurements since the last call of collect. The propagation times are the times
// of the given changes.
func (p *proxyHost) collect(changes []Change, s *State) error {
	s.Failures = p.fleet.Failures()
	applied, dropped := p.fleet.TakeAppliedVersions()
	s.Lost = dropped
	propagation, err := encodeHistogram(propagationTimes(changes, applied))
	if err != nil {
		return err
	}
	s.Propagation = propagation
	if p.load == nil {
		return nil
	}
	calls := p.load.Take()
	s.Served = calls.Served
	s.NotServed = calls.NotServed
	s.Skipped = calls.Skipped
	s.Calls, err = encodeHistogram(calls.Latency)
	return err
}

// propagationTimes returns the times from changes until proxies applied them, over all proxies.
func propagationTimes(changes []Change, applied []hollow.AppliedVersion) *hdrhistogram.Histogram {
	type version struct {
		service string
		number  int64
	}
	made := make(map[version]int64, len(changes))
	for _, c := range changes {
		made[version{service: c.Service, number: c.Version}] = c.At
	}
	h := NewPropagationHistogram()
	for _, a := range applied {
		if at, found := made[version{service: a.Service, number: a.Version}]; found {
			took := (a.At - at) / int64(time.Microsecond)
			_ = h.RecordValue(min(max(1, took), maxPropagationMicros)) // fails only for values out of range
		}
	}
	return h
}

// encodeHistogram returns the encoding of a histogram for a reply, or nil if the histogram is empty.
func encodeHistogram(h *hdrhistogram.Histogram) ([]byte, error) {
	if h.TotalCount() == 0 {
		return nil, nil
	}
	data, err := h.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
	if err != nil {
		return nil, fmt.Errorf("histogram: %w", err)
	}
	return data, nil
}

func (p *proxyHost) close() {
	if p.load != nil {
		p.load.Close()
	}
	p.fleet.Close()
}
