package http

import (
	"fmt"
	"strconv"
	"strings"
)

// takeBody takes bytes of a body or of a chunk.
func (h *halfStream) takeBody(data []byte) []byte {
	var rest []byte
	if h.remaining >= 0 {
		size := min(int64(len(data)), h.remaining)
		data, rest = data[:size], data[size:]
	}
	size := int64(len(data))
	h.offset += size
	if limit := h.conn.limits().Body; h.body.size+size > limit {
		h.fail(TooLarge, fmt.Sprintf("a body of over %d bytes", limit))
		return rest
	}
	if err := h.body.append(data); err != nil {
		h.fail(TooLarge, "nowhere to keep the body: "+err.Error())
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

// takeChunkSize takes bytes of a chunk's size and extensions.
func (h *halfStream) takeChunkSize(data []byte) []byte {
	return h.takeBlock(
		data, maxChunkLine, endOfLine, MalformedChunk, "a chunk size that does not end", h.parseChunkSize)
}

// parseChunkSize parses a chunk's size (RFC 9112, section 7.1). Extensions are ignored.
func (h *halfStream) parseChunkSize(line []byte) {
	text, _, _ := strings.Cut(string(line[:len(line)-len(lineEnd)]), ";")
	text = strings.TrimRight(text, " \t")
	size, err := strconv.ParseUint(text, 16, 62)
	if err != nil || text == "" {
		h.fail(MalformedChunk, fmt.Sprintf("found %.20q, expected a chunk's size", line))
		return
	}
	if limit := h.conn.limits().Body; size > uint64(limit) {
		h.fail(TooLarge, fmt.Sprintf("a chunk of %d bytes, of at most %d", size, limit))
		return
	}
	h.state, h.remaining = inChunkData, int64(size)
	if size == 0 { // the last chunk
		h.state = inTrailer
	}
}

// takeChunkEnd takes the line end behind a chunk's data.
func (h *halfStream) takeChunkEnd(data []byte) []byte {
	return h.takeBlock(data, len(lineEnd), endOfLine, MalformedChunk, "bytes behind a chunk", h.parseChunkEnd)
}

// parseChunkEnd checks that a chunk's data ends with its size.
func (h *halfStream) parseChunkEnd(line []byte) {
	if len(line) != len(lineEnd) {
		h.fail(MalformedChunk, fmt.Sprintf("found %.10q behind a chunk, expected its end", line))
		return
	}
	h.state = inChunkSize
}

// takeTrailer takes bytes of a trailer, whose fields are ignored.
func (h *halfStream) takeTrailer(data []byte) []byte {
	return h.takeBlock(data, h.conn.limits().Head, endOfTrailer, MalformedChunk, "a trailer that does not end",
		func([]byte) { h.finishMessage() })
}
