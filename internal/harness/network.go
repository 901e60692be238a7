package harness

import (
	"net"
	"strconv"
	"strings"
	"time"

	"fernlanding/internal/harness/history"
	"fernlanding/internal/harness/link"
	"fernlanding/internal/harness/scenario"
)

// openNetwork finds free loopback addresses and ports and opens the relays there.
func (r *run) openNetwork() error {
	portCount := 1 + len(r.listNames) + len(r.backendNames)
	return r.OpenLinks(portCount, (*relayWatcher)(r), func(network, port int) error {
		sidecars := map[link.Addr]string{}
		r.addrs = nil
		for i, name := range r.sidecarNames {
			addr := link.AddrOf(network, i)
			r.addrs = append(r.addrs, addr)
			sidecars[addr] = name
		}
		r.sidecarPort = port
		return r.openRelays(sidecars, port+1)
	})
}

// openRelays opens a relay to the sidecars, one to each list service and one to each backend, in
// this order and on consecutive ports. The map sidecars has the names of the sidecars by address.
func (r *run) openRelays(sidecars map[link.Addr]string, firstPort int) error {
	r.listAddrs = make([]string, len(r.listNames))
	r.listRelayPorts, r.backendRelayPorts = nil, nil
	relays := []link.Relay{r.sidecarRelay(sidecars)}
	r.sidecarRelayPort = firstPort
	for i := range r.listNames {
		r.listRelayPorts = append(r.listRelayPorts, firstPort+len(relays))
		relays = append(relays, r.listRelay(sidecars, i))
	}
	for _, name := range r.backendNames {
		r.backendRelayPorts = append(r.backendRelayPorts, firstPort+len(relays))
		relays = append(relays, r.backendRelay(sidecars, name))
	}
	for i := range relays {
		relays[i].Port = firstPort + i
		if err := r.Links.Listen(relays[i]); err != nil {
			return err
		}
	}
	return nil
}

// sidecarRelay returns the relay from the clients to the sidecars.
func (r *run) sidecarRelay(sidecars map[link.Addr]string) link.Relay {
	return link.Relay{
		Group: scenario.OnClients + "-" + scenario.OnSidecars,
		Route: func(dialled link.Addr) (link.Peers, string, bool) {
			name, ok := sidecars[dialled]
			server := net.JoinHostPort(dialled.String(), strconv.Itoa(r.sidecarPort))
			return link.Peers{From: scenario.OnClients, To: name}, server, ok
		},
	}
}

// listRelay returns the relay from the sidecars to a list service.
func (r *run) listRelay(sidecars map[link.Addr]string, index int) link.Relay {
	return link.Relay{
		Group:      scenario.OnSidecars + "-" + scenario.OnLists,
		Deliveries: true,
		Route: func(dialled link.Addr) (link.Peers, string, bool) {
			r.mu.Lock()
			defer r.mu.Unlock()
			name, ok := sidecars[dialled]
			return link.Peers{From: name, To: r.listNames[index]}, r.listAddrs[index], ok
		},
	}
}

// backendRelay returns the relay from the sidecars to a backend.
func (r *run) backendRelay(sidecars map[link.Addr]string, backend string) link.Relay {
	return link.Relay{
		Group:      scenario.OnSidecars + "-" + scenario.OnBackends,
		AcceptRate: r.spec.Backends.AcceptRate,
		Backlog:    r.spec.Backends.Backlog,
		Route: func(dialled link.Addr) (link.Peers, string, bool) {
			r.mu.Lock()
			defer r.mu.Unlock()
			name, ok := sidecars[dialled]
			return link.Peers{From: name, To: backend}, r.backendAddrs[backend], ok
		},
	}
}

// relayWatcher is a link.Watcher that records the traffic on the relays in the run's history.
type relayWatcher run

// Opened records a new connection.
func (w *relayWatcher) Opened(peers link.Peers) {
	w.Record(history.Event{Kind: history.Opened, Who: peers.From, To: peers.To})
}

// Sent records a request from a sidecar to a backend. It ignores all other requests.
func (w *relayWatcher) Sent(peers link.Peers, conn string, n int64, at time.Time) {
	if peers.From == scenario.OnClients || strings.HasPrefix(peers.To, "list-") {
		return
	}
	w.Record(history.Event{
		Kind: history.Sent,
		At:   w.Clock.At(at),
		Who:  peers.From,
		To:   peers.To,
		Conn: conn,
		N:    n,
	})
}

// Delivered records how many bytes of the responses have been delivered to the reader.
func (w *relayWatcher) Delivered(peers link.Peers, conn string, n int64) {
	w.Record(history.Event{Kind: history.Delivered, Who: peers.To, To: peers.From, Conn: conn, Bytes: n})
}
