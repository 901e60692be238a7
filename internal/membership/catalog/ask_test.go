package catalog

import (
	"testing"
	"time"
)

// A shared service that says when to come back is left alone until then, though the module asks at once; but not for so long that what it has at its return is told too late.
func TestAWatchIsNotRepeatedBeforeItsRetryAfter(t *testing.T) {
	t.Parallel()
	var r refusals
	addr := r.script(t, theList, reply{retryAfter: "1"}, reply{retryAfter: "3600"}, noNews)
	hearsAfterRefusals(t, addr)
	r.atLeast(t, time.Second, mostHonoured)
}

// A copy that begins with no list, which its module does not ask for, waits longer after each refusal.
func TestFirstCallsThatAreTurnedAwayAreSpacedMoreAndMore(t *testing.T) {
	t.Parallel()
	var r refusals
	addr := r.script(t, turnsAway, turnsAway, turnsAway, theList)
	lists := make(listed, 10)
	follow(t, asks(addr), lists)
	next(t, lists, "the first list")
	r.atLeast(t, askBackoff.first/2, refusedGrowth*askBackoff.first/2, askBackoff.most/2)
}
