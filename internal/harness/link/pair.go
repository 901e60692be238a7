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

// pair is one connection through a relay: the one that was taken and the one that goes on.
type pair struct {
	net        *Net
	ends       Ends
	group      string
	deliveries bool
	in         *net.TCPConn
	name       string                    // of its far side, as the process there sees it
	asked      atomic.Int64              // requests so far
	answered   atomic.Bool               // something has come back since the last request began
	came       atomic.Pointer[time.Time] // the first byte, of a connection that was made while its link was cut; nil: not before it was read

	mu   sync.Mutex
	out  *net.TCPConn
	shut bool
	over chan struct{} // closed with the connection
}

func (p *pair) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.shut {
		p.shut = true
		close(p.over)
	}
	p.in.Close()
	if p.out != nil {
		p.out.Close()
	}
}

// reset ends both sides as a process that dies does.
func (p *pair) reset() {
	p.mu.Lock()
	_ = p.in.SetLinger(0)
	if p.out != nil {
		_ = p.out.SetLinger(0)
	}
	p.mu.Unlock()
	p.close()
}

// half closes one direction.
func (p *pair) half(way string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if way == scenario.Back {
		_ = p.in.CloseWrite()
	} else if p.out != nil {
		_ = p.out.CloseWrite()
	}
}

// chunk is bytes on their way; none: the end of a direction.
type chunk struct {
	data []byte
	due  time.Time
}

// carry hands on one direction, later or not at all where faults say so.
func (p *pair) carry(way string, from, to *net.TCPConn) {
	ahead := make(chan chunk, relayAhead)
	var writer sync.WaitGroup
	writer.Go(func() { p.write(way, ahead, to) })
	defer writer.Wait()
	defer close(ahead)
	var last time.Time
	for {
		buf := make([]byte, relayBuffer)
		n, err := from.Read(buf)
		if n > 0 {
			p.note(way)
			due := time.Now()
			rules, _ := p.net.now(p, way)
			for _, r := range rules {
				if r.Kind == scenario.Delay {
					due = due.Add(r.Delay + time.Duration(rand.Int64N(int64(r.More)+1)))
				}
			}
			if due.Before(last) { // bytes keep their order
				due = last
			}
			last = due
			if !p.push(ahead, chunk{buf[:n], due}) {
				return
			}
		}
		switch {
		case err == nil:
		case errors.Is(err, io.EOF):
			p.push(ahead, chunk{nil, last})
			return
		default: // reset, or closed by us: the other side is to see that too
			p.reset()
			return
		}
	}
}

func (p *pair) push(ahead chan<- chunk, c chunk) bool {
	select {
	case ahead <- c:
		return true
	case <-p.over:
		return false
	}
}

// note counts requests: bytes that come after an answer has begun are the next one's.
func (p *pair) note(way string) {
	if way == scenario.Back {
		p.answered.Store(true)
	} else if n := p.asked.Load(); n == 0 || p.answered.Load() {
		p.answered.Store(false)
		at := time.Now()
		if came := p.came.Load(); n == 0 && came != nil {
			at = *came
		}
		p.net.watch.Sent(p.ends, p.name, p.asked.Add(1), at)
	}
}

// await notes when the first byte comes from whoever made the connection, and reads none. It ends with the connection.
func (p *pair) await() {
	raw, err := p.in.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		if now := time.Now(); err == nil && n > 0 {
			p.came.Store(&now)
		}
		return !errors.Is(err, syscall.EAGAIN)
	})
}

// write writes what is due.
func (p *pair) write(way string, ahead <-chan chunk, to *net.TCPConn) {
	wrote := int64(0)
	held := map[int]int{} // bytes that each holding fault has let pass
	for c := range ahead {
		if !p.wait(time.Until(c.due)) {
			return
		}
		if c.data == nil {
			if !p.clear(way) {
				return
			}
			_ = to.CloseWrite()
			continue
		}
		for len(c.data) > 0 {
			n, rest, ok := p.pass(way, held, len(c.data))
			if !ok {
				return
			}
			if _, err := to.Write(c.data[:n]); err != nil {
				p.reset()
				return
			}
			c.data = c.data[n:]
			wrote += int64(n)
			if !p.wait(rest) {
				return
			}
		}
		if way == scenario.Back && p.deliveries {
			p.net.watch.Delivered(p.ends, p.name, wrote)
		}
	}
}

// pass waits until bytes may pass and says how many may, and how long it is until more may.
func (p *pair) pass(way string, held map[int]int, want int) (n int, rest time.Duration, ok bool) {
	for {
		rules, changed := p.net.now(p, way)
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
		case <-p.over:
			return 0, 0, false
		}
	}
}

const slowTicks = 20 // pieces a second that a slowed link passes

// clear waits until nothing blocks a direction.
func (p *pair) clear(way string) bool {
	_, _, ok := p.pass(way, map[int]int{}, 1)
	return ok
}

func (p *pair) wait(d time.Duration) bool {
	if d <= 0 {
		return true
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-p.over:
		return false
	}
}
