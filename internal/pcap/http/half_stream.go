package http

import (
	"time"

	"fernlanding/internal/pcap/flow"
)

// parseState is the part of a message that the next bytes of a half-stream belong to.
type parseState int

const (
	betweenMessages parseState = iota
	inHead
	inBody // body of known length
	inChunkSize
	inChunkData
	inChunkEnd
	inTrailer
	inBodyUntilClose
	inFault
)

// halfStream parses one direction of a connection incrementally.
type halfStream struct {
	conn      *connection
	direction flow.Direction
	role      streamRole // derived from the first bytes of this direction or of the opposite one

	state      parseState
	offset     int64 // offset of the next byte
	packet     int64 // number of the current packet
	packetTime time.Time
	buffered   []byte // incomplete head, chunk size or trailer

	// State of the current message or fault.
	startOffset int64
	startPacket int64
	startTime   time.Time
	message     *Message
	body        *bodyBuffer
	remaining   int64  // bytes of the body or of the chunk; -1 for a body that ends with the connection
	fault       *Fault // current fault, which extends to the end of the stream
}

// take parses the next bytes of the stream.
func (h *halfStream) take(data []byte, packet int64, packetTime time.Time) {
	h.packet, h.packetTime = packet, packetTime
	for len(data) > 0 {
		data = h.step(data)
	}
}

// step parses a prefix of the bytes and returns the rest. A step that only changes the state
// consumes no bytes.
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

// beginMessage begins a message, or skips one byte of an empty line before the message.
func (h *halfStream) beginMessage(data []byte) []byte {
	if data[0] == '\r' || data[0] == '\n' {
		h.conn.reportFault(h.direction, Fault{
			Kind: EmptyLines, Reason: "empty line before a message", Offset: h.offset, Bytes: 1, Packet: h.packet,
		})
		h.offset++
		return data[1:]
	}
	h.startOffset, h.startPacket, h.startTime = h.offset, h.packet, h.packetTime
	h.buffered = h.buffered[:0]
	h.state = inHead
	return data
}

// fail begins a fault that contains the bytes of the current message and the rest of the stream.
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

// finishMessage passes a complete message to the connection.
func (h *halfStream) finishMessage() {
	message := h.message
	message.Body = h.body.body()
	message.EndOffset, message.LastPacket, message.Ended = h.offset, h.packet, h.packetTime
	h.message, h.body, h.state = nil, nil, betweenMessages
	h.conn.addMessage(message)
}

// failRest begins a fault that contains all bytes after the last complete message.
func (h *halfStream) failRest(kind FaultKind, reason string) {
	if h.state == inFault {
		return
	}
	if h.state == betweenMessages {
		h.startOffset = h.offset
	}
	h.fail(kind, reason)
}

// end processes the end of the stream. The end is clean if the sender sent a FIN and no bytes are
// missing.
func (h *halfStream) end(clean bool, reason string) {
	switch {
	case h.state == betweenMessages:
		return
	case h.state == inBodyUntilClose && clean:
		h.finishMessage()
		return
	case h.state != inFault:
		h.fail(Truncated, "stream ends within a message: "+reason)
	}
	if h.fault.Bytes > 0 {
		h.conn.reportFault(h.direction, *h.fault)
	}
	h.fault.Bytes = 0
}
