package http1

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"os"
	"time"

	"fernlanding/internal/core"
	"fernlanding/internal/socket"
	"fernlanding/logic"
)

const (
	maxResponseHead  = 8 << 10 // bytes of a response head
	maxInformational = 8       // 1xx responses before the final one

	// responseStallTimeout bounds the wait for the rest of a response that has begun, or for the
	// next part of a large body. The rest should already be in transit, and a response whose
	// Content-Length exceeds its body never ends.
	responseStallTimeout = 500 * time.Millisecond
)

// headEnd is the end of a head: the CRLF of the last field line and the empty line.
var headEnd = []byte("\r\n\r\n")

// readResponse reads a complete response; a truncated response counts as none. reusable reports
// whether the connection can carry another request.
func (rt *roundTripper) readResponse(a *core.Attempt, c *conn) (res core.AttemptResult, reusable bool, err error) {
	c.responded = false
	if err := c.awaitResponse(a); err != nil {
		return res, false, fmt.Errorf("read response: %w", err)
	}
	c.responded = true
	h, err := rt.readFinalHead(a, c)
	if err != nil {
		return res, false, fmt.Errorf("read response: %w", err)
	}
	resp := &core.Response{StatusCode: h.statusCode, Header: h.fields}
	err = rt.readBody(a, c, &h, resp)
	if errors.Is(err, errResponseTooLarge) {
		return core.AttemptResult{Status: logic.Error}, false, nil
	}
	if err != nil {
		return res, false, fmt.Errorf("read body: %w", err)
	}
	surplus := c.surplus()
	if surplus == surplusUnknown {
		resp.Close()
		return res, false, errSurplusBytes
	}
	c.requestOpen = false
	return rt.attemptResult(&h, resp), !h.close && surplus == noSurplus, nil
}

// awaitResponse waits for the first byte of a response. It returns errUndelivered if the backend's
// kernel has not acknowledged the complete request by DeliverBy: behind a failed network, the
// request could arrive later.
func (c *conn) awaitResponse(a *core.Attempt) error {
	if a.DeliverBy.IsZero() || !a.DeliverBy.Before(a.Deadline) {
		_, err := c.reader.Peek(1)
		return err
	}
	if err := c.extendDeadline(a, a.DeliverBy); err != nil {
		return err
	}
	_, err := c.reader.Peek(1)
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return err
	}
	if socket.Undelivered(c.Conn) > 0 {
		return errUndelivered
	}
	if err := c.extendDeadline(a, a.Deadline); err != nil {
		return err
	}
	_, err = c.reader.Peek(1)
	return err
}

// readFinalHead reads heads up to the first one that is not informational (1xx).
func (rt *roundTripper) readFinalHead(a *core.Attempt, c *conn) (head, error) {
	for range maxInformational + 1 {
		h, err := rt.readHead(a, c)
		if err != nil || h.statusCode >= 200 {
			return h, err
		}
	}
	return head{}, errTooManyInformational
}

// readHead reads and parses the next head.
func (rt *roundTripper) readHead(a *core.Attempt, c *conn) (head, error) {
	if buffered, _ := c.reader.Peek(c.reader.Buffered()); !bytes.Contains(buffered, headEnd) {
		if err := c.extendDeadline(a, time.Now().Add(responseStallTimeout)); err != nil {
			return head{}, err
		}
	}
	b, err := c.readHeadBytes()
	if err != nil {
		return head{}, err
	}
	return parseHead(b, rt.upstream.cfg.PassAllStatuses)
}

// readHeadBytes reads the next head and returns it without the empty line. The result is valid
// until the next read.
func (c *conn) readHeadBytes() ([]byte, error) {
	for need := 1; ; {
		_, err := c.reader.Peek(need)
		buffered, _ := c.reader.Peek(c.reader.Buffered()) // cannot fail: the bytes are buffered
		if end := bytes.Index(buffered, headEnd); end >= 0 {
			c.rawHead = append(c.rawHead[:0], buffered[:end+len(headEnd)]...)
			_, _ = c.reader.Discard(end + len(headEnd)) // cannot fail either
			return buffered[:end+len("\r\n")], nil
		}
		if err != nil { // includes bufio.ErrBufferFull, for a head that exceeds the buffer
			return nil, err
		}
		need = len(buffered) + 1
	}
}

// attemptResult turns a response into the result of the attempt. Only 503 and 504 with Not-Started
// mean that the request never ran.
func (rt *roundTripper) attemptResult(h *head, resp *core.Response) core.AttemptResult {
	passAll := rt.upstream.cfg.PassAllStatuses
	switch {
	case h.statusCode == http.StatusOK, passAll && h.statusCode < 400:
		return core.AttemptResult{Status: logic.OK, Response: resp}
	case h.isOverloaded():
		resp.Close()
		return core.AttemptResult{Status: logic.Overloaded}
	case h.isInvalidRequest():
		if !passAll {
			resp = &core.Response{StatusCode: h.statusCode}
		}
		return core.AttemptResult{Status: logic.Error, InvalidRequest: true, Response: resp}
	}
	if !passAll {
		return core.AttemptResult{Status: logic.Error} // the request may have run
	}
	// A client interprets 429 and 503 as a rejection, after which a retry is harmless, and treats
	// 408 similarly. Only this proxy can state that a retry is harmless, because it knows of all
	// attempts. These statuses of a backend are therefore replaced.
	switch resp.StatusCode {
	case http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		resp.StatusCode = http.StatusBadGateway
	}
	return core.AttemptResult{Status: logic.Error, Response: resp}
}

// isOverloaded reports whether a head rejects a request that the backend has not started.
func (h *head) isOverloaded() bool {
	return (h.statusCode == http.StatusServiceUnavailable || h.statusCode == http.StatusGatewayTimeout) && h.notStarted
}

// isInvalidRequest reports whether a head rejects the request itself, as every backend would.
func (h *head) isInvalidRequest() bool {
	return h.statusCode >= 400 && h.statusCode < 500 &&
		h.statusCode != http.StatusRequestTimeout && h.statusCode != http.StatusTooManyRequests
}
