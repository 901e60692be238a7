package node

import (
	"context"
	"errors"
	"testing"

	"fernlanding/internal/distribution"
	"fernlanding/internal/distribution/httpapi"
)

// A write reaches a proxy through two levels of relays, as a delta if the proxy has the previous
// version. The source then reports that the version is in force.
func TestUpdateThroughRelays(t *testing.T) {
	source := startSource(t, t.TempDir(), "")
	region := startRelay(t, "region", "", source.address)
	zone := startRelay(t, "zone", "", region.address)
	p := startProxy(t, "p1", zone.address)

	first := put(t, source.address, item("b1", "up"), item("b2", "up"))
	p.awaitVersion(first)
	second := put(t, source.address, urgently(item("b1", "draining")))
	p.awaitVersion(second)
	p.mu.Lock()
	if p.snapshots != 1 || p.deltas != 1 || p.items["b1"] != `"draining"` || p.items["b2"] != `"up"` {
		t.Errorf("got %d snapshots, %d deltas and items %v", p.snapshots, p.deltas, p.items)
	}
	p.mu.Unlock()
	eventually(t, "in force at the source", func() bool {
		progress := statusOf(source, second)
		return progress.Proxies == 1 && progress.Done()
	})
}

// A proxy that ends closes its session and is no longer counted.
func TestEndedProxyIsNotCounted(t *testing.T) {
	source := startSource(t, t.TempDir(), "")
	zone := startRelay(t, "zone", "", source.address)
	stays := startProxy(t, "stays", zone.address)
	ends := startProxy(t, "ends", zone.address)
	version := put(t, source.address, item("b1", "up"))
	stays.awaitVersion(version)
	ends.awaitVersion(version)
	eventually(t, "both in force", func() bool { return statusOf(zone, version).Proxies == 2 })
	ends.stop()
	if progress := statusOf(zone, version); progress.Proxies != 1 {
		t.Errorf("status of the relay: got %d proxies, want 1", progress.Proxies)
	}
	eventually(t, "one proxy at the source", func() bool { return statusOf(source, version).Proxies == 1 })
}

// A report that arrives after its follower has left does not count the follower again.
func TestReportAfterLeave(t *testing.T) {
	source := startSource(t, t.TempDir(), "")
	version := put(t, source.address, item("b1", "up"))
	c := httpapi.NewClient(nil)
	defer c.Close()
	ctx := context.Background()
	has := []distribution.Position{{Resource: resource, InForce: version}}
	open := &distribution.FollowRequest{Follower: "ends", Kind: distribution.KindProxy, Positions: has}
	opened, err := c.Follow(ctx, source.address, open)
	if err != nil {
		t.Fatal(err)
	}
	leave := distribution.FollowRequest{Follower: "ends", Kind: distribution.KindProxy, Session: opened.Session}
	late := leave
	leave.Leave = true
	late.Positions = has
	if _, err := c.Follow(ctx, source.address, &leave); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Follow(ctx, source.address, &late); !errors.Is(err, distribution.ErrUnknownSession) {
		t.Errorf("late report: got error %v, want ErrUnknownSession", err)
	}
	if progress := statusOf(source, version); progress.Proxies != 0 {
		t.Errorf("got %d proxies in the status, want 0", progress.Proxies)
	}
}

// A waiting read is answered at once when its follower leaves.
func TestLeaveEndsWaitingRead(t *testing.T) {
	source := startSource(t, t.TempDir(), "")
	c := httpapi.NewClient(nil)
	defer c.Close()
	ctx := context.Background()
	follower := distribution.FollowRequest{Follower: "ends", Kind: distribution.KindProxy}
	opened, err := c.Follow(ctx, source.address, &follower)
	if err != nil {
		t.Fatal(err)
	}
	read := make(chan error, 1)
	follower.Session = opened.Session
	waits := follower
	waits.HoldMs = distribution.MaxHoldMs
	go func() {
		_, err := c.Follow(ctx, source.address, &waits)
		read <- err
	}()
	eventually(t, "waiting read", func() bool { return source.Stats().WaitingReads == 1 })
	follower.Leave = true
	if _, err := c.Follow(ctx, source.address, &follower); err != nil {
		t.Fatal(err)
	}
	if err := <-read; !errors.Is(err, distribution.ErrUnknownSession) {
		t.Errorf("got error %v, want ErrUnknownSession", err)
	}
}
