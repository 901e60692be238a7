package http

import (
	"time"

	"fernlanding/internal/pcap/flow"
)

// Exchange is a request and its response. Each is nil if it was not captured completely.
type Exchange struct {
	Flow     *flow.Flow
	Number   int      // index of the request on its connection, from 0; -1 without a request
	Request  *Message // nil if no request was captured for the response
	Response *Message // nil if no response was captured
}

// Sink receives the results of a Reader.
type Sink interface {
	// Exchange receives a request with its response, in the order of the responses. A message without
	// a counterpart is reported at the end of its flow, or earlier if too many messages are unpaired.
	// The sink owns the bodies, and removes them.
	Exchange(exchange *Exchange)
	// StreamFault reports a fault of one direction of a flow.
	StreamFault(f *flow.Flow, dir flow.Direction, fault Fault)
	// SegmentFault reports a fault of the segments of a flow.
	SegmentFault(fault flow.Fault)
	// FlowEnded reports the end of a flow.
	FlowEnded(f *flow.Flow, reason flow.EndReason)
}

// Reader parses the HTTP/1.1 messages of flows. It implements [flow.Sink]. A Reader is not safe for
// concurrent use.
type Reader struct {
	limits Limits
	bodies Store
	sink   Sink
	counts ByteCounts
}

// NewReader returns a Reader that reports to a sink. If bodies is nil, all bodies stay in memory.
func NewReader(limits Limits, bodies Store, sink Sink) *Reader {
	return &Reader{limits: limits.withDefaults(), bodies: bodies, sink: sink}
}

// ByteCounts returns the counts of all bytes. The bytes of an incomplete message or fault are
// included in Bytes only.
func (r *Reader) ByteCounts() ByteCounts { return r.counts }

// Opened implements flow.Sink.
func (r *Reader) Opened(f *flow.Flow) { f.Data = newConnection(r, f) }

// connectionOf returns the connection of a flow, which Opened has stored in Flow.Data.
func (r *Reader) connectionOf(f *flow.Flow) *connection {
	conn, ok := f.Data.(*connection)
	if !ok { // unreachable: nothing else sets Flow.Data, and an Assembler calls Opened first
		conn = newConnection(r, f)
		f.Data = conn
	}
	return conn
}

// Data implements flow.Sink.
func (r *Reader) Data(f *flow.Flow, dir flow.Direction, _ int64, data []byte, packet int64, t time.Time) {
	r.counts.Bytes += int64(len(data))
	conn := r.connectionOf(f)
	conn.deriveRole(dir)
	conn.halves[dir].take(data, packet, t)
}

// Broken implements flow.Sink.
func (r *Reader) Broken(f *flow.Flow, dir flow.Direction, _ int64, reason string) {
	r.connectionOf(f).halves[dir].end(false, reason)
}

// Finished implements flow.Sink.
func (r *Reader) Finished(f *flow.Flow, dir flow.Direction) {
	r.connectionOf(f).halves[dir].end(true, "sender closed the connection")
}

// Fault implements flow.Sink.
func (r *Reader) Fault(fault flow.Fault) { r.sink.SegmentFault(fault) }

// Ended implements flow.Sink.
func (r *Reader) Ended(f *flow.Flow, reason flow.EndReason) {
	r.connectionOf(f).reportUnmatched()
	f.Data = nil
	r.sink.FlowEnded(f, reason)
}
