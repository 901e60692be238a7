package rollout

import (
	"net"
	"slices"
	"strconv"
	"time"

	"fernlanding/internal/harness/link"
	"fernlanding/internal/harness/rollout/plan"
)

// extraPorts is the number of ports that the links need in addition to one port per server. One is
// for the second link of the source; the others are spare.
const extraPorts = 3

// servers returns the names of the source and all relays.
func (r *run) servers() []string {
	return slices.Concat(r.sc.Names(plan.OnSource), r.sc.Names(plan.OnRegions), r.sc.Names(plan.OnZones))
}

// openLinks finds free addresses and ports and opens the links.
func (r *run) openLinks() error {
	servers := r.servers()
	return r.OpenLinks(len(servers)+extraPorts, noWatcher{}, func(network, port int) error {
		r.serverPort = port
		r.addrs = make(map[string]link.Addr)
		for i, name := range slices.Concat(servers, []string{plan.PublisherName}, r.sc.FollowerNames()) {
			r.addrs[name] = link.AddrOf(network, i)
		}
		return r.listenOnLinks()
	})
}

// listenOnLinks opens the links to the source and to each relay.
func (r *run) listenOnLinks() error {
	names := make(map[link.Addr]string, len(r.addrs))
	for name, addr := range r.addrs {
		names[addr] = name
	}
	port := r.serverPort
	for _, server := range r.servers() {
		route := func(dialled link.Addr) (link.Peers, string, bool) {
			name, known := names[dialled]
			return link.Peers{From: name, To: server}, r.address(server), known
		}
		for _, group := range r.sc.LinksTo(server) {
			port++
			r.linkPorts[linkEnd{link: group, server: server}] = port
			if err := r.Links.Listen(link.Relay{Group: group, Port: port, Route: route}); err != nil {
				return err
			}
		}
	}
	return nil
}

// address returns the listening address of the source or a relay.
func (r *run) address(server string) string {
	return net.JoinHostPort(r.addrs[server].String(), strconv.Itoa(r.serverPort))
}

// linkAddress returns the address at which a caller reaches a server through the link between them.
func (r *run) linkAddress(caller, server string) string {
	end := linkEnd{link: r.sc.LinkBetween(caller, server), server: server}
	return net.JoinHostPort(r.addrs[caller].String(), strconv.Itoa(r.linkPorts[end]))
}

// noWatcher is a link.Watcher that records nothing. The workers at the ends of a link record the
// traffic.
type noWatcher struct{}

// Opened implements link.Watcher.
func (noWatcher) Opened(link.Peers) {}

// Sent implements link.Watcher.
func (noWatcher) Sent(link.Peers, string, int64, time.Time) {}

// Delivered implements link.Watcher.
func (noWatcher) Delivered(link.Peers, string, int64) {}
