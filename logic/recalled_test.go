package logic

import (
	"fmt"
	"testing"
)

// Servers of a list that an earlier process knew get nothing that may not be repeated until they have served a call, and all of
// them do once any list has come.
func TestRecalledServersAreDoubted(t *testing.T) {
	const safe, unsafe = 0, 2
	for _, kind := range []UpdateKind{Snapshot, Delta} {
		b, h := mustNew(t, testSettings()), &recorder{}
		b.UpdateEndpoints(start, h, RestoredSnapshot, fleet(3))
		now := int64(start)
		one := func(class int) (server string) {
			now += 1000
			id := fmt.Sprint(now)
			ask(b, h, now, id, class)
			if q := b.reqs[id]; q != nil {
				server = q.attempts[0].srv.ID
				b.Outcome(now+1, h, Outcome{ID: id, Status: OK, Latency: 1, RequestDone: true})
			}
			return server
		}
		if got := one(unsafe); got != "" {
			t.Errorf("a doubtful server, %s, got an unsafe call", got)
		}
		shown := one(safe)
		if shown == "" || b.Unverified(shown) {
			t.Fatalf("%q is doubted though it has served", shown)
		}
		for range 20 {
			if got := one(unsafe); got != shown {
				t.Errorf("an unsafe call went to %q, %q alone has served", got, shown)
			}
		}
		doubted := 0
		for _, s := range fleet(3) {
			if b.Unverified(s.ID) {
				doubted++
			}
		}
		if doubted != 2 {
			t.Errorf("%d of three doubted, two expected", doubted)
		}
		if kind == Snapshot {
			b.UpdateEndpoints(now, h, Snapshot, fleet(3))
		} else {
			b.UpdateEndpoints(now, h, Delta, nil)
		}
		for _, s := range fleet(3) {
			if b.Unverified(s.ID) {
				t.Errorf("%s is doubted after a list", s.ID)
			}
		}
	}
	b, h := mustNew(t, testSettings()), &recorder{}
	b.UpdateEndpoints(start, h, CachedSnapshot, fleet(3))
	if b.Unverified("s0") || b.Unverified("none") {
		t.Error("a list that the configuration names is doubted")
	}
}
