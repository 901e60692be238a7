package link

import (
	"context"
	"errors"
	"fmt"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Listen opens a relay, which runs until the network is closed.
func (n *Network) Listen(relay Relay) error {
	listener, err := listenLoopback(relay.Port)
	if err != nil {
		return err
	}
	if relay.Backlog > 0 {
		if err := setBacklog(listener, relay.Backlog); err != nil {
			_ = listener.Close() // the error of setBacklog is more useful
			return err
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners = append(n.listeners, listener)
	n.handlers.Go(func() { n.accept(listener, relay) })
	return nil
}

// accept accepts and serves the connections of a relay until its listener is closed.
func (n *Network) accept(listener *net.TCPListener, relay Relay) {
	for {
		conn, err := listener.AcceptTCP()
		if err != nil {
			return
		}
		if relay.AcceptRate > 0 {
			select {
			case <-time.After(time.Duration(float64(time.Second) / relay.AcceptRate)):
			case <-n.done:
			}
		}
		n.handlers.Go(func() { n.serve(conn, relay) })
	}
}

// setBacklog sets the length of a listener's accept queue. The kernel does not answer connection
// attempts while the queue is full. listen(2) may be called again on a listening socket.
func setBacklog(listener *net.TCPListener, backlog int) error {
	raw, err := listener.SyscallConn()
	if err != nil {
		return fmt.Errorf("relay: set backlog: %w", err)
	}
	var listenErr error
	if err := raw.Control(func(fd uintptr) { listenErr = unix.Listen(int(fd), backlog) }); err != nil {
		return fmt.Errorf("relay: set backlog: %w", err)
	}
	return listenErr
}

// listenLoopback listens on one port of all loopback addresses and of no other addresses. It needs
// no privileges since Linux 5.7.
func listenLoopback(port int) (*net.TCPListener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var bindErr error
		controlErr := raw.Control(func(fd uintptr) { bindErr = unix.BindToDevice(int(fd), "lo") })
		return errors.Join(controlErr, bindErr)
	}}
	listener, err := config.Listen(context.Background(), "tcp4", fmt.Sprintf("0.0.0.0:%d", port))
	if err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	tcp, ok := listener.(*net.TCPListener)
	if !ok {
		return nil, fmt.Errorf("relay: unexpected listener type %T", listener)
	}
	return tcp, nil
}
