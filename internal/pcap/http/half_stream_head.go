package http

import (
	"bytes"
	"fmt"
)

var (
	lineEnd = []byte("\r\n")
	headEnd = []byte("\r\n\r\n")
)

// findEnd returns the length of a block with its delimiter, or -1. Of the buffered bytes, those
// before searched were looked at before.
type findEnd func(buffered []byte, searched int) int

// endOfLine finds the end of a line.
func endOfLine(buffered []byte, searched int) int { return findDelimiter(buffered, searched, lineEnd) }

// endOfHead finds the empty line behind a head.
func endOfHead(buffered []byte, searched int) int { return findDelimiter(buffered, searched, headEnd) }

// endOfTrailer finds the empty line behind a trailer, which may have no field.
func endOfTrailer(buffered []byte, searched int) int {
	if bytes.HasPrefix(buffered, lineEnd) {
		return len(lineEnd)
	}
	return endOfHead(buffered, searched)
}

// findDelimiter returns the length of a block with its delimiter, or -1.
func findDelimiter(buffered []byte, searched int, delimiter []byte) int {
	from := max(0, searched-len(delimiter)+1) // the delimiter may have begun in what was searched
	i := bytes.Index(buffered[from:], delimiter)
	if i < 0 {
		return -1
	}
	return from + i + len(delimiter)
}

// buffer buffers bytes up to the end of a block. It returns the block, nil while that is
// incomplete, and the bytes behind it.
func (h *halfStream) buffer(data []byte, limit int, find findEnd) (block, rest []byte) {
	before := len(h.buffered)
	// A block of exactly the limit has its delimiter behind it, of four bytes at most.
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

// takeBlock buffers a block and parses it once it is complete. An incomplete one over the limit is
// a fault.
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

// takeHead takes bytes of a head. What is not HTTP/1 is found before the head is complete.
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
		h.fail(MalformedHead, "a head that does not end")
	}
	return rest
}

// parseHead parses a complete head, and decides how the body is framed.
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
		h.fail(TooLarge, fmt.Sprintf("a body of %d bytes, of at most %d", length, limits.Body))
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
