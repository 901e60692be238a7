package replay

import (
	"bufio"
	"context"
	"fmt"
	"net"
	nethttp "net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"fernlanding/internal/sleep"
)

const maxPipelined = 64 // requests of a connection without a response

// longAgo is a deadline that ends reads and writes at once.
var longAgo = time.Unix(1, 0)

// connection is an open connection of a replay.
type connection struct {
	*run
	conn   *recordedConn
	reader *bufio.Reader
	ended  atomic.Bool // it can carry no further request
}

// pendingResponse is a request that waits for its response.
type pendingResponse struct {
	step   *Step
	sentAt time.Time
}

// runSteps sends steps over one connection, at least one, and returns those that were not begun.
func (r *run) runSteps(ctx context.Context, steps []*Step) []*Step {
	if !sleep.Until(ctx, r.start.Add(steps[0].Offset)) {
		return nil
	}
	dialer := net.Dialer{Timeout: r.target.Timeout}
	raw, err := dialer.DialContext(ctx, "tcp", r.target.Addr.String())
	if err != nil {
		r.results[steps[0]].Err = fmt.Errorf("not sent: %w", err)
		return steps[1:]
	}
	c := &connection{run: r, conn: &recordedConn{Conn: raw}}
	if r.target.Capture != nil {
		local, _ := netip.ParseAddrPort(raw.LocalAddr().String())
		c.conn.capture = r.target.Capture.Open(0, local, r.target.Addr, time.Now())
	}
	defer c.conn.closeAndRecord()
	stop := context.AfterFunc(ctx, func() { _ = raw.SetDeadline(longAgo) }) // fails only on a closed connection
	defer stop()
	c.reader = bufio.NewReader(c.conn)
	if r.target.Pipeline {
		return c.runPipelined(ctx, steps)
	}
	return c.runSequentially(ctx, steps)
}

// runSequentially sends each step after the response to the one before. It returns the steps that
// were not begun.
func (c *connection) runSequentially(ctx context.Context, steps []*Step) []*Step {
	for i, step := range steps {
		if i > 0 && !sleep.Until(ctx, c.start.Add(step.Offset)) {
			return steps[i:]
		}
		if !c.send(step) || !c.receive(ctx, pendingResponse{step: step, sentAt: time.Now()}) {
			return steps[i+1:]
		}
	}
	return nil
}

// runPipelined sends each step at its offset, whether or not there are responses. It returns the
// steps that were not begun.
func (c *connection) runPipelined(ctx context.Context, steps []*Step) []*Step {
	pending := make(chan pendingResponse, maxPipelined)
	var receiving sync.WaitGroup
	receiving.Go(func() { c.receiveAll(ctx, pending) })
	begun := 0
	for begun < len(steps) {
		step := steps[begun]
		if begun > 0 && (!sleep.Until(ctx, c.start.Add(step.Offset)) || c.ended.Load()) {
			break
		}
		begun++
		if !c.send(step) {
			break
		}
		pending <- pendingResponse{step: step, sentAt: time.Now()}
	}
	close(pending)
	receiving.Wait()
	return steps[begun:]
}

// receiveAll receives the responses of pipelined requests. After the first failure, the others have
// no response.
func (c *connection) receiveAll(ctx context.Context, pending <-chan pendingResponse) {
	failed := false
	for next := range pending {
		if failed {
			c.results[next.step].Err = errNoResponse
			continue
		}
		if !c.receive(ctx, next) {
			failed = true
			_ = c.conn.Close() // ends a write that is blocked; the error would be that of a second close
		}
	}
}

// send writes a step's request. It reports whether that succeeded; a failure may come after the
// last byte.
func (c *connection) send(step *Step) bool {
	result := c.results[step]
	result.Delay = max(0, time.Since(c.start)-step.Offset)
	if err := c.conn.writeRequest(step, time.Now().Add(c.target.Timeout)); err != nil {
		result.Err = fmt.Errorf("not sent whole: %w", err)
		c.ended.Store(true)
		return false
	}
	result.Sent = true
	return true
}

// receive reads a response. It reports whether the connection can bring another one.
func (c *connection) receive(ctx context.Context, pending pendingResponse) bool {
	// Deadlines are set on an open connection, which cannot fail; a closed one fails the read.
	_ = c.conn.SetReadDeadline(time.Now().Add(c.target.Timeout))
	if ctx.Err() != nil { // that deadline may have undone the one for the end of the context
		_ = c.conn.SetDeadline(longAgo)
	}
	result := c.results[pending.step]
	response, err := c.readFinalResponse(pending.step.Method)
	if err != nil {
		result.Err = fmt.Errorf("%w: %w", errNoResponse, err)
		c.ended.Store(true)
		return false
	}
	equal, size, err := compareBodies(response.Body, pending.step.CapturedBody)
	_ = response.Body.Close() // it was read to its end, or the connection is given up
	if err != nil {
		result.Err = fmt.Errorf("the answer broke off: %w", err)
		c.ended.Store(true)
		return false
	}
	result.Replayed = Outcome{StatusCode: response.StatusCode, Latency: time.Since(pending.sentAt)}
	result.BodyEqual, result.Size = equal, size
	if response.Close {
		c.ended.Store(true)
		return false
	}
	return true
}

// readFinalResponse reads the next response that is not interim. 101 is final: it ends HTTP/1.1.
func (c *connection) readFinalResponse(method string) (*nethttp.Response, error) {
	for {
		response, err := nethttp.ReadResponse(c.reader, &nethttp.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= 200 || response.StatusCode == nethttp.StatusSwitchingProtocols {
			return response, nil
		}
	}
}
