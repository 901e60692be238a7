package flow

import (
	"cmp"
	"container/list"
	"net/netip"
)

// Limits bound what an Assembler holds. Zero values stand for the defaults.
type Limits struct {
	Flows    int // open at a time; the one that has been idle longest is evicted (default 65,536)
	Pending  int // bytes of one stream that are buffered behind missing ones (default 1 MiB)
	Buffered int // bytes of all streams that are buffered (default 64 MiB)
	Retained int // bytes of a stream, already handed on, kept to compare retransmissions with (default 4 KiB)
}

const (
	defaultFlows    = 1 << 16
	defaultPending  = 1 << 20
	defaultBuffered = 64 << 20
	defaultRetained = 4 << 10
)

// Assembler sorts segments into flows. It is not safe for concurrent use.
type Assembler struct {
	limits        Limits
	sink          Sink
	flows         map[flowKey]*Flow
	idle          *list.List // of *Flow, the longest idle first
	opened        int64      // flows so far
	bufferedBytes int        // of all streams
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

// ByteCounts returns what became of all payload so far. What is buffered is in none of its kinds
// until Close.
func (a *Assembler) ByteCounts() ByteCounts { return a.counts }

// OpenFlows returns the number of open flows.
func (a *Assembler) OpenFlows() int { return len(a.flows) }

// Add takes the next segment of the capture.
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

// flowOf returns the flow of a segment, a new one where it opens one; nil where the segment belongs
// to no flow and opens none.
func (a *Assembler) flowOf(s *Segment) *Flow {
	key := keyOf(s.Src, s.Dst)
	f := a.flows[key]
	if f != nil && s.SYN {
		// Another SYN than the one that was seen opens a new connection, whatever became of the old one.
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
		return nil // the last segments of a flow that has ended, or an ACK from before the capture
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

// evictOldest ends the flow that has been idle longest, and reports whether there was one.
func (a *Assembler) evictOldest(reason EndReason) bool {
	front := a.idle.Front()
	if front == nil {
		return false
	}
	f, ok := front.Value.(*Flow)
	if !ok {
		return false // nothing else is ever put into the list
	}
	a.endFlow(f, reason)
	return true
}

// endFlow ends a flow. A stream with buffered bytes has a gap.
func (a *Assembler) endFlow(f *Flow, reason EndReason) {
	for i := range f.streams {
		half, dir := &f.streams[i], Direction(i)
		if len(half.buffered) > 0 {
			a.declareGap(f, dir)
		}
		if half.seen && !half.ended {
			half.ended = true
			a.sink.Broken(f, dir, half.offset, string(reason))
		}
	}
	a.idle.Remove(f.idleElement)
	delete(a.flows, keyOf(f.Addresses[0], f.Addresses[1]))
	a.sink.Ended(f, reason)
}
