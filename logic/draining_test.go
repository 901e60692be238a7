package logic

import (
	"fmt"
	"testing"
)

// An endpoint that rejects all its attempts may be draining. While an update is overdue, the
// endpoint gets no new attempts. After an update, the state in the list applies.
func TestRejectingEndpointMayDrainWhileUpdateIsOverdue(t *testing.T) {
	type end struct {
		sent, after int64
		status      Status
	}
	const first, between, last = 0, second / 2, second
	rejectedFirst, rejectedLast := end{first, first, Overloaded}, end{last, last, Overloaded}
	rejections := []end{rejectedFirst, rejectedLast}
	tooLate := end{maxOverdue - 2*second, maxOverdue - 2*second, Overloaded}
	for name, c := range map[string]struct {
		ends     []end
		overdue  bool
		at       int64
		mayDrain bool
	}{
		"an update is overdue":     {ends: rejections, overdue: true, at: last, mayDrain: true},
		"no update is overdue":     {ends: rejections, at: last},
		"one attempt was rejected": {ends: rejections[:1], overdue: true, at: last, mayDrain: true},
		"rejections over less than the delay": {
			ends: []end{rejectedFirst, {last - 1, last - 1, Overloaded}}, overdue: true, at: last - 1,
		},
		"one attempt was served in between": {
			ends: []end{rejectedFirst, {1, between, OK}, rejectedLast}, overdue: true, at: last,
		},
		"rejections long ago":               {ends: rejections, overdue: true, at: last + drainSuspicionExpiry},
		"an update is overdue for too long": {ends: []end{tooLate}, overdue: true, at: maxOverdue},
		"a cancellation is ignored": {
			ends: []end{rejectedFirst, {1, between, Canceled}, rejectedLast}, overdue: true, at: last, mayDrain: true,
		},
		"an attempt sent earlier was served since": {
			ends: []end{rejectedFirst, {-second, between, OK}, rejectedLast}, overdue: true, at: last, mayDrain: true,
		},
	} {
		b, h := newTestBalancer(t, testSettings(), 2)
		suspect := b.endpoints.byID["s0"]
		for i, e := range c.ends {
			id, now := fmt.Sprint("probe", i), start+e.after
			b.requests[id] = &request{
				Request:  Request{ID: id, ClientDeadline: now},
				attempts: []*attempt{{endpoint: suspect, sentAt: start + e.sent, inFlight: true}},
				inFlight: 1,
			}
			b.Outcome(now, h, Outcome{ID: id, Status: e.status, RequestDone: true})
		}
		if c.overdue {
			b.UpdateEndpoints(start, h, UpdateFailed, nil)
		}
		now := start + c.at
		if b.maybeDraining(now, suspect) != c.mayDrain {
			t.Errorf("%s: maybeDraining = %t", name, !c.mayDrain)
		}
		q := &request{Request: Request{ClientDeadline: now + second}, arrivedAt: now}
		suspectRank, otherRank := b.selectionRank(now, q, suspect), b.selectionRank(now, q, b.endpoints.byID["s1"])
		if c.mayDrain && suspectRank >= otherRank {
			t.Errorf("%s: rank is not below that of the other endpoint", name)
		}
		b.UpdateEndpoints(now, h, Delta, nil)
		if b.maybeDraining(now, suspect) {
			t.Errorf("%s: maybeDraining = true after an update", name)
		}
	}
}

// If lists are polled and the last one is so old that a change counts as notified, endpoints that
// have served recent attempts are preferred.
func TestServingEndpointsComeFirstWhileListIsStale(t *testing.T) {
	const failedAt = start + second
	for name, c := range map[string]struct {
		watch    bool
		kind     UpdateKind
		failed   bool
		at       int64
		mayDrain bool
	}{
		"stale":                         {true, Snapshot, true, start + listValidity, true},
		"not yet stale":                 {true, Snapshot, true, start + listValidity - 1, false},
		"stale, and no poll failed":     {true, Snapshot, false, start + listValidity, false},
		"cached by an earlier process":  {true, CachedSnapshot, true, start + listValidity, true},
		"overdue for too long":          {true, Snapshot, true, failedAt + maxOverdue, false},
		"lists are not polled":          {false, Snapshot, true, start + listValidity, false},
		"a delta instead of a snapshot": {true, Delta, true, start + listValidity, true},
		"a delta, not yet stale":        {true, Delta, true, start + listValidity - 1, false},
	} {
		s := testSettings()
		s.WatchEndpoints = c.watch
		if c.watch {
			s.PollInterval = 10 * second
		}
		b, h := newTestBalancer(t, s, 2)
		b.UpdateEndpoints(start, h, c.kind, []Endpoint{{ID: "s0", State: Ready}, {ID: "s1", State: Ready}})
		if c.failed {
			b.UpdateEndpoints(failedAt, h, UpdateFailed, nil)
		}
		busy, idle := b.endpoints.byID["s0"], b.endpoints.byID["s1"]
		busy.lastServedSentAt = c.at - recentlyServedWindow + 1
		if b.maybeDraining(c.at, busy) {
			t.Errorf("%s: maybeDraining = true for an endpoint that serves", name)
		}
		if b.maybeDraining(c.at, idle) != c.mayDrain {
			t.Errorf("%s: maybeDraining = %t for an endpoint that served no attempt", name, !c.mayDrain)
		}
	}
}
