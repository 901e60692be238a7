package node

import (
	"net"
	"sync"
	"testing"
)

// link forwards connections until it is silenced; then it reads and forwards nothing.
type link struct {
	address  string
	to       string
	listener net.Listener
	silent   chan struct{} // closed by silence
	running  sync.WaitGroup

	mu    sync.Mutex
	conns []net.Conn
}

// startLink starts a link to an address.
func startLink(t *testing.T, to string) *link {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	k := &link{address: l.Addr().String(), to: to, listener: l, silent: make(chan struct{})}
	k.running.Go(k.acceptLoop)
	t.Cleanup(k.close)
	return k
}

// acceptLoop forwards connections until the listener is closed.
func (k *link) acceptLoop() {
	for {
		in, err := k.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", k.to)
		if err != nil {
			_ = in.Close()
			continue
		}
		k.mu.Lock()
		k.conns = append(k.conns, in, out)
		k.mu.Unlock()
		k.running.Go(func() { k.forward(in, out) })
		k.running.Go(func() { k.forward(out, in) })
	}
}

// close ends the link and its connections.
func (k *link) close() {
	_ = k.listener.Close()
	k.mu.Lock()
	for _, conn := range k.conns {
		_ = conn.Close()
	}
	k.mu.Unlock()
	k.running.Wait()
}

// silence stops the forwarding. The connections stay open.
func (k *link) silence() { close(k.silent) }

// forward copies bytes from one connection to the other.
func (k *link) forward(from, to net.Conn) {
	defer func() { _ = to.Close() }()
	buffer := make([]byte, 4<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		select {
		case <-k.silent:
			continue
		default:
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}
