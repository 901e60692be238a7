// Package link is the network of the harness: relays through which every connection between its
// processes goes, with faults that begin and end while connections are open. All of it is on
// loopback addresses.
//
// A process is known by an address of its own in 127.0.0.0/8. A relay listens on one port of all
// these addresses, so that the address that was dialled says which link a connection belongs to.
// The relay connects onwards from that address too.
package link

import (
	"net"
	"slices"
	"sync"
	"time"

	"fernlanding/internal/harness/scenario"
)

// Peers are the two processes of a connection, by name.
type Peers struct {
	From string // opened the connection
	To   string
}

// Watcher receives what happens on the relays. Its methods are called from many goroutines, and
// have to return at once.
type Watcher interface {
	// Opened is called when a connection was accepted.
	Opened(peers Peers)
	// Sent is called for the first byte of the nth request (from 1) of a connection, which arrived
	// at a time. conn is the connection's address as the server sees it.
	Sent(peers Peers, conn string, n int64, at time.Time)
	// Delivered is called when the first n bytes of a connection's responses have been passed on.
	Delivered(peers Peers, conn string, n int64)
}

// Relay is the configuration of one relay.
type Relay struct {
	// Group is the link that the relay belongs to, as faults name it.
	Group string
	// Port is where the relay listens, on all addresses.
	Port int
	// Route returns where a connection that was made to an address is forwarded, and between whom
	// it is. ok is false if the address is unknown. It may be called from many goroutines.
	Route func(dialled Addr) (peers Peers, server string, ok bool)
	// Deliveries has the watcher's Delivered called.
	Deliveries bool
	// AcceptRate is how many connections a second are accepted; 0 is no limit.
	AcceptRate float64
	// Backlog is the length of the queue of connections to accept, beyond which none is
	// established; 0 is the system's.
	Backlog int
}

// activeFault is a fault that has begun and not ended.
type activeFault struct {
	scenario.Fault
	id int
}

// Network is all relays of a run. Its methods may be called from any goroutine.
type Network struct {
	watcher  Watcher
	handlers sync.WaitGroup // goroutines of listeners and connections
	done     chan struct{}  // closed by Close

	mu        sync.Mutex // guards what follows
	faults    []activeFault
	changed   chan struct{} // closed and replaced when faults change
	nextID    int
	conns     map[*relayedConn]bool
	listeners []net.Listener
	closed    bool
}

// New returns a network without relays.
func New(watcher Watcher) *Network {
	return &Network{
		watcher: watcher,
		done:    make(chan struct{}),
		changed: make(chan struct{}),
		conns:   map[*relayedConn]bool{},
	}
}

// Begin begins a fault and returns what ends it.
func (n *Network) Begin(fault scenario.Fault) (end func()) {
	n.mu.Lock()
	n.nextID++
	id := n.nextID
	n.faults = append(n.faults, activeFault{Fault: fault, id: id})
	n.notifyChanged()
	var affected []*relayedConn
	for c := range n.conns {
		if applies(fault, c.group, c.peers) {
			affected = append(affected, c)
		}
	}
	n.mu.Unlock()
	for _, c := range affected {
		switch fault.Kind {
		case scenario.Reset:
			c.reset()
		case scenario.HalfClose:
			c.halfClose(fault.Direction)
		default: // the others act on bytes as they pass
		}
	}
	return func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.faults = slices.DeleteFunc(n.faults, func(f activeFault) bool { return f.id == id })
		n.notifyChanged()
	}
}

// notifyChanged wakes all connections that wait for a change of the faults. The caller holds mu.
func (n *Network) notifyChanged() {
	close(n.changed)
	n.changed = make(chan struct{})
}

// applies reports whether a fault acts on a connection.
func applies(fault scenario.Fault, group string, peers Peers) bool {
	if fault.Link != group {
		return false
	}
	if fault.CrossSite {
		return slices.Contains(fault.Names, peers.From) != slices.Contains(fault.Names, peers.To)
	}
	return len(fault.Names) == 0 || slices.Contains(fault.Names, peers.From) || slices.Contains(fault.Names, peers.To)
}

// activeFaults returns the faults that act on a direction of a connection, and a channel that is
// closed when they may have changed.
func (n *Network) activeFaults(c *relayedConn, direction string) (active []activeFault, changed <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, fault := range n.faults {
		hasDirection := fault.Direction == "" || fault.Direction == scenario.BothDirections ||
			fault.Direction == direction
		if hasDirection && applies(fault.Fault, c.group, c.peers) {
			active = append(active, fault)
		}
	}
	return active, n.changed
}

// add registers a connection. It reports false if the network is closed.
func (n *Network) add(c *relayedConn) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return false
	}
	n.conns[c] = true
	return true
}

// remove forgets a connection and closes it.
func (n *Network) remove(c *relayedConn) {
	n.mu.Lock()
	delete(n.conns, c)
	n.mu.Unlock()
	c.close()
}

// Close closes all relays and connections, and waits for their goroutines.
func (n *Network) Close() {
	n.mu.Lock()
	if !n.closed {
		n.closed = true
		close(n.done)
	}
	for _, listener := range n.listeners {
		_ = listener.Close() // fails only if it is closed
	}
	for c := range n.conns {
		c.close()
	}
	n.mu.Unlock()
	n.handlers.Wait()
}
