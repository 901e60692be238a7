package logic

import "testing"

// After a cut to one request every few seconds, a limit needed a minute to fill a round, long after
// its endpoints were healthy again.
func TestSparseRoundEndsByTimeOnlyIfGood(t *testing.T) {
	r := evidenceRound{maxBad: maxBadFraction, window: 5 * second}
	if v := r.add(start, start, true); v != undecided {
		t.Errorf("after one bad outcome: verdict %v, want undecided", v)
	}
	if v := r.add(start+second, start, false); v != undecided {
		t.Errorf("after one bad and one good outcome: verdict %v, want undecided", v)
	}
	r = evidenceRound{maxBad: maxBadFraction, window: 5 * second, startedAt: start}
	if v := r.add(start+second, start, false); v != undecided {
		t.Errorf("before the end of the window: verdict %v, want undecided", v)
	}
	if v := r.add(start+5*second, start+second, false); v != good {
		t.Errorf("good round after the end of the window: verdict %v, want good", v)
	}
}
