package http1

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httputil"
	"strconv"
	"time"

	"fernlanding/internal/core"
)

const (
	maxTrailer   = 4 << 10  // bytes of the trailer section after the chunks
	bodyPartSize = 64 << 10 // bytes of a large body per responseStallTimeout; also the limit of a body without a length
)

// readBody reads the body that a head announces into the response.
func (rt *roundTripper) readBody(a *core.Attempt, c *conn, h *head, resp *core.Response) error {
	cfg := &rt.upstream.cfg
	switch {
	case a.Method == http.MethodHead && h.contentLength >= 0:
		length := strconv.FormatInt(h.contentLength, 10)
		resp.Header = append(resp.Header, core.HeaderField{Name: "Content-Length", Value: length})
		return nil
	case a.Method == http.MethodHead || h.statusCode == http.StatusNoContent || h.statusCode == http.StatusNotModified:
		return nil // no body (RFC 9112, section 6.3)
	case h.contentLength > cfg.MaxResponse:
		return errResponseTooLarge
	case h.contentLength > cfg.MaxUncountedBody:
		return rt.readLargeBody(a, c, h.contentLength, resp)
	case h.contentLength >= 0:
		return readSmallBody(a, c, h.contentLength, resp)
	case h.chunked:
		return rt.readUnknownLength(a, c, resp, readChunks)
	default:
		h.close = true // the end of the connection is the end of the body
		return rt.readUnknownLength(a, c, resp, readToEnd)
	}
}

// readSmallBody reads a body that is not counted in Memory.
func readSmallBody(a *core.Attempt, c *conn, length int64, resp *core.Response) error {
	if int64(c.reader.Buffered()) < length {
		if err := c.extendDeadline(a, time.Now().Add(responseStallTimeout)); err != nil {
			return err
		}
	}
	resp.Body = make([]byte, length)
	_, err := io.ReadFull(c.reader, resp.Body)
	return err
}

// readLargeBody reads a body for which memory is reserved first. Each part of the body may take as
// long as a small body.
func (rt *roundTripper) readLargeBody(a *core.Attempt, c *conn, length int64, resp *core.Response) error {
	if err := rt.reserveMemory(a, c, length, resp); err != nil {
		return err
	}
	resp.Body = make([]byte, length)
	err := readParts(a, c, resp.Body)
	if err != nil {
		resp.Close()
	}
	return err
}

// readParts fills body in parts. Each part has to arrive within responseStallTimeout.
func readParts(a *core.Attempt, c *conn, body []byte) error {
	for len(body) > 0 {
		part := body[:min(len(body), bodyPartSize)]
		body = body[len(part):]
		if err := c.extendDeadline(a, time.Now().Add(responseStallTimeout)); err != nil {
			return err
		}
		if _, err := io.ReadFull(c.reader, part); err != nil {
			return err
		}
	}
	return nil
}

// bodyReader reads a body of at most limit bytes whose length is not known in advance.
type bodyReader func(a *core.Attempt, c *conn, limit int64) ([]byte, error)

// readUnknownLength reads a body whose length is not known in advance, so memory is reserved for the
// limit.
func (rt *roundTripper) readUnknownLength(a *core.Attempt, c *conn, resp *core.Response, read bodyReader) error {
	limit := min(rt.upstream.cfg.MaxResponse, bodyPartSize)
	if limit > rt.upstream.cfg.MaxUncountedBody {
		if err := rt.reserveMemory(a, c, limit, resp); err != nil {
			return err
		}
	}
	var err error
	resp.Body, err = read(a, c, limit)
	if err != nil {
		resp.Close()
	}
	return err
}

// readToEnd reads a body that has neither a length nor chunks: it ends where the connection ends
// (RFC 9112, section 6.3). Only an orderly end counts. After a reset, bytes may be missing. Each
// part of the body has to arrive within responseStallTimeout.
func readToEnd(a *core.Attempt, c *conn, limit int64) ([]byte, error) {
	var body bytes.Buffer
	for int64(body.Len()) <= limit {
		if err := c.extendDeadline(a, time.Now().Add(responseStallTimeout)); err != nil {
			return nil, err
		}
		if _, err := c.reader.Peek(1); errors.Is(err, io.EOF) {
			return body.Bytes(), nil
		} else if err != nil {
			return nil, err
		}
		// The copy cannot fail: its bytes are buffered.
		_, _ = io.CopyN(&body, c.reader, int64(c.reader.Buffered()))
	}
	return nil, errResponseTooLarge
}

// readChunks reads chunks of at most limit bytes in total, and the trailer section. All of it has to
// arrive within responseStallTimeout.
func readChunks(a *core.Attempt, c *conn, limit int64) ([]byte, error) {
	if err := c.extendDeadline(a, time.Now().Add(responseStallTimeout)); err != nil {
		return nil, err
	}
	body, err := io.ReadAll(io.LimitReader(httputil.NewChunkedReader(c.reader), limit+1))
	if err != nil {
		return body, err
	}
	if int64(len(body)) > limit {
		return body, errResponseTooLarge
	}
	return body, skipTrailer(c.reader)
}

// skipTrailer discards the trailer section, which consists of fields that are not forwarded and an
// empty line.
func skipTrailer(r *bufio.Reader) error {
	for n := 0; n <= maxTrailer; {
		line, err := r.ReadSlice('\n')
		if err != nil {
			return err
		}
		if len(line) <= len("\r\n") {
			if string(line) != "\r\n" {
				return errMalformedTrailer
			}
			return nil
		}
		n += len(line)
	}
	return errTrailerTooLarge
}

// reserveMemory waits for memory until the attempt ends. The Release of the response gives the
// memory back.
func (rt *roundTripper) reserveMemory(a *core.Attempt, c *conn, n int64, resp *core.Response) error {
	memory := rt.upstream.cfg.Memory
	ctx, release := a.Context()
	err := memory.Reserve(ctx, n)
	release()
	if err != nil {
		return err
	}
	if !a.SetCanceler(c) { // Context replaced c as the canceler
		memory.Release(n)
		return context.Canceled
	}
	resp.Release = func() { memory.Release(n) }
	return nil
}
