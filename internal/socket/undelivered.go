package socket

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Undelivered returns how many written bytes the kernel of the peer has not acknowledged. It
// returns 0 if the kernel does not know, and for a connection that is not a TCP socket.
func Undelivered(c net.Conn) int {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0
	}
	undelivered := 0
	// Control fails only if the connection is closed.
	_ = raw.Control(func(fd uintptr) {
		n, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
		if err == nil {
			undelivered = n
		}
	})
	return undelivered
}
