package sidecar

import (
	"fmt"
	"net/http"
	"testing"

	"fernlanding/internal/standin"
)

// splitRoute returns a route that splits requests between services a and b by weight.
func splitRoute(a, b int) string {
	return fmt.Sprintf(
		"[[routes]]\nname = \"rate\"\nprefix = \"/rate\"\n"+
			"split = [{ service = \"a\", weight = %d }, { service = \"b\", weight = %d }]\n",
		a, b,
	)
}

// The weights of a split change between a request that is idempotent by key and the client's retry.
// Regardless of the new weights, the retry is forwarded to the service that has the key in its
// dedup window. If the route no longer includes that service, the retry is rejected.
func TestRetryByKeyStaysWithItsSplitArm(t *testing.T) {
	t.Parallel()
	a, b := startBackend(t, standin.Echo), startBackend(t, standin.Echo)
	sa := serviceTOML{name: "a", classes: keyedClass, source: endpointsAt(a.Addr())}
	sb := serviceTOML{name: "b", classes: keyedClass, source: endpointsAt(b.Addr())}
	p := startVersion1(t, 200, splitRoute(90, 10), sa, sb)
	send := func(key int) int {
		resp, _ := sendRequest(t, p, "POST", "/rate", fmt.Sprintf("Idempotency-Key: k%d", key))
		return resp.StatusCode
	}
	const keys = 60
	for k := range keys {
		if got := send(k); got != 200 {
			t.Fatalf("key %d: got %d, want 200", k, got)
		}
	}
	first := []map[string]int{a.IdempotencyKeyCounts(), b.IdempotencyKeyCounts()}
	for _, w := range [][2]int{{10, 90}, {0, 1}, {50, 50}, {1, 0}} {
		mustReload(t, p, decodeVersion1(t, 200, splitRoute(w[0], w[1]), sa, sb))
		for k := range keys {
			if got := send(k); got != 200 {
				t.Fatalf("key %d: got %d, want 200", k, got)
			}
		}
	}
	for i, now := range []map[string]int{a.IdempotencyKeyCounts(), b.IdempotencyKeyCounts()} {
		if len(now) != len(first[i]) {
			t.Errorf("service %d has received %d keys, want %d as before the change", i, len(now), len(first[i]))
		}
	}
	if got := send(keys + 1); got != 200 || a.IdempotencyKeyCounts()[fmt.Sprint("k", keys+1)] != 1 {
		t.Errorf("new key: got %d, want 200 from service a by the new weights", got)
	}
	mustReload(
		t, p,
		decodeVersion1(t, 200, "[[routes]]\nname = \"rate\"\nprefix = \"/rate\"\nservice = \"b\"\n", sa, sb),
	)
	for k := range keys {
		want := 503
		if first[1][fmt.Sprint("k", k)] > 0 {
			want = 200
		}
		if got := send(k); got != want {
			t.Errorf("key %d after the removal of service a from the route: got %d, want %d", k, got, want)
		}
	}
}

// Beyond the limit of sticky keys some assignments are discarded. A request without an assignment
// is then rejected if a previous split assigned its key to another service, and forwarded if all
// splits agree.
func TestUnknownKeysAreRejectedWhereSplitsDisagree(t *testing.T) {
	t.Parallel()
	a, b := startBackend(t, standin.Echo), startBackend(t, standin.Echo)
	sa := serviceTOML{name: "a", classes: keyedClass, source: endpointsAt(a.Addr())}
	sb := serviceTOML{name: "b", classes: keyedClass, source: endpointsAt(b.Addr())}
	p := startVersion1(t, 200, splitRoute(50, 50), sa, sb)
	for i := range maxStickyKeys + 10 { // requests with other keys, which are only resolved
		active := p.active.Load()
		r := &http.Request{
			Method: "POST", RequestURI: "/rate", Host: "h",
			Header: http.Header{"Idempotency-Key": {fmt.Sprint("x", i)}},
		}
		if _, reqErr := active.resolve("main", r); reqErr != nil {
			t.Fatalf("before the weights change: %+v", reqErr)
		}
	}
	before := p.active.Load().routes["rate"].split
	mustReload(t, p, decodeVersion1(t, 200, splitRoute(20, 80), sa, sb))
	after := p.active.Load().routes["rate"].split
	moved := 0
	for i := range 100 {
		key := fmt.Sprint("new", i)
		resp, _ := sendRequest(t, p, "POST", "/rate", "Idempotency-Key: "+key)
		want := 200
		if before.ForKey(key) != after.ForKey(key) {
			want = 503
			moved++
		}
		if resp.StatusCode != want {
			t.Errorf("key %s: got %s, want %d", key, resp.Status, want)
		}
	}
	if moved == 0 {
		t.Error("no key moved, so the rejection was not tested")
	}
}
