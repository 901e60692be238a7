package catalog

import (
	"log/slog"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"fernlanding/internal/standin"
	"fernlanding/internal/start"
)

// callLog records the calls that a stand-in for discovery has received.
type callLog struct {
	mu    sync.Mutex
	calls []standin.DiscoveryCall
}

func (l *callLog) add(call standin.DiscoveryCall) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls = append(l.calls, call)
}

// matching returns the calls for which match returns true.
func (l *callLog) matching(match func(standin.DiscoveryCall) bool) []standin.DiscoveryCall {
	l.mu.Lock()
	defer l.mu.Unlock()
	var calls []standin.DiscoveryCall
	for _, call := range l.calls {
		if match(call) {
			calls = append(calls, call)
		}
	}
	return calls
}

// waitFor waits until the number of matching calls exceeds more.
func (l *callLog) waitFor(t *testing.T, what string, more int, match func(standin.DiscoveryCall) bool) {
	t.Helper()
	deadline := time.Now().Add(20 * time.Second)
	for len(l.matching(match)) <= more {
		if time.Now().After(deadline) {
			t.Fatalf("%s: none within 20 s", what)
		}
		time.Sleep(time.Millisecond) // polling, since there is no notification of calls
	}
}

// An empty list from a discovery that has lost its members does not make a replica without a list
// ready. If discovery returns to an older state, the replica reads the full list. Retry-After is
// honored.
func TestScheduledCallsToFailingDiscovery(t *testing.T) {
	const retryAfter = 400 * time.Millisecond
	var log callLog
	discovery, err := standin.NewDiscoveryWith(standin.DiscoveryConfig{RetryAfter: retryAfter, OnCallEnd: log.add})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(discovery.Close)
	for range 3 {
		discovery.Put(
			standin.Member{Name: "a", Address: "127.0.0.1:1"}, standin.Member{Name: "b", Address: "127.0.0.1:2"})
	}
	discovery.SetFault(standin.DiscoveryEmpty)
	lists := make(listSink, 100)
	run(t, New(Config{
		Address: discovery.Addr(), Log: slog.New(slog.DiscardHandler), KnownVersion: -1,
		Urgent:    func() bool { return true },
		Scheduler: start.NewPollScheduler(start.PollConfig{Hold: 50 * time.Millisecond}, rand.New(rand.NewPCG(1, 1))),
	}), lists)
	log.waitFor(t, "calls while the list is empty", 3, func(standin.DiscoveryCall) bool { return true })
	if len(lists) > 0 {
		t.Fatalf("an empty list was delivered as the first list: %+v", <-lists)
	}
	discovery.SetFault(standin.DiscoveryOK)
	discovery.Put(standin.Member{Name: "c", Address: "127.0.0.1:3"})
	if list := <-lists; len(list.Endpoints) == 0 {
		t.Fatalf("first list is %+v", list)
	}
	isFullRead := func(call standin.DiscoveryCall) bool { return call.From < 0 && call.Status == 200 }
	fullReads := len(log.matching(isFullRead))
	discovery.SetFault(standin.DiscoveryRolledBack)
	discovery.SetFault(standin.DiscoveryOK)
	log.waitFor(t, "a full read of the older state", fullReads, isFullRead)
	discovery.SetDown(true)
	isRejected := func(call standin.DiscoveryCall) bool { return call.Status == 503 }
	log.waitFor(t, "two calls that are rejected", 1, isRejected)
	rejected := log.matching(isRejected)
	if delay := rejected[1].StartTime.Sub(rejected[0].StartTime); delay < retryAfter {
		t.Errorf("call received %v after a rejection with Retry-After %v", delay, retryAfter)
	}
}
