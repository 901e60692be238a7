package rollout

import (
	"net"
	"slices"
	"strconv"
	"time"

	"fernlanding/internal/harness/link"
	"fernlanding/internal/harness/rollout/plan"
)

// extraPorts is how many ports the links need beyond one for each server: one, because the source
// has two links, and spare ones.
const extraPorts = 3

// servers returns the source and all relays.
func (r *run) servers() []string {
	return slices.Concat(r.sc.Names(plan.OnSource), r.sc.Names(plan.OnRegions), r.sc.Names(plan.OnZones))
}

// openLinks finds addresses and ports that are free, and opens the links.
func (r *run) openLinks() error {
	servers := r.servers()
	return r.OpenLinks(len(servers)+extraPorts, noWatcher{}, func(network, port int) error {
		r.serverPort = port
		r.places = make(map[string]link.Addr)
		for i, name := range slices.Concat(servers, []string{plan.PublisherName}, r.sc.FollowerNames()) {
			r.places[name] = link.AddrOf(network, i)
		}
		return r.listenOnLinks()
	})
}

// listenOnLinks opens the links to the source and to each relay.
func (r *run) listenOnLinks() error {
	names := make(map[link.Addr]string, len(r.places))
	for name, place := range r.places {
		names[place] = name
	}
	port := r.serverPort
	for _, server := range r.servers() {
		to := func(at link.Addr) (link.Peers, string, bool) {
			name, known := names[at]
			return link.Peers{From: name, To: server}, r.address(server), known
		}
		for _, group := range r.sc.LinksTo(server) {
			port++
			r.linkPorts[linkEnd{link: group, server: server}] = port
			if err := r.Links.Listen(link.Relay{Group: group, Port: port, Route: to}); err != nil {
				return err
			}
		}
	}
	return nil
}

// address returns where the source or a relay itself listens.
func (r *run) address(server string) string {
	return net.JoinHostPort(r.places[server].String(), strconv.Itoa(r.serverPort))
}

// linkAddress returns where a caller reaches a server over its link.
func (r *run) linkAddress(caller, server string) string {
	end := linkEnd{link: r.sc.LinkBetween(caller, server), server: server}
	return net.JoinHostPort(r.places[caller].String(), strconv.Itoa(r.linkPorts[end]))
}

// noWatcher is a link.Watcher that records nothing: the workers at the ends of a link record what
// passes.
type noWatcher struct{}

// Opened implements link.Watcher.
func (noWatcher) Opened(link.Peers) {}

// Sent implements link.Watcher.
func (noWatcher) Sent(link.Peers, string, int64, time.Time) {}

// Delivered implements link.Watcher.
func (noWatcher) Delivered(link.Peers, string, int64) {}
