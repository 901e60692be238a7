package http

import (
	"fmt"
	"strconv"
	"strings"
)

// takeBody appends bytes of a body or of a chunk to the message.
func (h *halfStream) takeBody(data []byte) []byte {
	var rest []byte
	if h.remaining >= 0 {
		size := min(int64(len(data)), h.remaining)
		data, rest = data[:size], data[size:]
	}
	size := int64(len(data))
	h.offset += size
	if limit := h.conn.limits().Body; h.body.size+size > limit {
		h.fail(TooLarge, fmt.Sprintf("body exceeds the limit of %d bytes", limit))
		return rest
	}
	if err := h.body.append(data); err != nil {
		h.fail(TooLarge, "store body: "+err.Error())
		return rest
	}
	if h.remaining < 0 {
		return rest
	}
	h.remaining -= size
	switch {
	case h.remaining > 0:
	case h.state == inChunkData:
		h.state = inChunkEnd
	default:
		h.finishMessage()
	}
	return rest
}

// takeChunkSize buffers and parses the line with a chunk's size and extensions.
func (h *halfStream) takeChunkSize(data []byte) []byte {
	return h.takeBlock(
		data, maxChunkLine, endOfLine, MalformedChunk, "chunk size line is too long", h.parseChunkSize)
}

// parseChunkSize parses the size of a chunk (RFC 9112, section 7.1). Extensions are ignored.
func (h *halfStream) parseChunkSize(line []byte) {
	text, _, _ := strings.Cut(string(line[:len(line)-len(lineEnd)]), ";")
	text = strings.TrimRight(text, " \t")
	size, err := strconv.ParseUint(text, 16, 62)
	if err != nil || text == "" {
		h.fail(MalformedChunk, fmt.Sprintf("invalid chunk size %.20q", line))
		return
	}
	if limit := h.conn.limits().Body; size > uint64(limit) {
		h.fail(TooLarge, fmt.Sprintf("chunk of %d bytes exceeds the limit of %d", size, limit))
		return
	}
	h.state, h.remaining = inChunkData, int64(size)
	if size == 0 { // the last chunk
		h.state = inTrailer
	}
}

// takeChunkEnd buffers and parses the line end after a chunk's data.
func (h *halfStream) takeChunkEnd(data []byte) []byte {
	return h.takeBlock(data, len(lineEnd), endOfLine, MalformedChunk, "missing line end after a chunk", h.parseChunkEnd)
}

// parseChunkEnd checks that the line end follows the data of a chunk immediately.
func (h *halfStream) parseChunkEnd(line []byte) {
	if len(line) != len(lineEnd) {
		h.fail(MalformedChunk, fmt.Sprintf("invalid data %.10q after a chunk: missing line end", line))
		return
	}
	h.state = inChunkSize
}

// takeTrailer buffers a trailer and finishes the message. The trailer fields are ignored.
func (h *halfStream) takeTrailer(data []byte) []byte {
	return h.takeBlock(data, h.conn.limits().Head, endOfTrailer, MalformedChunk, "trailer is too long",
		func([]byte) { h.finishMessage() })
}
