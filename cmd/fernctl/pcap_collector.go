package main

import (
	"errors"
	"fmt"

	"fernlanding/internal/pcap/flow"
	"fernlanding/internal/pcap/http"
)

// collector is an http.Sink that counts the exchanges, faults and flows of a capture.
type collector struct {
	onExchange  func(*http.Exchange) error // may be nil
	onFault     func(faultLine)
	faultCounts map[string]int64 // by kind
	flowEnds    map[flow.EndReason]int64
	requests    int64
	responses   int64
	paired      int64 // exchanges with a request and a response
	err         error // errors of onExchange and of removing bodies
}

// faultLine is a fault of a capture as commands print it.
type faultLine struct {
	Flow   int64  `json:"flow,omitempty"`
	From   string `json:"from,omitempty"`
	To     string `json:"to,omitempty"`
	Kind   string `json:"kind"`
	Reason string `json:"why,omitempty"`
	Offset int64  `json:"at"`
	Bytes  int64  `json:"bytes"`
	Packet int64  `json:"packet"`
}

// String returns the fault as a line of text.
func (f faultLine) String() string {
	where := "no flow"
	if f.Flow > 0 {
		where = fmt.Sprintf("flow %d %s>%s", f.Flow, f.From, f.To)
	}
	line := fmt.Sprintf("%s at byte %d, packet %d: %s: %d bytes", where, f.Offset, f.Packet, f.Kind, f.Bytes)
	if f.Reason != "" {
		line += ": " + f.Reason
	}
	return line
}

// newCollector returns a collector that counts faults and discards their lines.
func newCollector() *collector {
	return &collector{
		faultCounts: map[string]int64{},
		flowEnds:    map[flow.EndReason]int64{},
		onFault:     func(faultLine) {},
	}
}

// reportFault counts a fault and passes its line to onFault. The flow may be nil.
func (c *collector) reportFault(f *flow.Flow, dir flow.Direction, line faultLine) {
	if f != nil {
		line.Flow, line.From, line.To = f.ID, f.Addresses[dir].String(), f.Addresses[1-dir].String()
	}
	c.faultCounts[line.Kind]++
	c.onFault(line)
}

// Exchange implements http.Sink. Exchange removes the bodies after onExchange has returned.
func (c *collector) Exchange(e *http.Exchange) {
	if e.Request != nil {
		c.requests++
	}
	if e.Response != nil {
		c.responses++
	}
	if e.Request != nil && e.Response != nil {
		c.paired++
	}
	if c.onExchange != nil {
		c.err = errors.Join(c.err, c.onExchange(e))
	}
	for _, m := range []*http.Message{e.Request, e.Response} {
		if m != nil {
			c.err = errors.Join(c.err, m.Body.Remove())
		}
	}
}

// StreamFault implements http.Sink.
func (c *collector) StreamFault(f *flow.Flow, dir flow.Direction, fault http.Fault) {
	c.reportFault(f, dir, faultLine{
		Kind: string(fault.Kind), Reason: fault.Reason, Offset: fault.Offset, Bytes: fault.Bytes, Packet: fault.Packet,
	})
}

// SegmentFault implements http.Sink.
func (c *collector) SegmentFault(fault flow.Fault) {
	c.reportFault(fault.Flow, fault.Direction, faultLine{
		Kind: string(fault.Kind), Offset: fault.Offset, Bytes: fault.Bytes, Packet: fault.Packet,
	})
}

// FlowEnded implements http.Sink.
func (c *collector) FlowEnded(_ *flow.Flow, reason flow.EndReason) { c.flowEnds[reason]++ }

// exitError returns errFindings if the capture has a fault.
func (c *collector) exitError() error {
	if len(c.faultCounts) > 0 {
		return errFindings
	}
	return nil
}
