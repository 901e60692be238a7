package relayed

import (
	"context"
	"encoding/json"
	"fernlanding/internal/distribution"
	"fernlanding/internal/distribution/follow"
	"fernlanding/internal/distribution/node/nodetest"
	"fernlanding/internal/membership"
	"fernlanding/internal/membership/contract"
	"log/slog"
	"sync"
	"testing"
)

// registry is a source with a relay on sockets, and a gate before the relay, in the hands of the contract's suite.
type registry struct {
	t      *testing.T
	source *nodetest.Node
	relay  *nodetest.Node
	gate   *nodetest.Gate
	broken int // the way in which it fails; -1: none
}

// The ways to fail.
const (
	cut = iota
	stalled
	relayKilled
	waysToFail
)

func (r *registry) Put(all ...membership.Endpoint) {
	items := make([]distribution.Item, len(all))
	for i, e := range all {
		items[i] = distribution.Item{Key: e.Name, Value: value(e), Urgent: e.Status == membership.Draining}
	}
	r.source.Write(r.t, Resource("s"), items...)
}

// value words a backend as an item's value.
func value(e membership.Endpoint) json.RawMessage {
	v := map[string]any{"address": e.Address, "zone": e.Zone, "cell": e.Cell, "weight": e.Weight, "since": e.SinceMs}
	if e.Status == membership.Draining {
		v["status"] = "draining"
	}
	data, err := json.Marshal(v)
	if err != nil {
		panic(err) // not possible: no figure is infinite
	}
	return data
}

func (r *registry) Delete(names ...string) {
	items := make([]distribution.Item, len(names))
	for i, n := range names {
		items[i] = distribution.Item{Key: n, Deleted: true, Urgent: true}
	}
	r.source.Write(r.t, Resource("s"), items...)
}

func (r *registry) Break(n int) (string, bool) {
	if n >= waysToFail {
		return "", false
	}
	r.broken = n
	switch n {
	case cut:
		r.gate.Cut()
	case stalled:
		r.gate.Stall()
	case relayKilled:
		r.relay.Kill()
	}
	return [...]string{"cut", "stalled", "relay killed"}[n], true
}

func (r *registry) Mend() {
	if r.broken == relayKilled { // another process at its address, which has nothing yet
		r.relay = nodetest.Relay(r.t, "relay", r.relay.Address, r.source.Address)
	}
	r.broken = -1
	r.gate.Open()
}

// runFollower runs a follower until the test ends.
func runFollower(t *testing.T, relays ...string) *follow.Follower {
	f := follow.New(follow.Config{Name: "proxy", Kind: distribution.KindProxy, Relays: relays, Hold: nodetest.Hold})
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { f.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	return f
}

func TestContract(t *testing.T) {
	contract.Test(t, func(t *testing.T) (membership.Source, contract.Registry) {
		source := nodetest.Source(t)
		relay := nodetest.Relay(t, "relay", "127.0.0.1:0", source.Address)
		gate := nodetest.NewGate(t, relay.Address)
		lists := NewLists(slog.New(slog.DiscardHandler))
		lists.SetFollower(runFollower(t, gate.Address))
		return NewSource(lists, "s"), &registry{t: t, source: source, relay: relay, gate: gate, broken: -1}
	})
}
