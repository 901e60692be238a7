package http1

import (
	"sync"
	"time"
)

const (
	// rejectionsPerSecond bounds the responses to invalid requests, for each core of the process. A
	// client that sends invalid requests as fast as they are rejected would otherwise take the
	// processor time of valid requests.
	rejectionsPerSecond = 400
	rejectionBurst      = 50 // responses that are not delayed after a quiet time

	// maxRejectionDelay bounds the delay of a response, since the client has to get its response or
	// a close within 3 s of connecting.
	maxRejectionDelay = time.Second

	// acceptBatch is how many connections are accepted in an acceptInterval, for each core of the
	// process. The goroutine of a new connection runs before those whose sockets have become
	// readable, so without a pause a stream of new connections would delay all others.
	acceptBatch    = 4
	acceptInterval = time.Millisecond

	// unforwardedInterval is the pause of a connection after a response without an attempt, such as
	// to a shed request. It bounds the processor time that a client takes that sends such requests
	// as fast as they are answered.
	unforwardedInterval = 2 * time.Millisecond
)

// rejectionPacer delays the responses to invalid requests if there are too many. It is safe for
// concurrent use.
type rejectionPacer struct {
	interval time.Duration // between two responses, in the mean
	burst    time.Duration // how far responses may be ahead of the mean
	maxDelay time.Duration

	mu   sync.Mutex
	next time.Time // when the next response is due without a burst
}

// newRejectionPacer returns a pacer for a process with a number of cores.
func newRejectionPacer(cores int) *rejectionPacer {
	interval := time.Second / time.Duration(rejectionsPerSecond*cores)
	return &rejectionPacer{interval: interval, burst: rejectionBurst * interval, maxDelay: maxRejectionDelay}
}

// delay counts a response and returns how long it has to wait.
func (p *rejectionPacer) delay(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if earliest := now.Add(-p.burst); p.next.Before(earliest) {
		p.next = earliest
	}
	wait := p.next.Sub(now)
	if wait >= p.maxDelay { // others wait as long: a longer queue would only delay the end of all
		return p.maxDelay
	}
	p.next = p.next.Add(p.interval)
	return max(0, wait)
}

// acceptPacer delays the acceptance of connections if there are too many at once. It is not safe for
// concurrent use.
type acceptPacer struct {
	batch    int
	began    time.Time // beginning of the current interval
	accepted int       // connections accepted in the interval
}

// delay counts an accepted connection and returns how long the next one has to wait.
func (p *acceptPacer) delay(now time.Time) time.Duration {
	if now.Sub(p.began) >= acceptInterval {
		p.began, p.accepted = now, 0
	}
	p.accepted++
	if p.accepted < p.batch {
		return 0
	}
	p.accepted = 0
	p.began = now.Add(acceptInterval)
	return acceptInterval
}

// pause waits and reports whether the connection is still open afterwards.
func (c *clientConn) pause(wait time.Duration) bool {
	if wait <= 0 {
		return true
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-c.closed:
		return false
	}
}
