package logic

import "testing"

// A replica whose limit was cut to a request in seconds took a minute to fill a round, long after
// its endpoints were healthy.
func TestSparseRoundEndsByTimeOnlyIfGood(t *testing.T) {
	r := evidenceRound{maxBad: maxBadFraction, window: 5 * second}
	if v := r.add(start, start, true); v != undecided {
		t.Errorf("one bad outcome is taken for a round: %v", v)
	}
	if v := r.add(start+second, start, false); v != undecided {
		t.Errorf("a half bad pair is taken for a round: %v", v)
	}
	r = evidenceRound{maxBad: maxBadFraction, window: 5 * second, startedAt: start}
	if v := r.add(start+second, start, false); v != undecided {
		t.Errorf("quick outcomes complete a round before slow ones can show: %v", v)
	}
	if v := r.add(start+5*second, start+second, false); v != good {
		t.Errorf("after its window a good round is not complete: %v", v)
	}
}
