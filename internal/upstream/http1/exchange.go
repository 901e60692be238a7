package http1

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fernlanding/internal/core"
	"fernlanding/logic"
	"fmt"
	"io"
	"net/http"
	"net/http/httputil"
	"strconv"
	"syscall"
	"time"
)

const (
	answerHead = 8 << 10 // of a backend's answer, before its body
	mostEarly  = 8       // 1xx answers ahead of one, at most
	mostTrail  = 4 << 10 // bytes of trailers behind chunks, at most
	readPart   = 64 << 10
	keptBuffer = 16 << 10 // a buffer that has grown beyond this is not kept

	// Once an answer has begun, the rest of it is on its way; one whose length does not fit never ends.
	answerStall = 500 * time.Millisecond
)

// Cancel ends reads and writes on the connection; it is then closed, never used again.
func (c *conn) Cancel() { _ = c.SetDeadline(time.Unix(1, 0)) }

// exchange writes the request and reads the answer; keep tells whether the connection can serve again.
func (w *way) exchange(a *core.Attempt, c *conn) (res core.AttemptResult, keep bool) {
	_ = c.SetDeadline(a.Deadline)
	if !a.SetCanceler(c) {
		return core.AttemptResult{Status: logic.NotSent}, false
	}
	defer func() {
		if !a.ClearCanceler() {
			keep = false
		}
	}()
	if err := w.send(a, c, c.encode(a)); err != nil {
		// The last byte was not written, so the backend cannot have begun.
		if errors.Is(err, errMoved) || a.Canceled() {
			return core.AttemptResult{Status: logic.NotSent}, false // no fault of the backend's
		}
		return core.AttemptResult{Status: logic.ConnectFailed}, false
	}
	res, keep, err := w.read(a, c)
	switch {
	case err == nil:
		return res, keep
	case a.DeadlinePassed():
		return core.AttemptResult{Status: logic.TimedOut}, false
	case a.Canceled():
		return core.AttemptResult{Status: logic.Canceled}, false
	}
	return core.AttemptResult{Status: logic.Reset}, false
}

// send writes a whole request, if the list says of the backend what it said when it was chosen and it is not too late to begin. That
// look and the first write are one step as Apply sees it: once Apply has returned, nothing begins that it would not have.
func (w *way) send(a *core.Attempt, c *conn, text []byte) error {
	n, err := 0, error(nil)
	begin := func(write func() (int, error)) {
		w.backend.begins.RLock()
		defer w.backend.begins.RUnlock()
		if w.backend.epoch != w.epoch || !a.SendBy.IsZero() && time.Now().After(a.SendBy) {
			err = errMoved
			return
		}
		n, err = write()
	}
	if c.raw == nil {
		begin(func() (int, error) { return c.Write(text) })
		return err
	}
	rawErr := c.raw.Write(func(fd uintptr) bool {
		begin(func() (n int, err error) {
			for n, err = syscall.Write(int(fd), text); errors.Is(err, syscall.EINTR); {
				n, err = syscall.Write(int(fd), text)
			}
			return n, err
		})
		return !errors.Is(err, syscall.EAGAIN)
	})
	switch {
	case rawErr != nil:
		return rawErr
	case err == nil && n < len(text):
		_, err = c.Write(text[n:])
	}
	return err
}

// encode writes the whole request into one buffer, so that one write tells whether its last byte went out.
func (c *conn) encode(a *core.Attempt) []byte {
	r, b := a.Request, c.out[:0]
	b = append(append(append(b, r.Method...), ' '), r.Target...)
	b = append(append(append(b, " HTTP/1.1\r\nHost: "...), r.Host...), "\r\n"...)
	for _, f := range r.Header {
		if f.Name != timeoutField {
			b = append(append(append(append(b, f.Name...), ": "...), f.Value...), "\r\n"...)
		}
	}
	b = append(b, timeoutField+": "...)
	b = append(strconv.AppendInt(b, max(1, time.Until(a.Deadline).Milliseconds()), 10), "\r\n"...)
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		b = append(b, "Content-Length: "...)
		b = append(strconv.AppendInt(b, int64(len(r.Body)), 10), "\r\n"...)
	}
	b = append(append(b, "\r\n"...), r.Body...)
	if c.out = b; cap(b) > keptBuffer {
		c.out = nil
	}
	return b
}

const timeoutField = "Request-Timeout-Ms"

var errStopped = errors.New("stopped")

// extend gives the connection until then, unless the attempt has been stopped meanwhile.
func (c *conn) extend(a *core.Attempt, until time.Time) error {
	if a.Deadline.Before(until) {
		until = a.Deadline
	}
	_ = c.SetDeadline(until)
	if a.Canceled() {
		return errStopped
	}
	return nil
}

// head reads the bytes of the next head, without the empty line. They are good until the next read.
func (c *conn) head() ([]byte, error) {
	for n := 1; ; {
		_, err := c.r.Peek(n)
		b, _ := c.r.Peek(c.r.Buffered())
		if end := bytes.Index(b, []byte("\r\n\r\n")); end >= 0 {
			_, _ = c.r.Discard(end + 4)
			return b[:end+2], nil
		}
		if err != nil { // also a head that does not end
			return nil, err
		}
		n = len(b) + 1
	}
}

// read takes the whole answer: one that breaks off has not been given.
func (w *way) read(a *core.Attempt, c *conn) (res core.AttemptResult, keep bool, err error) {
	c.begun = false
	if _, err := c.r.Peek(1); err != nil {
		return res, false, fmt.Errorf("read answer: %w", err)
	}
	c.begun = true
	var h head
	for early := 0; h.code < 200; early++ {
		if early > mostEarly {
			return res, false, errors.New("read answer: early words without end")
		}
		if here, _ := c.r.Peek(c.r.Buffered()); !bytes.Contains(here, []byte("\r\n\r\n")) {
			if err := c.extend(a, time.Now().Add(answerStall)); err != nil {
				return res, false, err
			}
		}
		b, err := c.head()
		if err == nil {
			h, err = parseHead(b, w.pool.cfg.PassAllStatuses)
		}
		if err != nil {
			return res, false, fmt.Errorf("read answer: %w", err)
		}
	}
	reply := &core.Response{StatusCode: h.code, Header: h.fields}
	if err := w.body(a, c, &h, reply); errors.Is(err, errTooLarge) {
		return core.AttemptResult{Status: logic.Error}, false, nil
	} else if err != nil {
		return res, false, fmt.Errorf("read body: %w", err)
	}
	return w.judge(h, reply), !h.close && c.r.Buffered() == 0, nil
}

// judge says what an answer means. Only 503 and 504 with the proof say that the request never ran.
func (w *way) judge(h head, reply *core.Response) core.AttemptResult {
	all := w.pool.cfg.PassAllStatuses
	switch code := h.code; {
	case code == http.StatusOK, all && code < 400:
		return core.AttemptResult{Status: logic.OK, Response: reply}
	case (code == http.StatusServiceUnavailable || code == http.StatusGatewayTimeout) && h.notStarted:
		reply.Close()
		return core.AttemptResult{Status: logic.Overloaded}
	case code >= 400 && code < 500 && code != http.StatusRequestTimeout && code != http.StatusTooManyRequests:
		if !all {
			reply = &core.Response{StatusCode: code}
		}
		return core.AttemptResult{Status: logic.Error, InvalidRequest: true, Response: reply}
	}
	if !all {
		return core.AttemptResult{Status: logic.Error} // it may have run
	}
	// A client takes 429 and 503 for a refusal, after which trying again is harmless, and 408 for much the same. Only
	// this proxy can say that, which knows of all attempts.
	switch reply.StatusCode {
	case http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		reply.StatusCode = http.StatusBadGateway
	}
	return core.AttemptResult{Status: logic.Error, Response: reply}
}

var errTooLarge = errors.New("too large")

// body reads the body that a head announces into the reply.
func (w *way) body(a *core.Attempt, c *conn, h *head, reply *core.Response) (err error) {
	cfg := &w.pool.cfg
	switch {
	case a.Method == http.MethodHead && h.length >= 0:
		reply.Header = append(reply.Header, core.Field{Name: "Content-Length", Value: strconv.FormatInt(h.length, 10)})
		return nil
	case a.Method == http.MethodHead || h.code == http.StatusNoContent || h.code == http.StatusNotModified:
		return nil // RFC 9112, section 6.3
	case h.length > cfg.MaxResponse:
		return errTooLarge
	case h.length > cfg.UncountedBody:
		return w.large(a, c, h.length, reply)
	case h.length >= 0:
		if int64(c.r.Buffered()) < h.length {
			if err := c.extend(a, time.Now().Add(answerStall)); err != nil {
				return err
			}
		}
		reply.Body = make([]byte, h.length)
		_, err = io.ReadFull(c.r, reply.Body)
		return err
	case !h.chunked:
		return errors.New("length not given") // its end would look the same as a break
	}
	// The length is not known ahead; it counts as the most that is read.
	most := min(cfg.MaxResponse, readPart)
	if most > cfg.UncountedBody {
		if reply.Release, err = w.reserve(a, c, most); err != nil {
			return err
		}
	}
	if err := c.extend(a, time.Now().Add(answerStall)); err != nil {
		reply.Close()
		return err
	}
	reply.Body, err = io.ReadAll(io.LimitReader(httputil.NewChunkedReader(c.r), most+1))
	if err == nil && int64(len(reply.Body)) > most {
		err = errTooLarge
	}
	if err == nil {
		err = trailer(c.r)
	}
	if err != nil || !cfg.HoldUntilRelease {
		reply.Close()
	}
	return err
}

// trailer reads what stands behind the last chunk: fields that nobody asked for, and an empty line.
func trailer(r *bufio.Reader) error {
	for n := 0; n <= mostTrail; {
		line, err := r.ReadSlice('\n')
		if err != nil {
			return err
		}
		if len(line) <= 2 {
			if string(line) != "\r\n" {
				return errors.New("no empty line behind the chunks")
			}
			return nil
		}
		n += len(line)
	}
	return errors.New("trailers without end")
}

// large reads a large body, whose memory is reserved first. Each part of one has as long as a small answer.
func (w *way) large(a *core.Attempt, c *conn, length int64, reply *core.Response) (err error) {
	if reply.Release, err = w.reserve(a, c, length); err != nil {
		return err
	}
	body := make([]byte, length)
	for read := 0; read < len(body) && err == nil; {
		if err = c.extend(a, time.Now().Add(answerStall)); err == nil {
			var n int
			n, err = io.ReadFull(c.r, body[read:min(len(body), read+readPart)])
			read += n
		}
	}
	if err != nil || !w.pool.cfg.HoldUntilRelease {
		reply.Close()
	}
	reply.Body = body
	return err
}

// reserve waits for memory until the attempt's time is up.
func (w *way) reserve(a *core.Attempt, c *conn, n int64) (release func(), err error) {
	ctx, done := a.Context()
	err = w.pool.cfg.Memory.Reserve(ctx, n)
	done()
	if err != nil {
		return nil, err
	}
	release = func() { w.pool.cfg.Memory.Release(n) }
	if !a.SetCanceler(c) {
		release()
		return nil, context.Canceled
	}
	return release, nil
}
