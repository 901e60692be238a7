package sidecar

import (
	"testing"

	"fernlanding/internal/standin"
)

// closeWithoutAnswer is a handler that runs the request and closes the connection instead of an
// answer.
func closeWithoutAnswer(*standin.Call) bool { return false }

// rejectNotStarted is a handler that rejects the request and states that nothing has run.
func rejectNotStarted(c *standin.Call) bool {
	return c.Reply(503, "Not-Started: 1\r\n", nil) == nil
}

// A class with resend = "never" is sent once, whatever its idempotency, unless nothing has run.
func TestResendNeverIsSentOnce(t *testing.T) {
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
		a, b := backend(t, closeWithoutAnswer), backend(t, closeWithoutAnswer)
		p := startVersion2(
			t, routeTo("a"),
			serviceText{
				name: "a", classes: c.class, source: endpointsAt(a.Addr(), b.Addr()),
				extra: "retry_budget = { free = 100 }",
			},
		)
		resp, _ := sendRequest(t, p, "POST", "/a", "Idempotency-Key: k")
		n := a.Requests() + b.Requests()
		if n != c.want || resp.StatusCode < 500 || c.want == 1 && resp.StatusCode != 502 {
			t.Errorf("%s: %d attempts, want %d; answer %d", c.class, n, c.want, resp.StatusCode)
		}
	}
	a, b := backend(t, rejectNotStarted), backend(t, standin.Echo)
	app := decodeVersion2(
		t, routeTo("a"),
		serviceText{
			name:    "a",
			classes: `one = { repeat = "safe", resend = "never", objective = "2s", deadline = "4s" }`,
			source:  endpointsAt(a.Addr(), b.Addr()),
		},
	)
	const mostStarts = 10 // a sidecar whose first calls go to the other backend soon prefers that
	for i := 0; i == 0 || i < mostStarts && a.Requests() == 0; i++ {
		p := startSidecar(t, app)
		for range 8 {
			if resp, _ := sendRequest(t, p, "POST", "/a"); resp.StatusCode != 200 {
				t.Errorf("what has not run was not retried: %d", resp.StatusCode)
			}
		}
	}
	if a.Requests() == 0 {
		t.Error("the backend that rejects was never chosen")
	}
}

// The idempotency key is the field that the class names, which must occur once and not be empty.
func TestKeyIsTheConfiguredField(t *testing.T) {
	a := backend(t, standin.Echo)
	p := startVersion2(t, routeTo("a"), serviceText{
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
		t.Errorf("%d requests came, want 1", n)
	}
}

// Early data may be a replay (RFC 8470): a request of a class that is not idempotent is answered
// 425 at once and not forwarded; one of an idempotent class is forwarded, unless its owner says
// otherwise.
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
		a := backend(t, standin.Echo)
		p := startVersion2(t, routeTo("a"), serviceText{name: "a", classes: c.class, source: endpointsAt(a.Addr())})
		resp, _ := sendRequest(t, p, "POST", "/a", "Idempotency-Key: k", "Early-Data: 1")
		if came := a.Requests(); resp.StatusCode != c.want || (came == 1) != (c.want == 200) {
			t.Errorf("%s: got %d, %d came; want %d", c.class, resp.StatusCode, came, c.want)
		}
		if resp, _ := sendRequest(t, p, "POST", "/a", "Idempotency-Key: k"); resp.StatusCode != 200 {
			t.Errorf("%s: without early data: got %d", c.class, resp.StatusCode)
		}
	}
}

// The sidecar's own answers have the status codes that the service configures.
func TestOwnAnswersHaveConfiguredStatusCodes(t *testing.T) {
	t.Parallel()
	codes := "answers = { refused = 429, failed = 500, expired = 500 }"
	a := backend(t, closeWithoutAnswer)
	p := startVersion2(
		t, routeTo("a"),
		serviceText{name: "a", classes: unsafeClass, source: endpointsAt(a.Addr()), extra: codes},
	)
	if resp, _ := sendRequest(t, p, "POST", "/a"); resp.StatusCode != 500 {
		t.Errorf("failed: got %d", resp.StatusCode)
	}
	b := backend(t, standin.Hangs)
	p = startVersion2(t, routeTo("b"), serviceText{
		name:    "b",
		classes: `post = { repeat = "unsafe", objective = "50ms", deadline = "100ms" }`,
		source:  endpointsAt(b.Addr()), extra: codes,
	})
	if resp, _ := sendRequest(t, p, "POST", "/b"); resp.StatusCode != 500 {
		t.Errorf("expired: got %d", resp.StatusCode)
	}
	p = startVersion2(t, routeTo("c"), serviceText{
		name: "c", classes: unsafeClass,
		source: `endpoints = [{ address = "127.0.0.1:1", status = "draining" }]`,
		extra:  codes,
	})
	if resp, _ := sendRequest(t, p, "POST", "/c"); resp.StatusCode != 429 || resp.Header.Get("Retry-After") == "" {
		t.Errorf("refused: got %d, %v", resp.StatusCode, resp.Header)
	}
}
