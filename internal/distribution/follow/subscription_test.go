package follow

import (
	"errors"
	"slices"
	"testing"

	"fernlanding/internal/distribution"
	"fernlanding/internal/distribution/httpapi"
)

// A resource that is followed anew, or no longer, is reported beside the read that waits.
func TestSubscribeWhileReadWaits(t *testing.T) {
	f := start(t, version(1), "a")
	f.read().ok()
	waiting := f.read()
	cancel := f.Subscribe("q", version(7), f)
	report := f.next()
	want := []distribution.Position{{Resource: "q", InForce: version(7)}}
	if report.req.HoldMs != 0 || !slices.Equal(report.req.Positions, want) {
		t.Errorf("%+v", report.req)
	}
	report.ok()
	cancel()
	report = f.next()
	if !slices.Equal(report.req.Unfollowed, []string{"q"}) {
		t.Errorf("%+v", report.req)
	}
	report.fail(errors.New("lost"))
	report = f.next()
	if !slices.Equal(report.req.Unfollowed, []string{"q"}) {
		t.Errorf("after a lost report: %+v", report.req)
	}
	report.ok()
	waiting.ok(
		distribution.Update{Resource: "q", Version: version(8)},
		distribution.Update{Resource: "r", From: version(1), Version: version(2)},
	)
	if u := <-f.updates; u.Resource != "r" {
		t.Errorf("%+v of a resource that is no longer followed", u)
	}
	if next := f.read(); !slices.Equal(next.req.Unfollowed, []string{"q"}) || f.sent["r"].InForce != version(2) {
		t.Errorf("%+v", next.req)
	}
}

// The last status of each resource is reported beside the read, again after a report that is lost,
// and all of them in a new session; none of a resource that is no longer followed.
func TestStatusReports(t *testing.T) {
	f := start(t, version(1), "a")
	cancel := f.Subscribe("q", version(1), f)
	f.read().ok()
	waiting := f.read()
	status := func(name string, proxies int) distribution.ResourceStatus {
		return distribution.ResourceStatus{
			Resource: name,
			Counts:   []distribution.VersionCount{{Version: version(1), Proxies: proxies}},
		}
	}
	f.Report([]distribution.ResourceStatus{status("q", 1), status("r", 1), status("unfollowed", 1)})
	report := f.next()
	if len(report.req.Statuses) != 2 || report.req.HoldMs != 0 {
		t.Errorf("%+v", report.req)
	}
	f.Report([]distribution.ResourceStatus{status("r", 2)})
	report.fail(errors.New("lost"))
	report = f.next()
	if len(report.req.Statuses) != 2 || f.statuses["r"].Counts[0].Proxies != 2 {
		t.Errorf("after a lost report: %+v", report.req)
	}
	report.ok()
	cancel()
	f.next().ok()
	waiting.fail(distribution.ErrUnknownSession)
	f.read().ok()
	for {
		if c := f.next(); len(c.req.Statuses) > 0 {
			if c.req.Statuses[0].Resource != "r" || len(c.req.Statuses) != 1 {
				t.Errorf("in a new session: %+v", c.req)
			}
			return
		}
	}
}

// A delta that crosses a new subscription without a version is no fault of the relay: the next read
// sends the position. Once that has been sent, such a delta is a fault.
func TestDeltaCrossesNewSubscription(t *testing.T) {
	f := &fixture{t: t, updates: make(chan distribution.Update, 10)}
	cfg := Config{Name: "p", Kind: distribution.KindProxy}
	f.Follower = newFollower(cfg, &scriptedTransport{}, new(httpapi.Traffic))
	f.Subscribe("r", version(3), f)
	f.markAllUnsent()
	f.takeUnsentPositions() // the relay gets version 3, and its delta is on the way
	f.Subscribe("r", distribution.Version{}, f)
	delta := []distribution.Update{{Resource: "r", From: version(3), Version: version(5)}}
	if err := f.applyUpdates(delta); err != nil {
		t.Errorf("the session would end: %v", err)
	}
	if positions, _ := f.takeUnsentPositions(); len(positions) != 1 || !positions[0].InForce.IsZero() {
		t.Errorf("the next read sends %+v", positions)
	}
	if err := f.applyUpdates(delta); err == nil {
		t.Error("a delta to a version other than the one that was sent is accepted")
	}
	if len(f.updates) > 0 {
		t.Errorf("applied: %+v", <-f.updates)
	}
}
