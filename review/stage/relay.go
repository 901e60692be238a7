package main

import (
	"net"
	"sync"
	"syscall"
	"time"
)

// Relay is the network before one backend's machine. While it is cut off, open connections stay
// open and silent and new ones never come up (PROTOCOL, "The network"). When it is back, an open
// connection goes on: what its sender's system still holds arrives, and then the end, if the sender
// has closed in order. A sender that has reset its connection holds nothing any more, so nothing of
// it arrives.
type Relay struct {
	Addr   string
	target string
	ln     *net.TCPListener

	mu   sync.Mutex
	open chan struct{} // closed while bytes pass
	cuts int           // how often it was cut off so far
	fill []net.Conn    // connections that fill the queue of the listener
}

func newRelay(target string) *Relay {
	r := &Relay{target: target, ln: must(net.Listen("tcp", "127.0.0.1:0")).(*net.TCPListener), open: make(chan struct{})}
	close(r.open)
	r.Addr = r.ln.Addr().String()
	go r.accept()
	return r
}

// gate returns a channel that is closed while bytes pass, and the number of cuts so far.
func (r *Relay) gate() (<-chan struct{}, int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.open, r.cuts
}

// isOpen reports whether bytes pass.
func isOpen(gate <-chan struct{}) bool {
	select {
	case <-gate:
		return true
	default:
		return false
	}
}

func (r *Relay) accept() {
	for {
		gate, _ := r.gate()
		<-gate
		c, err := r.ln.AcceptTCP()
		if err != nil {
			time.Sleep(time.Millisecond) // interrupted by cut
			continue
		}
		if gate, _ := r.gate(); !isOpen(gate) {
			reset(c) // it came up in the moment of the cut
			continue
		}
		go r.carry(c)
	}
}

func (r *Relay) carry(c *net.TCPConn) {
	b, err := net.Dial("tcp", r.target)
	if err != nil {
		reset(c)
		return
	}
	backend := b.(*net.TCPConn)
	go r.pump(c, backend)
	r.pump(backend, c)
}

// pump moves bytes from one side to the other, and the end of the stream behind them.
func (r *Relay) pump(from, to *net.TCPConn) {
	buf := make([]byte, 64<<10)
	for {
		n, err := from.Read(buf)
		if gate, _ := r.gate(); !isOpen(gate) {
			<-gate
			if socketError(from) != nil {
				n, err = 0, syscall.ECONNRESET
			}
		}
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				reset(from)
				return
			}
		}
		switch {
		case err == nil:
		case isEnd(err):
			_ = to.CloseWrite()
			return
		default:
			reset(to)
			return
		}
	}
}

func isEnd(err error) bool { return err.Error() == "EOF" }

// socketError returns the error that the kernel holds for a connection: a reset by its peer.
func socketError(c *net.TCPConn) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	code := 0
	ctlErr := raw.Control(func(fd uintptr) { code, err = syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_ERROR) })
	switch {
	case ctlErr != nil:
		return ctlErr
	case err != nil:
		return err
	case code != 0:
		return syscall.Errno(code)
	}
	return nil
}

func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// cut cuts the machine off.
func (r *Relay) cut() {
	r.mu.Lock()
	r.open = make(chan struct{})
	r.cuts++
	r.mu.Unlock()
	_ = r.ln.SetDeadline(time.Unix(1, 0)) // accept waits for the end of the cut
	r.backlog(0)
	// With its queue full, the kernel answers no new connection.
	for range 4 {
		c, err := net.DialTimeout("tcp", r.Addr, 50*time.Millisecond)
		if err != nil {
			break
		}
		r.fill = append(r.fill, c)
	}
}

// back ends the cut. Connections that came up during it are reset.
func (r *Relay) back() {
	for _, c := range r.fill {
		_ = c.Close()
	}
	r.fill = nil
	for {
		_ = r.ln.SetDeadline(time.Now().Add(20 * time.Millisecond))
		c, err := r.ln.AcceptTCP()
		if err != nil {
			break
		}
		reset(c)
	}
	r.backlog(128)
	_ = r.ln.SetDeadline(time.Time{})
	r.mu.Lock()
	close(r.open)
	r.mu.Unlock()
}

func (r *Relay) backlog(n int) {
	raw := must(r.ln.SyscallConn())
	must(0, raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), n) }))
}
