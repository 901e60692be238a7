package http

import (
	"time"

	"fernlanding/internal/pcap/flow"
)

// Exchange is a request and its response, as far as they were seen complete.
type Exchange struct {
	Flow     *flow.Flow
	Number   int      // of the request on its connection, from 0; -1 without a request
	Request  *Message // nil: none was seen for the response
	Response *Message // nil: none was seen
}

// Sink takes what a Reader finds.
type Sink interface {
	// Exchange takes a request with its response, in the order of the responses. One without its
	// counterpart comes at the end of its flow. The bodies are the sink's to remove.
	Exchange(exchange *Exchange)
	// StreamFault takes a fault of one direction of a flow.
	StreamFault(f *flow.Flow, dir flow.Direction, fault Fault)
	// SegmentFault takes a fault of a flow's segments.
	SegmentFault(fault flow.Fault)
	// FlowEnded takes the end of a flow.
	FlowEnded(f *flow.Flow, reason flow.EndReason)
}

// Reader reads HTTP/1.1 from flows. It is a [flow.Sink], and not safe for concurrent use.
type Reader struct {
	limits Limits
	bodies Store
	sink   Sink
	counts ByteCounts
}

// NewReader returns a Reader that reports to a sink. Without a Store, all bodies stay in memory.
func NewReader(limits Limits, bodies Store, sink Sink) *Reader {
	return &Reader{limits: limits.withDefaults(), bodies: bodies, sink: sink}
}

// ByteCounts returns what became of all bytes of the flows that have ended.
func (r *Reader) ByteCounts() ByteCounts { return r.counts }

// Opened implements flow.Sink.
func (r *Reader) Opened(f *flow.Flow) { f.Data = newConnection(r, f) }

// connectionOf returns the connection that Opened set as the flow's data.
func (r *Reader) connectionOf(f *flow.Flow) *connection {
	conn, ok := f.Data.(*connection)
	if !ok { // nothing else sets a flow's data, and an Assembler opens a flow first
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
	r.connectionOf(f).halves[dir].end(true, "its sender closed")
}

// Fault implements flow.Sink.
func (r *Reader) Fault(fault flow.Fault) { r.sink.SegmentFault(fault) }

// Ended implements flow.Sink.
func (r *Reader) Ended(f *flow.Flow, reason flow.EndReason) {
	r.connectionOf(f).reportUnmatched()
	f.Data = nil
	r.sink.FlowEnded(f, reason)
}
