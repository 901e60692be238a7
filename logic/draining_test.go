package logic

import (
	"fmt"
	"testing"
)

// An endpoint that rejects all that it is sent may be draining. While an update is overdue it gets
// nothing new, and once one has come it counts as what that says.
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
		"in less than the time": {
			ends: []end{rejectedFirst, {last - 1, last - 1, Overloaded}}, overdue: true, at: last - 1,
		},
		"one was served in between": {
			ends: []end{rejectedFirst, {1, between, OK}, rejectedLast}, overdue: true, at: last,
		},
		"long ago":                          {ends: rejections, overdue: true, at: last + drainSuspicionExpiry},
		"an update is overdue for too long": {ends: []end{tooLate}, overdue: true, at: maxOverdue},
		"a cancellation says nothing": {
			ends: []end{rejectedFirst, {1, between, Canceled}, rejectedLast}, overdue: true, at: last, mayDrain: true,
		},
		"an earlier attempt was served since": {
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
			t.Errorf("%s: maybeDraining is %t", name, !c.mayDrain)
		}
		q := &request{Request: Request{ClientDeadline: now + second}, arrivedAt: now}
		suspectRank, otherRank := b.selectionRank(now, q, suspect), b.selectionRank(now, q, b.endpoints.byID["s1"])
		if c.mayDrain && suspectRank >= otherRank {
			t.Errorf("%s: it does not come after the others", name)
		}
		b.UpdateEndpoints(now, h, Delta, nil)
		if b.maybeDraining(now, suspect) {
			t.Errorf("%s: it may drain though an update has come", name)
		}
	}
}

// Where lists are polled and the last is so old that a change would count as notified, endpoints
// that have served lately come first.
func TestServingEndpointsComeFirstWhileListIsStale(t *testing.T) {
	const failedAt = start + second
	for name, c := range map[string]struct {
		watch    bool
		kind     UpdateKind
		failed   bool
		at       int64
		mayDrain bool
	}{
		"stale":                            {true, Snapshot, true, start + listValidity, true},
		"not yet stale":                    {true, Snapshot, true, start + listValidity - 1, false},
		"stale, and no poll failed":        {true, Snapshot, false, start + listValidity, false},
		"cached by an earlier process":     {true, CachedSnapshot, true, start + listValidity, true},
		"long overdue":                     {true, Snapshot, true, failedAt + maxOverdue, false},
		"where lists are not polled":       {false, Snapshot, true, start + listValidity, false},
		"a delta is as good as a snapshot": {true, Delta, true, start + listValidity, true},
		"a delta that has come just now":   {true, Delta, true, start + listValidity - 1, false},
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
		busy.lastServedSentAt = c.at - servedRecently + 1
		if b.maybeDraining(c.at, busy) {
			t.Errorf("%s: one that serves may drain", name)
		}
		if b.maybeDraining(c.at, idle) != c.mayDrain {
			t.Errorf("%s: maybeDraining of one that has served none is %t", name, !c.mayDrain)
		}
	}
}
