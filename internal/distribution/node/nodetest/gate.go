package nodetest

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"
)

// Gate passes connections on to an address. It can break them, or let them fall silent.
type Gate struct {
	Address  string
	target   string
	listener net.Listener
	parts    sync.WaitGroup
	carried  atomic.Int64

	mu       sync.Mutex
	state    gateState
	moved    chan struct{} // closed when the state changes, and made anew
	conns    map[net.Conn]bool
	accepted int
}

// gateState is what a Gate does with connections.
type gateState int

const (
	gateOpen gateState = iota
	gateCut
	gateStalled
	gateEnded
)

// NewGate starts a gate before an address, until the test ends.
func NewGate(t testing.TB, target string) *Gate {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	g := &Gate{Address: listener.Addr().String(), target: target, listener: listener, moved: make(chan struct{}), conns: map[net.Conn]bool{}}
	g.parts.Go(g.serve)
	t.Cleanup(func() {
		_ = listener.Close()
		g.set(gateEnded)
		g.parts.Wait()
	})
	return g
}

// Cut breaks all connections, and further ones at once.
func (g *Gate) Cut() { g.set(gateCut) }

// Stall lets connections stay open and carries nothing.
func (g *Gate) Stall() { g.set(gateStalled) }

// Open carries again what connections have left.
func (g *Gate) Open() { g.set(gateOpen) }

// Accepted is how many connections have come.
func (g *Gate) Accepted() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.accepted
}

// Carried is how many bytes have been passed on, both ways together.
func (g *Gate) Carried() int64 { return g.carried.Load() }

func (g *Gate) set(state gateState) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.state = state
	close(g.moved)
	g.moved = make(chan struct{})
	if state == gateCut || state == gateEnded {
		for conn := range g.conns {
			_ = conn.Close()
		}
	}
}

// pass waits until a stalled gate opens, and tells whether it carries.
func (g *Gate) pass() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for g.state == gateStalled {
		moved := g.moved
		g.mu.Unlock()
		<-moved
		g.mu.Lock()
	}
	return g.state == gateOpen
}

func (g *Gate) serve() {
	for {
		conn, err := g.listener.Accept()
		if err != nil {
			return
		}
		g.parts.Go(func() { g.carry(conn) })
	}
}

// carry passes a connection on until either end or the gate closes it.
func (g *Gate) carry(near net.Conn) {
	defer near.Close()
	g.mu.Lock()
	g.accepted++
	g.mu.Unlock()
	if !g.hold(near) {
		return
	}
	defer g.release(near)
	far, err := net.Dial("tcp", g.target)
	if err != nil {
		return
	}
	defer far.Close()
	if !g.hold(far) {
		return
	}
	defer g.release(far)
	var back sync.WaitGroup
	back.Go(func() { g.copy(near, far) })
	g.copy(far, near)
	back.Wait()
}

// hold has the gate close a connection when it is cut; false: it is cut already.
func (g *Gate) hold(conn net.Conn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.state == gateCut || g.state == gateEnded {
		return false
	}
	g.conns[conn] = true
	return true
}

func (g *Gate) release(conn net.Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.conns, conn)
}

// copy passes bytes on, and closes both ends when one has ended.
func (g *Gate) copy(to, from net.Conn) {
	defer to.Close()
	defer from.Close()
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if !g.pass() {
			return
		}
		g.carried.Add(int64(n))
		if _, werr := to.Write(buffer[:n]); werr != nil {
			return
		}
		if err != nil {
			return
		}
	}
}
