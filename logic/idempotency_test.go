package logic

import (
	"fmt"
	"testing"
)

func TestRule2RetryAfterOutcome(t *testing.T) {
	for _, c := range []struct {
		class  int
		status Status
		after  int64
		want   string // retry (anywhere), cell or zone (retry there), fail, shed
	}{
		{0, Error, 1000, "retry"},
		{0, Reset, 1000, "retry"},
		{0, Overloaded, 1000, "retry"},
		{1, Overloaded, 1000, "retry"},
		{1, Error, 1000, "cell"},
		{1, Error, 300_000, "fail"}, // after the dedup window
		{2, Overloaded, 1000, "retry"},
		{2, ConnectFailed, 1000, "retry"},
		{2, Error, 1000, "fail"},
		{2, TimedOut, 1000, "fail"},
		{2, Reset, 1000, "fail"},
		{3, Error, 1000, "retry"},
		{3, Error, 300_000, "shed"},
		{4, Error, 1000, "zone"},
		{4, Error, 300_000, "fail"},
	} {
		b, h := newTestBalancer(t, testSettings(), 8)
		where := map[string]Endpoint{}
		for _, s := range testEndpoints(8) {
			where[s.ID] = s
		}
		submit(b, h, start, "r", c.class)
		b.Outcome(start+c.after, h, Outcome{ID: "r", Status: c.status, Latency: c.after})
		name := fmt.Sprintf("class %d after status %d at %d", c.class, c.status, c.after)
		switch c.want {
		case "fail", "shed":
			if h.last() != c.want+" r" {
				t.Errorf("%s: got %q, want %s", name, h.last(), c.want)
			}
			continue
		}
		if len(h.sends) != 2 {
			t.Errorf("%s: got %q, want a retry", name, h.last())
			continue
		}
		one, two := where[h.sends[0].endpoint], where[h.sends[1].endpoint]
		if c.want == "cell" && one.Cell != two.Cell || c.want == "zone" && one.Zone != two.Zone {
			t.Errorf("%s: retried at %v after %v, want the same %s", name, two, one, c.want)
		}
	}
}

// Some services reject work that they have already begun. With them, Overloaded must cause neither
// a retry nor shedding.
func TestRejectionMayHaveRun(t *testing.T) {
	s := testSettings()
	s.RejectionMayHaveRun = true
	b, h := newTestBalancer(t, s, 8)
	submit(b, h, start, "non-idempotent", 2)
	b.Outcome(start+1000, h, Outcome{ID: "non-idempotent", Status: Overloaded, Latency: 1000})
	if len(h.sends) != 1 || h.last() != "fail non-idempotent" {
		t.Errorf("rejected non-idempotent request: got actions %q, want one attempt and fail", h.actions)
	}
	submit(b, h, start+2000, "by key", 1)
	b.Outcome(start+3000, h, Outcome{ID: "by key", Status: Overloaded, Latency: 1000})
	cellOf := func(send int) int { return b.endpoints.byID[h.sends[send].endpoint].Cell }
	if len(h.sends) != 3 || cellOf(1) != cellOf(2) {
		t.Errorf("rejected request that is idempotent by key: got actions %q, want a retry in the same cell", h.actions)
	}
}

// A retry may have to wait for a connection. It is allowed only if it is still sent within the
// dedup window.
func TestRetryByKeyIsSentWithinDedupWindow(t *testing.T) {
	s := testSettings()
	s.MaxSendDelay = 20_000
	window := s.Classes[1].DedupWindow
	latest := window - s.MaxSendDelay
	for after, want := range map[int64]string{latest: "fail r", latest - 1: "retry"} {
		b, h := newTestBalancer(t, s, 8)
		submit(b, h, start, "r", 1)
		b.Outcome(start+after, h, Outcome{ID: "r", Status: Error, Latency: after})
		if want == "retry" && len(h.sends) != 2 || want != "retry" && h.last() != want {
			t.Errorf("%d us into a dedup window of %d us: got %q, want %s", after, window, h.last(), want)
		}
	}
}

// An attempt that was sent to an address at which another endpoint has started since may have run
// there too: it is retried only where duplicates of both are dropped.
func TestTakenOverAddressLimitsRetries(t *testing.T) {
	for _, c := range []struct {
		name      string
		class     int
		startedAt int64
		cell      int
		wantRetry bool
	}{
		{"idempotent", 0, start + 1, 99, true},
		{"by key, newer in another cell", 1, start + 1, 99, false},
		{"by key, newer in the same cell", 1, start + 1, -1, true},
		{"by key, same start", 1, 0, 99, true},
		{"by key in the tier", 3, start + 1, 99, true},
	} {
		b, h := newTestBalancer(t, testSettings(), 8)
		endpoints := testEndpoints(8)
		for i := range endpoints {
			endpoints[i].Address = "address of " + endpoints[i].ID
		}
		b.UpdateEndpoints(start, h, Snapshot, endpoints)
		submit(b, h, start, "r", c.class)
		var newer Endpoint
		for _, e := range endpoints {
			if e.ID == h.sends[0].endpoint {
				newer = e
			}
		}
		newer.ID, newer.StartedAt = "newer", c.startedAt
		if c.cell >= 0 {
			newer.Cell = c.cell
		}
		newer.State = Draining // gets nothing itself
		b.UpdateEndpoints(start+10, h, Delta, []Endpoint{newer, {ID: h.sends[0].endpoint, State: Removed}})
		b.Outcome(start+1000, h, Outcome{ID: "r", Status: Reset, Latency: 1000})
		if retried := len(h.sends) == 2; retried != c.wantRetry {
			t.Errorf("%s: got %q, want a retry: %v", c.name, h.last(), c.wantRetry)
		}
	}
}
