package link

import (
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"fernlanding/internal/harness/scenario"
)

// relayedConn is one connection through a relay: the one that was taken and the one that goes on.
type relayedConn struct {
	network        *Network
	peers          Peers
	group          string
	deliveries     bool
	client         *net.TCPConn
	serverSideAddr string                    // of its far side, as the process there sees it
	requests       atomic.Int64              // requests so far
	responseBegun  atomic.Bool               // something has come back since the last request began
	firstByteAt    atomic.Pointer[time.Time] // the first byte, of a connection that was made while its link was cut; nil: not before it was read

	mu     sync.Mutex
	server *net.TCPConn
	closed bool
	done   chan struct{} // closed with the connection
}

func (p *relayedConn) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.closed {
		p.closed = true
		close(p.done)
	}
	p.client.Close()
	if p.server != nil {
		p.server.Close()
	}
}

// reset ends both sides as a process that dies does.
func (p *relayedConn) reset() {
	p.mu.Lock()
	_ = p.client.SetLinger(0)
	if p.server != nil {
		_ = p.server.SetLinger(0)
	}
	p.mu.Unlock()
	p.close()
}

// halfClose closes one direction.
func (p *relayedConn) halfClose(way string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if way == scenario.ToClient {
		_ = p.client.CloseWrite()
	} else if p.server != nil {
		_ = p.server.CloseWrite()
	}
}

// chunk is bytes on their way; none: the end of a direction.
type chunk struct {
	data []byte
	due  time.Time
}

// copyDirection hands on one direction, later or not at all where faults say so.
func (p *relayedConn) copyDirection(way string, from, to *net.TCPConn) {
	ahead := make(chan chunk, maxQueuedChunks)
	var writer sync.WaitGroup
	writer.Go(func() { p.writeDue(way, ahead, to) })
	defer writer.Wait()
	defer close(ahead)
	var last time.Time
	for {
		buf := make([]byte, chunkBytes)
		n, err := from.Read(buf)
		if n > 0 {
			p.countRequest(way)
			due := time.Now()
			rules, _ := p.network.activeFaults(p, way)
			for _, r := range rules {
				if r.Kind == scenario.Delay {
					due = due.Add(r.Delay + time.Duration(rand.Int64N(int64(r.Jitter)+1)))
				}
			}
			if due.Before(last) { // bytes keep their order
				due = last
			}
			last = due
			if !p.enqueue(ahead, chunk{buf[:n], due}) {
				return
			}
		}
		switch {
		case err == nil:
		case errors.Is(err, io.EOF):
			p.enqueue(ahead, chunk{nil, last})
			return
		default: // reset, or closed by us: the other side is to see that too
			p.reset()
			return
		}
	}
}

func (p *relayedConn) enqueue(ahead chan<- chunk, c chunk) bool {
	select {
	case ahead <- c:
		return true
	case <-p.done:
		return false
	}
}

// countRequest counts requests: bytes that come after an answer has begun are the next one's.
func (p *relayedConn) countRequest(way string) {
	if way == scenario.ToClient {
		p.responseBegun.Store(true)
	} else if n := p.requests.Load(); n == 0 || p.responseBegun.Load() {
		p.responseBegun.Store(false)
		at := time.Now()
		if came := p.firstByteAt.Load(); n == 0 && came != nil {
			at = *came
		}
		p.network.watcher.Sent(p.peers, p.serverSideAddr, p.requests.Add(1), at)
	}
}

// awaitFirstByte notes when the first byte comes from whoever made the connection, and reads none. It ends with the connection.
func (p *relayedConn) awaitFirstByte() {
	raw, err := p.client.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		if now := time.Now(); err == nil && n > 0 {
			p.firstByteAt.Store(&now)
		}
		return !errors.Is(err, syscall.EAGAIN)
	})
}

// writeDue writes what is due.
func (p *relayedConn) writeDue(way string, ahead <-chan chunk, to *net.TCPConn) {
	wrote := int64(0)
	held := map[int]int{} // bytes that each holding fault has let pass
	for c := range ahead {
		if !p.sleep(time.Until(c.due)) {
			return
		}
		if c.data == nil {
			if !p.waitUnblocked(way) {
				return
			}
			_ = to.CloseWrite()
			continue
		}
		for len(c.data) > 0 {
			n, rest, ok := p.waitForAllowance(way, held, len(c.data))
			if !ok {
				return
			}
			if _, err := to.Write(c.data[:n]); err != nil {
				p.reset()
				return
			}
			c.data = c.data[n:]
			wrote += int64(n)
			if !p.sleep(rest) {
				return
			}
		}
		if way == scenario.ToClient && p.deliveries {
			p.network.watcher.Delivered(p.peers, p.serverSideAddr, wrote)
		}
	}
}

// waitForAllowance waits until bytes may pass and says how many may, and how long it is until more may.
func (p *relayedConn) waitForAllowance(way string, held map[int]int, want int) (n int, rest time.Duration, ok bool) {
	for {
		rules, changed := p.network.activeFaults(p, way)
		n, rest = want, 0
		for _, r := range rules {
			switch r.Kind {
			case scenario.Cut, scenario.OneWay:
				n = 0
			case scenario.Hold:
				n = min(n, max(r.Bytes-held[r.id], 0))
			case scenario.Slow:
				n = min(n, max(r.Rate/slowTicks, 1))
				rest = max(rest, time.Duration(n)*time.Second/time.Duration(r.Rate))
			}
		}
		if n > 0 {
			for _, r := range rules {
				if r.Kind == scenario.Hold {
					held[r.id] += n
				}
			}
			return n, rest, true
		}
		select {
		case <-changed:
		case <-p.done:
			return 0, 0, false
		}
	}
}

const slowTicks = 20 // pieces a second that a slowed link passes

// waitUnblocked waits until nothing blocks a direction.
func (p *relayedConn) waitUnblocked(way string) bool {
	_, _, ok := p.waitForAllowance(way, map[int]int{}, 1)
	return ok
}

func (p *relayedConn) sleep(d time.Duration) bool {
	if d <= 0 {
		return true
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-p.done:
		return false
	}
}
