package core_test

import (
	"fmt"
	"log/slog"
	"testing"

	"fernlanding/internal/core"
	"fernlanding/internal/membership"
	"fernlanding/logic"

	upstream "fernlanding/internal/upstream/http1"
)

// BenchmarkUpdateEndpoints measures deltas of one endpoint in lists of different sizes. Every tenth
// pair of deltas removes the endpoint and adds it again.
func BenchmarkUpdateEndpoints(b *testing.B) {
	for _, n := range []int{100, 1000, 10_000} {
		for _, poolCount := range []int{1, 10} {
			b.Run(fmt.Sprintf("servers=%d/pools=%d", n, poolCount), func(b *testing.B) {
				var pools []*core.Pool
				list := &membership.List{Version: 1, Full: true}
				for i := range n {
					list.Endpoints = append(list.Endpoints, membership.Endpoint{
						Name:    fmt.Sprintf("server-%d", i),
						Address: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250),
						Cell:    i % 8,
						Weight:  1,
					})
				}
				for range poolCount {
					p, err := core.New(core.Config{
						Settings: logic.Settings{
							Replicas: 1, Zones: 1, MaxAttempts: 3, SlowStartMinCapacity: 1,
							Classes: []logic.Class{{LatencyObjective: 1e6, Deadline: 2e6, PriorityWeight: 1}},
						},
						Seed:     1,
						Zones:    []string{""},
						Upstream: upstream.New(upstream.Config{}),
						Clock:    core.NewClock(),
						Log:      slog.New(slog.DiscardHandler),
					})
					if err != nil {
						b.Fatal(err)
					}
					p.UpdateEndpoints(list)
					pools = append(pools, p)
				}
				change := &membership.List{Endpoints: make([]membership.Endpoint, 1)}
				i := 0
				for b.Loop() {
					change.Version = int64(i + 2)
					endpoint := list.Endpoints[i/2*7%n]
					endpoint.Weight = 2
					if i%20 == 0 {
						endpoint.Status = membership.Deleted
					}
					change.Endpoints[0] = endpoint
					for _, p := range pools {
						p.UpdateEndpoints(change)
					}
					i++
				}
			})
		}
	}
}
