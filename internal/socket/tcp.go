package socket

import (
	"net"

	"golang.org/x/sys/unix"
)

// Undelivered returns how many written bytes the kernel of the peer has not acknowledged. It
// returns 0 if the kernel does not know, and for a connection that is not a TCP socket.
func Undelivered(c net.Conn) int {
	undelivered := 0
	withDescriptor(c, func(fd int) {
		n, err := unix.IoctlGetInt(fd, unix.SIOCOUTQ)
		if err == nil {
			undelivered = n
		}
	})
	return undelivered
}

// HasPeerEnded reports whether the peer has closed or reset a TCP connection, also while bytes that
// it sent before have not been read. It returns false if the kernel does not know, and for a
// connection that is not a TCP socket.
func HasPeerEnded(c net.Conn) bool {
	switch tcpState(c) {
	case unix.BPF_TCP_CLOSE, unix.BPF_TCP_CLOSE_WAIT, unix.BPF_TCP_LAST_ACK, unix.BPF_TCP_CLOSING:
		return true
	default:
		return false
	}
}

// IsEstablished reports whether the kernel reports a TCP connection as open in both directions.
func IsEstablished(c net.Conn) bool { return tcpState(c) == unix.BPF_TCP_ESTABLISHED }

// tcpState returns the state of a TCP connection, or 0 if the kernel does not know.
func tcpState(c net.Conn) uint8 {
	state := uint8(0)
	withDescriptor(c, func(fd int) {
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil {
			state = info.State
		}
	})
	return state
}

// IsReset reports whether the peer has reset a TCP connection, or this process has closed it. Bytes
// that arrived before the reset can still be read.
func IsReset(c net.Conn) bool {
	isReset := true
	withDescriptor(c, func(fd int) {
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		isReset = err != nil || info.State == unix.BPF_TCP_CLOSE // an orderly close leaves CLOSE_WAIT
	})
	return isReset
}
