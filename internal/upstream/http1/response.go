package http1

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"time"

	"fernlanding/internal/core"
	"fernlanding/logic"
)

const (
	maxResponseHead  = 8 << 10 // bytes of a response before its body
	maxInformational = 8       // 1xx responses ahead of the final one

	// responseStall bounds the wait for the rest of a response that has begun, or for the next part
	// of a large one: it is on its way, and one whose length does not fit its body never ends.
	responseStall = 500 * time.Millisecond
)

// headEnd ends a head: the last field's CRLF and the empty line.
var headEnd = []byte("\r\n\r\n")

// readResponse reads the whole response: one that breaks off counts as none. It reports whether the
// connection can carry another request.
func (rt *roundTripper) readResponse(a *core.Attempt, c *conn) (res core.AttemptResult, reusable bool, err error) {
	c.responded = false
	if _, err := c.reader.Peek(1); err != nil {
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
	return rt.result(&h, resp), !h.close && c.reader.Buffered() == 0, nil
}

// readFinalHead reads heads until one that is not informational (1xx).
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
		if err := c.extendDeadline(a, time.Now().Add(responseStall)); err != nil {
			return head{}, err
		}
	}
	b, err := c.readHeadBytes()
	if err != nil {
		return head{}, err
	}
	return parseHead(b, rt.upstream.cfg.PassAllStatuses)
}

// readHeadBytes reads the next head, without its empty line. The result is valid until the next
// read.
func (c *conn) readHeadBytes() ([]byte, error) {
	for need := 1; ; {
		_, err := c.reader.Peek(need)
		buffered, _ := c.reader.Peek(c.reader.Buffered()) // never fails: it is all there
		if end := bytes.Index(buffered, headEnd); end >= 0 {
			_, _ = c.reader.Discard(end + len(headEnd)) // the same
			return buffered[:end+len("\r\n")], nil
		}
		if err != nil { // also bufio.ErrBufferFull, for a head that does not end
			return nil, err
		}
		need = len(buffered) + 1
	}
}

// result turns a response into the attempt's outcome. Only 503 and 504 with Not-Started say that
// the request never ran.
func (rt *roundTripper) result(h *head, resp *core.Response) core.AttemptResult {
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
		return core.AttemptResult{Status: logic.Error} // it may have run
	}
	// A client takes 429 and 503 for a rejection, after which a retry is harmless, and 408 for much
	// the same. Only this proxy can say that, since it knows of all attempts.
	switch resp.StatusCode {
	case http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		resp.StatusCode = http.StatusBadGateway
	}
	return core.AttemptResult{Status: logic.Error, Response: resp}
}

// isOverloaded reports whether a head rejects a request that has not been started.
func (h *head) isOverloaded() bool {
	return (h.statusCode == http.StatusServiceUnavailable || h.statusCode == http.StatusGatewayTimeout) && h.notStarted
}

// isInvalidRequest reports whether a head says that the request is at fault, whichever backend gets
// it.
func (h *head) isInvalidRequest() bool {
	return h.statusCode >= 400 && h.statusCode < 500 &&
		h.statusCode != http.StatusRequestTimeout && h.statusCode != http.StatusTooManyRequests
}
