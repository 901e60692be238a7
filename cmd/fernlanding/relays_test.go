package main

import (
	"strings"
	"testing"
)

// A sidecar follows relays, all in processes of their own: changes arrive as deltas, a drain is in
// force where the source reports it, the other relay takes over from one that is killed, services
// are added and removed over the same connections, and with all relays dead the sidecar serves on
// and logs how old its lists are.
func TestSidecarFollowsRelays(t *testing.T) {
	f := startFleet(t)
	const requests = 40
	f.startSidecar()
	first, second := f.relaysInUse()

	f.waitForVersion(f.source, "one", f.put("one", "b", f.two, "serving"))
	f.waitForRequestAt("one", f.two)
	f.waitForVersion(f.source, "one", f.put("one", "a", f.one, "draining"))
	before := f.one.Requests()
	if served := f.send("one", requests); served != requests || f.one.Requests() != before {
		t.Errorf(
			"%d of %d served, %d by the backend whose drain is in force",
			served, requests, f.one.Requests()-before,
		)
	}
	if s := f.stats(first); s.SnapshotUpdates != 1 || s.DeltaUpdates != 2 {
		t.Errorf("the first relay sent %d snapshots and %d deltas, want 1 and 2", s.SnapshotUpdates, s.DeltaUpdates)
	}

	first.kill()
	waitUntil(t, "the other relay has the list", func() bool {
		u, err := f.client.Resource(t.Context(), second.direct, "lists/one")
		return err == nil && len(u.Items) == 2
	})
	f.waitForVersion(second.direct, "one", f.put("one", "a", f.one, "serving"))
	f.waitForRequestAt("one", f.one)
	if s := f.stats(second); s.SnapshotUpdates != 0 || s.DeltaUpdates != 1 || s.Sessions != 1 {
		t.Errorf(
			"the second relay sent %d snapshots and %d deltas in %d sessions, want 0, 1 and 1",
			s.SnapshotUpdates, s.DeltaUpdates, s.Sessions,
		)
	}

	f.checkReloadsKeepConnections(second)

	second.kill()
	line := f.sidecar.line(t, "silent=")
	if !strings.Contains(line, "distribution") {
		t.Errorf("no age of the lists is logged: %s", line)
	}
	if served := f.send("one", requests); served != requests {
		t.Errorf("without relays %d of %d served", served, requests)
	}
}
