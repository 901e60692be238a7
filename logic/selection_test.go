package logic

import (
	"testing"
)

func TestNoEndpointToSendTo(t *testing.T) {
	b, h := mustNew(t, testSettings()), &recorder{}
	submit(b, h, start, "a", 2)
	if h.last() != "shed a" {
		t.Errorf("without an endpoint list: got %q, want the request shed", h.last())
	}
	list := testEndpoints(1)
	list[0].State = Draining
	b.UpdateEndpoints(start, h, Snapshot, list)
	submit(b, h, start, "b", 0)
	if h.last() != "shed b" {
		t.Errorf("with all endpoints draining: got %q, want the request shed", h.last())
	}
}

func TestWeightFollowsLatencyAndFailures(t *testing.T) {
	b, _ := newTestBalancer(t, testSettings(), 2)
	fast, slow := b.endpoints.byID["s0"], b.endpoints.byID["s1"]
	c := &b.classes[0]
	for range 200 {
		c.latency.observe(fast, 100_000)
		c.latency.observe(slow, 300_000)
	}
	if b.endpointWeight(start, fast, 0) < 2*b.endpointWeight(start, slow, 0) {
		t.Errorf("weights %v of the fast and %v of the slow endpoint, want a ratio of at least 2",
			b.endpointWeight(start, fast, 0), b.endpointWeight(start, slow, 0))
	}
	before := b.endpointWeight(start, fast, 0)
	b.updateOutlierState(fast, 0, Error)
	if b.endpointWeight(start, fast, 0) > before/2 {
		t.Error("weight not halved by a failure that the peer does not show")
	}
	for range 100 {
		b.updateOutlierState(fast, 0, Error)
	}
	if b.endpointWeight(start, fast, 0) <= 0 {
		t.Error("weight fell to 0, so that no probes are sent")
	}
}
