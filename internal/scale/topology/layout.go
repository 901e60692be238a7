// Package topology derives the names, addresses and configurations of all members of a scale test
// from the size of its fleet: the services that a proxy follows, the services of a list service,
// and the addresses of backends. The package does no I/O and depends on its input only, so that a
// sweep and its workers derive the same topology from the same Layout.
package topology

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"strconv"
	"strings"

	"fernlanding/internal/scale/churn"
	"fernlanding/internal/scale/result"
)

// Class is the name of the only request class of each service.
const Class = "read"

// Settings of the proxies.
const (
	deadline = "1s"
	sockets  = 1024
	memoryMB = 64
)

// Loopback addresses and ports. Each proxy has its own address so that it does not run out of
// ports.
const (
	firstClient  = 0x7f400001 // 127.64.0.1
	firstBackend = 0x7f200001 // 127.32.0.1
	backendPort  = 8000       // backends of the first service
	listenPort   = 19_000     // real proxies
)

// followedServicesStream is the PCG stream that selects the services that a proxy follows.
const followedServicesStream = 51

// Layout determines all members of a fleet. It is passed to workers as JSON.
type Layout struct {
	Source       result.Source `json:"source"`
	Size         result.Size   `json:"size"`
	Seed         uint64        `json:"seed"`
	ListServices []string      `json:"lists,omitempty"`  // addresses; services are assigned to them in turn
	Relays       []string      `json:"relays,omitempty"` // addresses
}

// ServiceName returns the name of the service with a number.
func ServiceName(number int) string { return fmt.Sprintf("service-%04d", number) }

// ServicesOfListService returns the numbers of the services whose lists are served by the list
// service with the given index. The parameter listServices is the number of list services.
func ServicesOfListService(size result.Size, index, listServices int) []int {
	var numbers []int
	for n := index; n < size.TotalServices; n += listServices {
		numbers = append(numbers, n)
	}
	return numbers
}

// ProxyName returns the name of the proxy with a number.
func ProxyName(number int) string { return fmt.Sprintf("proxy-%05d", number) }

// FollowedServices returns the numbers of the services that a proxy follows, in ascending order.
func (l *Layout) FollowedServices(proxy int) []int {
	rng := rand.New(rand.NewPCG(l.Seed+uint64(proxy), followedServicesStream))
	numbers := rng.Perm(l.Size.TotalServices)[:l.Size.Services]
	slices.Sort(numbers)
	return numbers
}

// ClientAddr returns the loopback address from which a proxy opens connections.
func ClientAddr(proxy int) netip.Addr { return addrFrom(firstClient + uint32(proxy)) }

// BackendAddr returns the address of a backend of a service. No process listens on this address.
func BackendAddr(service, number int) string {
	ip := addrFrom(firstBackend + uint32(number)%(1<<16))
	return net.JoinHostPort(ip.String(), strconv.Itoa(backendPort+service%4096))
}

func addrFrom(n uint32) netip.Addr {
	return netip.AddrFrom4([4]byte{byte(n >> 24), byte(n >> 16), byte(n >> 8), byte(n)})
}

// ListenAddr returns the address on which a real proxy listens. Hollow proxies do not listen.
func ListenAddr(proxy int) string {
	return net.JoinHostPort(ClientAddr(proxy).String(), strconv.Itoa(listenPort))
}

// Config returns the configuration file of a proxy.
func (l *Layout) Config(proxy int) []byte {
	var text strings.Builder
	fmt.Fprintf(&text, "version = 2\nname = %q\n\n", ProxyName(proxy))
	fmt.Fprintf(&text, "[process]\nmemory_mb = %d\nsockets = %d\n\n", memoryMB, sockets)
	fmt.Fprintf(&text, "[[listeners]]\naddress = %q\n\n", ListenAddr(proxy))
	if l.Source == result.SourceRelay {
		fmt.Fprintf(&text, "[distribution]\nname = %q\nrelays = [%s]\n\n", ProxyName(proxy), quoteAll(l.Relays))
	}
	followed := l.FollowedServices(proxy)
	for _, n := range followed {
		fmt.Fprintf(&text, "[services.%s]\ntrusted = true\n", ServiceName(n))
		l.writeMembership(&text, n)
		fmt.Fprintf(&text, "[services.%s.classes.%s]\n", ServiceName(n), Class)
		fmt.Fprintf(&text, "repeat = \"safe\"\nobjective = \"300ms\"\ndeadline = %q\n\n", deadline)
	}
	for _, n := range followed {
		name := ServiceName(n)
		fmt.Fprintf(&text, "[[routes]]\nname = %q\nprefix = \"/%s\"\n", name, name)
		fmt.Fprintf(&text, "service = %q\nclass = %q\n\n", name, Class)
	}
	return []byte(text.String())
}

// writeMembership writes the settings for the endpoint list of a service.
func (l *Layout) writeMembership(text *strings.Builder, service int) {
	switch l.Source {
	case result.SourceConsul:
		fmt.Fprintf(text, "membership = \"consul\"\ndiscovery = %q\n", l.ListServices[service%len(l.ListServices)])
	case result.SourceRelay:
		text.WriteString("membership = \"relay\"\n")
	default:
		text.WriteString("membership = \"static\"\nendpoints = [\n")
		for n := range l.Size.Backends {
			name := churn.BackendName(ServiceName(service), n)
			fmt.Fprintf(text, "  { name = %q, address = %q },\n", name, BackendAddr(service, n))
		}
		text.WriteString("]\n")
	}
}

func quoteAll(words []string) string {
	out := make([]string, len(words))
	for i, word := range words {
		out[i] = strconv.Quote(word)
	}
	return strings.Join(out, ", ")
}
