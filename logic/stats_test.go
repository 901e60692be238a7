package logic

import "testing"

func TestPressureReportsAreRateLimited(t *testing.T) {
	b, h := newTestBalancer(t, testSettings(), 2)
	b.reportPressure(start, h)
	if len(h.actions) != 0 {
		t.Fatalf("got log lines %q without pressure, want none", h.actions)
	}
	b.quotas.multiple = 0.5
	for i := range int64(25) {
		b.reportPressure(start+i*second, h)
	}
	if len(h.actions) != 3 {
		t.Errorf("%d log lines in 25 s, want 3, one per 10 s", len(h.actions))
	}
}
