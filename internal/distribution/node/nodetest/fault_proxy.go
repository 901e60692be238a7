package nodetest

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"
)

// FaultProxy forwards TCP connections to an address and injects faults: it can close connections,
// and it can stop forwarding while the connections stay open. It is safe for concurrent use.
type FaultProxy struct {
	Address        string
	target         string
	listener       net.Listener
	running        sync.WaitGroup
	forwardedBytes atomic.Int64

	mu            sync.Mutex
	state         faultState
	stateChanged  chan struct{} // closed and replaced when the state changes
	conns         map[net.Conn]bool
	acceptedConns int
}

// faultState determines how a FaultProxy treats connections.
type faultState int

const (
	stateForwarding faultState = iota
	stateDisconnected
	stateStalled
	stateClosed
)

// closesConns reports whether connections are closed in this state.
func (s faultState) closesConns() bool { return s == stateDisconnected || s == stateClosed }

// copyBufferBytes is the size of the buffer with which the bytes of a connection are copied.
const copyBufferBytes = 16 << 10

// NewFaultProxy starts a proxy to the address target. The proxy ends with the test.
func NewFaultProxy(tb testing.TB, target string) *FaultProxy {
	tb.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	p := &FaultProxy{
		Address:      listener.Addr().String(),
		target:       target,
		listener:     listener,
		stateChanged: make(chan struct{}),
		conns:        make(map[net.Conn]bool),
	}
	p.running.Go(p.acceptLoop)
	tb.Cleanup(func() {
		_ = listener.Close()
		p.setState(stateClosed)
		p.running.Wait()
	})
	return p
}

// Disconnect closes all connections. Further connections are closed at once.
func (p *FaultProxy) Disconnect() { p.setState(stateDisconnected) }

// Stall leaves connections open and forwards nothing.
func (p *FaultProxy) Stall() { p.setState(stateStalled) }

// Resume forwards connections again.
func (p *FaultProxy) Resume() { p.setState(stateForwarding) }

// AcceptedConns returns the number of connections accepted so far.
func (p *FaultProxy) AcceptedConns() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.acceptedConns
}

// ForwardedBytes returns the number of bytes forwarded so far, in both directions.
func (p *FaultProxy) ForwardedBytes() int64 { return p.forwardedBytes.Load() }

// setState changes the state, which applies to open connections too.
func (p *FaultProxy) setState(state faultState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state = state
	close(p.stateChanged)
	p.stateChanged = make(chan struct{})
	if state.closesConns() {
		for conn := range p.conns {
			_ = conn.Close()
		}
	}
}

// awaitForwarding waits while the proxy is stalled, and reports whether the proxy then forwards.
func (p *FaultProxy) awaitForwarding() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.state == stateStalled {
		stateChanged := p.stateChanged
		p.mu.Unlock()
		<-stateChanged
		p.mu.Lock()
	}
	return p.state == stateForwarding
}

// acceptLoop forwards connections until the listener is closed.
func (p *FaultProxy) acceptLoop() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.running.Go(func() { p.forward(conn) })
	}
}

// forward forwards a connection until either end or the proxy closes it.
func (p *FaultProxy) forward(client net.Conn) {
	defer func() { _ = client.Close() }()
	p.mu.Lock()
	p.acceptedConns++
	p.mu.Unlock()
	if !p.register(client) {
		return
	}
	defer p.unregister(client)
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer func() { _ = server.Close() }()
	if !p.register(server) {
		return
	}
	defer p.unregister(server)
	var responses sync.WaitGroup
	responses.Go(func() { p.copy(client, server) })
	p.copy(server, client)
	responses.Wait()
}

// register adds a connection to those that Disconnect closes. It returns false if the proxy is in a
// state that closes connections.
func (p *FaultProxy) register(conn net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.state.closesConns() {
		return false
	}
	p.conns[conn] = true
	return true
}

// unregister removes a connection that has ended.
func (p *FaultProxy) unregister(conn net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, conn)
}

// copy copies bytes while the proxy forwards, and closes both connections when one has ended.
func (p *FaultProxy) copy(to, from net.Conn) {
	defer func() { _ = to.Close() }()
	defer func() { _ = from.Close() }()
	buffer := make([]byte, copyBufferBytes)
	for {
		n, readErr := from.Read(buffer)
		if !p.awaitForwarding() {
			return
		}
		p.forwardedBytes.Add(int64(n))
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
		if readErr != nil {
			return
		}
	}
}
