// Package flow reassembles the segments of TCP connections into the two byte streams of each
// connection (RFC 9293, sections 3.4 and 3.10.7). It does no I/O and reads no clock: segments are
// added in the order of the capture, and all results are reported to a [Sink].
//
// Ambiguous captures are handled as follows:
//   - The first bytes captured for an offset of the stream are kept. Later bytes for the same
//     offset are compared with them, and a difference is reported.
//   - A stream is untrusted after a gap, and only after it. The gap is reported and the bytes after
//     it are counted, but they are never delivered, since the missing bytes could change their
//     meaning.
//   - Every byte of every payload is counted once, in one of the fields of [ByteCounts].
package flow

import (
	"container/list"
	"fmt"
	"net/netip"
	"time"
)

// Segment is one captured TCP segment.
type Segment struct {
	Packet   int64 // number of the packet in the capture, from 1
	Time     time.Time
	Src, Dst netip.AddrPort
	Seq      uint32
	SYN, FIN bool
	RST      bool
	Payload  []byte // valid until Assembler.Add returns
	Missing  int    // bytes after Payload that the capture's snap length cut off
}

// Direction is a direction of a flow: 0 from the opener, as far as known, and 1 to the opener.
type Direction int

// Flow is one TCP connection, from its first captured segment to its end.
type Flow struct {
	ID          int64             // from 1, in the order of the first segments
	Addresses   [2]netip.AddrPort // of the opener and of its peer
	SYNSeen     bool              // if false, the sender of the first segment is taken as the opener
	FirstPacket int64
	LastPacket  int64
	Began       time.Time
	Ended       time.Time // time of the last packet
	Data        any       // for use by the sink

	streams     [2]stream
	idleElement *list.Element // in Assembler.idle
}

// String returns the name of the flow in reports.
func (f *Flow) String() string {
	return fmt.Sprintf("flow %d %v>%v", f.ID, f.Addresses[0], f.Addresses[1])
}

// directionOf returns the direction of a segment.
func (f *Flow) directionOf(s *Segment) Direction {
	if s.Src == f.Addresses[0] {
		return 0
	}
	return 1
}

// isClosed reports whether both streams have ended with a FIN.
func (f *Flow) isClosed() bool {
	a, b := &f.streams[0], &f.streams[1]
	return a.ended && b.ended && a.finSeen && b.finSeen
}

// EndReason is the reason for which a flow ended.
type EndReason string

// The reasons for which a flow ends.
const (
	Closed       EndReason = "closed"             // both streams ended with a FIN
	Reset        EndReason = "reset"              // a RST ended the connection
	Reused       EndReason = "ports reused"       // a new connection was opened between the same addresses
	Evicted      EndReason = "gave way"           // the number of open flows exceeded Limits.Flows
	EndOfCapture EndReason = "end of the capture" // the flow was still open at the end of the capture
)

// Sink receives the results of an Assembler. Its methods are called by Assembler.Add and
// Assembler.Close.
type Sink interface {
	// Opened reports a new flow.
	Opened(f *Flow)
	// Data receives the next bytes of a stream, which start at offset. The data is valid until Data
	// returns.
	Data(f *Flow, dir Direction, offset int64, data []byte, packet int64, t time.Time)
	// Broken reports that a stream ends at offset without a FIN, at a gap or with its flow.
	Broken(f *Flow, dir Direction, offset int64, reason string)
	// Finished reports that a stream has ended with a FIN and that all of its bytes were delivered.
	Finished(f *Flow, dir Direction)
	// Fault reports a fault.
	Fault(fault Fault)
	// Ended reports the end of a flow. It is the last call for the flow.
	Ended(f *Flow, reason EndReason)
}

// flowKey identifies the connection between two addresses, independently of direction.
type flowKey struct{ low, high netip.AddrPort }

func keyOf(x, y netip.AddrPort) flowKey {
	if x.Compare(y) > 0 {
		x, y = y, x
	}
	return flowKey{low: x, high: y}
}
