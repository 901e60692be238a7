package logic

import (
	"fmt"
	"slices"
	"testing"
)

// A Retry-After of one to two seconds sent clients back with most of the objective gone: on a small
// day with a slow backend up to a quarter was answered late though one request in twenty was.
func TestRetryAfterLeavesTimeForTimelyAnswer(t *testing.T) {
	s := testSettings()
	s.MaxRetryAfter = 2 * second
	b, h := newTestBalancer(t, s, 0) // no endpoint: all is shed
	for i := range 100 {
		b.Request(start, h, Request{ID: fmt.Sprint(i), ClientDeadline: start + second})
	}
	most := s.Classes[0].LatencyObjective / 2
	if len(h.retryAfters) != 100 || slices.Min(h.retryAfters) < most/2 || slices.Max(h.retryAfters) > most {
		t.Errorf("Retry-After %v, want %d to %d", h.retryAfters, most/2, most)
	}
}

// Each shed request names what it is shed by.
func TestShedCause(t *testing.T) {
	for _, c := range []struct {
		want  ShedCause
		spoil func(*Balancer, *Request)
	}{
		{ByConnections, func(_ *Balancer, r *Request) { r.ClientConnections, r.IdleClientConnections = 16, 1 }},
		{ByTierLimit, func(b *Balancer, _ *Request) { b.tier.limit = -1 }},
		{ByClassLimit, func(b *Balancer, _ *Request) { b.classes[0].limit.limit = -1 }},
		{ByDeadline, func(_ *Balancer, r *Request) { r.ClientDeadline = start + 1 }},
		{ByNoEndpoint, func(b *Balancer, _ *Request) { b.endpoints.ready = nil }},
	} {
		b, _ := newTestBalancer(t, testSettings(), 2)
		r := Request{ID: "r", Tenant: -1, ClientDeadline: start + second}
		c.spoil(b, &r)
		h := &causeRecorder{b: b}
		b.Request(start, h, r)
		if len(h.got) != 1 || h.got[0] != c.want {
			t.Errorf("shed by %v, %v expected", h.got, c.want)
		}
	}
}

// causeRecorder is a Host that asks for the cause of each shed request.
type causeRecorder struct {
	recorder
	b   *Balancer
	got []ShedCause
}

func (h *causeRecorder) Shed(string, int64) { h.got = append(h.got, h.b.ShedCause()) }
