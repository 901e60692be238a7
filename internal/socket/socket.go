// Package socket asks the kernel for the state of sockets that package net does not report, and sets
// how their connections end.
package socket

import (
	"errors"
	"net"
	"syscall"
)

// ReadState is what a read from a connection would find.
type ReadState int

// The states of a connection.
const (
	Unknown  ReadState = iota // not a socket, or closed by this process
	Idle                      // open, with nothing to read
	Readable                  // bytes have arrived that have not been read
	Ended                     // the peer has closed or reset the connection, and all bytes have been read
)

// PeekState returns, without waiting, the state of a connection.
func PeekState(c net.Conn) ReadState {
	state := Unknown
	withDescriptor(c, func(fd int) { state = peek(fd) })
	return state
}

// withDescriptor calls f with the descriptor of a connection. It does not call f for a connection
// that is not a socket or that this process has closed.
func withDescriptor(c net.Conn, f func(fd int)) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return
	}
	// Control is used because Read waits for any other reader, and the server always has a reader
	// on an idle client connection. Control fails only if the connection is closed.
	_ = raw.Control(func(fd uintptr) { f(int(fd)) })
}

// peek returns the state of a socket.
func peek(fd int) ReadState {
	var b [1]byte
	n, _, err := syscall.Recvfrom(fd, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	switch {
	case errors.Is(err, syscall.EAGAIN):
		return Idle
	case err == nil && n > 0:
		return Readable
	default:
		return Ended
	}
}

// IsIdle reports, without waiting, whether a connection is open with nothing to read. It returns
// false if the peer has closed the connection or has sent bytes that are not read yet, and for a
// connection that is not a socket.
func IsIdle(c net.Conn) bool { return PeekState(c) == Idle }
