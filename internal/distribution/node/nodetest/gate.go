package nodetest

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"
)

// FaultProxy forwards TCP connections to an address, and injects faults: it can break them, or let them
// fall silent. It is safe for concurrent use.
type FaultProxy struct {
	Address  string
	target   string
	listener net.Listener
	running  sync.WaitGroup
	carried  atomic.Int64

	mu           sync.Mutex
	state        gateState
	stateChanged chan struct{} // closed when the state changes, and replaced
	conns        map[net.Conn]bool
	accepted     int
}

// gateState is what a Gate does with connections.
type gateState int

const (
	gateOpen gateState = iota
	gateCut
	gateStalled
	gateEnded
)

// closesConns reports whether connections are closed in this state.
func (s gateState) closesConns() bool { return s == gateCut || s == gateEnded }

// copyBufferBytes is how much of a connection is copied at a time.
const copyBufferBytes = 16 << 10

// NewFaultProxy starts a gate to an address, which ends with the test.
func NewFaultProxy(tb testing.TB, target string) *FaultProxy {
	tb.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	g := &FaultProxy{
		Address:      listener.Addr().String(),
		target:       target,
		listener:     listener,
		stateChanged: make(chan struct{}),
		conns:        make(map[net.Conn]bool),
	}
	g.running.Go(g.acceptLoop)
	tb.Cleanup(func() {
		_ = listener.Close()
		g.setState(gateEnded)
		g.running.Wait()
	})
	return g
}

// Disconnect closes all connections, and closes further ones at once.
func (g *FaultProxy) Disconnect() { g.setState(gateCut) }

// Stall leaves connections open and forwards nothing.
func (g *FaultProxy) Stall() { g.setState(gateStalled) }

// Resume forwards connections again.
func (g *FaultProxy) Resume() { g.setState(gateOpen) }

// AcceptedConns returns the number of connections so far.
func (g *FaultProxy) AcceptedConns() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.accepted
}

// ForwardedBytes returns the number of bytes forwarded so far, in both directions.
func (g *FaultProxy) ForwardedBytes() int64 { return g.carried.Load() }

// setState changes the state, for open connections too.
func (g *FaultProxy) setState(state gateState) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.state = state
	close(g.stateChanged)
	g.stateChanged = make(chan struct{})
	if state.closesConns() {
		for conn := range g.conns {
			_ = conn.Close()
		}
	}
}

// awaitOpen waits while the gate is stalled, and reports whether it is open then.
func (g *FaultProxy) awaitOpen() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for g.state == gateStalled {
		stateChanged := g.stateChanged
		g.mu.Unlock()
		<-stateChanged
		g.mu.Lock()
	}
	return g.state == gateOpen
}

// acceptLoop forwards connections until the listener is closed.
func (g *FaultProxy) acceptLoop() {
	for {
		conn, err := g.listener.Accept()
		if err != nil {
			return
		}
		g.running.Go(func() { g.forward(conn) })
	}
}

// forward forwards a connection until either end or the gate closes it.
func (g *FaultProxy) forward(client net.Conn) {
	defer func() { _ = client.Close() }()
	g.mu.Lock()
	g.accepted++
	g.mu.Unlock()
	if !g.register(client) {
		return
	}
	defer g.unregister(client)
	server, err := net.Dial("tcp", g.target)
	if err != nil {
		return
	}
	defer func() { _ = server.Close() }()
	if !g.register(server) {
		return
	}
	defer g.unregister(server)
	var responses sync.WaitGroup
	responses.Go(func() { g.copy(client, server) })
	g.copy(server, client)
	responses.Wait()
}

// register has a connection closed when the gate is cut. It returns false if it is cut already.
func (g *FaultProxy) register(conn net.Conn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.state.closesConns() {
		return false
	}
	g.conns[conn] = true
	return true
}

// unregister forgets a connection.
func (g *FaultProxy) unregister(conn net.Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.conns, conn)
}

// copy copies bytes while the gate is open, and closes both connections when one has ended.
func (g *FaultProxy) copy(to, from net.Conn) {
	defer func() { _ = to.Close() }()
	defer func() { _ = from.Close() }()
	buffer := make([]byte, copyBufferBytes)
	for {
		n, readErr := from.Read(buffer)
		if !g.awaitOpen() {
			return
		}
		g.carried.Add(int64(n))
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
		if readErr != nil {
			return
		}
	}
}
