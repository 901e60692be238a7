package follow

import (
	"errors"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"fernlanding/internal/distribution"
	"fernlanding/internal/distribution/httpapi"
)

// A follower that ends while a session is being opened waits for the session ID and closes the
// session.
func TestEndWhileSessionOpens(t *testing.T) {
	f := prepare(t, version(1), "a")
	f.leaveTimeout = testTimeout
	f.run()
	first := f.nextRead()
	f.cancel()
	first.ok()
	leave := f.nextCall()
	leave.ok()
	if !leave.req.Leave || leave.req.Session != "s" || len(leave.req.Positions) > 0 {
		t.Errorf("got request %+v, want one that leaves the session", leave.req)
	}
}

// A follower does not return to a preferred relay that was ready but is disconnected from the
// source before the return.
func TestNoFailbackToDisconnectedRelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := prepare(t, version(1), "a", "b")
		var probes atomic.Int64
		f.transport.ready = func(string) error {
			if probes.Add(1) == 1 {
				return nil
			}
			return errors.New("disconnected")
		}
		f.run()
		first := f.nextRead()
		first.fail(errors.New("down"))
		for reads := 0; reads < 3 || probes.Load() < 2; reads++ {
			c := f.nextRead()
			if c.address == first.address {
				t.Fatalf("read %d was sent to the disconnected relay after %d probes", reads, probes.Load())
			}
			time.Sleep(responseTimeout / 2)
			c.ok()
		}
	})
}

// The first read of a session contains all positions. A further read contains only the positions
// that have changed.
func TestPositions(t *testing.T) {
	f := start(t, version(3), "a")
	first := f.nextRead()
	all := []distribution.Position{{Resource: "r", InForce: version(3)}}
	if first.req.Session != "" || !slices.Equal(first.req.Positions, all) {
		t.Errorf("first read: got %+v, want positions %+v without a session", first.req, all)
	}
	first.ok()
	quiet := f.nextRead()
	if quiet.req.Session != "s" || len(quiet.req.Positions) > 0 || quiet.req.HoldMs != time.Minute.Milliseconds() {
		t.Errorf("read without changes: got %+v, want a session, no positions and a hold of 1m", quiet.req)
	}
	quiet.ok(distribution.Update{Resource: "r", From: version(3), Version: version(5)})
	after := f.nextRead()
	if want := (distribution.Position{Resource: "r", InForce: version(5)}); f.sent["r"] != want {
		t.Errorf("after an update: got position %+v, want %+v", f.sent["r"], want)
	}
	after.fail(distribution.ErrUnknownSession)
	if again := f.nextRead(); again.req.Session != "" || len(again.req.Positions) != 1 {
		t.Errorf("after a lost session: got %+v, want all positions without a session", again.req)
	}
}

// A rejected version is reported with its reason, truncated to the limit. The previous version
// stays in force.
func TestRejectionIsReported(t *testing.T) {
	f := start(t, version(1), "a")
	f.reject = errors.New(strings.Repeat("ü", distribution.MaxReasonBytes))
	f.nextRead().ok(distribution.Update{Resource: "r", From: version(1), Version: version(2)})
	next := f.nextRead()
	p := f.sent["r"]
	reason := strings.Repeat("ü", distribution.MaxReasonBytes/2)
	if p.InForce != version(1) || p.Rejected != version(2) || p.Reason != reason {
		t.Errorf("got position %+v, want revision 2 rejected with a truncated reason", p)
	}
	if err := next.req.Validate(); err != nil {
		t.Error(err)
	}
	if s := f.Stats(); s.Rejected != 1 || s.Updates != 0 {
		t.Errorf("got stats %+v, want 1 rejected and 0 applied updates", s)
	}
}

// An update to a version that is not later, and a delta from a version that is not in force, do not
// reach the subscriber. The follower switches to another relay.
func TestVersionNeverDecreases(t *testing.T) {
	for _, invalid := range []distribution.Update{
		{Resource: "r", Version: version(2)},
		{Resource: "r", Version: version(3)},
		{Resource: "r", From: version(2), Version: version(9)},
	} {
		f := start(t, version(3), "a", "b")
		first := f.nextRead()
		first.ok()
		f.nextRead().ok(invalid)
		next := f.nextRead()
		newSession := next.req.Session == "" && len(next.req.Positions) == 1
		if next.address == first.address || !newSession || f.sent["r"].InForce != version(3) {
			t.Errorf("after %+v: got %+v, want a new session at another relay", invalid, next)
		}
		select {
		case u := <-f.updates:
			t.Errorf("update %+v reached the subscriber", u)
		default:
		}
	}
}

// A session that becomes unknown after a hold is opened again at the same relay, which has
// restarted. A session that is lost soon after it was opened, for example because another process
// has the same name, is opened at another relay.
func TestUnknownSession(t *testing.T) {
	f := start(t, version(1), "a", "b")
	first := f.nextRead()
	first.ok()
	waiting := f.nextRead()
	f.clockOffset.Add(int64(f.cfg.Hold))
	waiting.fail(distribution.ErrUnknownSession)
	again := f.nextRead()
	if again.address != first.address {
		t.Errorf("after a restart: got relay %s, want %s again", again.address, first.address)
	}
	again.ok()
	f.nextRead().fail(distribution.ErrUnknownSession)
	if next := f.nextRead(); next.address == first.address {
		t.Errorf("after a session lost early: got relay %s again, want another one", next.address)
	}
}

// An overloaded relay is skipped for its Retry-After, and the other relay is read from at once.
func TestOverloadedRelay(t *testing.T) {
	f := start(t, version(1), "a", "b")
	first := f.nextRead()
	first.fail(&httpapi.OverloadedError{RetryAfter: time.Hour})
	second := f.nextRead()
	if second.address == first.address {
		t.Errorf("got the overloaded relay %s again, want another one", second.address)
	}
	second.ok()
	f.nextRead().fail(errors.New("broken"))
	if third := f.nextRead(); third.address != second.address {
		t.Errorf("got the overloaded relay %s, want %s again", third.address, second.address)
	}
	if h := f.Health(); h.SilentSince.IsZero() || h.Relay != second.address {
		t.Errorf("got health %+v, want SilentSince set and relay %s", h, second.address)
	}
}
