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

const maxPipelined = 64 // pending requests of a connection

// pastDeadline is a deadline that ends reads and writes immediately.
var pastDeadline = time.Unix(1, 0)

// connection is an open connection of a replay.
type connection struct {
	*run
	conn   *recordedConn
	reader *bufio.Reader
	ended  atomic.Bool // no further request can be sent
}

// pendingResponse is a sent request that has no response yet.
type pendingResponse struct {
	step   *Step
	sentAt time.Time
}

// runSteps sends steps over one new connection. It begins at least one step, and returns the steps
// that were not started.
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
	stop := context.AfterFunc(ctx, func() { _ = raw.SetDeadline(pastDeadline) }) // fails only on a closed connection
	defer stop()
	c.reader = bufio.NewReader(c.conn)
	if r.target.Pipeline {
		return c.runPipelined(ctx, steps)
	}
	return c.runSequentially(ctx, steps)
}

// runSequentially sends each step after the response to the previous step. It returns the steps
// that were not started.
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

// runPipelined sends each step at its offset without waiting for responses. It returns the steps
// that were not started.
func (c *connection) runPipelined(ctx context.Context, steps []*Step) []*Step {
	pending := make(chan pendingResponse, maxPipelined)
	var receiving sync.WaitGroup
	receiving.Go(func() { c.receiveAll(ctx, pending) })
	started := 0
	for started < len(steps) {
		step := steps[started]
		if started > 0 && (!sleep.Until(ctx, c.start.Add(step.Offset)) || c.ended.Load()) {
			break
		}
		started++
		if !c.send(step) {
			break
		}
		pending <- pendingResponse{step: step, sentAt: time.Now()}
	}
	close(pending)
	receiving.Wait()
	return steps[started:]
}

// receiveAll receives the responses of pipelined requests. After the first failure, the remaining
// requests have no response.
func (c *connection) receiveAll(ctx context.Context, pending <-chan pendingResponse) {
	failed := false
	for next := range pending {
		if failed {
			c.results[next.step].Err = errNoResponse
			continue
		}
		if !c.receive(ctx, next) {
			failed = true
			_ = c.conn.Close() // unblocks a pending write; the error would only report a second close
		}
	}
}

// send writes the request of a step, and reports whether the write succeeded. A write can fail
// after its last byte was sent.
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

// receive reads a response. It reports whether the connection can carry another response.
func (c *connection) receive(ctx context.Context, pending pendingResponse) bool {
	// Setting a deadline fails only on a closed connection, on which the read fails too.
	_ = c.conn.SetReadDeadline(time.Now().Add(c.target.Timeout))
	if ctx.Err() != nil { // the deadline may have replaced pastDeadline, set when the context ended
		_ = c.conn.SetDeadline(pastDeadline)
	}
	result := c.results[pending.step]
	response, err := c.readFinalResponse(pending.step.Method)
	if err != nil {
		result.Err = fmt.Errorf("%w: %w", errNoResponse, err)
		c.ended.Store(true)
		return false
	}
	equal, size, err := compareBodies(response.Body, pending.step.CapturedBody)
	_ = response.Body.Close() // the body was read to its end, or the connection is not used again
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

// readFinalResponse reads the next response that is not interim. A 101 response is final, since it
// ends HTTP/1.1 on the connection.
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
