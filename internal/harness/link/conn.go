package link

import (
	"errors"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"fernlanding/internal/harness/scenario"
)

const dialTimeout = 2 * time.Second

// relayedConn is one connection through a relay. It consists of the connection that the client
// opened and the connection from the relay to the server.
type relayedConn struct {
	network    *Network
	peers      Peers
	group      string
	deliveries bool
	client     *net.TCPConn
	// serverSideAddr is the address of the relay's end of the connection to the server. It is set
	// before any bytes are forwarded.
	serverSideAddr string
	requests       atomic.Int64 // number of requests so far
	responseBegun  atomic.Bool  // whether a response has begun since the last request began
	// madeDuringCut is whether the connection was made while its link was cut. It is set before any
	// bytes are forwarded.
	madeDuringCut bool
	// firstByteAt is the arrival time of the first byte on a connection that was made while its
	// link was cut; nil means that the first byte was read as soon as it arrived.
	firstByteAt atomic.Pointer[time.Time]

	mu     sync.Mutex
	server *net.TCPConn  // nil until connected; written with mu held
	closed bool          // guarded by mu
	done   chan struct{} // closed by close
}

// serve relays one connection until it is closed.
func (n *Network) serve(client *net.TCPConn, relay Relay) {
	dialled := addrOf(client.LocalAddr())
	peers, server, ok := relay.Route(dialled)
	if !ok {
		_ = client.Close() // nothing has been written to the connection
		return
	}
	c := &relayedConn{
		network:    n,
		peers:      peers,
		group:      relay.Group,
		deliveries: relay.Deliveries,
		client:     client,
		done:       make(chan struct{}),
	}
	if !n.add(c) {
		_ = client.Close() // nothing has been written to the connection
		return
	}
	var watching sync.WaitGroup
	defer watching.Wait()
	defer n.remove(c)
	n.watcher.Opened(peers)
	if !c.waitConnectable(&watching) || !c.connect(dialled, server) {
		return
	}
	var directions sync.WaitGroup
	directions.Go(func() { c.copyDirection(scenario.ToServer, c.client, c.server) })
	directions.Go(func() { c.copyDirection(scenario.ToClient, c.server, c.client) })
	directions.Wait()
}

// waitConnectable waits until no fault prevents the relay from connecting to the server. It reports
// false if the connection was reset or the network was closed. watching counts the goroutine that
// waitConnectable may start.
//
// A connection that is made while its link is cut is established for the client because the kernel
// has accepted it, but no bytes pass. A connection that is made during a Reset fault is reset.
func (c *relayedConn) waitConnectable(watching *sync.WaitGroup) bool {
	isWatching := false
	for {
		faults, changed := c.network.activeFaults(c, scenario.ToServer)
		if slices.ContainsFunc(faults, func(f activeFault) bool { return f.Kind == scenario.Reset }) {
			c.reset()
			return false
		}
		isCut := func(f activeFault) bool { return f.Kind == scenario.Cut || f.Kind == scenario.OneWay }
		if !slices.ContainsFunc(faults, isCut) {
			return true
		}
		if !isWatching { // bytes are read only after the cut, so the arrival time is recorded now
			isWatching = true
			c.madeDuringCut = true
			watching.Go(c.awaitFirstByte)
		}
		select {
		case <-changed:
		case <-c.network.done:
			return false
		}
	}
}

// connect connects to the server from the address that the client dialled. It reports whether the
// connection was established. On failure, it resets the client's connection, which corresponds to
// the kernel refusing a connection without a relay.
func (c *relayedConn) connect(from Addr, server string) bool {
	dialer := net.Dialer{Timeout: dialTimeout, LocalAddr: &net.TCPAddr{IP: net.IP(from[:])}, KeepAlive: -1}
	conn, err := dialer.Dial("tcp4", server)
	if err != nil {
		c.reset()
		return false
	}
	tcp, ok := conn.(*net.TCPConn)
	if !ok { // unreachable: a dial of tcp4 returns a *net.TCPConn
		c.reset()
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.server = tcp
	c.serverSideAddr = tcp.LocalAddr().String()
	return true
}

// awaitFirstByte records in firstByteAt when the first byte arrives from the client, without
// consuming the byte. It returns when the byte has arrived or the connection is closed.
func (c *relayedConn) awaitFirstByte() {
	raw, err := c.client.SyscallConn()
	if err != nil {
		return
	}
	// Read fails when the connection is closed, which ends the wait.
	_ = raw.Read(func(fd uintptr) bool {
		var first [1]byte
		n, _, err := syscall.Recvfrom(int(fd), first[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		now := time.Now()
		if err == nil && n > 0 {
			c.firstByteAt.Store(&now)
		}
		return !errors.Is(err, syscall.EAGAIN)
	})
}

// close closes both connections. It ignores errors because written bytes have either been forwarded
// or are lost.
func (c *relayedConn) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closed {
		c.closed = true
		close(c.done)
	}
	_ = c.client.Close()
	if c.server != nil {
		_ = c.server.Close()
	}
}

// reset resets both connections, as the kernel does for a process that is killed.
func (c *relayedConn) reset() {
	c.mu.Lock()
	_ = c.client.SetLinger(0) // fails only if the connection is closed
	if c.server != nil {
		_ = c.server.SetLinger(0)
	}
	c.mu.Unlock()
	c.close()
}

// halfClose closes one direction of the connection.
func (c *relayedConn) halfClose(direction string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if direction == scenario.ToClient {
		_ = c.client.CloseWrite() // fails only if the connection is closed
	} else if c.server != nil {
		_ = c.server.CloseWrite()
	}
}
