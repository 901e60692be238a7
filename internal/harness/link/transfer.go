package link

import (
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"fernlanding/internal/harness/scenario"
)

const (
	chunkBytes      = 16 << 10
	maxQueuedChunks = 16 // in one direction
	slowTicks       = 20 // pieces a second that a slowed link passes
)

// chunk is bytes that are passed on at a time.
type chunk struct {
	data []byte // nil: the end of a direction
	due  time.Time
}

// copyDirection passes on the bytes of one direction, delayed or not at all where faults say so.
func (c *relayedConn) copyDirection(direction string, from, to *net.TCPConn) {
	queue := make(chan chunk, maxQueuedChunks)
	var writer sync.WaitGroup
	writer.Go(func() { c.writeDue(direction, queue, to) })
	defer writer.Wait()
	defer close(queue)
	var lastDue time.Time
	for {
		buffer := make([]byte, chunkBytes)
		n, err := from.Read(buffer)
		if n > 0 {
			c.countRequest(direction)
			due := time.Now().Add(c.delay(direction))
			if due.Before(lastDue) { // bytes keep their order
				due = lastDue
			}
			lastDue = due
			if !c.enqueue(queue, chunk{data: buffer[:n], due: due}) {
				return
			}
		}
		if errors.Is(err, io.EOF) {
			c.enqueue(queue, chunk{due: lastDue})
			return
		}
		if err != nil { // reset, or closed by the harness: the other side sees that too
			c.reset()
			return
		}
	}
}

// delay returns by how much the faults delay bytes of a direction now.
func (c *relayedConn) delay(direction string) time.Duration {
	faults, _ := c.network.activeFaults(c, direction)
	total := time.Duration(0)
	for _, fault := range faults {
		if fault.Kind == scenario.Delay {
			total += fault.Delay + time.Duration(rand.Int64N(int64(fault.Jitter)+1))
		}
	}
	return total
}

// enqueue queues a chunk. It reports false if the connection was closed instead.
func (c *relayedConn) enqueue(queue chan<- chunk, next chunk) bool {
	select {
	case queue <- next:
		return true
	case <-c.done:
		return false
	}
}

// countRequest counts requests by the bytes that come: bytes from the client after a response has
// begun are the next request's.
func (c *relayedConn) countRequest(direction string) {
	if direction == scenario.ToClient {
		c.responseBegun.Store(true)
		return
	}
	isFirst := c.requests.Load() == 0
	if !isFirst && !c.responseBegun.Load() {
		return
	}
	c.responseBegun.Store(false)
	at := time.Now()
	if firstByteAt := c.firstByteAt.Load(); isFirst && firstByteAt != nil {
		at = *firstByteAt
	}
	c.network.watcher.Sent(c.peers, c.serverSideAddr, c.requests.Add(1), at)
}

// writeDue writes the chunks of one direction when they are due, until the queue is closed.
func (c *relayedConn) writeDue(direction string, queue <-chan chunk, to *net.TCPConn) {
	written := int64(0)
	heldBytes := map[int]int{} // that each Hold fault has let pass, by the fault's id
	for next := range queue {
		if !c.sleep(time.Until(next.due)) {
			return
		}
		if next.data == nil {
			if !c.waitUnblocked(direction) {
				return
			}
			_ = to.CloseWrite() // fails only if it is closed
			continue
		}
		if !c.writeChunk(direction, heldBytes, next.data, to) {
			return
		}
		written += int64(len(next.data))
		if direction == scenario.ToClient && c.deliveries {
			c.network.watcher.Delivered(c.peers, c.serverSideAddr, written)
		}
	}
}

// writeChunk writes bytes in the pieces that faults allow. It reports false if the connection was
// closed.
func (c *relayedConn) writeChunk(direction string, heldBytes map[int]int, data []byte, to *net.TCPConn) bool {
	for len(data) > 0 {
		n, pause, ok := c.waitForAllowance(direction, heldBytes, len(data))
		if !ok {
			return false
		}
		if _, err := to.Write(data[:n]); err != nil {
			c.reset()
			return false
		}
		data = data[n:]
		if !c.sleep(pause) {
			return false
		}
	}
	return true
}

// waitForAllowance waits until bytes may pass. It returns how many of wanted may pass at once, and
// how long to pause after them. ok is false if the connection was closed.
func (c *relayedConn) waitForAllowance(
	direction string, heldBytes map[int]int, wanted int,
) (n int, pause time.Duration, ok bool) {
	for {
		faults, changed := c.network.activeFaults(c, direction)
		n, pause := allowance(faults, heldBytes, wanted)
		if n > 0 {
			for _, fault := range faults {
				if fault.Kind == scenario.Hold {
					heldBytes[fault.id] += n
				}
			}
			return n, pause, true
		}
		select {
		case <-changed:
		case <-c.done:
			return 0, 0, false
		}
	}
}

// allowance returns how many of wanted bytes may pass under faults, and how long to pause after
// them.
func allowance(faults []activeFault, heldBytes map[int]int, wanted int) (n int, pause time.Duration) {
	n = wanted
	for _, fault := range faults {
		switch fault.Kind {
		case scenario.Cut, scenario.OneWay:
			n = 0
		case scenario.Hold:
			n = min(n, max(fault.Bytes-heldBytes[fault.id], 0))
		case scenario.Slow:
			n = min(n, max(fault.Rate/slowTicks, 1))
			pause = max(pause, time.Duration(n)*time.Second/time.Duration(fault.Rate))
		default: // the others do not hold bytes back here
		}
	}
	return n, pause
}

// waitUnblocked waits until no fault blocks a direction. It reports false if the connection was
// closed.
func (c *relayedConn) waitUnblocked(direction string) bool {
	_, _, ok := c.waitForAllowance(direction, map[int]int{}, 1)
	return ok
}

// sleep waits for a duration. It reports false if the connection was closed meanwhile.
func (c *relayedConn) sleep(d time.Duration) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-c.done:
		return false
	}
}
