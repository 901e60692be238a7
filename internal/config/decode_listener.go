package config

import (
	"net"
	"strconv"
	"strings"

	"fernlanding/internal/rules"
	"fernlanding/internal/tomldoc"
)

// listeners decodes the listeners.
func (dec *decoder) listeners(root tomldoc.Scope) {
	seen := map[string]bool{}
	for _, scope := range root.TableArray("listeners") {
		l := Listener{Name: scope.Text("name", "main"), Address: address(scope, "address", true)}
		CheckName(scope, "name", l.Name)
		scope.ReportUnknown()
		if seen[l.Name] {
			scope.ReportField(rules.DoubleName, "name", "already the name of another listener")
		}
		seen[l.Name] = true
		for i, other := range dec.app.Listeners {
			if AddressesConflict(other.Address, l.Address) {
				scope.ReportField(rules.ListenerClash, "address",
					"already the address of listener %s, listeners[%d]", other.Name, i+1)
			}
		}
		dec.app.Listeners = append(dec.app.Listeners, l)
	}
	if !root.Has("listeners") {
		root.ReportField(rules.Missing, "listeners", "must contain at least one listener")
	}
}

// AddressesConflict reports whether two listeners on one machine can't both open: they have the
// same port other than 0, and either the same host or a host that means all IP addresses.
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

// isAnyAddress reports whether a host means all IP addresses.
func isAnyAddress(host string) bool {
	ip := net.ParseIP(host)
	return host == "" || ip != nil && ip.IsUnspecified()
}

// address decodes host:port. Port 0, which means any free port, is valid only for listeners.
func address(scope tomldoc.Scope, field string, isListener bool) string {
	addr := scope.Text(field, "")
	if reason := addressError(addr, isListener); reason != "" {
		scope.ReportField(rules.Address, field, "%s", reason)
	}
	return addr
}

// addressError returns why an address is invalid, or "" if the address is valid.
func addressError(addr string, isListener bool) string {
	host, port, err := net.SplitHostPort(addr)
	if err != nil || host == "" {
		return "must be host:port"
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 && !isListener {
		return "must be host:port with a port from 1 to 65535"
	}
	return ""
}
