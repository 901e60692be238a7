package sidecar

import (
	"fmt"
	"testing"

	"fernlanding/internal/standin"
)

// A copy of each request is sent to the mirror once, with an ID of its own; how it ends does not
// matter.
func TestMirroredRequestsAreSentOnce(t *testing.T) {
	a, b := backend(t, standin.Echo), backend(t, standin.Hangs)
	routes := "[[routes]]\nname = \"m\"\nservice = \"a\"\nmirror = { service = \"b\" }\n"
	p := startVersion1(
		t, 200, routes,
		serviceText{name: "a", classes: safeClass, source: endpointsAt(a.Addr())},
		serviceText{name: "b", classes: safeClass, source: endpointsAt(b.Addr())},
	)
	for i := range 10 {
		if resp, _ := sendRequest(t, p, "GET", "/x", fmt.Sprintf("Request-Id: r%d", i)); resp.StatusCode != 200 {
			t.Errorf("got %s", resp.Status)
		}
	}
	waitUntil(t, func() bool { return b.Requests() >= 10 })
	if a.Requests() != 10 || b.Runs()["r3-mirror"] != 1 || b.Runs()["r3"] != 0 {
		t.Errorf("%d requests, and %v at the mirror", a.Requests(), b.Runs())
	}
}
