// Package flow reassembles the segments of TCP connections into the two byte streams that they
// carried (RFC 9293, sections 3.4 and 3.10.7). It does no I/O and reads no clock: segments come in
// as they stand in a capture, and all that is found goes to a [Sink].
//
// Its policy, where a capture leaves room:
//   - The first bytes seen for an offset of the stream stand. Others for the same offset are
//     compared with them, and reported where they differ.
//   - A gap ends the trust in a stream from there on, and not before: what lies beyond is counted
//     and reported, and never handed on, since nobody knows what the missing bytes made of it.
//   - Every byte of every payload is counted once, as one of the kinds of [ByteCounts].
package flow

import (
	"container/list"
	"fmt"
	"net/netip"
	"time"
)

// Segment is one TCP segment as a capture has it.
type Segment struct {
	Packet   int64 // its number in the capture, from 1
	Time     time.Time
	Src, Dst netip.AddrPort
	Seq      uint32
	SYN, FIN bool
	RST      bool
	Payload  []byte // valid until Assembler.Add returns
	Missing  int    // bytes of the payload behind these that the capture's snap length cut off
}

// Direction is a direction of a flow: 0 from its opener, as far as that is known, 1 to it.
type Direction int

// Flow is one connection, from its first segment to its end.
type Flow struct {
	ID          int64             // from 1, in the order of first segments
	Addresses   [2]netip.AddrPort // the opener's, and the other's
	SYNSeen     bool              // otherwise the first segment's sender counts as the opener
	FirstPacket int64
	LastPacket  int64
	Began       time.Time
	Ended       time.Time // of its last packet
	Data        any       // the sink's own

	streams     [2]stream
	idleElement *list.Element // in Assembler.idle
}

// String returns the flow's name in reports.
func (f *Flow) String() string {
	return fmt.Sprintf("flow %d %v>%v", f.ID, f.Addresses[0], f.Addresses[1])
}

// directionOf returns the direction that a segment goes in.
func (f *Flow) directionOf(s *Segment) Direction {
	if s.Src == f.Addresses[0] {
		return 0
	}
	return 1
}

// isClosed reports whether both streams have ended by their FIN.
func (f *Flow) isClosed() bool {
	a, b := &f.streams[0], &f.streams[1]
	return a.ended && b.ended && a.finSeen && b.finSeen
}

// EndReason says why a flow ended.
type EndReason string

// The reasons why a flow ends.
const (
	Closed       EndReason = "closed"             // both streams by FIN
	Reset        EndReason = "reset"              // by RST
	Reused       EndReason = "ports reused"       // a new connection began between the same addresses
	Evicted      EndReason = "gave way"           // more flows were open than Limits.Flows
	EndOfCapture EndReason = "end of the capture" // still open there
)

// Sink takes what an Assembler finds. Its methods are called from inside Add and Close.
type Sink interface {
	// Opened takes a new flow.
	Opened(f *Flow)
	// Data takes the next bytes of a stream, which begin at an offset. They are valid until Data
	// returns.
	Data(f *Flow, dir Direction, offset int64, data []byte, packet int64, t time.Time)
	// Broken reports that a stream ends at an offset without its FIN: at a gap, or with the flow.
	Broken(f *Flow, dir Direction, offset int64, reason string)
	// Finished reports that a stream has ended by its FIN, with all of its bytes handed on.
	Finished(f *Flow, dir Direction)
	// Fault takes a fault.
	Fault(fault Fault)
	// Ended takes the end of a flow, after which nothing follows.
	Ended(f *Flow, reason EndReason)
}

// flowKey identifies the connection between two addresses, whatever its direction.
type flowKey struct{ low, high netip.AddrPort }

func keyOf(x, y netip.AddrPort) flowKey {
	if x.Compare(y) > 0 {
		x, y = y, x
	}
	return flowKey{low: x, high: y}
}
