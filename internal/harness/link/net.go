// Package link is the network of the rig: relays through which every connection between its processes goes, with faults
// that can be switched on and off while connections are open. All of it is on loopback addresses.
//
// A process is known by an address of its own in 127.0.0.0/8, its place. A relay listens on one port for all places, so that
// the address that was dialled tells on whose link a connection is; what it opens itself comes from that place too.
package link

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"fernlanding/internal/harness/scenario"

	"golang.org/x/sys/unix"
)

// Addr is the address of a process: 127.x.y.z.
type Addr [4]byte

// AddrOf is the nth place, from 0, of a network that has a number of its own; both are at most 64,000 and 200.
func AddrOf(network, n int) Addr {
	return Addr{127, byte(20 + network%200), byte(1 + n/250), byte(1 + n%250)}
}

// String is the address.
func (p Addr) String() string { return net.IP(p[:]).String() }

// Peers are the two processes of a connection, by name: who has opened it and to whom.
type Peers struct{ From, To string }

// activeFault is a fault that holds now.
type activeFault struct {
	scenario.Fault
	id int
}

// Watcher is told what goes over the relays. Its methods may be called from many goroutines, and are to return at once.
type Watcher interface {
	// Opened: a connection was taken.
	Opened(e Peers)
	// Sent: the first byte of the nth request (from 1) came at a time, on the connection that comes out at conn.
	Sent(e Peers, conn string, n int64, at time.Time)
	// Delivered: the first n bytes of what comes back on the connection have been handed on.
	Delivered(e Peers, conn string, n int64)
}

// Network is all relays of a run.
type Network struct {
	watcher  Watcher
	handlers sync.WaitGroup
	done     chan struct{}

	mu        sync.Mutex
	faults    []activeFault
	changed   chan struct{} // closed when the rules change
	nextID    int
	conns     map[*relayedConn]bool
	listeners []net.Listener
	closed    bool
}

// New returns a network without relays.
func New(watch Watcher) *Network {
	return &Network{watcher: watch, done: make(chan struct{}), changed: make(chan struct{}), conns: map[*relayedConn]bool{}}
}

// Relay is where a relay leads.
type Relay struct {
	Group string // of the processes at its far end, which the links of faults name
	Port  int    // where it listens, at all places
	// Route says where a connection that was made to a place goes on, and between whom it is. ok is false for a place that it
	// does not know.
	Route func(dialled Addr) (e Peers, address string, ok bool)
	// Deliveries: what comes back is reported to the watcher.
	Deliveries bool
	AcceptRate float64 // connections a second that are taken from the queue; 0: as they come
	Backlog    int     // length of that queue, beyond which no connection comes up; 0: the system's own
}

const (
	chunkBytes      = 16 << 10
	maxQueuedChunks = 16 // buffers on their way in one direction
	dialTimeout     = 2 * time.Second
)

// Listen opens a relay.
func (n *Network) Listen(r Relay) error {
	l, err := Loopback(r.Port)
	if err != nil {
		return err
	}
	if r.Backlog > 0 {
		if err := setBacklog(l.(*net.TCPListener), r.Backlog); err != nil {
			l.Close()
			return err
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners = append(n.listeners, l)
	n.handlers.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if r.AcceptRate > 0 {
				select {
				case <-time.After(time.Duration(float64(time.Second) / r.AcceptRate)):
				case <-n.done:
				}
			}
			n.handlers.Go(func() { n.serve(c.(*net.TCPConn), r) })
		}
	})
	return nil
}

// setBacklog gives a listener a queue of its own length: connections beyond it get no answer until there is room. listen(2) may be
// called again on a socket that listens.
func setBacklog(l *net.TCPListener, backlog int) error {
	c, err := l.SyscallConn()
	if err != nil {
		return fmt.Errorf("relay: %w", err)
	}
	var failed error
	if err := c.Control(func(fd uintptr) { failed = unix.Listen(int(fd), backlog) }); err != nil {
		return fmt.Errorf("relay: %w", err)
	}
	return failed
}

// Loopback listens on one port of all loopback addresses, and of no other. It needs no privilege (Linux from 5.7 on).
func Loopback(port int) (net.Listener, error) {
	cfg := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) (err error) {
		e := c.Control(func(fd uintptr) { err = unix.BindToDevice(int(fd), "lo") })
		return errors.Join(e, err)
	}}
	l, err := cfg.Listen(context.Background(), "tcp4", fmt.Sprintf("0.0.0.0:%d", port))
	if err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	return l, nil
}

// Begin has a fault hold, and returns what ends it.
func (n *Network) Begin(f scenario.Fault) (end func()) {
	n.mu.Lock()
	n.nextID++
	id := n.nextID
	n.faults = append(n.faults, activeFault{f, id})
	n.notifyChanged()
	var struck []*relayedConn
	for p := range n.conns {
		if applies(f, p.group, p.peers) {
			struck = append(struck, p)
		}
	}
	n.mu.Unlock()
	for _, p := range struck {
		switch f.Kind {
		case scenario.Reset:
			p.reset()
		case scenario.Half:
			p.halfClose(f.Direction)
		}
	}
	return func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.faults = slices.DeleteFunc(n.faults, func(r activeFault) bool { return r.id == id })
		n.notifyChanged()
	}
}

func (n *Network) notifyChanged() {
	close(n.changed)
	n.changed = make(chan struct{})
}

// applies tells whether a fault holds for a connection.
func applies(f scenario.Fault, group string, e Peers) bool {
	if f.Link != group {
		return false
	}
	if f.CrossSite {
		return slices.Contains(f.Names, e.From) != slices.Contains(f.Names, e.To)
	}
	return len(f.Names) == 0 || slices.Contains(f.Names, e.From) || slices.Contains(f.Names, e.To)
}

// activeFaults is the faults that hold for a connection in a direction, and what is closed when that changes.
func (n *Network) activeFaults(p *relayedConn, way string) (out []activeFault, changed <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, r := range n.faults {
		if applies(r.Fault, p.group, p.peers) && (r.Direction == "" || r.Direction == scenario.BothDirections || r.Direction == way) {
			out = append(out, r)
		}
	}
	return out, n.changed
}

// Close ends all relays and connections.
func (n *Network) Close() {
	n.mu.Lock()
	if !n.closed {
		n.closed = true
		close(n.done)
	}
	for _, l := range n.listeners {
		l.Close()
	}
	for p := range n.conns {
		p.close()
	}
	n.mu.Unlock()
	n.handlers.Wait()
}

// serve carries one connection until it ends.
func (n *Network) serve(c *net.TCPConn, r Relay) {
	dialled := addrOf(c.LocalAddr())
	ends, to, ok := r.Route(dialled)
	if !ok {
		c.Close()
		return
	}
	p := &relayedConn{network: n, peers: ends, group: r.Group, client: c, deliveries: r.Deliveries, done: make(chan struct{})}
	n.mu.Lock()
	if n.closed {
		n.mu.Unlock()
		c.Close()
		return
	}
	n.conns[p] = true
	n.mu.Unlock()
	var look sync.WaitGroup
	defer look.Wait()
	defer func() {
		n.mu.Lock()
		delete(n.conns, p)
		n.mu.Unlock()
		p.close()
	}()
	n.watcher.Opened(ends)
	// A connection that is made while its link is cut has come up for whoever made it, since the kernel has taken it; it stays
	// silent. While it is reset, it is reset too.
	for looking := false; ; {
		rules, changed := n.activeFaults(p, scenario.ToServer)
		blocked := slices.ContainsFunc(rules, func(r activeFault) bool { return r.Kind == scenario.Cut || r.Kind == scenario.OneWay })
		if slices.ContainsFunc(rules, func(r activeFault) bool { return r.Kind == scenario.Reset }) {
			p.reset()
			return
		}
		if !blocked {
			break
		}
		if !looking { // what comes now is read later: when it came is what counts
			looking = true
			look.Go(p.awaitFirstByte)
		}
		select {
		case <-changed:
		case <-n.done:
			return
		}
	}
	d := net.Dialer{Timeout: dialTimeout, LocalAddr: &net.TCPAddr{IP: net.IP(dialled[:])}, KeepAlive: -1}
	out, err := d.Dial("tcp4", to)
	if err != nil {
		p.reset() // as the kernel refuses it at the far end
		return
	}
	p.mu.Lock()
	p.server, p.serverSideAddr = out.(*net.TCPConn), out.LocalAddr().String()
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { p.copyDirection(scenario.ToServer, p.client, p.server) })
	both.Go(func() { p.copyDirection(scenario.ToClient, p.server, p.client) })
	both.Wait()
}

func addrOf(a net.Addr) (p Addr) {
	if t, ok := a.(*net.TCPAddr); ok {
		copy(p[:], t.IP.To4())
	}
	return p
}
