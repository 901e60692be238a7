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

// A follower that ends while a session is being opened waits for its ID, and ends the session.
func TestEndWhileSessionOpens(t *testing.T) {
	f := prepare(t, version(1), "a")
	f.leaveTimeout = testTimeout
	f.run()
	first := f.read()
	f.cancel()
	first.ok()
	leave := f.next()
	leave.ok()
	if !leave.req.Leave || leave.req.Session != "s" || len(leave.req.Positions) > 0 {
		t.Errorf("%+v", leave.req)
	}
}

// A preferred relay that was ready, and is disconnected from the source before its follower returns
// to it, is not returned to.
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
		first := f.read()
		first.fail(errors.New("down"))
		for reads := 0; reads < 3 || probes.Load() < 2; reads++ {
			c := f.read()
			if c.address == first.address {
				t.Fatalf("read %d goes to the disconnected relay, after %d probes", reads, probes.Load())
			}
			time.Sleep(responseTimeout / 2)
			c.ok()
		}
	})
}

// The first read of a session has all positions, a further one those that have changed.
func TestPositions(t *testing.T) {
	f := start(t, version(3), "a")
	first := f.read()
	all := []distribution.Position{{Resource: "r", InForce: version(3)}}
	if first.req.Session != "" || !slices.Equal(first.req.Positions, all) {
		t.Errorf("%+v", first.req)
	}
	first.ok()
	quiet := f.read()
	if quiet.req.Session != "s" || len(quiet.req.Positions) > 0 || quiet.req.HoldMs != time.Minute.Milliseconds() {
		t.Errorf("%+v", quiet.req)
	}
	quiet.ok(distribution.Update{Resource: "r", From: version(3), Version: version(5)})
	after := f.read()
	if want := (distribution.Position{Resource: "r", InForce: version(5)}); f.sent["r"] != want {
		t.Errorf("%+v sent, %+v expected", f.sent["r"], want)
	}
	after.fail(distribution.ErrUnknownSession)
	if again := f.read(); again.req.Session != "" || len(again.req.Positions) != 1 {
		t.Errorf("%+v", again.req)
	}
}

// A rejected version is reported with its reason, cut to its bound; the version in force stays.
func TestRejectionIsReported(t *testing.T) {
	f := start(t, version(1), "a")
	f.reject = errors.New(strings.Repeat("ü", distribution.MaxReasonBytes))
	f.read().ok(distribution.Update{Resource: "r", From: version(1), Version: version(2)})
	next := f.read()
	p := f.sent["r"]
	reason := strings.Repeat("ü", distribution.MaxReasonBytes/2)
	if p.InForce != version(1) || p.Rejected != version(2) || p.Reason != reason {
		t.Errorf("%+v", p)
	}
	if err := next.req.Validate(); err != nil {
		t.Error(err)
	}
	if s := f.Stats(); s.Rejected != 1 || s.Updates != 0 {
		t.Errorf("%+v", s)
	}
}

// An older version, and a delta to a version that is not in force, never reach the subscriber: the
// relay is left.
func TestVersionNeverGoesBack(t *testing.T) {
	for _, invalid := range []distribution.Update{
		{Resource: "r", Version: version(2)},
		{Resource: "r", Version: version(3)},
		{Resource: "r", From: version(2), Version: version(9)},
	} {
		f := start(t, version(3), "a", "b")
		first := f.read()
		first.ok()
		f.read().ok(invalid)
		next := f.read()
		newSession := next.req.Session == "" && len(next.req.Positions) == 1
		if next.address == first.address || !newSession || f.sent["r"].InForce != version(3) {
			t.Errorf("after %+v: %+v", invalid, next)
		}
		select {
		case u := <-f.updates:
			t.Errorf("%+v reached the subscriber", u)
		default:
		}
	}
}

// A session that is unknown after a while is opened again at the same relay, which has restarted.
// One that ends as soon as it has been opened (another process has the same name, for example) is
// opened at another relay.
func TestUnknownSession(t *testing.T) {
	f := start(t, version(1), "a", "b")
	first := f.read()
	first.ok()
	waiting := f.read()
	f.skipped.Add(int64(f.cfg.Hold))
	waiting.fail(distribution.ErrUnknownSession)
	again := f.read()
	if again.address != first.address {
		t.Errorf("switched from %s to %s", first.address, again.address)
	}
	again.ok()
	f.read().fail(distribution.ErrUnknownSession)
	if next := f.read(); next.address == first.address {
		t.Errorf("%s asked again at once", next.address)
	}
}

// An overloaded relay is not asked for as long as it wants, and the other one is asked at once.
func TestOverloadedRelay(t *testing.T) {
	f := start(t, version(1), "a", "b")
	first := f.read()
	first.fail(&httpapi.OverloadedError{RetryAfter: time.Hour})
	second := f.read()
	if second.address == first.address {
		t.Errorf("%s asked again at once", second.address)
	}
	second.ok()
	f.read().fail(errors.New("broken"))
	if third := f.read(); third.address != second.address {
		t.Errorf("%s asked, which is overloaded", third.address)
	}
	if h := f.Health(); h.SilentSince.IsZero() || h.Relay != second.address {
		t.Errorf("%+v", h)
	}
}
