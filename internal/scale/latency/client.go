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
	callPatience = 5 * time.Second // from a call's intended moment; then it has failed
	startsAfter  = time.Millisecond
	looksForEnd  = 4096 // passes between two looks whether the run has been called off
)

var (
	errPatience      = errors.New("no answer in time")
	errNoConnections = errors.New("no connection is left")
)

// pool is connections to the same addresses, with no call on any between two segments.
type pool struct {
	addresses []netip.AddrPort // in turn
	size      int
	opened    int           // connections since its beginning
	calls     int           // the same
	idle      []*connection // the one that has rested longest first
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

// newRequest is a connection's request, with room for the number of each call.
func newRequest() []byte {
	return fmt.Appendf(nil, "%s%0*d\r\n\r\n", requestStart, idDigits, 0)
}

// number writes a call's number into a request. No two calls of a pool have one Request-Id: a sidecar that still works on a call which
// another has given up would turn away a second one under its name.
func number(request []byte, n int) {
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

// tally is what came of the calls of some segments.
type tally struct {
	latency     *hdrhistogram.Histogram // of served calls, from their intended moments
	sendLate    *hdrhistogram.Histogram // from a call's intended moment to its being sent
	receiveLate *hdrhistogram.Histogram // between the last two looks for an answer: it was seen at most this much late
	sent        int                     // calls; each is served, refused or failed
	served      int
	refused     int
	waited      int   // calls that were due while no connection was idle
	failure     error // of the first call that failed
}

func newTally() *tally {
	return &tally{latency: newHistogram(), sendLate: newHistogram(), receiveLate: newHistogram()}
}

// add adds another tally.
func (t *tally) add(o *tally) {
	t.latency.Merge(o.latency)
	t.sendLate.Merge(o.sendLate)
	t.receiveLate.Merge(o.receiveLate)
	t.sent += o.sent
	t.served += o.served
	t.refused += o.refused
	t.waited += o.waited
	if t.failure == nil {
		t.failure = o.failure
	}
}

// fail notes a call that gets no answer.
func (t *tally) fail(err error) {
	if t.failure == nil {
		t.failure = err
	}
}

// segment is a schedule that is being played on a pool. It spins: between two moments it asks the open connections for their
// answers, and allocates nothing, so that neither the wake-up of a timer nor the network poller nor the garbage collector
// of this process comes into what it measures. It keeps one core busy while it lasts.
type segment struct {
	pool     *pool
	tally    *tally
	schedule []time.Duration
	start    time.Time
	next     int // of the schedule
	open     []*connection
}

// play sends the calls of a schedule over a pool and returns when each has its answer or has failed.
func play(ctx context.Context, p *pool, schedule []time.Duration, t *tally) error {
	if err := p.fill(); err != nil {
		return err
	}
	for _, c := range p.idle {
		c.freed = 0
	}
	s := &segment{pool: p, tally: t, schedule: schedule, start: time.Now().Add(startsAfter), open: make([]*connection, 0, p.size)}
	for pass := 0; s.next < len(schedule) || len(s.open) > 0; pass++ {
		if pass%looksForEnd == 0 && ctx.Err() != nil {
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

// now is the time since the segment's start.
func (s *segment) now() time.Duration { return time.Since(s.start) }

// sendDue sends the call whose moment has come, if any, on the connection that has rested longest.
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
	if c.freed > intended {
		s.tally.waited++
	}
	record(s.tally.sendLate, now-intended)
	s.pool.calls++
	number(c.request, s.pool.calls)
	if err := c.send(intended); err != nil {
		s.tally.fail(err)
		c.close()
		return
	}
	s.open = append(s.open, c)
}

// receiveAll looks at each open connection once.
func (s *segment) receiveAll() {
	kept := s.open[:0]
	for _, c := range s.open {
		whole, err := c.receive()
		now := s.now()
		if err == nil && !whole && now-c.intended > callPatience {
			err = errPatience
		}
		switch {
		case err != nil:
			s.tally.fail(err)
			c.close()
		case whole:
			s.answered(c, now)
			c.freed = now
			s.pool.idle = append(s.pool.idle, c)
		default:
			c.looked = now
			kept = append(kept, c)
		}
	}
	s.open = kept
}

// answered counts a call whose answer has come whole.
func (s *segment) answered(c *connection, now time.Duration) {
	if c.refused {
		s.tally.refused++
		return
	}
	s.tally.served++
	record(s.tally.latency, now-c.intended)
	record(s.tally.receiveLate, now-c.looked)
}

// abandon closes the connections on which a call is open.
func (s *segment) abandon() {
	for _, c := range s.open {
		c.close()
	}
	s.open = nil
}
