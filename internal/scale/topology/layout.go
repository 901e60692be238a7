// Package topology says who is who in a scale test: which services a proxy follows, where their lists are, what its
// configuration says and which address it calls from. It is pure: the same on both sides of a pipe.
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

const (
	// Class is the one class of each service.
	Class = "read"

	deadline     = "1s"
	followStream = 51         // of the seed
	firstPlace   = 0x7f400001 // 127.64.0.1
	backendsNet  = 0x7f200001 // 127.32.0.1
	backendPort  = 8000
	realPort     = 19_000 // where real proxies listen, each at its own address
	sockets      = 1024
	memoryMB     = 64
)

// Layout is who is who.
type Layout struct {
	Source result.Source `json:"source"`
	Size   result.Size   `json:"size"`
	Seed   uint64        `json:"seed"`
	Lists  []string      `json:"lists,omitempty"`  // addresses of the list services; services are dealt out to them in turn
	Relays []string      `json:"relays,omitempty"` // addresses of the relays
}

// Service is the name of a service by its number.
func Service(number int) string { return fmt.Sprintf("service-%04d", number) }

// Services are the numbers of the services whose lists one of so many list services has.
func Services(size result.Size, list, lists int) (out []int) {
	for n := list; n < size.ServicesInAll; n += lists {
		out = append(out, n)
	}
	return out
}

// Proxy is the name of a proxy by its number.
func Proxy(number int) string { return fmt.Sprintf("proxy-%05d", number) }

// Followed are the numbers of the services that a proxy follows, ascending.
func (l *Layout) Followed(proxy int) []int {
	rnd := rand.New(rand.NewPCG(l.Seed+uint64(proxy), followStream))
	out := rnd.Perm(l.Size.ServicesInAll)[:l.Size.Services]
	slices.Sort(out)
	return out
}

// Place is the loopback address that a proxy calls from, so that ports do not run out.
func Place(proxy int) netip.Addr { return address(firstPlace + uint32(proxy)) }

// Backend is the address of a service's backend. Nobody listens there.
func Backend(service, number int) string {
	return net.JoinHostPort(address(backendsNet+uint32(number)%(1<<16)).String(), strconv.Itoa(backendPort+service%4096))
}

func address(n uint32) netip.Addr {
	return netip.AddrFrom4([4]byte{byte(n >> 24), byte(n >> 16), byte(n >> 8), byte(n)})
}

// Listen is where a real proxy listens; a hollow one does not.
func Listen(proxy int) string { return net.JoinHostPort(Place(proxy).String(), strconv.Itoa(realPort)) }

// File is the configuration of a proxy.
func (l *Layout) File(proxy int) []byte {
	var t strings.Builder
	fmt.Fprintf(&t, "version = 2\nname = %q\n\n[process]\nmemory_mb = %d\nsockets = %d\n\n", Proxy(proxy), memoryMB, sockets)
	fmt.Fprintf(&t, "[[listeners]]\naddress = %q\n\n", Listen(proxy))
	if l.Source == result.SourceRelay {
		fmt.Fprintf(&t, "[distribution]\nname = %q\nrelays = [%s]\n\n", Proxy(proxy), quoted(l.Relays))
	}
	followed := l.Followed(proxy)
	for _, n := range followed {
		fmt.Fprintf(&t, "[services.%s]\ntrusted = true\n", Service(n))
		l.membership(&t, n)
		fmt.Fprintf(&t, "[services.%s.classes.%s]\nrepeat = \"safe\"\nobjective = \"300ms\"\ndeadline = %q\n\n", Service(n), Class, deadline)
	}
	for _, n := range followed {
		fmt.Fprintf(&t, "[[routes]]\nname = %q\nprefix = \"/%s\"\nservice = %q\nclass = %q\n\n", Service(n), Service(n), Service(n), Class)
	}
	return []byte(t.String())
}

func (l *Layout) membership(t *strings.Builder, service int) {
	switch l.Source {
	case result.SourceConsul:
		fmt.Fprintf(t, "membership = \"consul\"\ndiscovery = %q\n", l.Lists[service%len(l.Lists)])
	case result.SourceRelay:
		fmt.Fprintf(t, "membership = \"relay\"\n")
	default:
		fmt.Fprintf(t, "membership = \"static\"\nendpoints = [\n")
		for n := range l.Size.Backends {
			fmt.Fprintf(t, "  { name = %q, address = %q },\n", churn.Name(Service(service), n), Backend(service, n))
		}
		fmt.Fprintf(t, "]\n")
	}
}

func quoted(words []string) string {
	out := make([]string, len(words))
	for i, w := range words {
		out[i] = strconv.Quote(w)
	}
	return strings.Join(out, ", ")
}
