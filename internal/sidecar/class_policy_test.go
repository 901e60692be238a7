package sidecar

import (
	"testing"

	"fernlanding/internal/standin"
)

// closeWithoutResponse is a handler that runs the request and closes the connection without a
// response.
func closeWithoutResponse(*standin.Call) bool { return false }

// rejectNotStarted is a handler that rejects the request and states with a Not-Started field that
// the request has not run.
func rejectNotStarted(c *standin.Call) bool {
	return c.Reply(503, "Not-Started: 1\r\n", nil) == nil
}

// A request of a class with resend = "never" has one attempt, regardless of its idempotency. The
// request is retried only if the first attempt has certainly not run.
func TestResendNeverDisablesRetries(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		class string
		want  int // attempts
	}{
		{`one = { repeat = "safe", resend = "never", objective = "2s", deadline = "4s" }`, 1},
		{
			`one = { repeat = "keyed", key = "Idempotency-Key", dedup_window = "30s", resend = "never", ` +
				`objective = "2s", deadline = "4s" }`,
			1,
		},
		{`one = { repeat = "unsafe", objective = "2s", deadline = "4s" }`, 1},
		{`one = { repeat = "safe", objective = "2s", deadline = "4s" }`, 3},
		{
			`one = { repeat = "keyed", key = "Idempotency-Key", dedup_window = "30s", ` +
				`objective = "2s", deadline = "4s" }`,
			3,
		},
	} {
		a, b := startBackend(t, closeWithoutResponse), startBackend(t, closeWithoutResponse)
		p := startVersion2(
			t, routeTo("a"),
			serviceTOML{
				name: "a", classes: c.class, source: endpointsAt(a.Addr(), b.Addr()),
				extra: "retry_budget = { free = 100 }",
			},
		)
		resp, _ := sendRequest(t, p, "POST", "/a", "Idempotency-Key: k")
		n := a.Requests() + b.Requests()
		if n != c.want || resp.StatusCode < 500 || c.want == 1 && resp.StatusCode != 502 {
			t.Errorf("%s: %d attempts, want %d; status %d", c.class, n, c.want, resp.StatusCode)
		}
	}
	a, b := startBackend(t, rejectNotStarted), startBackend(t, standin.Echo)
	app := decodeVersion2(
		t, routeTo("a"),
		serviceTOML{
			name:    "a",
			classes: `one = { repeat = "safe", resend = "never", objective = "2s", deadline = "4s" }`,
			source:  endpointsAt(a.Addr(), b.Addr()),
		},
	)
	const maxStarts = 10 // a sidecar whose first requests go to the other backend soon prefers that backend
	for i := 0; i == 0 || i < maxStarts && a.Requests() == 0; i++ {
		p := startSidecar(t, app)
		for range 8 {
			if resp, _ := sendRequest(t, p, "POST", "/a"); resp.StatusCode != 200 {
				t.Errorf("got %d, want a retry of the request that has not run", resp.StatusCode)
			}
		}
	}
	if a.Requests() == 0 {
		t.Error("the rejecting backend got no request")
	}
}

// The idempotency key is in the field that the class configures. The field must occur exactly once
// and not be empty.
func TestIdempotencyKeyFieldIsConfigurable(t *testing.T) {
	a := startBackend(t, standin.Echo)
	p := startVersion2(t, routeTo("a"), serviceTOML{
		name:    "a",
		classes: `one = { repeat = "keyed", key = "record-id", dedup_window = "30s" }`,
		source:  endpointsAt(a.Addr()),
	})
	for _, c := range []struct {
		want   int
		header []string
	}{
		{200, []string{"Record-Id: 7"}},
		{400, nil},
		{400, []string{"Idempotency-Key: 7"}},
		{400, []string{"Record-Id:"}},
		{400, []string{"Record-Id: 7", "Record-Id: 8"}},
	} {
		if resp, body := sendRequest(t, p, "POST", "/a", c.header...); resp.StatusCode != c.want {
			t.Errorf("%v: got %d %s, want %d", c.header, resp.StatusCode, body, c.want)
		}
	}
	if n := a.Requests(); n != 1 {
		t.Errorf("backend got %d requests, want 1", n)
	}
}

// Early data may be a replay (RFC 8470). A request in early data is rejected with status 425 and
// not forwarded if its class is not idempotent. It is forwarded if its class is idempotent, unless
// the class sets early_data = false.
func TestEarlyDataOfNonIdempotentClassesIsRejected(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		class string
		want  int
	}{
		{unsafeClass, 425},
		{`rate = { repeat = "keyed", key = "Idempotency-Key", dedup_window = "30s" }`, 425},
		{safeClass, 200},
		{`look = { repeat = "safe", early_data = false }`, 425},
	} {
		a := startBackend(t, standin.Echo)
		p := startVersion2(t, routeTo("a"), serviceTOML{name: "a", classes: c.class, source: endpointsAt(a.Addr())})
		resp, _ := sendRequest(t, p, "POST", "/a", "Idempotency-Key: k", "Early-Data: 1")
		if n := a.Requests(); resp.StatusCode != c.want || (n == 1) != (c.want == 200) {
			t.Errorf("%s: got %d, want %d; backend got %d requests", c.class, resp.StatusCode, c.want, n)
		}
		if resp, _ := sendRequest(t, p, "POST", "/a", "Idempotency-Key: k"); resp.StatusCode != 200 {
			t.Errorf("%s, without early data: got %d, want 200", c.class, resp.StatusCode)
		}
	}
}

// Responses that the sidecar generates have the status codes that the service configures.
func TestGeneratedResponsesHaveConfiguredStatusCodes(t *testing.T) {
	t.Parallel()
	codes := "answers = { refused = 429, failed = 500, expired = 500 }"
	a := startBackend(t, closeWithoutResponse)
	p := startVersion2(
		t, routeTo("a"),
		serviceTOML{name: "a", classes: unsafeClass, source: endpointsAt(a.Addr()), extra: codes},
	)
	if resp, _ := sendRequest(t, p, "POST", "/a"); resp.StatusCode != 500 {
		t.Errorf("failed: got %d, want 500", resp.StatusCode)
	}
	b := startBackend(t, standin.Hang)
	p = startVersion2(t, routeTo("b"), serviceTOML{
		name:    "b",
		classes: `post = { repeat = "unsafe", objective = "50ms", deadline = "100ms" }`,
		source:  endpointsAt(b.Addr()), extra: codes,
	})
	if resp, _ := sendRequest(t, p, "POST", "/b"); resp.StatusCode != 500 {
		t.Errorf("expired: got %d, want 500", resp.StatusCode)
	}
	p = startVersion2(t, routeTo("c"), serviceTOML{
		name: "c", classes: unsafeClass,
		source: `endpoints = [{ address = "127.0.0.1:1", status = "draining" }]`,
		extra:  codes,
	})
	if resp, _ := sendRequest(t, p, "POST", "/c"); resp.StatusCode != 429 || resp.Header.Get("Retry-After") == "" {
		t.Errorf("shed: got %d, %v, want 429 with Retry-After", resp.StatusCode, resp.Header)
	}
}
