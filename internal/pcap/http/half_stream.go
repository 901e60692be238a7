package http

import (
	"time"

	"fernlanding/internal/pcap/flow"
)

// parseState says what the next bytes of a half-stream are.
type parseState int

const (
	betweenMessages parseState = iota
	inHead
	inBody // of a known length
	inChunkSize
	inChunkData
	inChunkEnd
	inTrailer
	inBodyUntilClose
	inFault
)

// halfStream parses one direction of a connection. Bytes are pushed into it as they come.
type halfStream struct {
	conn      *connection
	direction flow.Direction
	role      streamRole // set by the first bytes, of this direction or of the other

	state      parseState
	offset     int64 // of the next byte
	packet     int64 // that is being taken
	packetTime time.Time
	buffered   []byte // of the head, the chunk size or the trailer

	// Of the message or the fault that has begun.
	startOffset int64
	startPacket int64
	startTime   time.Time
	message     *Message
	body        *bodyBuffer
	remaining   int64  // bytes of the body or of the chunk; -1 until the connection closes
	fault       *Fault // all bytes to the end of the stream belong to it
}

// take parses the next bytes.
func (h *halfStream) take(data []byte, packet int64, packetTime time.Time) {
	h.packet, h.packetTime = packet, packetTime
	for len(data) > 0 {
		data = h.step(data)
	}
}

// step parses some bytes and returns the rest. It takes none where it only changes the state.
func (h *halfStream) step(data []byte) []byte {
	switch h.state {
	case betweenMessages:
		return h.beginMessage(data)
	case inHead:
		return h.takeHead(data)
	case inBody, inChunkData, inBodyUntilClose:
		return h.takeBody(data)
	case inChunkSize:
		return h.takeChunkSize(data)
	case inChunkEnd:
		return h.takeChunkEnd(data)
	case inTrailer:
		return h.takeTrailer(data)
	case inFault:
	}
	h.fault.Bytes += int64(len(data))
	h.offset += int64(len(data))
	return nil
}

// beginMessage begins a message, or passes over a byte of an empty line before it.
func (h *halfStream) beginMessage(data []byte) []byte {
	if data[0] == '\r' || data[0] == '\n' {
		h.conn.reportFault(h.direction, Fault{
			Kind: EmptyLines, Reason: "an empty line before a message", Offset: h.offset, Bytes: 1, Packet: h.packet,
		})
		h.offset++
		return data[1:]
	}
	h.startOffset, h.startPacket, h.startTime = h.offset, h.packet, h.packetTime
	h.buffered = h.buffered[:0]
	h.state = inHead
	return data
}

// fail makes the bytes of the message that has begun, and all that follow, part of a fault.
func (h *halfStream) fail(kind FaultKind, reason string) {
	if h.body != nil {
		h.body.discard()
		h.body = nil
	}
	h.fault = &Fault{
		Kind: kind, Reason: reason, Offset: h.startOffset, Bytes: h.offset - h.startOffset, Packet: h.packet,
	}
	h.message, h.buffered, h.state = nil, nil, inFault
}

// finishMessage hands on a complete message.
func (h *halfStream) finishMessage() {
	message := h.message
	message.Body = h.body.body()
	message.EndOffset, message.LastPacket, message.Ended = h.offset, h.packet, h.packetTime
	h.message, h.body, h.state = nil, nil, betweenMessages
	h.conn.addMessage(message)
}

// failRest makes what follows the last message part of a fault.
func (h *halfStream) failRest(kind FaultKind, reason string) {
	if h.state == inFault {
		return
	}
	if h.state == betweenMessages {
		h.startOffset = h.offset
	}
	h.fail(kind, reason)
}

// end takes the end of the stream. A clean end is by the sender's FIN, with no bytes missing.
func (h *halfStream) end(clean bool, reason string) {
	switch {
	case h.state == betweenMessages:
		return
	case h.state == inBodyUntilClose && clean:
		h.finishMessage()
		return
	case h.state != inFault:
		h.fail(Truncated, "the stream ends within a message: "+reason)
	}
	if h.fault.Bytes > 0 {
		h.conn.reportFault(h.direction, *h.fault)
	}
	h.fault.Bytes = 0
}
