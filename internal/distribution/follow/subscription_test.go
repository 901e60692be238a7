package follow

import (
	"errors"
	"slices"
	"testing"

	"fernlanding/internal/distribution"
	"fernlanding/internal/distribution/httpapi"
)

// A newly followed resource, and one that is no longer followed, is reported while a read waits.
func TestSubscribeWhileReadWaits(t *testing.T) {
	f := start(t, version(1), "a")
	f.nextRead().ok()
	waiting := f.nextRead()
	cancel := f.Subscribe("q", version(7), f)
	report := f.nextCall()
	want := []distribution.Position{{Resource: "q", InForce: version(7)}}
	if report.req.HoldMs != 0 || !slices.Equal(report.req.Positions, want) {
		t.Errorf("after Subscribe: got %+v, want a report of positions %+v", report.req, want)
	}
	report.ok()
	cancel()
	report = f.nextCall()
	if !slices.Equal(report.req.Unfollowed, []string{"q"}) {
		t.Errorf("after cancel: got %+v, want q unfollowed", report.req)
	}
	report.fail(errors.New("lost"))
	report = f.nextCall()
	if !slices.Equal(report.req.Unfollowed, []string{"q"}) {
		t.Errorf("after a lost report: got %+v, want q unfollowed", report.req)
	}
	report.ok()
	waiting.ok(
		distribution.Update{Resource: "q", Version: version(8)},
		distribution.Update{Resource: "r", From: version(1), Version: version(2)},
	)
	if u := <-f.updates; u.Resource != "r" {
		t.Errorf("got update %+v of a resource that is no longer followed", u)
	}
	if next := f.nextRead(); !slices.Equal(next.req.Unfollowed, []string{"q"}) || f.sent["r"].InForce != version(2) {
		t.Errorf("after an update of an unfollowed resource: got %+v, want q unfollowed again", next.req)
	}
}

// The last status of each resource is reported while a read waits, again after a report is lost,
// and again in a new session. Statuses of resources that are no longer followed are not reported.
func TestStatusReports(t *testing.T) {
	f := start(t, version(1), "a")
	cancel := f.Subscribe("q", version(1), f)
	f.nextRead().ok()
	waiting := f.nextRead()
	status := func(name string, proxies int) distribution.ResourceStatus {
		return distribution.ResourceStatus{
			Resource: name,
			Counts:   []distribution.VersionCount{{Version: version(1), Proxies: proxies}},
		}
	}
	f.Report([]distribution.ResourceStatus{status("q", 1), status("r", 1), status("unfollowed", 1)})
	report := f.nextCall()
	if len(report.req.Statuses) != 2 || report.req.HoldMs != 0 {
		t.Errorf("got %+v, want a report of 2 statuses", report.req)
	}
	f.Report([]distribution.ResourceStatus{status("r", 2)})
	report.fail(errors.New("lost"))
	report = f.nextCall()
	if len(report.req.Statuses) != 2 || f.statuses["r"].Counts[0].Proxies != 2 {
		t.Errorf("after a lost report: got %+v, want a report of 2 statuses", report.req)
	}
	report.ok()
	cancel()
	f.nextCall().ok()
	waiting.fail(distribution.ErrUnknownSession)
	f.nextRead().ok()
	for {
		if c := f.nextCall(); len(c.req.Statuses) > 0 {
			if c.req.Statuses[0].Resource != "r" || len(c.req.Statuses) != 1 {
				t.Errorf("in a new session: got %+v, want the status of r only", c.req)
			}
			return
		}
	}
}

// A relay may send a delta before it receives the position of a new subscription without a version.
// The follower ignores the delta and sends the position with the next read. After that, such a
// delta is an error.
func TestDeltaCrossesNewSubscription(t *testing.T) {
	f := &fixture{t: t, updates: make(chan distribution.Update, 10)}
	cfg := Config{Name: "p", Kind: distribution.KindProxy}
	f.Follower = newFollower(cfg, &scriptedTransport{}, new(httpapi.Traffic))
	f.Subscribe("r", version(3), f)
	f.markAllUnsent()
	f.takeUnsentPositions() // the relay receives version 3 and sends a delta from it
	f.Subscribe("r", distribution.Version{}, f)
	delta := []distribution.Update{{Resource: "r", From: version(3), Version: version(5)}}
	if err := f.applyUpdates(delta); err != nil {
		t.Errorf("before the position is sent: got error %v, which would end the session", err)
	}
	if positions, _ := f.takeUnsentPositions(); len(positions) != 1 || !positions[0].InForce.IsZero() {
		t.Errorf("next read: got positions %+v, want one without a version", positions)
	}
	if err := f.applyUpdates(delta); err == nil {
		t.Error("after the position was sent: a delta from another version was accepted")
	}
	if len(f.updates) > 0 {
		t.Errorf("update %+v was applied", <-f.updates)
	}
}
