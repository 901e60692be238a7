package flow

import "bytes"

const (
	// maxWindow is the maximum window in bytes (RFC 7323, section 2.3). A segment whose offset is
	// further away does not belong to the flow.
	maxWindow = 1 << 30
)

// stream is one direction of a flow.
type stream struct {
	seen          bool
	synSeq        uint32 // sequence number of the SYN, valid if synSeen
	synSeen       bool
	nextSeq       uint32 // sequence number of the byte at offset
	offset        int64  // offset of the next byte to deliver
	buffered      []bufferedSegment
	bufferedBytes int
	retained      []byte // last delivered bytes
	finOffset     int64  // offset of the FIN, valid if finSeen
	finSeen       bool
	ended         bool // Sink.Finished or Sink.Broken has been called
	untrusted     bool // bytes from offset on are untrusted because of a gap
}

// addSegment processes the payload and the flags of a segment of a stream.
func (a *Assembler) addSegment(f *Flow, dir Direction, s *Segment) {
	st := &f.streams[dir]
	offset := st.synchronize(s)
	size := int64(len(s.Payload))
	a.counts.Payload += size
	a.addPayload(f, dir, offset, s)
	if s.Missing > 0 && !st.untrusted {
		a.report(Fault{
			Kind: Truncated, Flow: f, Direction: dir, Offset: offset + size, Bytes: int64(s.Missing), Packet: s.Packet,
		})
	}
	if s.FIN && !st.finSeen {
		end := offset + size + int64(s.Missing)
		if end >= st.offset && end-st.offset <= maxWindow {
			st.finSeen, st.finOffset = true, end
		}
	}
	a.finishIfComplete(f, dir)
}

// synchronize returns the offset of a segment's payload. The first segment of a stream sets the
// start of the stream.
func (st *stream) synchronize(s *Segment) int64 {
	seq := s.Seq
	if s.SYN {
		if !st.seen {
			st.seen, st.synSeen, st.synSeq, st.nextSeq = true, true, seq, seq+1
		}
		seq++ // a SYN occupies one sequence number (RFC 9293, section 3.4); data may follow it
	}
	if !st.seen {
		st.seen, st.nextSeq = true, seq
	}
	return st.offset + int64(int32(seq-st.nextSeq))
}

// addPayload classifies the payload of a segment by its offset.
func (a *Assembler) addPayload(f *Flow, dir Direction, offset int64, s *Segment) {
	st := &f.streams[dir]
	size := int64(len(s.Payload))
	switch {
	case size == 0:
	case st.ended && st.finSeen && !st.untrusted && offset >= st.finOffset:
		a.countOutside(Fault{Kind: AfterFIN, Flow: f, Direction: dir, Offset: offset, Bytes: size, Packet: s.Packet})
	case offset-st.offset > maxWindow || st.offset-offset > maxWindow:
		a.countOutside(Fault{Kind: OutOfWindow, Flow: f, Direction: dir, Offset: offset, Bytes: size, Packet: s.Packet})
	case st.untrusted && offset+size > st.offset:
		known := max(0, st.offset-offset)
		a.counts.Untrusted += size - known
		a.addRetransmission(f, dir, offset, s.Payload[:known], s.Packet)
	case size == 1 && offset == st.offset-1 && st.offset > 0:
		a.counts.Repeated++ // a keep-alive probe, whose byte is meaningless
	case offset < 0:
		a.addBeforeStart(f, dir, offset, s)
	default:
		a.addData(f, dir, offset, s.Payload, s)
	}
}

// finishIfComplete ends a stream with a FIN once all bytes before the FIN are delivered.
func (a *Assembler) finishIfComplete(f *Flow, dir Direction) {
	st := &f.streams[dir]
	if !st.finSeen || st.ended || st.untrusted || st.offset < st.finOffset {
		return
	}
	st.ended = true
	a.discardBuffered(f, dir, AfterFIN)
	a.sink.Finished(f, dir)
}

func (a *Assembler) report(fault Fault) { a.sink.Fault(fault) }

// countOutside counts and reports bytes that are not part of the stream.
func (a *Assembler) countOutside(fault Fault) {
	a.counts.Outside += fault.Bytes
	a.report(fault)
}

// addBeforeStart processes a payload that starts before offset 0 of a stream.
func (a *Assembler) addBeforeStart(f *Flow, dir Direction, offset int64, s *Segment) {
	size := min(-offset, int64(len(s.Payload)))
	a.countOutside(Fault{
		Kind: BeforeStart, Flow: f, Direction: dir, Offset: offset, Bytes: size, Packet: s.Packet,
	})
	if rest := s.Payload[size:]; len(rest) > 0 {
		a.addData(f, dir, 0, rest, s)
	}
}

// addData delivers in-order bytes, buffers out-of-order bytes, and compares bytes that are known.
func (a *Assembler) addData(f *Flow, dir Direction, offset int64, data []byte, s *Segment) {
	st := &f.streams[dir]
	if known := min(st.offset-offset, int64(len(data))); known > 0 {
		a.addRetransmission(f, dir, offset, data[:known], s.Packet)
		offset, data = offset+known, data[known:]
	}
	if len(data) == 0 {
		return
	}
	next := bufferedSegment{offset: offset, data: data, packet: s.Packet, time: s.Time}
	if offset == st.offset && len(st.buffered) == 0 {
		a.deliver(f, dir, next)
		return
	}
	a.buffer(f, dir, next)
	a.deliverBuffered(f, dir)
	switch {
	case len(st.buffered) == 0:
		st.buffered = nil
	case st.bufferedBytes > a.limits.Pending,
		len(st.buffered) > maxBufferedSegments,
		a.bufferedBytes > a.limits.Buffered:
		a.declareGap(f, dir)
	}
}

// deliverBuffered delivers the buffered segments that are now in order.
func (a *Assembler) deliverBuffered(f *Flow, dir Direction) {
	st := &f.streams[dir]
	for len(st.buffered) > 0 && st.buffered[0].offset == st.offset {
		next := st.buffered[0]
		st.buffered = st.buffered[1:]
		st.bufferedBytes -= len(next.data)
		a.bufferedBytes -= len(next.data)
		a.deliver(f, dir, next)
	}
}

// compareOverlap compares bytes with the known bytes at the same offset, counts them, and reports a
// difference.
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

// addRetransmission compares bytes before the stream's offset with the retained ones. Bytes that
// are no longer retained are counted and reported as unverified.
func (a *Assembler) addRetransmission(f *Flow, dir Direction, offset int64, data []byte, packet int64) {
	st := &f.streams[dir]
	retainedFrom := st.offset - int64(len(st.retained))
	if older := min(retainedFrom-offset, int64(len(data))); older > 0 {
		a.counts.Unverified += older
		a.report(Fault{Kind: Unverified, Flow: f, Direction: dir, Offset: offset, Bytes: older, Packet: packet})
		offset, data = offset+older, data[older:]
	}
	if len(data) > 0 {
		a.compareOverlap(f, dir, offset, st.retained[offset-retainedFrom:][:len(data)], data, packet)
	}
}

// deliver passes the next bytes of a stream to the sink. Bytes after the FIN are not delivered.
func (a *Assembler) deliver(f *Flow, dir Direction, next bufferedSegment) {
	st := &f.streams[dir]
	if st.finSeen && next.end() > st.finOffset {
		if beyond := next.end() - max(next.offset, st.finOffset); beyond > 0 {
			a.countOutside(Fault{
				Kind: AfterFIN, Flow: f, Direction: dir,
				Offset: next.end() - beyond, Bytes: beyond, Packet: next.packet,
			})
			next.data = next.data[:int64(len(next.data))-beyond]
		}
	}
	size := int64(len(next.data))
	st.offset += size
	st.nextSeq += uint32(size)
	a.counts.Delivered += size
	st.retain(next.data, a.limits.Retained)
	if size > 0 {
		a.sink.Data(f, dir, next.offset, next.data, next.packet, next.time)
	}
}

// retain keeps the last delivered bytes, up to limit bytes.
func (st *stream) retain(data []byte, limit int) {
	if len(data) >= limit {
		st.retained = append(st.retained[:0], data[len(data)-limit:]...)
		return
	}
	if over := len(st.retained) + len(data) - limit; over > 0 {
		st.retained = st.retained[:copy(st.retained, st.retained[over:])]
	}
	st.retained = append(st.retained, data...)
}

// declareGap reports the bytes before the first buffered segment as missing, and ends the stream.
func (a *Assembler) declareGap(f *Flow, dir Direction) {
	st := &f.streams[dir]
	first := st.buffered[0]
	a.report(Fault{
		Kind: Gap, Flow: f, Direction: dir,
		Offset: st.offset, Bytes: first.offset - st.offset, Packet: first.packet,
	})
	st.untrusted = true
	a.discardBuffered(f, dir, "")
	if !st.ended {
		st.ended = true
		a.sink.Broken(f, dir, st.offset, string(Gap))
	}
}

// discardBuffered discards the buffered segments of a stream. Their bytes are counted as untrusted
// if kind is empty, and otherwise as outside, with a fault of that kind.
func (a *Assembler) discardBuffered(f *Flow, dir Direction, kind FaultKind) {
	st := &f.streams[dir]
	for _, segment := range st.buffered {
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
	st.buffered, st.bufferedBytes = nil, 0
}
