package logic

import (
	"fmt"
	"slices"
	"testing"
)

// With a Retry-After of one to two seconds, clients returned with most of the latency objective
// gone. In a short run with a slow backend, up to a quarter of the requests was answered late,
// although one in twenty was shed.
func TestRetryAfterLeavesTimeForTimelyAnswer(t *testing.T) {
	s := testSettings()
	s.MaxRetryAfter = 2 * second
	b, h := newTestBalancer(t, s, 0) // no endpoint: every request is shed
	for i := range 100 {
		b.Request(start, h, Request{ID: fmt.Sprint(i), ClientDeadline: start + second})
	}
	longest := s.Classes[0].LatencyObjective / 2
	if len(h.retryAfters) != 100 || slices.Min(h.retryAfters) < longest/2 || slices.Max(h.retryAfters) > longest {
		t.Errorf("Retry-After of %v, want 100 between %d and %d", h.retryAfters, longest/2, longest)
	}
}

// Each shed request reports its cause.
func TestShedCause(t *testing.T) {
	for _, c := range []struct {
		want   ShedCause
		modify func(*Balancer, *Request)
	}{
		{ByConnections, func(_ *Balancer, r *Request) { r.ClientConnections, r.IdleClientConnections = 16, 1 }},
		{ByTierLimit, func(b *Balancer, _ *Request) { b.tier.limit = -1 }},
		{ByClassLimit, func(b *Balancer, _ *Request) { b.classes[0].limit.limit = -1 }},
		{ByDeadline, func(_ *Balancer, r *Request) { r.ClientDeadline = start + 1 }},
		{ByNoEndpoint, func(b *Balancer, _ *Request) { b.endpoints.ready = nil }},
	} {
		b, _ := newTestBalancer(t, testSettings(), 2)
		r := Request{ID: "r", Tenant: -1, ClientDeadline: start + second}
		c.modify(b, &r)
		h := &causeRecorder{b: b}
		b.Request(start, h, r)
		if len(h.causes) != 1 || h.causes[0] != c.want {
			t.Errorf("got shed causes %v, want one %v", h.causes, c.want)
		}
	}
}

// causeRecorder is a Host that records the cause of each shed request.
type causeRecorder struct {
	recorder
	b      *Balancer
	causes []ShedCause
}

func (h *causeRecorder) Shed(string, int64) { h.causes = append(h.causes, h.b.ShedCause()) }
