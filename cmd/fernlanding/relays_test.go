package main

import (
	"strings"
	"testing"
)

// A sidecar follows two relays, each in a process of its own. Changes arrive as deltas. A drain is
// in force once the source reports so. When a relay is killed, the sidecar fails over to the other
// one. Services are added and removed over the same connections. With all relays dead, the sidecar
// continues to serve and logs the age of its lists.
func TestSidecarFollowsRelays(t *testing.T) {
	f := startFleet(t)
	const requests = 40
	f.startSidecar()
	first, second := f.relaysInUse()

	f.waitForVersion(f.sourceAddress, "one", f.put("one", "b", f.secondBackend, "serving"))
	f.waitForRequestAt("one", f.secondBackend)
	f.waitForVersion(f.sourceAddress, "one", f.put("one", "a", f.firstBackend, "draining"))
	before := f.firstBackend.Requests()
	if served := f.send("one", requests); served != requests || f.firstBackend.Requests() != before {
		t.Errorf(
			"got %d of %d requests served and %d by the draining backend, want all and 0",
			served, requests, f.firstBackend.Requests()-before,
		)
	}
	if s := f.stats(first); s.SnapshotUpdates != 1 || s.DeltaUpdates != 2 {
		t.Errorf("first relay: got %d snapshots and %d deltas sent, want 1 and 2", s.SnapshotUpdates, s.DeltaUpdates)
	}

	first.kill()
	waitUntil(t, "the other relay has the list", func() bool {
		u, err := f.client.Resource(t.Context(), second.listenAddress, "lists/one")
		return err == nil && len(u.Items) == 2
	})
	f.waitForVersion(second.listenAddress, "one", f.put("one", "a", f.firstBackend, "serving"))
	f.waitForRequestAt("one", f.firstBackend)
	if s := f.stats(second); s.SnapshotUpdates != 0 || s.DeltaUpdates != 1 || s.Sessions != 1 {
		t.Errorf(
			"second relay: got %d snapshots and %d deltas sent in %d sessions, want 0, 1 and 1",
			s.SnapshotUpdates, s.DeltaUpdates, s.Sessions,
		)
	}

	f.checkReloadsKeepConnections(second)

	second.kill()
	line := f.sidecar.waitForLine(t, "silent=")
	if !strings.Contains(line, "distribution") {
		t.Errorf("log line with the age of the lists: got %s, want one about distribution", line)
	}
	if served := f.send("one", requests); served != requests {
		t.Errorf("without relays: got %d of %d requests served, want all", served, requests)
	}
}
