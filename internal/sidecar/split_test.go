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

// The weights of a split change between a request that is idempotent by key and the client's retry
// of it: the retry goes to the service that has the key in its dedup window, whatever the weights
// are now. If the route does not lead to that service any more, it is rejected.
func TestRetryByKeyStaysWithItsArm(t *testing.T) {
	t.Parallel()
	a, b := backend(t, standin.Echo), backend(t, standin.Echo)
	sa := serviceText{name: "a", classes: keyedClass, source: endpointsAt(a.Addr())}
	sb := serviceText{name: "b", classes: keyedClass, source: endpointsAt(b.Addr())}
	p := startVersion1(t, 200, splitRoute(90, 10), sa, sb)
	send := func(key int) int {
		resp, _ := sendRequest(t, p, "POST", "/rate", fmt.Sprintf("Idempotency-Key: k%d", key))
		return resp.StatusCode
	}
	const keys = 60
	for k := range keys {
		if got := send(k); got != 200 {
			t.Fatalf("key %d: %d", k, got)
		}
	}
	first := []map[string]int{a.Keys(), b.Keys()}
	for _, w := range [][2]int{{10, 90}, {0, 1}, {50, 50}, {1, 0}} {
		mustReload(t, p, decodeVersion1(t, 200, splitRoute(w[0], w[1]), sa, sb))
		for k := range keys {
			if got := send(k); got != 200 {
				t.Fatalf("key %d: %d", k, got)
			}
		}
	}
	for i, now := range []map[string]int{a.Keys(), b.Keys()} {
		if len(now) != len(first[i]) {
			t.Errorf("service %d has seen %d keys, %d before the weights changed", i, len(now), len(first[i]))
		}
	}
	if got := send(keys + 1); got != 200 || a.Keys()[fmt.Sprint("k", keys+1)] != 1 {
		t.Errorf("a new key: %d, and not by the new weights", got)
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
			t.Errorf("key %d, whose service has left the route: %d, %d expected", k, got, want)
		}
	}
}

// Beyond the bound on sticky keys some are forgotten. Then a request is rejected if a previous
// split assigned its key to another service, and forwarded if all splits agree.
func TestUnknownKeysAreRejectedWhereSplitsDisagree(t *testing.T) {
	t.Parallel()
	a, b := backend(t, standin.Echo), backend(t, standin.Echo)
	sa := serviceText{name: "a", classes: keyedClass, source: endpointsAt(a.Addr())}
	sb := serviceText{name: "b", classes: keyedClass, source: endpointsAt(b.Addr())}
	p := startVersion1(t, 200, splitRoute(50, 50), sa, sb)
	for i := range maxStickyKeys + 10 { // other requests, which are not sent
		active := p.active.Load()
		r := &http.Request{
			Method: "POST", RequestURI: "/rate", Host: "h",
			Header: http.Header{"Idempotency-Key": {fmt.Sprint("x", i)}},
		}
		if _, fault := active.resolve("main", r); fault != nil {
			t.Fatalf("before the weights change: %+v", fault)
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
			t.Errorf("key %s: %s, %d expected", key, resp.Status, want)
		}
	}
	if moved == 0 {
		t.Error("no key moved: nothing was tested")
	}
}
