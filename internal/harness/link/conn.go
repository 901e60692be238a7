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

// relayedConn is one connection through a relay: the client's, and the relay's own to the server.
type relayedConn struct {
	network    *Network
	peers      Peers
	group      string
	deliveries bool
	client     *net.TCPConn
	// serverSideAddr is the connection's address as the server sees it. It is set before bytes are
	// passed on.
	serverSideAddr string
	requests       atomic.Int64 // so far
	responseBegun  atomic.Bool  // since the last request began
	// firstByteAt is when the first byte came on a connection that was made while its link was cut;
	// nil if it came when it was read.
	firstByteAt atomic.Pointer[time.Time]

	mu     sync.Mutex
	server *net.TCPConn // nil until it is connected; written under mu
	closed bool         // guarded by mu
	done   chan struct{}
}

// serve relays one connection until it ends.
func (n *Network) serve(client *net.TCPConn, relay Relay) {
	dialled := addrOf(client.LocalAddr())
	peers, server, ok := relay.Route(dialled)
	if !ok {
		_ = client.Close() // nothing has been written to it
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
		_ = client.Close() // nothing has been written to it
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

// waitConnectable waits until no fault keeps the relay from connecting to the server. It reports
// false if the connection was reset or the network closed meanwhile. watching counts the goroutine
// that it may start.
//
// A connection that is made while its link is cut is established for the client, since the kernel
// has accepted it; it stays silent. While the link is reset, it is reset too.
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
		if !isWatching { // what comes now is read later: when it came is what counts
			isWatching = true
			watching.Go(c.awaitFirstByte)
		}
		select {
		case <-changed:
		case <-c.network.done:
			return false
		}
	}
}

// connect connects to the server, from the address that the client dialled. It reports whether that
// succeeded; otherwise the client's connection is reset, as the kernel refuses one at the far end.
func (c *relayedConn) connect(from Addr, server string) bool {
	dialer := net.Dialer{Timeout: dialTimeout, LocalAddr: &net.TCPAddr{IP: net.IP(from[:])}, KeepAlive: -1}
	conn, err := dialer.Dial("tcp4", server)
	if err != nil {
		c.reset()
		return false
	}
	tcp, ok := conn.(*net.TCPConn)
	if !ok { // never: tcp4 was dialled
		c.reset()
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.server = tcp
	c.serverSideAddr = tcp.LocalAddr().String()
	return true
}

// awaitFirstByte notes when the first byte comes from the client, without reading it. It returns
// when the connection is closed, at the latest.
func (c *relayedConn) awaitFirstByte() {
	raw, err := c.client.SyscallConn()
	if err != nil {
		return
	}
	// It fails when the connection is closed, which is how the wait ends.
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

// close closes both connections. Their errors do not matter any more: what was written has been
// passed on or is lost.
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

// reset resets both connections, as the kernel does for a process that dies.
func (c *relayedConn) reset() {
	c.mu.Lock()
	_ = c.client.SetLinger(0) // fails only if it is closed
	if c.server != nil {
		_ = c.server.SetLinger(0)
	}
	c.mu.Unlock()
	c.close()
}

// halfClose closes one direction.
func (c *relayedConn) halfClose(direction string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if direction == scenario.ToClient {
		_ = c.client.CloseWrite() // fails only if it is closed
	} else if c.server != nil {
		_ = c.server.CloseWrite()
	}
}
