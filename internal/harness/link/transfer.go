package link

import (
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"fernlanding/internal/harness/scenario"
	"fernlanding/internal/socket"
)

const (
	chunkBytes      = 16 << 10
	maxQueuedChunks = 16 // chunks queued in one direction of a connection
	slowTicks       = 20 // writes per second into which a Slow fault divides its rate
)

// chunk is a sequence of bytes that is forwarded as a unit.
type chunk struct {
	data []byte    // nil means the end of the direction
	due  time.Time // time at which the chunk may be written
}

// copyDirection forwards the bytes of one direction. It delays them and holds them back as the
// active faults demand.
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
			if due.Before(lastDue) { // keeps the bytes in order
				due = lastDue
			}
			lastDue = due
			if c.madeDuringCut && c.takenBack(direction) || !c.enqueue(queue, chunk{data: buffer[:n], due: due}) {
				return
			}
		}
		if errors.Is(err, io.EOF) {
			c.enqueue(queue, chunk{due: lastDue})
			return
		}
		if err != nil { // a reset, or a close by the harness, is propagated to the other side
			c.reset()
			return
		}
	}
}

// delay returns the delay that the active faults impose on bytes of a direction.
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

// enqueue queues a chunk. It reports false if the connection is closed before there is room.
func (c *relayedConn) enqueue(queue chan<- chunk, next chunk) bool {
	select {
	case queue <- next:
		return true
	case <-c.done:
		return false
	}
}

// countRequest is called for the bytes that arrive in a direction and counts requests. The first
// bytes from the client, and the first bytes from the client after a response has begun, start a
// new request.
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

// writeDue writes each chunk of one direction when it is due. It returns when the queue or the
// connection is closed.
func (c *relayedConn) writeDue(direction string, queue <-chan chunk, to *net.TCPConn) {
	written := int64(0)
	passedBytes := map[int]int{} // bytes that each Hold fault has let pass, by the fault's ID
	for next := range queue {
		if !c.sleep(time.Until(next.due)) {
			return
		}
		if next.data == nil {
			if !c.waitUnblocked(direction) {
				return
			}
			_ = to.CloseWrite() // fails only if the connection is closed
			continue
		}
		if !c.writeChunk(direction, passedBytes, next.data, to) {
			return
		}
		written += int64(len(next.data))
		if direction == scenario.ToClient && c.deliveries {
			c.network.watcher.Delivered(c.peers, c.serverSideAddr, written)
		}
	}
}

// writeChunk writes data in pieces of the sizes that the active faults allow. It reports false if
// the connection was closed.
func (c *relayedConn) writeChunk(direction string, passedBytes map[int]int, data []byte, to *net.TCPConn) bool {
	for len(data) > 0 {
		n, pause, ok := c.waitForAllowance(direction, passedBytes, len(data))
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

// waitForAllowance waits until the active faults let bytes pass. It returns how many of wanted
// bytes may pass at once and the pause after them. ok is false if the connection was closed.
func (c *relayedConn) waitForAllowance(
	direction string, passedBytes map[int]int, wanted int,
) (n int, pause time.Duration, ok bool) {
	for {
		faults, changed := c.network.activeFaults(c, direction)
		n, pause := allowance(faults, passedBytes, wanted)
		if n > 0 {
			for _, fault := range faults {
				if fault.Kind == scenario.Hold {
					passedBytes[fault.id] += n
				}
			}
			return n, pause, true
		}
		select {
		case <-changed:
		case <-c.done:
			return 0, 0, false
		}
		if c.takenBack(direction) {
			return 0, 0, false
		}
	}
}

// takenBack is called for bytes that a fault has held back. It reports whether the client has reset
// the connection since, and resets both connections then. The kernel of a client whose bytes do not
// pass still holds them and discards them at a reset; here the kernel of the relay has them.
func (c *relayedConn) takenBack(direction string) bool {
	if direction != scenario.ToServer || !socket.IsReset(c.client) {
		return false
	}
	c.reset()
	return true
}

// allowance returns how many of wanted bytes may pass at once under the given faults, and the pause
// after them.
func allowance(faults []activeFault, passedBytes map[int]int, wanted int) (n int, pause time.Duration) {
	n = wanted
	for _, fault := range faults {
		switch fault.Kind {
		case scenario.Cut, scenario.OneWay:
			n = 0
		case scenario.Hold:
			n = min(n, max(fault.Bytes-passedBytes[fault.id], 0))
		case scenario.Slow:
			n = min(n, max(fault.Rate/slowTicks, 1))
			pause = max(pause, time.Duration(n)*time.Second/time.Duration(fault.Rate))
		default: // the other kinds do not restrict writes
		}
	}
	return n, pause
}

// waitUnblocked waits until the active faults let at least one byte of a direction pass. It reports
// false if the connection was closed.
func (c *relayedConn) waitUnblocked(direction string) bool {
	_, _, ok := c.waitForAllowance(direction, map[int]int{}, 1)
	return ok
}

// sleep waits for d. It reports false if the connection was closed in the meantime.
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
