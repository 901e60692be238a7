// Package socket asks the kernel for the state of sockets that package net does not report, and sets
// how their connections end.
package socket

import (
	"errors"
	"net"
	"syscall"
)

// IsIdle reports, without waiting, whether a connection is open with nothing to read. It returns
// false if the peer has closed the connection or has sent bytes that are not read yet, and for a
// connection that is not a socket.
func IsIdle(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	// Control is used because Read waits for any other reader, and the server always has a reader
	// on an idle client connection.
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		idle = errors.Is(err, syscall.EAGAIN) // the error is nil at the end of the stream and for a byte
	})
	return err == nil && idle
}
