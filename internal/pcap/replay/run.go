package replay

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	nethttp "net/http"
	"net/netip"
	"sync"
	"time"

	"fernlanding/internal/pcap/http"
	"fernlanding/internal/pcap/write"
	"fernlanding/internal/sleep"
)

// Target is where a replay goes, and how.
type Target struct {
	Addr           netip.AddrPort
	MaxConnections int           // open at a time (default 256); a connection waits for its turn
	Timeout        time.Duration // for an answer (default 30 s)
	Pipeline       bool          // send without a wait for the answer before, as far as the capture's times say so
	Capture        *write.File   // takes what goes over the connections; may be nil
}

const (
	defaultMaxConnections = 256
	defaultTimeout        = 30 * time.Second
	maxResponseBody       = 64 << 20 // bytes of an answer
	maxPipelined          = 64       // requests on a connection without an answer
)

// Result is what became of a step.
type Result struct {
	Step      *Step
	Sent      bool // its last byte was written
	Replayed  Outcome
	BodyEqual bool // the answer's body is the captured one
	Size      int64
	Err       error         // why there is no whole answer
	Delay     time.Duration // after its time
}

// Run carries a plan out and returns a result for each step that is not skipped, in their order. A request that may have
// been sent is never sent again: where a connection breaks, what it carried has no answer, and what was still to come goes
// over a new one.
func (p *Plan) Run(ctx context.Context, to Target) []*Result {
	if to.MaxConnections <= 0 {
		to.MaxConnections = defaultMaxConnections
	}
	if to.Timeout <= 0 {
		to.Timeout = defaultTimeout
	}
	lanes := map[int][]*Step{} // by connection
	var order []int
	results := map[*Step]*Result{}
	var out []*Result
	for _, s := range p.Steps {
		if s.SkipReason != "" {
			continue
		}
		if lanes[s.Connection] == nil {
			order = append(order, s.Connection)
		}
		lanes[s.Connection] = append(lanes[s.Connection], s)
		results[s] = &Result{Step: s}
		out = append(out, results[s])
	}
	start := time.Now()
	room := make(chan struct{}, to.MaxConnections)
	var all sync.WaitGroup
	for _, n := range order { // by the times of their first steps
		left := lanes[n]
		if !sleep.Until(ctx, start.Add(left[0].Offset)) {
			break
		}
		select {
		case room <- struct{}{}:
		case <-ctx.Done():
		}
		if ctx.Err() != nil {
			break
		}
		all.Go(func() {
			defer func() { <-room }()
			for len(left) > 0 && ctx.Err() == nil {
				left = to.carry(ctx, start, left, results)
			}
		})
	}
	all.Wait()
	for _, r := range out {
		if !r.Sent && r.Err == nil {
			r.Err = errNotSent
		}
	}
	return out
}

var (
	errNotSent = errors.New("not sent: the replay was ended")
	errBefore  = errors.New("the connection ended before the answer")
)

// carry sends steps over one connection, at least one, and returns those that were not begun on it.
func (to *Target) carry(ctx context.Context, start time.Time, steps []*Step, results map[*Step]*Result) (left []*Step) {
	if !sleep.Until(ctx, start.Add(steps[0].Offset)) {
		return nil
	}
	d := net.Dialer{Timeout: to.Timeout}
	raw, err := d.DialContext(ctx, "tcp", to.Addr.String())
	if err != nil {
		results[steps[0]].Err = fmt.Errorf("not sent: %w", err)
		return steps[1:]
	}
	c := &recordedConn{Conn: raw}
	if to.Capture != nil {
		local, _ := netip.ParseAddrPort(raw.LocalAddr().String())
		c.to = to.Capture.Open(0, local, to.Addr, time.Now())
	}
	defer func() {
		_ = raw.Close()
		if c.to != nil {
			c.to.Close(false, 0, time.Now())
		}
	}()
	stop := context.AfterFunc(ctx, func() { _ = raw.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	r := bufio.NewReader(c)
	if !to.Pipeline {
		return to.oneByOne(ctx, c, r, start, steps, results)
	}
	asked := make(chan pendingResponse, maxPipelined)
	var answers sync.WaitGroup
	answers.Go(func() {
		fine := true
		for a := range asked {
			if !fine {
				results[a.step].Err = errBefore
			} else if fine = to.answer(ctx, c, r, a, results[a.step]); !fine {
				_ = raw.Close() // the writer is to notice
			}
		}
	})
	n := 0
	for n < len(steps) {
		s := steps[n]
		if n > 0 && (!sleep.Until(ctx, start.Add(s.Offset)) || c.ended()) {
			break
		}
		n++
		if !to.send(c, start, s, results[s]) {
			break
		}
		asked <- pendingResponse{s, time.Now()}
	}
	close(asked)
	answers.Wait()
	return steps[n:]
}

// oneByOne sends each step when the one before has its answer.
func (to *Target) oneByOne(ctx context.Context, c *recordedConn, r *bufio.Reader, start time.Time, steps []*Step, results map[*Step]*Result) (left []*Step) {
	for n, s := range steps {
		if n > 0 && !sleep.Until(ctx, start.Add(s.Offset)) {
			return steps[n:]
		}
		if !to.send(c, start, s, results[s]) || !to.answer(ctx, c, r, pendingResponse{s, time.Now()}, results[s]) {
			return steps[n+1:]
		}
	}
	return nil
}

// send writes a step's request; it is false if that has failed, which may be after its last byte.
func (to *Target) send(c *recordedConn, start time.Time, s *Step, r *Result) bool {
	r.Delay = max(0, time.Since(start)-s.Offset)
	if err := c.send(s, time.Now().Add(to.Timeout)); err != nil {
		r.Err = fmt.Errorf("not sent whole: %w", err)
		c.end()
		return false
	}
	r.Sent = true
	return true
}

// pendingResponse is a request that waits for its answer.
type pendingResponse struct {
	step *Step
	at   time.Time
}

// answer reads an answer; it is false if the connection can bring no further one.
func (to *Target) answer(ctx context.Context, c *recordedConn, r *bufio.Reader, a pendingResponse, res *Result) bool {
	_ = c.SetReadDeadline(time.Now().Add(to.Timeout))
	if ctx.Err() != nil {
		_ = c.SetDeadline(time.Unix(1, 0))
	}
	var resp *nethttp.Response
	for {
		var err error
		if resp, err = nethttp.ReadResponse(r, &nethttp.Request{Method: a.step.Method}); err != nil {
			res.Err = fmt.Errorf("%w: %w", errBefore, err)
			c.end()
			return false
		}
		if resp.StatusCode >= 200 || resp.StatusCode == 101 {
			break
		}
	}
	same, size, err := compare(resp.Body, a.step.CapturedBody)
	_ = resp.Body.Close()
	if err != nil {
		res.Err = fmt.Errorf("the answer broke off: %w", err)
		c.end()
		return false
	}
	res.Replayed, res.BodyEqual, res.Size = Outcome{resp.StatusCode, time.Since(a.at)}, same, size
	if resp.Close {
		c.end()
		return false
	}
	return true
}

// compare reads a body to its end and tells whether it is the captured one.
func compare(got io.Reader, want http.Body) (same bool, size int64, err error) {
	had, err := want.Open()
	if err != nil {
		return false, 0, err
	}
	defer had.Close()
	same = true
	limited := io.LimitReader(got, maxResponseBody+1)
	a, b := make([]byte, 32<<10), make([]byte, 32<<10)
	for {
		n, err := limited.Read(a)
		size += int64(n)
		if m, _ := io.ReadFull(had, b[:n]); m != n || !bytes.Equal(a[:n], b[:n]) {
			same = false
		}
		if size > maxResponseBody {
			return false, size, fmt.Errorf("over %d bytes", maxResponseBody)
		}
		if errors.Is(err, io.EOF) {
			if m, _ := had.Read(b[:1]); m > 0 {
				same = false
			}
			return same, size, nil
		}
		if err != nil {
			return false, size, err
		}
	}
}

// recordedConn is a connection whose bytes are written down.
type recordedConn struct {
	net.Conn
	to *write.Conn

	mu   sync.Mutex
	over bool
}

func (w *recordedConn) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.over = true
}

func (w *recordedConn) ended() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.over
}

// Read implements io.Reader.
func (w *recordedConn) Read(b []byte) (int, error) {
	n, err := w.Conn.Read(b)
	if n > 0 && w.to != nil {
		w.to.Data(1, b[:n], time.Now(), "")
	}
	return n, err
}

// send writes a request.
func (w *recordedConn) send(s *Step, until time.Time) error {
	_ = w.SetWriteDeadline(until)
	comment := ""
	if s.OldID != "" || s.NewID != "" {
		comment = fmt.Sprintf("request %s, captured as %s", s.NewID, s.OldID)
	}
	if err := w.put(s.Head, comment); err != nil {
		return err
	}
	if s.Redacted {
		return w.put(s.RedactedBody, "")
	}
	body, err := s.Body.Open()
	if err != nil {
		return err
	}
	defer body.Close()
	buf := make([]byte, 32<<10)
	for {
		n, err := body.Read(buf)
		if n > 0 {
			if err := w.put(buf[:n], ""); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

func (w *recordedConn) put(b []byte, comment string) error {
	n, err := w.Conn.Write(b)
	if n > 0 && w.to != nil {
		w.to.Data(0, b[:n], time.Now(), comment)
	}
	return err
}
