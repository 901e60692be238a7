package config

import (
	"net"
	"strconv"
	"strings"

	"fernlanding/internal/rules"
	"fernlanding/internal/tomldoc"
)

// listeners decodes where clients connect.
func (dec *decoder) listeners(root tomldoc.Scope) {
	seen := map[string]bool{}
	for _, scope := range root.TableArray("listeners") {
		l := Listener{Name: scope.Text("name", "main"), Address: address(scope, "address", true)}
		CheckName(scope, "name", l.Name)
		scope.ReportUnknown()
		if seen[l.Name] {
			scope.ReportField(rules.DoubleName, "name", "another listener has this name")
		}
		seen[l.Name] = true
		for i, other := range dec.app.Listeners {
			if AddressesConflict(other.Address, l.Address) {
				scope.ReportField(rules.ListenerClash, "address",
					"listener %s of number %d has this address", other.Name, i+1)
			}
		}
		dec.app.Listeners = append(dec.app.Listeners, l)
	}
	if !root.Has("listeners") {
		root.ReportField(rules.Missing, "listeners", "one listener at least expected")
	}
}

// AddressesConflict reports whether two listeners of one host could not both open: they have the same
// port other than 0, and the same address, or one of them all addresses.
func AddressesConflict(a, b string) bool {
	hostA, portA, errA := net.SplitHostPort(a)
	hostB, portB, errB := net.SplitHostPort(b)
	if errA != nil || errB != nil || portA != portB || portA == "0" {
		return false
	}
	if isAnyAddress(hostA) || isAnyAddress(hostB) || strings.EqualFold(hostA, hostB) {
		return true
	}
	ipA, ipB := net.ParseIP(hostA), net.ParseIP(hostB)
	return ipA != nil && ipB != nil && ipA.Equal(ipB)
}

// isAnyAddress reports whether a host stands for all addresses.
func isAnyAddress(host string) bool {
	ip := net.ParseIP(host)
	return host == "" || ip != nil && ip.IsUnspecified()
}

// address decodes host:port. Port 0, which stands for any free one, is valid for listeners alone.
func address(scope tomldoc.Scope, field string, isListener bool) string {
	addr := scope.Text(field, "")
	if expect := expectedAddress(addr, isListener); expect != "" {
		scope.ReportField(rules.Address, field, "%s", expect)
	}
	return addr
}

// expectedAddress returns what is expected instead of an invalid address; empty for a valid one.
func expectedAddress(addr string, isListener bool) string {
	host, port, err := net.SplitHostPort(addr)
	if err != nil || host == "" {
		return "host:port expected"
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 && !isListener {
		return "host:port with a port of 1 to 65535 expected"
	}
	return ""
}
