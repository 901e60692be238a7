package core_test

import (
	"fernlanding/internal/core"
	"fernlanding/internal/membership"
	"fernlanding/logic"
	"fmt"
	"log/slog"
	"testing"

	upstream "fernlanding/internal/upstream/http1"
)

// BenchmarkListed is one change of one server among many, told to a pool; every tenth takes one out or brings one back.
func BenchmarkListed(b *testing.B) {
	for _, n := range []int{100, 1000, 10_000} {
		for _, pools := range []int{1, 10} {
			b.Run(fmt.Sprintf("servers=%d/pools=%d", n, pools), func(b *testing.B) {
				var all []*core.Pool
				list := &membership.List{Version: 1, Full: true}
				for i := range n {
					list.Endpoints = append(list.Endpoints, membership.Endpoint{Name: fmt.Sprintf("server-%d", i), Address: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250), Cell: i % 8, Weight: 1})
				}
				for range pools {
					p, err := core.New(core.Config{
						Settings: logic.Settings{Replicas: 1, Zones: 1, MaxAttempts: 3, SlowStartMinCapacity: 1, Classes: []logic.Class{{LatencyObjective: 1e6, Deadline: 2e6, PriorityWeight: 1}}},
						Seed:     1, Zones: []string{""}, Upstream: upstream.New(upstream.Config{}), Clock: core.NewClock(), Log: slog.New(slog.DiscardHandler),
					})
					if err != nil {
						b.Fatal(err)
					}
					p.UpdateEndpoints(list)
					all = append(all, p)
				}
				change := &membership.List{Endpoints: make([]membership.Endpoint, 1)}
				i := 0
				for b.Loop() {
					change.Version = int64(i + 2)
					e := list.Endpoints[i/2*7%n]
					if e.Weight = 2; i%20 == 0 {
						e.Status = membership.Deleted
					}
					change.Endpoints[0] = e
					for _, p := range all {
						p.UpdateEndpoints(change)
					}
					i++
				}
			})
		}
	}
}
