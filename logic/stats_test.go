package logic

import "testing"

func TestPressureIsReportedRarely(t *testing.T) {
	b, h := newTestBalancer(t, testSettings(), 2)
	b.reportPressure(start, h)
	if len(h.lines) != 0 {
		t.Fatalf("a calm replica reports %q", h.lines)
	}
	b.quotas.multiple = 0.5
	for i := range int64(25) {
		b.reportPressure(start+i*second, h)
	}
	if len(h.lines) != 3 {
		t.Errorf("%d lines in 25 s, want one each 10 s", len(h.lines))
	}
}
