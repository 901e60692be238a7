package sidecar

import (
	"fmt"
	"testing"

	"fernlanding/internal/standin"
)

// One copy of each request is sent to the mirror, with its own ID. The outcome of the copy does not
// affect the request.
func TestMirroredRequestsAreSentOnce(t *testing.T) {
	a, b := startBackend(t, standin.Echo), startBackend(t, standin.Hang)
	routes := "[[routes]]\nname = \"m\"\nservice = \"a\"\nmirror = { service = \"b\" }\n"
	p := startVersion1(
		t, 200, routes,
		serviceTOML{name: "a", classes: safeClass, source: endpointsAt(a.Addr())},
		serviceTOML{name: "b", classes: safeClass, source: endpointsAt(b.Addr())},
	)
	for i := range 10 {
		if resp, _ := sendRequest(t, p, "GET", "/x", fmt.Sprintf("Request-Id: r%d", i)); resp.StatusCode != 200 {
			t.Errorf("got %s, want 200", resp.Status)
		}
	}
	waitUntil(t, func() bool { return b.Requests() >= 10 })
	if a.Requests() != 10 || b.RequestIDCounts()["r3-mirror"] != 1 || b.RequestIDCounts()["r3"] != 0 {
		t.Errorf(
			"%d requests at the service, want 10; runs by ID at the mirror: %v, want r3-mirror once and no r3",
			a.Requests(), b.RequestIDCounts(),
		)
	}
}
