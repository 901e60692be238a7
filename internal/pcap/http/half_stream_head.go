package http

import (
	"bytes"
	"fmt"
)

var (
	lineEnd = []byte("\r\n")
	headEnd = []byte("\r\n\r\n")
)

// findEnd returns the length of a block including its delimiter, or -1 if the block is incomplete.
// The first searched bytes of buffered have been searched before.
type findEnd func(buffered []byte, searched int) int

// endOfLine is the findEnd of a line.
func endOfLine(buffered []byte, searched int) int { return findDelimiter(buffered, searched, lineEnd) }

// endOfHead is the findEnd of a head, which ends with an empty line.
func endOfHead(buffered []byte, searched int) int { return findDelimiter(buffered, searched, headEnd) }

// endOfTrailer is the findEnd of a trailer, which ends with an empty line and may have no fields.
func endOfTrailer(buffered []byte, searched int) int {
	if bytes.HasPrefix(buffered, lineEnd) {
		return len(lineEnd)
	}
	return endOfHead(buffered, searched)
}

// findDelimiter returns the length of a block including its delimiter, or -1.
func findDelimiter(buffered []byte, searched int, delimiter []byte) int {
	from := max(0, searched-len(delimiter)+1) // the delimiter may start within the searched bytes
	i := bytes.Index(buffered[from:], delimiter)
	if i < 0 {
		return -1
	}
	return from + i + len(delimiter)
}

// buffer buffers bytes up to the end of a block. It returns the block, or nil if the block is still
// incomplete, and the bytes after the block.
func (h *halfStream) buffer(data []byte, limit int, find findEnd) (block, rest []byte) {
	before := len(h.buffered)
	// The limit does not include the delimiter, which has at most four bytes.
	added := data[:min(len(data), limit+len(headEnd)-min(before, limit))]
	h.buffered = append(h.buffered, added...)
	size := find(h.buffered, before)
	if size < 0 {
		h.offset += int64(len(added))
		return nil, data[len(added):]
	}
	h.offset += int64(size - before)
	return h.buffered[:size], data[size-before:]
}

// takeBlock buffers a block and parses it once it is complete. An incomplete block that exceeds the
// limit is a fault.
func (h *halfStream) takeBlock(
	data []byte, limit int, find findEnd, kind FaultKind, tooLong string, parse func([]byte),
) []byte {
	block, rest := h.buffer(data, limit, find)
	switch {
	case block != nil:
		parse(block)
		h.buffered = h.buffered[:0]
	case len(h.buffered) > limit:
		h.fail(kind, tooLong)
	}
	return rest
}

// takeHead buffers bytes of a head and parses the complete head. A stream that is not HTTP/1 is
// detected before the head is complete.
func (h *halfStream) takeHead(data []byte) []byte {
	block, rest := h.buffer(data, h.conn.limits().Head, endOfHead)
	if kind, reason := classify(h.buffered, h.role, block != nil); kind != "" {
		h.fail(kind, reason)
		return rest
	}
	switch {
	case block != nil:
		h.parseHead(block)
		h.buffered = h.buffered[:0]
	case len(h.buffered) > h.conn.limits().Head:
		h.fail(MalformedHead, fmt.Sprintf("head exceeds the limit of %d bytes", h.conn.limits().Head))
	}
	return rest
}

// parseHead parses a complete head and determines the framing of the body.
func (h *halfStream) parseHead(block []byte) {
	if h.role == unknownRole {
		h.role = requests
		if bytes.HasPrefix(block, statusLinePrefix) {
			h.role = responses
		}
	}
	message := &Message{
		IsRequest: h.role == requests,
		RawHead:   bytes.Clone(block),
		Offset:    h.startOffset, FirstPacket: h.startPacket, Began: h.startTime,
	}
	if err := message.parseHead(); err != nil {
		h.fail(MalformedHead, err.Error())
		return
	}
	method := message.Method
	if !message.IsRequest {
		method = h.conn.requestMethod()
	}
	length, err := message.parseFraming(method)
	if err != nil {
		h.fail(MalformedLength, err.Error())
		return
	}
	limits := h.conn.limits()
	if length > limits.Body {
		h.fail(TooLarge, fmt.Sprintf("body of %d bytes exceeds the limit of %d", length, limits.Body))
		return
	}
	h.message, h.body = message, newBodyBuffer(h.conn.reader.bodies, limits.Memory)
	switch {
	case message.Chunked:
		h.state = inChunkSize
	case message.UntilClose:
		h.state, h.remaining = inBodyUntilClose, -1
	case length == 0:
		h.finishMessage()
	default:
		h.state, h.remaining = inBody, length
	}
}
