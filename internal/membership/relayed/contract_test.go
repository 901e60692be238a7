package relayed

import (
	"context"
	"encoding/json"
	"log/slog"
	"sync"
	"testing"

	"fernlanding/internal/distribution"
	"fernlanding/internal/distribution/follow"
	"fernlanding/internal/distribution/node/nodetest"
	"fernlanding/internal/membership"
	"fernlanding/internal/membership/contract"
)

// registry implements contract.Registry with a source of distribution and a relay, which use
// sockets. A gate in front of the relay injects faults.
type registry struct {
	t      *testing.T
	source *nodetest.Node
	relay  *nodetest.Node
	gate   *nodetest.FaultProxy
	fault  int // noFault or one of the faults
}

// The faults of a registry.
const (
	noFault = iota - 1
	cut
	stalled
	relayKilled
	faultCount
)

func (r *registry) Put(endpoints ...membership.Endpoint) {
	items := make([]distribution.Item, len(endpoints))
	for i, e := range endpoints {
		items[i] = distribution.Item{Key: e.Name, Value: itemValue(e), Urgent: e.Status == membership.Draining}
	}
	r.source.Write(r.t, Resource("s"), items...)
}

// itemValue returns the value of an endpoint's item.
func itemValue(e membership.Endpoint) json.RawMessage {
	value := map[string]any{
		"address": e.Address, "zone": e.Zone, "cell": e.Cell, "weight": e.Weight, "since": e.StartedMs,
	}
	if e.Status == membership.Draining {
		value["status"] = "draining"
	}
	data, err := json.Marshal(value)
	if err != nil {
		panic(err) // unreachable: no number is infinite
	}
	return data
}

func (r *registry) Delete(names ...string) {
	items := make([]distribution.Item, len(names))
	for i, name := range names {
		items[i] = distribution.Item{Key: name, Deleted: true, Urgent: true}
	}
	r.source.Write(r.t, Resource("s"), items...)
}

func (r *registry) InjectFault(n int) (string, bool) {
	if n >= faultCount {
		return "", false
	}
	r.fault = n
	switch n {
	case cut:
		r.gate.Disconnect()
	case stalled:
		r.gate.Stall()
	case relayKilled:
		r.relay.Kill()
	}
	return [...]string{"cut", "stalled", "relay killed"}[n], true
}

func (r *registry) ClearFault() {
	if r.fault == relayKilled { // a new process at the same address, without any state
		r.relay = nodetest.StartRelay(r.t, "relay", r.relay.Address, r.source.Address)
	}
	r.fault = noFault
	r.gate.Resume()
}

// runFollower runs a follower until the test ends.
func runFollower(t *testing.T, relays ...string) *follow.Follower {
	t.Helper()
	cfg := follow.Config{Name: "proxy", Kind: distribution.KindProxy, Relays: relays, Hold: nodetest.Hold}
	follower := follow.New(cfg)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { follower.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	return follower
}

func TestContract(t *testing.T) {
	contract.Test(t, func(t *testing.T) (membership.Source, contract.Registry) {
		t.Helper()
		source := nodetest.StartSource(t)
		relay := nodetest.StartRelay(t, "relay", "127.0.0.1:0", source.Address)
		gate := nodetest.NewFaultProxy(t, relay.Address)
		lists := NewLists(slog.New(slog.DiscardHandler))
		lists.SetFollower(runFollower(t, gate.Address))
		return NewSource(lists, "s"), &registry{t: t, source: source, relay: relay, gate: gate, fault: noFault}
	})
}
