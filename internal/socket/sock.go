// Package socket asks the kernel about sockets what package net does not tell.
package socket

import (
	"errors"
	"net"
	"syscall"
)

// IsIdle tells whether a connection is open with nothing to read: an idle peer that has closed it, or sends
// what nobody asked for, shows here without a wait.
func IsIdle(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	// Control, not Read: Read waits for any other reader, and the server always has one on an idle client.
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = errors.Is(err, syscall.EAGAIN)
	})
	return err == nil && open
}
