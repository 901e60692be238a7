package logic

import "testing"

func TestLocalZoneFirstAndSpilloverUnderPressure(t *testing.T) {
	b, _ := newTestBalancer(t, testSettings(), 8)
	local := b.endpointWeight(start, b.endpoints.byID["s0"], 0)
	now := start
	feed := func(n int, bad bool) {
		for range n {
			now++
			b.updatePressure(now, 0, &attempt{sentAt: now, zone: b.settings.Zone}, bad, bad)
		}
	}
	feed(60*roundSize, false)
	if away := b.endpointWeight(start, b.endpoints.byID["s2"], 0); away > local/10 {
		t.Errorf("local zone without pressure: relative weight of other zones %.3f, want at most 0.1", away/local)
	}
	feed(20*roundSize, true)
	if away := b.endpointWeight(start, b.endpoints.byID["s2"], 0); away < local/2 {
		t.Errorf("local zone under pressure: relative weight of other zones %.3f, want at least 0.5", away/local)
	}
}
