package flow

import "bytes"

const (
	// maxWindow is in bytes. A segment that is further off than any window (RFC 7323, section 2.3) is
	// none of this flow.
	maxWindow = 1 << 30
)

// stream is one direction of a flow.
type stream struct {
	seen          bool
	synSeq        uint32 // of its SYN, with synSeen
	synSeen       bool
	nextSeq       uint32 // sequence number at offset
	offset        int64  // bytes handed on, or passed
	buffered      []bufferedSegment
	bufferedBytes int
	retained      []byte // the last bytes handed on
	finOffset     int64  // of the FIN, with finSeen
	finSeen       bool
	ended         bool // Finished or Broken has been called
	untrusted     bool // beyond offset, because of a gap
}

// addSegment adds a segment's bytes and flags to its stream.
func (a *Assembler) addSegment(f *Flow, dir Direction, s *Segment) {
	half := &f.streams[dir]
	offset := half.synchronize(s)
	size := int64(len(s.Payload))
	a.counts.Payload += size
	a.addPayload(f, dir, offset, s)
	if s.Missing > 0 && !half.untrusted {
		a.report(Fault{
			Kind: Truncated, Flow: f, Direction: dir, Offset: offset + size, Bytes: int64(s.Missing), Packet: s.Packet,
		})
	}
	if s.FIN && !half.finSeen {
		end := offset + size + int64(s.Missing)
		if end >= half.offset && end-half.offset <= maxWindow {
			half.finSeen, half.finOffset = true, end
		}
	}
	a.finishIfComplete(f, dir)
}

// synchronize returns the offset of a segment's payload. The first segment of a stream sets its
// start.
func (h *stream) synchronize(s *Segment) int64 {
	seq := s.Seq
	if s.SYN {
		if !h.seen {
			h.seen, h.synSeen, h.synSeq, h.nextSeq = true, true, seq, seq+1
		}
		seq++ // a SYN takes one number (RFC 9293, section 3.4); data may follow it
	}
	if !h.seen {
		h.seen, h.nextSeq = true, seq
	}
	return h.offset + int64(int32(seq-h.nextSeq))
}

// addPayload decides what a segment's bytes are by where they lie.
func (a *Assembler) addPayload(f *Flow, dir Direction, offset int64, s *Segment) {
	half := &f.streams[dir]
	size := int64(len(s.Payload))
	switch {
	case size == 0:
	case half.ended && half.finSeen && !half.untrusted && offset >= half.finOffset:
		a.countOutside(Fault{Kind: AfterFIN, Flow: f, Direction: dir, Offset: offset, Bytes: size, Packet: s.Packet})
	case offset-half.offset > maxWindow || half.offset-offset > maxWindow:
		a.countOutside(Fault{Kind: OutOfWindow, Flow: f, Direction: dir, Offset: offset, Bytes: size, Packet: s.Packet})
	case half.untrusted && offset+size > half.offset:
		known := max(0, half.offset-offset)
		a.counts.Untrusted += size - known
		a.addRetransmission(f, dir, offset, s.Payload[:known], s.Packet)
	case size == 1 && offset == half.offset-1 && half.offset > 0:
		a.counts.Repeated++ // a keep-alive probe, whose byte means nothing
	case offset < 0:
		a.addBeforeStart(f, dir, offset, s)
	default:
		a.addData(f, dir, offset, s.Payload, s)
	}
}

// finishIfComplete ends a stream by its FIN once all bytes before that are handed on.
func (a *Assembler) finishIfComplete(f *Flow, dir Direction) {
	half := &f.streams[dir]
	if !half.finSeen || half.ended || half.untrusted || half.offset < half.finOffset {
		return
	}
	half.ended = true
	a.discardBuffered(f, dir, AfterFIN)
	a.sink.Finished(f, dir)
}

func (a *Assembler) report(fault Fault) { a.sink.Fault(fault) }

// countOutside counts and reports bytes that are none of the stream's.
func (a *Assembler) countOutside(fault Fault) {
	a.counts.Outside += fault.Bytes
	a.report(fault)
}

// addBeforeStart takes bytes of which some lie before the first offset of a stream.
func (a *Assembler) addBeforeStart(f *Flow, dir Direction, offset int64, s *Segment) {
	size := min(-offset, int64(len(s.Payload)))
	a.countOutside(Fault{
		Kind: BeforeStart, Flow: f, Direction: dir, Offset: offset, Bytes: size, Packet: s.Packet,
	})
	if rest := s.Payload[size:]; len(rest) > 0 {
		a.addData(f, dir, 0, rest, s)
	}
}

// addData hands on what is next, buffers what is out of order, and compares what has been seen.
func (a *Assembler) addData(f *Flow, dir Direction, offset int64, data []byte, s *Segment) {
	half := &f.streams[dir]
	if known := min(half.offset-offset, int64(len(data))); known > 0 {
		a.addRetransmission(f, dir, offset, data[:known], s.Packet)
		offset, data = offset+known, data[known:]
	}
	if len(data) == 0 {
		return
	}
	next := bufferedSegment{offset: offset, data: data, packet: s.Packet, time: s.Time}
	if offset == half.offset && len(half.buffered) == 0 {
		a.deliver(f, dir, next)
		return
	}
	a.buffer(f, dir, next)
	a.deliverBuffered(f, dir)
	switch {
	case len(half.buffered) == 0:
		half.buffered = nil
	case half.bufferedBytes > a.limits.Pending,
		len(half.buffered) > maxBufferedSegments,
		a.bufferedBytes > a.limits.Buffered:
		a.declareGap(f, dir)
	}
}

// deliverBuffered hands on the buffered segments that are next.
func (a *Assembler) deliverBuffered(f *Flow, dir Direction) {
	half := &f.streams[dir]
	for len(half.buffered) > 0 && half.buffered[0].offset == half.offset {
		next := half.buffered[0]
		half.buffered = half.buffered[1:]
		half.bufferedBytes -= len(next.data)
		a.bufferedBytes -= len(next.data)
		a.deliver(f, dir, next)
	}
}

// compareOverlap counts bytes for an offset that has been seen.
func (a *Assembler) compareOverlap(f *Flow, dir Direction, offset int64, known, added []byte, packet int64) {
	if bytes.Equal(known, added) {
		a.counts.Repeated += int64(len(added))
		return
	}
	differing := int64(0)
	for i := range added {
		if known[i] != added[i] {
			differing++
		}
	}
	a.counts.Conflicts += differing
	a.counts.Repeated += int64(len(added)) - differing
	a.report(Fault{Kind: Conflict, Flow: f, Direction: dir, Offset: offset, Bytes: differing, Packet: packet})
}

// addRetransmission compares bytes that lie before the stream's offset with those that are
// retained.
func (a *Assembler) addRetransmission(f *Flow, dir Direction, offset int64, data []byte, packet int64) {
	half := &f.streams[dir]
	retainedFrom := half.offset - int64(len(half.retained))
	if older := min(retainedFrom-offset, int64(len(data))); older > 0 {
		a.counts.Unverified += older
		a.report(Fault{Kind: Unverified, Flow: f, Direction: dir, Offset: offset, Bytes: older, Packet: packet})
		offset, data = offset+older, data[older:]
	}
	if len(data) > 0 {
		a.compareOverlap(f, dir, offset, half.retained[offset-retainedFrom:][:len(data)], data, packet)
	}
}

// deliver hands on the next bytes of a stream. What lies beyond its FIN is not handed on.
func (a *Assembler) deliver(f *Flow, dir Direction, next bufferedSegment) {
	half := &f.streams[dir]
	if half.finSeen && next.end() > half.finOffset {
		if beyond := next.end() - max(next.offset, half.finOffset); beyond > 0 {
			a.countOutside(Fault{
				Kind: AfterFIN, Flow: f, Direction: dir,
				Offset: next.end() - beyond, Bytes: beyond, Packet: next.packet,
			})
			next.data = next.data[:int64(len(next.data))-beyond]
		}
	}
	size := int64(len(next.data))
	half.offset += size
	half.nextSeq += uint32(size)
	a.counts.Delivered += size
	half.retain(next.data, a.limits.Retained)
	if size > 0 {
		a.sink.Data(f, dir, next.offset, next.data, next.packet, next.time)
	}
}

// retain keeps the last bytes handed on, up to a limit.
func (h *stream) retain(data []byte, limit int) {
	if len(data) >= limit {
		h.retained = append(h.retained[:0], data[len(data)-limit:]...)
		return
	}
	if over := len(h.retained) + len(data) - limit; over > 0 {
		h.retained = h.retained[:copy(h.retained, h.retained[over:])]
	}
	h.retained = append(h.retained, data...)
}

// declareGap gives up waiting for the bytes before the first buffered segment.
func (a *Assembler) declareGap(f *Flow, dir Direction) {
	half := &f.streams[dir]
	first := half.buffered[0]
	a.report(Fault{
		Kind: Gap, Flow: f, Direction: dir,
		Offset: half.offset, Bytes: first.offset - half.offset, Packet: first.packet,
	})
	half.untrusted = true
	a.discardBuffered(f, dir, "")
	if !half.ended {
		half.ended = true
		a.sink.Broken(f, dir, half.offset, string(Gap))
	}
}

// discardBuffered counts all that is buffered: as untrusted, or as outside with a fault of a kind.
func (a *Assembler) discardBuffered(f *Flow, dir Direction, kind FaultKind) {
	half := &f.streams[dir]
	for _, segment := range half.buffered {
		size := int64(len(segment.data))
		a.bufferedBytes -= len(segment.data)
		if kind == "" {
			a.counts.Untrusted += size
			continue
		}
		a.countOutside(Fault{
			Kind: kind, Flow: f, Direction: dir, Offset: segment.offset, Bytes: size, Packet: segment.packet,
		})
	}
	half.buffered, half.bufferedBytes = nil, 0
}
