package node

import (
	"net"
	"sync"
	"testing"
)

// forwarder forwards connections until it is stalled. From then on it discards what it reads.
type forwarder struct {
	address  string
	target   string
	listener net.Listener
	stalled  chan struct{} // closed by stall
	running  sync.WaitGroup

	mu    sync.Mutex
	conns []net.Conn
}

// startForwarder starts a forwarder to the address target.
func startForwarder(t *testing.T, target string) *forwarder {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &forwarder{address: l.Addr().String(), target: target, listener: l, stalled: make(chan struct{})}
	f.running.Go(f.acceptLoop)
	t.Cleanup(f.close)
	return f
}

// acceptLoop forwards connections until the listener is closed.
func (f *forwarder) acceptLoop() {
	for {
		in, err := f.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", f.target)
		if err != nil {
			_ = in.Close()
			continue
		}
		f.mu.Lock()
		f.conns = append(f.conns, in, out)
		f.mu.Unlock()
		f.running.Go(func() { f.forward(in, out) })
		f.running.Go(func() { f.forward(out, in) })
	}
}

// close ends the forwarder and its connections.
func (f *forwarder) close() {
	_ = f.listener.Close()
	f.mu.Lock()
	for _, conn := range f.conns {
		_ = conn.Close()
	}
	f.mu.Unlock()
	f.running.Wait()
}

// stall stops the forwarding. The connections stay open.
func (f *forwarder) stall() { close(f.stalled) }

// forward copies bytes from one connection to the other.
func (f *forwarder) forward(from, to net.Conn) {
	defer func() { _ = to.Close() }()
	buffer := make([]byte, 4<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		select {
		case <-f.stalled:
			continue
		default:
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}
