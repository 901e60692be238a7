package flow

import (
	"cmp"
	"container/list"
	"net/netip"
)

// Limits are the limits of the state that an Assembler holds. A zero field means its default.
type Limits struct {
	Flows    int // open flows; beyond the limit the least recently active one is evicted (default 65,536)
	Pending  int // out-of-order bytes buffered for one stream (default 1 MiB)
	Buffered int // out-of-order bytes buffered for all streams (default 64 MiB)
	Retained int // delivered bytes of a stream kept to verify retransmissions (default 4 KiB)
}

const (
	defaultFlows    = 1 << 16
	defaultPending  = 1 << 20
	defaultBuffered = 64 << 20
	defaultRetained = 4 << 10
)

// Assembler assigns segments to flows and reassembles the streams of each flow. An Assembler is not
// safe for concurrent use.
type Assembler struct {
	limits        Limits
	sink          Sink
	flows         map[flowKey]*Flow
	idle          *list.List // *Flow values, least recently active first
	opened        int64      // number of flows that have been opened so far
	bufferedBytes int        // out-of-order bytes of all streams
	counts        ByteCounts
}

// New returns an Assembler that reports to a sink.
func New(limits Limits, sink Sink) *Assembler {
	limits.Flows = cmp.Or(limits.Flows, defaultFlows)
	limits.Pending = cmp.Or(limits.Pending, defaultPending)
	limits.Buffered = cmp.Or(limits.Buffered, defaultBuffered)
	limits.Retained = cmp.Or(limits.Retained, defaultRetained)
	return &Assembler{limits: limits, sink: sink, flows: map[flowKey]*Flow{}, idle: list.New()}
}

// ByteCounts returns the counts of all payload bytes so far. Buffered bytes are included in Payload
// only, until they are delivered or discarded.
func (a *Assembler) ByteCounts() ByteCounts { return a.counts }

// OpenFlows returns the number of open flows.
func (a *Assembler) OpenFlows() int { return len(a.flows) }

// Add processes the next segment of the capture.
func (a *Assembler) Add(s *Segment) {
	f := a.flowOf(s)
	if f == nil {
		return
	}
	f.LastPacket, f.Ended = s.Packet, s.Time
	a.idle.MoveToBack(f.idleElement)
	a.addSegment(f, f.directionOf(s), s)
	if s.RST {
		a.endFlow(f, Reset)
		return
	}
	if f.isClosed() {
		a.endFlow(f, Closed)
	}
}

// Close ends all open flows, in the order of their last segments.
func (a *Assembler) Close() {
	for a.evictOldest(EndOfCapture) {
	}
}

// flowOf returns the flow of a segment, and opens a flow if necessary. It returns nil for a segment
// that belongs to no open flow and does not open one.
func (a *Assembler) flowOf(s *Segment) *Flow {
	key := keyOf(s.Src, s.Dst)
	f := a.flows[key]
	if f != nil && s.SYN {
		// A SYN other than the known one opens a new connection, regardless of the state of the old
		// one.
		known := &f.streams[f.directionOf(s)]
		if known.seen && (!known.synSeen || known.synSeq != s.Seq) {
			a.endFlow(f, Reused)
			f = nil
		}
	}
	if f != nil {
		return f
	}
	if len(s.Payload) == 0 && !s.SYN && s.Missing == 0 {
		return nil // a late segment of a flow that has ended, or an ACK of a connection older than the capture
	}
	return a.openFlow(key, s)
}

func (a *Assembler) openFlow(key flowKey, s *Segment) *Flow {
	if len(a.flows) >= a.limits.Flows {
		a.evictOldest(Evicted)
	}
	a.opened++
	f := &Flow{
		ID:          a.opened,
		Addresses:   [2]netip.AddrPort{s.Src, s.Dst},
		SYNSeen:     s.SYN,
		FirstPacket: s.Packet,
		Began:       s.Time,
	}
	f.idleElement = a.idle.PushBack(f)
	a.flows[key] = f
	a.sink.Opened(f)
	return f
}

// evictOldest ends the least recently active flow, and reports whether there was one.
func (a *Assembler) evictOldest(reason EndReason) bool {
	front := a.idle.Front()
	if front == nil {
		return false
	}
	f, ok := front.Value.(*Flow)
	if !ok {
		return false // unreachable: the list holds only *Flow values
	}
	a.endFlow(f, reason)
	return true
}

// endFlow ends a flow and both of its streams. A stream that still has buffered bytes has a gap.
func (a *Assembler) endFlow(f *Flow, reason EndReason) {
	for i := range f.streams {
		st, dir := &f.streams[i], Direction(i)
		if len(st.buffered) > 0 {
			a.declareGap(f, dir)
		}
		if st.seen && !st.ended {
			st.ended = true
			a.sink.Broken(f, dir, st.offset, string(reason))
		}
	}
	a.idle.Remove(f.idleElement)
	delete(a.flows, keyOf(f.Addresses[0], f.Addresses[1]))
	a.sink.Ended(f, reason)
}
