package socket

import "net"

// resetLinger is the SO_LINGER time in seconds with which a close resets a connection.
const resetLinger = 0

// orderlyLinger is the value for which package net switches SO_LINGER off.
const orderlyLinger = -1

// SetResetOnClose sets how a TCP connection ends, whether by Close or by the end of the process.
// With reset, the kernel discards the bytes that it has not delivered and resets the connection.
// Otherwise it goes on delivering them in the background, for minutes if the network is down, and
// then ends the stream. SetResetOnClose has no effect on a connection that is not TCP or that is
// closed.
func SetResetOnClose(c net.Conn, reset bool) {
	tcp, ok := c.(interface{ SetLinger(seconds int) error })
	if !ok {
		return
	}
	linger := orderlyLinger
	if reset {
		linger = resetLinger
	}
	_ = tcp.SetLinger(linger) // fails only if the connection is closed
}
