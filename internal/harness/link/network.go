// Package link implements the network of the harness. Every connection between the processes of a
// run goes through a relay, and faults can begin and end while connections are open. All addresses
// are loopback addresses.
//
// Each process has its own address in 127.0.0.0/8. A relay listens on one port of all these
// addresses, so that the dialled address identifies the process at one end of a connection. The
// relay connects to the server from the dialled address as well.
package link

import (
	"net"
	"slices"
	"sync"
	"time"

	"fernlanding/internal/harness/scenario"
)

// Peers are the names of the two processes of a connection.
type Peers struct {
	From string // process that opened the connection
	To   string // process that accepted the connection
}

// Watcher receives the events of the relays. Its methods are called concurrently from many
// goroutines and must not block.
type Watcher interface {
	// Opened is called when a relay has accepted a connection.
	Opened(peers Peers)
	// Sent is called when the first byte of a request has arrived. n is the number of the request
	// on the connection, from 1; at is the arrival time; conn is the client's address as the server
	// sees it.
	Sent(peers Peers, conn string, n int64, at time.Time)
	// Delivered is called when the first n bytes of a connection's responses have been forwarded.
	// conn is the client's address as the server sees it.
	Delivered(peers Peers, conn string, n int64)
}

// Relay is the configuration of one relay.
type Relay struct {
	// Group is the name of the link that the relay belongs to, as in Fault.Link.
	Group string
	// Port is the port on which the relay listens, on all loopback addresses.
	Port int
	// Route returns the peers of a connection to the dialled address and the address of the server
	// that the connection is forwarded to. ok is false if the dialled address is unknown. Route may
	// be called concurrently.
	Route func(dialled Addr) (peers Peers, server string, ok bool)
	// Deliveries enables calls of the watcher's Delivered method.
	Deliveries bool
	// AcceptRate is the number of connections accepted per second; 0 means no limit.
	AcceptRate float64
	// Backlog is the length of the accept queue. While the queue is full, no further connection is
	// established. 0 means the system's default.
	Backlog int
}

// activeFault is a fault that has begun and not ended.
type activeFault struct {
	scenario.Fault
	id int
}

// Network is the set of all relays of a run. Its methods may be called from any goroutine.
type Network struct {
	watcher  Watcher
	handlers sync.WaitGroup // goroutines of listeners and connections
	done     chan struct{}  // closed by Close

	mu        sync.Mutex // guards the fields below
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

// Begin begins a fault and returns the function that ends it.
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
		default: // the other kinds act on bytes while they are forwarded
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

// add adds a connection to the network. It reports false if the network is closed.
func (n *Network) add(c *relayedConn) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return false
	}
	n.conns[c] = true
	return true
}

// remove removes a connection from the network and closes it.
func (n *Network) remove(c *relayedConn) {
	n.mu.Lock()
	delete(n.conns, c)
	n.mu.Unlock()
	c.close()
}

// Close closes all relays and connections and waits for their goroutines.
func (n *Network) Close() {
	n.mu.Lock()
	if !n.closed {
		n.closed = true
		close(n.done)
	}
	for _, listener := range n.listeners {
		_ = listener.Close() // fails only if the listener is closed
	}
	for c := range n.conns {
		c.close()
	}
	n.mu.Unlock()
	n.handlers.Wait()
}
