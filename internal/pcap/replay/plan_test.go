package replay

import (
	"bytes"
	"net/netip"
	"regexp"
	"strings"
	"testing"
)

// A non-idempotent request is skipped unless Options.SendNonIdempotent is set.
func TestPlanSkipsNonIdempotentRequests(t *testing.T) {
	exchanges := captureOf(t, sentBytes{
		client: idempotentRequest + keyedRequest + nonIdempotentRequest,
		server: okResponse + okResponse + okResponse,
	})
	steps := newPlan(t, Options{}, exchanges).Steps
	if len(steps) != 3 || steps[0].SkipReason != "" || steps[1].SkipReason != "" ||
		steps[2].SkipReason == "" || steps[2].Head != nil {
		t.Errorf("got steps %+v", steps)
	}
	step := newPlan(t, Options{SendNonIdempotent: true}, exchanges).Steps[2]
	head := string(step.Head)
	if step.SkipReason != "" || !strings.Contains(head, "Content-Length: 3\r\n") || strings.Contains(head, "chunked") {
		t.Errorf("got step %+v with head %q", step, step.Head)
	}
}

func TestPlanPreparesRequests(t *testing.T) {
	exchanges := captureOf(t, sentBytes{
		client: idempotentRequest + keyedRequest + keyedRequest,
		server: okResponse + okResponse + okResponse,
	})
	steps := newPlan(t, Options{
		IDField: "Request-Id",
		NewKeys: true,
		Set:     map[string]string{"Tenant": "acme", "authorization": ""},
		Copy:    map[string]string{"X-Old": "Request-Id"},
		Redact: []Redaction{
			{Pattern: regexp.MustCompile(`\d{4}`), With: "XX"},
			{Field: "X-Old", Pattern: regexp.MustCompile("u"), With: "v"},
		},
	}, exchanges).Steps
	head := string(steps[1].Head)
	for _, want := range []string{
		"POST /u HTTP/1.1\r\n",
		"\r\nTenant: acme\r\n",
		"\r\nX-Old: v1\r\n",
		"\r\nContent-Length: 7\r\n",
		"\r\nRequest-Id: " + steps[1].NewID + "\r\n",
	} {
		if !strings.Contains(head, want) {
			t.Errorf("%q is not in %q", want, head)
		}
	}
	if steps[1].OldID != "u1" || steps[1].NewID == steps[2].NewID || strings.Contains(head, "k1") ||
		string(steps[1].RedactedBody) != "card=XX" {
		t.Errorf("got step %+v", steps[1])
	}
	if first, second := idempotencyKeyOf(steps[1]), idempotencyKeyOf(steps[2]); first == "" || first != second {
		t.Errorf("one captured idempotency key was replaced by %q and %q", first, second)
	}
	if strings.Contains(string(steps[0].Head), "secret") {
		t.Errorf("head %q contains a removed field", steps[0].Head)
	}
}

func TestPlanIsReproducibleFromSeed(t *testing.T) {
	exchanges := captureOf(t, sentBytes{
		client: idempotentRequest + keyedRequest + keyedRequest,
		server: okResponse + okResponse + okResponse,
	})
	opts := Options{IDField: "Request-Id", NewKeys: true}
	first, second := newPlan(t, opts, exchanges), newPlan(t, opts, exchanges)
	if !bytes.Equal(first.Steps[1].Head, second.Steps[1].Head) {
		t.Error("two plans with the same seed are different")
	}
}

func TestInvalidOptions(t *testing.T) {
	for _, opts := range []Options{
		{Speed: 1e-9},
		{Set: map[string]string{"Content-Length": "1"}},
		{Set: map[string]string{"A": "b\r\nc: d"}},
		{Copy: map[string]string{"a b": "c"}},
	} {
		if _, err := New(opts, 1); err == nil {
			t.Errorf("options %+v are accepted", opts)
		}
	}
}

func TestPlanLimitsRequests(t *testing.T) {
	exchanges := captureOf(t, sentBytes{
		client: idempotentRequest + keyedRequest, server: okResponse + okResponse,
	})
	p, err := New(Options{MaxRequests: 1}, 1)
	if err != nil {
		t.Fatal(err)
	}
	if first, second := p.Add(exchanges[0]), p.Add(exchanges[1]); first != nil || second == nil {
		t.Errorf("got errors %v and %v, want an error for the second request only", first, second)
	}
}

// idempotencyKeyOf returns the idempotency key in the head of a step.
func idempotencyKeyOf(s *Step) string {
	_, rest, _ := strings.Cut(string(s.Head), "Idempotency-Key: ")
	key, _, _ := strings.Cut(rest, "\r\n")
	return key
}

func TestCheckAddress(t *testing.T) {
	remote := netip.MustParseAddrPort("192.0.2.1:80")
	if CheckAddress(remote, nil) == nil {
		t.Errorf("address %v is accepted, but is not allowed", remote)
	}
	if err := CheckAddress(remote, []netip.AddrPort{remote}); err != nil {
		t.Error(err)
	}
	for _, loopback := range []string{"127.0.0.9:80", "[::1]:80"} {
		if err := CheckAddress(netip.MustParseAddrPort(loopback), nil); err != nil {
			t.Error(err)
		}
	}
}
