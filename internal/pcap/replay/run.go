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
	Addr     netip.AddrPort
	Conns    int           // open at a time (default 256); a connection waits for its turn
	Wait     time.Duration // for an answer (default 30 s)
	Pipeline bool          // send without a wait for the answer before, as far as the capture's times say so
	Write    *write.File   // takes what goes over the connections; may be nil
}

const (
	defaultConns = 256
	defaultWait  = 30 * time.Second
	mostAnswer   = 64 << 20 // bytes of an answer
	waiting      = 64       // requests on a connection without an answer
)

// Result is what became of a step.
type Result struct {
	Step  *Step
	Sent  bool // its last byte was written
	Got   Outcome
	Equal bool // the answer's body is the captured one
	Size  int64
	Err   error         // why there is no whole answer
	Late  time.Duration // after its time
}

// Run carries a plan out and returns a result for each step that is not skipped, in their order. A request that may have
// been sent is never sent again: where a connection breaks, what it carried has no answer, and what was still to come goes
// over a new one.
func (p *Plan) Run(ctx context.Context, to Target) []*Result {
	if to.Conns <= 0 {
		to.Conns = defaultConns
	}
	if to.Wait <= 0 {
		to.Wait = defaultWait
	}
	lanes := map[int][]*Step{} // by connection
	var order []int
	results := map[*Step]*Result{}
	var out []*Result
	for _, s := range p.Steps {
		if s.Skip != "" {
			continue
		}
		if lanes[s.Conn] == nil {
			order = append(order, s.Conn)
		}
		lanes[s.Conn] = append(lanes[s.Conn], s)
		results[s] = &Result{Step: s}
		out = append(out, results[s])
	}
	start := time.Now()
	room := make(chan struct{}, to.Conns)
	var all sync.WaitGroup
	for _, n := range order { // by the times of their first steps
		left := lanes[n]
		if !sleep.Until(ctx, start.Add(left[0].At)) {
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
	if !sleep.Until(ctx, start.Add(steps[0].At)) {
		return nil
	}
	d := net.Dialer{Timeout: to.Wait}
	raw, err := d.DialContext(ctx, "tcp", to.Addr.String())
	if err != nil {
		results[steps[0]].Err = fmt.Errorf("not sent: %w", err)
		return steps[1:]
	}
	c := &wire{Conn: raw}
	if to.Write != nil {
		local, _ := netip.ParseAddrPort(raw.LocalAddr().String())
		c.to = to.Write.Open(0, local, to.Addr, time.Now())
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
	asked := make(chan asking, waiting)
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
		if n > 0 && (!sleep.Until(ctx, start.Add(s.At)) || c.ended()) {
			break
		}
		n++
		if !to.send(c, start, s, results[s]) {
			break
		}
		asked <- asking{s, time.Now()}
	}
	close(asked)
	answers.Wait()
	return steps[n:]
}

// oneByOne sends each step when the one before has its answer.
func (to *Target) oneByOne(ctx context.Context, c *wire, r *bufio.Reader, start time.Time, steps []*Step, results map[*Step]*Result) (left []*Step) {
	for n, s := range steps {
		if n > 0 && !sleep.Until(ctx, start.Add(s.At)) {
			return steps[n:]
		}
		if !to.send(c, start, s, results[s]) || !to.answer(ctx, c, r, asking{s, time.Now()}, results[s]) {
			return steps[n+1:]
		}
	}
	return nil
}

// send writes a step's request; it is false if that has failed, which may be after its last byte.
func (to *Target) send(c *wire, start time.Time, s *Step, r *Result) bool {
	r.Late = max(0, time.Since(start)-s.At)
	if err := c.send(s, time.Now().Add(to.Wait)); err != nil {
		r.Err = fmt.Errorf("not sent whole: %w", err)
		c.end()
		return false
	}
	r.Sent = true
	return true
}

// asking is a request that waits for its answer.
type asking struct {
	step *Step
	at   time.Time
}

// answer reads an answer; it is false if the connection can bring no further one.
func (to *Target) answer(ctx context.Context, c *wire, r *bufio.Reader, a asking, res *Result) bool {
	_ = c.SetReadDeadline(time.Now().Add(to.Wait))
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
	same, size, err := compare(resp.Body, a.step.Answer)
	_ = resp.Body.Close()
	if err != nil {
		res.Err = fmt.Errorf("the answer broke off: %w", err)
		c.end()
		return false
	}
	res.Got, res.Equal, res.Size = Outcome{resp.StatusCode, time.Since(a.at)}, same, size
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
	limited := io.LimitReader(got, mostAnswer+1)
	a, b := make([]byte, 32<<10), make([]byte, 32<<10)
	for {
		n, err := limited.Read(a)
		size += int64(n)
		if m, _ := io.ReadFull(had, b[:n]); m != n || !bytes.Equal(a[:n], b[:n]) {
			same = false
		}
		if size > mostAnswer {
			return false, size, fmt.Errorf("over %d bytes", mostAnswer)
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

// wire is a connection whose bytes are written down.
type wire struct {
	net.Conn
	to *write.Conn

	mu   sync.Mutex
	over bool
}

func (w *wire) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.over = true
}

func (w *wire) ended() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.over
}

// Read implements io.Reader.
func (w *wire) Read(b []byte) (int, error) {
	n, err := w.Conn.Read(b)
	if n > 0 && w.to != nil {
		w.to.Data(1, b[:n], time.Now(), "")
	}
	return n, err
}

// send writes a request.
func (w *wire) send(s *Step, until time.Time) error {
	_ = w.SetWriteDeadline(until)
	comment := ""
	if s.OldID != "" || s.NewID != "" {
		comment = fmt.Sprintf("request %s, captured as %s", s.NewID, s.OldID)
	}
	if err := w.put(s.Head, comment); err != nil {
		return err
	}
	if s.Redacted {
		return w.put(s.Bytes, "")
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

func (w *wire) put(b []byte, comment string) error {
	n, err := w.Conn.Write(b)
	if n > 0 && w.to != nil {
		w.to.Data(0, b[:n], time.Now(), comment)
	}
	return err
}
