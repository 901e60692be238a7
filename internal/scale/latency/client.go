package latency

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	callTimeout          = 5 * time.Second // from the intended moment
	startDelay           = time.Millisecond
	passesPerCancelCheck = 4096
)

var (
	errTimeout       = errors.New("no answer in time")
	errNoConnections = errors.New("no connection is left")
)

// pool keeps connections to the same addresses. Between two segments no call is on any of them.
type pool struct {
	addresses []netip.AddrPort // in turn
	size      int
	opened    int           // connections since the start
	calls     int           // calls since the start
	idle      []*connection // the one that is idle longest first
}

// fill opens connections until the pool has its size.
func (p *pool) fill() error {
	for len(p.idle) < p.size {
		c, err := connect(p.addresses[p.opened%len(p.addresses)], newRequest())
		if err != nil {
			return err
		}
		p.opened++
		p.idle = append(p.idle, c)
	}
	return nil
}

const (
	requestStart = "GET /call HTTP/1.1\r\nHost: backend\r\nRequest-Id: call-"
	idDigits     = 10
)

// newRequest returns a connection's request, with room for the number of each call.
func newRequest() []byte {
	return fmt.Appendf(nil, "%s%0*d\r\n\r\n", requestStart, idDigits, 0)
}

// writeCallNumber writes a call's number into a request. No two calls of a pool have the same
// Request-Id: a sidecar that still works on a call which the client has given up would reject a
// second one with its Request-Id.
func writeCallNumber(request []byte, n int) {
	for at := len(requestStart) + idDigits - 1; at >= len(requestStart); at-- {
		request[at] = byte('0' + n%10)
		n /= 10
	}
}

func (p *pool) close() {
	for _, c := range p.idle {
		c.close()
	}
	p.idle = nil
}

// tally has the outcomes of the calls of some segments.
type tally struct {
	latency         *hdrhistogram.Histogram // of served calls, from their intended moments
	sendLateness    *hdrhistogram.Histogram // from a call's intended moment to its being sent
	receiveLateness *hdrhistogram.Histogram // between the last two polls for a response, which bounds its lateness
	sent            int                     // calls; each is served, rejected or failed
	served          int
	rejected        int
	waited          int   // calls that were due while no connection was idle
	failure         error // of the first call that failed
}

func newTally() *tally {
	return &tally{latency: newHistogram(), sendLateness: newHistogram(), receiveLateness: newHistogram()}
}

// add adds another tally.
func (t *tally) add(o *tally) {
	t.latency.Merge(o.latency)
	t.sendLateness.Merge(o.sendLateness)
	t.receiveLateness.Merge(o.receiveLateness)
	t.sent += o.sent
	t.served += o.served
	t.rejected += o.rejected
	t.waited += o.waited
	if t.failure == nil {
		t.failure = o.failure
	}
}

// fail records why a call failed.
func (t *tally) fail(err error) {
	if t.failure == nil {
		t.failure = err
	}
}

// segment plays a schedule on a pool. It spins: between two calls it polls the connections with a
// call, and allocates nothing, so that its measurements contain neither the wake-up of a timer nor
// the network poller nor garbage collections of this process. It keeps one core busy.
type segment struct {
	pool     *pool
	tally    *tally
	schedule []time.Duration
	start    time.Time
	next     int // of the schedule
	open     []*connection
}

// playSchedule sends the calls of a schedule over a pool and returns when each has its answer or
// has failed.
func playSchedule(ctx context.Context, p *pool, schedule []time.Duration, t *tally) error {
	if err := p.fill(); err != nil {
		return err
	}
	for _, c := range p.idle {
		c.idleSince = 0
	}
	s := &segment{
		pool:     p,
		tally:    t,
		schedule: schedule,
		start:    time.Now().Add(startDelay),
		open:     make([]*connection, 0, p.size),
	}
	for pass := 0; s.next < len(schedule) || len(s.open) > 0; pass++ {
		if pass%passesPerCancelCheck == 0 && ctx.Err() != nil {
			s.abandon()
			return ctx.Err()
		}
		if len(s.open) == 0 && len(p.idle) == 0 {
			return fmt.Errorf("%w: %w", errNoConnections, t.failure)
		}
		s.sendDue()
		s.receiveAll()
	}
	return nil
}

// now returns the time since the segment's start.
func (s *segment) now() time.Duration { return time.Since(s.start) }

// sendDue sends the next call if it is due and a connection is idle, on the one that is idle
// longest.
func (s *segment) sendDue() {
	if s.next == len(s.schedule) {
		return
	}
	intended, now := s.schedule[s.next], s.now()
	if now < intended || len(s.pool.idle) == 0 {
		return
	}
	s.next++
	c := s.pool.idle[0]
	s.pool.idle = s.pool.idle[:copy(s.pool.idle, s.pool.idle[1:])]
	s.tally.sent++
	if c.idleSince > intended {
		s.tally.waited++
	}
	record(s.tally.sendLateness, now-intended)
	s.pool.calls++
	writeCallNumber(c.request, s.pool.calls)
	if err := c.send(intended); err != nil {
		s.tally.fail(err)
		c.close()
		return
	}
	s.open = append(s.open, c)
}

// receiveAll polls each connection with a call once.
func (s *segment) receiveAll() {
	kept := s.open[:0]
	for _, c := range s.open {
		isComplete, err := c.receive()
		now := s.now()
		if err == nil && !isComplete && now-c.intended > callTimeout {
			err = errTimeout
		}
		switch {
		case err != nil:
			s.tally.fail(err)
			c.close()
		case isComplete:
			s.recordResponse(c, now)
			c.idleSince = now
			s.pool.idle = append(s.pool.idle, c)
		default:
			c.polled = now
			kept = append(kept, c)
		}
	}
	s.open = kept
}

// recordResponse records a call whose response is complete.
func (s *segment) recordResponse(c *connection, now time.Duration) {
	if c.isRejected {
		s.tally.rejected++
		return
	}
	s.tally.served++
	record(s.tally.latency, now-c.intended)
	record(s.tally.receiveLateness, now-c.polled)
}

// abandon closes the connections on which a call is open.
func (s *segment) abandon() {
	for _, c := range s.open {
		c.close()
	}
	s.open = nil
}
