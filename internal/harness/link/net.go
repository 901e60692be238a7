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

// Place is the address of a process: 127.x.y.z.
type Place [4]byte

// PlaceOf is the nth place, from 0, of a network that has a number of its own; both are at most 64,000 and 200.
func PlaceOf(network, n int) Place {
	return Place{127, byte(20 + network%200), byte(1 + n/250), byte(1 + n%250)}
}

// String is the address.
func (p Place) String() string { return net.IP(p[:]).String() }

// Ends are the two processes of a connection, by name: who has opened it and to whom.
type Ends struct{ From, To string }

// Rule is a fault that holds now.
type Rule struct {
	scenario.Fault
	id int
}

// Watcher is told what goes over the relays. Its methods may be called from many goroutines, and are to return at once.
type Watcher interface {
	// Opened: a connection was taken.
	Opened(e Ends)
	// Sent: the first byte of the nth request (from 1) came at a time, on the connection that comes out at conn.
	Sent(e Ends, conn string, n int64, at time.Time)
	// Delivered: the first n bytes of what comes back on the connection have been handed on.
	Delivered(e Ends, conn string, n int64)
}

// Net is all relays of a run.
type Net struct {
	watch Watcher
	all   sync.WaitGroup
	done  chan struct{}

	mu        sync.Mutex
	rules     []Rule
	changed   chan struct{} // closed when the rules change
	next      int
	conns     map[*pair]bool
	listeners []net.Listener
	closed    bool
}

// New returns a network without relays.
func New(watch Watcher) *Net {
	return &Net{watch: watch, done: make(chan struct{}), changed: make(chan struct{}), conns: map[*pair]bool{}}
}

// Relay is where a relay leads.
type Relay struct {
	Group string // of the processes at its far end, which the links of faults name
	Port  int    // where it listens, at all places
	// To says where a connection that was made to a place goes on, and between whom it is. ok is false for a place that it
	// does not know.
	To func(dialled Place) (e Ends, address string, ok bool)
	// Deliveries: what comes back is reported to the watcher.
	Deliveries bool
	Accepts    float64 // connections a second that are taken from the queue; 0: as they come
	Backlog    int     // length of that queue, beyond which no connection comes up; 0: the system's own
}

const (
	relayBuffer = 16 << 10
	relayAhead  = 16 // buffers on their way in one direction
	dialTimeout = 2 * time.Second
)

// Listen opens a relay.
func (n *Net) Listen(r Relay) error {
	l, err := Loopback(r.Port)
	if err != nil {
		return err
	}
	if r.Backlog > 0 {
		if err := shorten(l.(*net.TCPListener), r.Backlog); err != nil {
			l.Close()
			return err
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners = append(n.listeners, l)
	n.all.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if r.Accepts > 0 {
				select {
				case <-time.After(time.Duration(float64(time.Second) / r.Accepts)):
				case <-n.done:
				}
			}
			n.all.Go(func() { n.take(c.(*net.TCPConn), r) })
		}
	})
	return nil
}

// shorten gives a listener a queue of its own length: connections beyond it get no answer until there is room. listen(2) may be
// called again on a socket that listens.
func shorten(l *net.TCPListener, backlog int) error {
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
func (n *Net) Begin(f scenario.Fault) (end func()) {
	n.mu.Lock()
	n.next++
	id := n.next
	n.rules = append(n.rules, Rule{f, id})
	n.change()
	var struck []*pair
	for p := range n.conns {
		if applies(f, p.group, p.ends) {
			struck = append(struck, p)
		}
	}
	n.mu.Unlock()
	for _, p := range struck {
		switch f.Kind {
		case scenario.Reset:
			p.reset()
		case scenario.Half:
			p.half(f.Way)
		}
	}
	return func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.rules = slices.DeleteFunc(n.rules, func(r Rule) bool { return r.id == id })
		n.change()
	}
}

func (n *Net) change() {
	close(n.changed)
	n.changed = make(chan struct{})
}

// applies tells whether a fault holds for a connection.
func applies(f scenario.Fault, group string, e Ends) bool {
	if f.Link != group {
		return false
	}
	if f.Across {
		return slices.Contains(f.Names, e.From) != slices.Contains(f.Names, e.To)
	}
	return len(f.Names) == 0 || slices.Contains(f.Names, e.From) || slices.Contains(f.Names, e.To)
}

// now is the faults that hold for a connection in a direction, and what is closed when that changes.
func (n *Net) now(p *pair, way string) (out []Rule, changed <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, r := range n.rules {
		if applies(r.Fault, p.group, p.ends) && (r.Way == "" || r.Way == scenario.Both || r.Way == way) {
			out = append(out, r)
		}
	}
	return out, n.changed
}

// Close ends all relays and connections.
func (n *Net) Close() {
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
	n.all.Wait()
}

// take carries one connection until it ends.
func (n *Net) take(c *net.TCPConn, r Relay) {
	dialled := placeOf(c.LocalAddr())
	ends, to, ok := r.To(dialled)
	if !ok {
		c.Close()
		return
	}
	p := &pair{net: n, ends: ends, group: r.Group, in: c, deliveries: r.Deliveries, over: make(chan struct{})}
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
	n.watch.Opened(ends)
	// A connection that is made while its link is cut has come up for whoever made it, since the kernel has taken it; it stays
	// silent. While it is reset, it is reset too.
	for looking := false; ; {
		rules, changed := n.now(p, scenario.There)
		blocked := slices.ContainsFunc(rules, func(r Rule) bool { return r.Kind == scenario.Cut || r.Kind == scenario.OneWay })
		if slices.ContainsFunc(rules, func(r Rule) bool { return r.Kind == scenario.Reset }) {
			p.reset()
			return
		}
		if !blocked {
			break
		}
		if !looking { // what comes now is read later: when it came is what counts
			looking = true
			look.Go(p.await)
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
	p.out, p.name = out.(*net.TCPConn), out.LocalAddr().String()
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { p.carry(scenario.There, p.in, p.out) })
	both.Go(func() { p.carry(scenario.Back, p.out, p.in) })
	both.Wait()
}

func placeOf(a net.Addr) (p Place) {
	if t, ok := a.(*net.TCPAddr); ok {
		copy(p[:], t.IP.To4())
	}
	return p
}
