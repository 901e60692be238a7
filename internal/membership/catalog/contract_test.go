package catalog

import (
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"fernlanding/internal/membership"
	"fernlanding/internal/membership/contract"
	"fernlanding/internal/standin"
	"fernlanding/internal/start"
)

// registry implements contract.Registry with a stand-in for the platform's discovery.
type registry struct{ discovery *standin.Discovery }

func (r registry) Put(endpoints ...membership.Endpoint) {
	r.discovery.Put(standin.Members(endpoints)...)
}

func (r registry) Delete(names ...string) { r.discovery.Delete(names...) }

func (r registry) InjectFault(n int) (string, bool) {
	switch n {
	case 0:
		r.discovery.SetDown(true)
		return "discovery is down", true
	case 1:
		r.discovery.SetUnresponsive(true)
		return "discovery is silent", true
	case 2:
		r.discovery.SetFault(standin.DiscoveryTruncated)
		r.discovery.Put(standin.Member{Name: "change", Address: "127.0.0.1:1"}) // causes a response to truncate
		r.discovery.Delete("change")
		return "its responses are truncated", true
	}
	return "", false
}

func (r registry) ClearFault() {
	r.discovery.SetDown(false)
	r.discovery.SetUnresponsive(false)
}

func TestContract(t *testing.T) {
	const timeout = 300 * time.Millisecond
	cfg := start.PollConfig{Replicas: 10, Hold: timeout, FullTimeout: timeout, WatchTimeout: timeout}
	for name, newScheduler := range map[string]func() *start.PollScheduler{
		"pushed": func() *start.PollScheduler { return nil },
		"scheduled": func() *start.PollScheduler {
			return start.NewPollScheduler(cfg, rand.New(rand.NewPCG(1, 1)))
		},
	} {
		t.Run(name, func(t *testing.T) {
			contract.Test(t, func(t *testing.T) (membership.Source, contract.Registry) {
				t.Helper()
				discovery, err := standin.NewDiscovery()
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(discovery.Close)
				client := New(Config{
					Address: discovery.Addr(), Log: slog.New(slog.DiscardHandler), Scheduler: newScheduler(),
					KnownVersion: -1, Urgent: func() bool { return true },
				})
				return client, registry{discovery: discovery}
			})
		})
	}
}
