package link

import "net"

// Addr is the loopback address of a process: 127.x.y.z.
type Addr [4]byte

// AddrOf returns address n, counted from 0, of a network. There are 200 networks of 64,000
// addresses each.
func AddrOf(network, n int) Addr {
	return Addr{127, byte(20 + network%200), byte(1 + n/250), byte(1 + n%250)}
}

// String returns the address in dotted form.
func (a Addr) String() string { return net.IP(a[:]).String() }

// addrOf returns the address of one end of a TCP connection.
func addrOf(end net.Addr) Addr {
	var addr Addr
	if tcp, ok := end.(*net.TCPAddr); ok {
		copy(addr[:], tcp.IP.To4())
	}
	return addr
}
