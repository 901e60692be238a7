package http1

import (
	"net/http"
	"time"

	"fernlanding/internal/core"
	"fernlanding/internal/front"
)

const (
	// errorLingerTimeout is how long the front reads what the client of a rejected request still
	// sends, so that the client can read its response. maxErrorLinger is the limit in bytes.
	errorLingerTimeout = 500 * time.Millisecond
	maxErrorLinger     = 256 << 10
)

// rejection is a request that is not forwarded, and the reason.
type rejection struct {
	err    *front.RequestError
	noBody bool  // the response has no body, because the method is HEAD
	unread int64 // bytes of the body that are read first, because the request is valid
	paced  bool  // the response is paced: the request is not known to be valid
}

// reject responds to a request that is not forwarded. The connection closes afterwards, because the
// bytes that follow may not be the next request. Responses to invalid requests are paced; until then
// and afterwards the connection is the first to be closed for a new one.
func (f *Front) reject(c *clientConn, r *rejection) {
	if r.unread > 0 && c.discardBody(r.unread) != nil {
		r.err = errBodyBrokeOff
	}
	r.paced = r.paced || r.err.Status != http.StatusServiceUnavailable
	f.conns.requestRejected(c)
	c.dropReceived()
	if r.paced && !c.pause(f.rejectionDelay(c)) {
		return
	}
	resp := &core.Response{
		StatusCode: r.err.Status,
		Header:     []core.HeaderField{{Name: "Content-Type", Value: "text/plain"}},
		Body:       []byte(r.err.Reason + "\n"),
	}
	if r.err.Allow != "" {
		resp.Header = append(resp.Header, core.HeaderField{Name: "Allow", Value: r.err.Allow})
	}
	w := responseWriter{conn: c, noBody: r.noBody, last: true}
	if w.write(resp, r.err.RetryAfter) == nil {
		c.linger()
	}
}

// rejectionDelay returns how long the response to an invalid request waits. The response to the first
// request of a connection is due by firstRequestTimeout.
func (f *Front) rejectionDelay(c *clientConn) time.Duration {
	now := time.Now()
	delay := f.rejections.delay(now)
	if c.isFirstRequest() {
		delay = min(delay, c.acceptedAt.Add(firstRequestTimeout).Sub(now))
	}
	return delay
}

// linger ends the stream to the client and reads what the client still sends. A close with unread
// bytes would reset the connection, and the client might not receive its response.
func (c *clientConn) linger() {
	if c.closeWrite() != nil {
		return
	}
	c.setReadDeadline(time.Now().Add(errorLingerTimeout))
	_ = c.drop(maxErrorLinger) // ends when the client closes, too
}

// isHead reports whether a request wants a response without its body.
func isHead(r *http.Request) bool { return r.Method == http.MethodHead }
