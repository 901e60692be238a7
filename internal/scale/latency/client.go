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
	callTimeout          = 5 * time.Second // from the intended send time
	startDelay           = time.Millisecond
	passesPerCancelCheck = 4096 // passes of the polling loop
)

var (
	errTimeout       = errors.New("no answer in time")
	errNoConnections = errors.New("all connections closed")
)

// pool keeps persistent connections to a set of addresses. Between segments, all connections are
// idle.
type pool struct {
	addresses []netip.AddrPort // used in turn
	size      int
	opened    int           // connections opened so far
	calls     int           // calls made so far
	idle      []*connection // longest idle connection first
}

// fill opens connections until the pool has size connections.
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

// newRequest returns the request of a connection, with a placeholder for the call number.
func newRequest() []byte {
	return fmt.Appendf(nil, "%s%0*d\r\n\r\n", requestStart, idDigits, 0)
}

// writeCallNumber writes the number of a call into a request. All calls of a pool have different
// Request-Ids, because a sidecar rejects a request with the Request-Id of a call that the sidecar
// still processes after the call has timed out at the client.
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

// tally collects the outcomes of the calls of segments.
type tally struct {
	latency         *hdrhistogram.Histogram // of served calls, from the intended send time
	sendLateness    *hdrhistogram.Histogram // from the intended to the actual send time
	receiveLateness *hdrhistogram.Histogram // time between the last two polls, which bounds the lateness
	sent            int                     // all calls: served, rejected and failed
	served          int
	rejected        int
	waited          int   // calls that became due while no connection was idle
	failure         error // error of the first failed call
}

func newTally() *tally {
	return &tally{latency: newHistogram(), sendLateness: newHistogram(), receiveLateness: newHistogram()}
}

// add adds the outcomes of another tally.
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

// fail records the error of a failed call. Only the first error is kept.
func (t *tally) fail(err error) {
	if t.failure == nil {
		t.failure = err
	}
}

// segment is the execution of a schedule on a pool. It busy-polls the connections with a call in
// flight and allocates no memory, so that the measurements do not include the wake-up latency of
// timers and of the network poller or garbage collections of this process. A segment keeps one core
// busy.
type segment struct {
	pool     *pool
	tally    *tally
	schedule []time.Duration
	start    time.Time
	next     int // index of the next call in schedule
	inFlight []*connection
}

// playSchedule sends the calls of a schedule over a pool and returns when every call has been
// answered or has failed.
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
		inFlight: make([]*connection, 0, p.size),
	}
	for pass := 0; s.next < len(schedule) || len(s.inFlight) > 0; pass++ {
		if pass%passesPerCancelCheck == 0 && ctx.Err() != nil {
			s.abandon()
			return ctx.Err()
		}
		if len(s.inFlight) == 0 && len(p.idle) == 0 {
			return fmt.Errorf("%w: %w", errNoConnections, t.failure)
		}
		s.sendDue()
		s.receiveAll()
	}
	return nil
}

// now returns the time since the start of the segment.
func (s *segment) now() time.Duration { return time.Since(s.start) }

// sendDue sends the next call if the call is due and a connection is idle. It uses the connection
// that has been idle longest.
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
	s.inFlight = append(s.inFlight, c)
}

// receiveAll polls each connection with a call in flight once.
func (s *segment) receiveAll() {
	kept := s.inFlight[:0]
	for _, c := range s.inFlight {
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
			c.polledAt = now
			kept = append(kept, c)
		}
	}
	s.inFlight = kept
}

// recordResponse records the outcome of a call with a complete response.
func (s *segment) recordResponse(c *connection, now time.Duration) {
	if c.isRejected {
		s.tally.rejected++
		return
	}
	s.tally.served++
	record(s.tally.latency, now-c.intended)
	record(s.tally.receiveLateness, now-c.polledAt)
}

// abandon closes the connections with calls in flight.
func (s *segment) abandon() {
	for _, c := range s.inFlight {
		c.close()
	}
	s.inFlight = nil
}
