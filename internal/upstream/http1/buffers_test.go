package http1

import (
	"bytes"
	"testing"

	"fernlanding/internal/standin/backendtest"
	"fernlanding/logic"
)

// An idle connection holds no buffers, and a body is not copied for its write: hundreds of either
// would take the memory that requests need.
func TestBuffersAreBounded(t *testing.T) {
	b := backendtest.Start(t, backendtest.RespondWith(served, true))
	u := newUpstream(4, b.Addr)
	a := newAttempt(u, "a", waitLimit)
	a.Method, a.Body = "POST", bytes.Repeat([]byte("x"), 64<<10)
	if res := a.run(); res.Status != logic.OK {
		t.Fatalf("got %v, want %v", res.Status, logic.OK)
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	idle := u.endpoints["a"].idle
	if len(idle) != 1 || idle[0].connBuffers != nil {
		t.Fatalf("idle connections: %+v, want one without buffers", idle)
	}
	c := &conn{connBuffers: takeBuffers(nil)}
	first, rest := c.encodeRequest(a.Attempt)
	if len(rest) != len(a.Body)-maxCopiedBody || &rest[0] != &a.Body[maxCopiedBody] || cap(first) > maxReusedBuffer {
		t.Errorf("%d bytes of the body are copied, want %d; capacity %d",
			len(a.Body)-len(rest), maxCopiedBody, cap(first))
	}
}
