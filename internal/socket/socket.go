// Package socket asks the kernel about sockets what package net does not tell.
package socket

import (
	"errors"
	"net"
	"syscall"
)

// IsIdle reports whether a connection is open with nothing to read. A peer that has closed an idle
// connection, or that sends what nobody asked for, shows here without waiting. It returns false for
// a connection that is not a socket.
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
	// Control, not Read: Read waits for any other reader, and the server always has one on an idle
	// client.
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		idle = errors.Is(err, syscall.EAGAIN) // the end of the stream is no error, nor is a byte
	})
	return err == nil && idle
}
