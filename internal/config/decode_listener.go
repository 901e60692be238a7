package config

import (
	"fernlanding/internal/rules"
	"fernlanding/internal/tomldoc"
	"net"
	"strconv"
	"strings"
)

// listeners reads where clients connect.
func (x *decoder) listeners(s tomldoc.Scope) {
	seen := map[string]bool{}
	for _, l := range s.List("listeners") {
		one := Listener{Name: l.Text("name", "main"), Address: address(l, "address", true)}
		Named(l, "name", one.Name)
		l.Done()
		if seen[one.Name] {
			l.Bad(rules.DoubleName, "name", "another listener has this name")
		}
		seen[one.Name] = true
		for i, o := range x.app.Listeners {
			if Clash(o.Address, one.Address) {
				l.Bad(rules.ListenerClash, "address", "listener %s of number %d has this address", o.Name, i+1)
			}
		}
		x.app.Listeners = append(x.app.Listeners, one)
	}
	if !s.Has("listeners") {
		s.Bad(rules.Missing, "listeners", "one listener at least expected")
	}
}

// Clash tells whether two listeners of one host could not both open: they have one port, and one address or one of them
// all addresses.
func Clash(a, b string) bool {
	h1, p1, err1 := net.SplitHostPort(a)
	h2, p2, err2 := net.SplitHostPort(b)
	if err1 != nil || err2 != nil || p1 != p2 || p1 == "0" {
		return false
	}
	every := func(h string) bool { ip := net.ParseIP(h); return h == "" || ip != nil && ip.IsUnspecified() }
	same := func() bool {
		x, y := net.ParseIP(h1), net.ParseIP(h2)
		return x != nil && y != nil && x.Equal(y) || strings.EqualFold(h1, h2)
	}
	return every(h1) || every(h2) || same()
}

// address reads host:port. Port 0, which stands for any free one, makes sense for listeners alone.
func address(s tomldoc.Scope, field string, listener bool) string {
	addr := s.Text(field, "")
	if expect := expectedAddress(addr, listener); expect != "" {
		s.Bad(rules.Address, field, "%s", expect)
	}
	return addr
}

// expectedAddress is what is expected in the place of an address that makes no sense; empty for one that does.
func expectedAddress(addr string, listener bool) string {
	host, port, err := net.SplitHostPort(addr)
	if err != nil || host == "" {
		return "host:port expected"
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 && !listener {
		return "host:port with a port of 1 to 65535 expected"
	}
	return ""
}
