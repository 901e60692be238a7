package sidecar

import (
	"fernlanding/internal/config"
	"fernlanding/internal/standin"
	"fmt"
	"strings"
	"testing"
)

// What version 2 of the format lets an owner state about running a request again.

// decode2 is decode for version 2.
func decode2(t *testing.T, routes string, services ...svc) *config.App {
	t.Helper()
	var b strings.Builder
	fmt.Fprintf(&b, "version = 2\nname = \"test\"\nlisteners = [{ address = \"127.0.0.1:0\" }]\nprocess = { sockets = 200, memory_mb = 64 }\n%s\n", routes)
	for _, s := range services {
		fmt.Fprintf(&b, "[services.%s]\ntrusted = true\n%s\n%s\n[services.%s.classes]\n%s\n", s.name, s.from, s.more, s.name, s.classes)
	}
	app, err := config.Decode("test", []byte(b.String()))
	if err != nil {
		t.Fatal(err)
	}
	return app
}

// breaks is a handler that has the request run and closes the connection instead of an answer.
func breaks(*standin.Call) bool { return false }

// full is a handler that proves that nothing has run.
func full(c *standin.Call) bool {
	return c.Reply(503, "Not-Started: 1\r\n", nil) == nil
}

// A class that its owner lets nobody send again is sent once, whatever its repeat rule, unless nothing has run.
func TestNeverResentMeansOnce(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		class string
		want  int // attempts
	}{
		{`one = { repeat = "safe", resend = "never", objective = "2s", deadline = "4s" }`, 1},
		{`one = { repeat = "keyed", key = "Idempotency-Key", dedup_window = "30s", resend = "never", objective = "2s", deadline = "4s" }`, 1},
		{`one = { repeat = "unsafe", objective = "2s", deadline = "4s" }`, 1},
		{`one = { repeat = "safe", objective = "2s", deadline = "4s" }`, 3},
		{`one = { repeat = "keyed", key = "Idempotency-Key", dedup_window = "30s", objective = "2s", deadline = "4s" }`, 3},
	} {
		a, b := backend(t, breaks), backend(t, breaks)
		p := start(t, decode2(t, to("a"), svc{"a", c.class, at(a.Addr(), b.Addr()), "retry_budget = { free = 100 }"}))
		resp, _ := ask(t, p, "POST", "/a", "Idempotency-Key: k")
		if n := a.Requests() + b.Requests(); n != c.want || resp.StatusCode < 500 || c.want == 1 && resp.StatusCode != 502 {
			t.Errorf("%s: %d attempts, want %d; answer %d", c.class, n, c.want, resp.StatusCode)
		}
	}
	a, b := backend(t, full), backend(t, standin.Echo)
	app := decode2(t, to("a"), svc{"a", `one = { repeat = "safe", resend = "never", objective = "2s", deadline = "4s" }`, at(a.Addr(), b.Addr()), ""})
	const mostStarts = 10 // a sidecar whose first calls go to the other backend soon prefers that
	for i := 0; i == 0 || i < mostStarts && a.Requests() == 0; i++ {
		p := start(t, app)
		for range 8 {
			if resp, _ := ask(t, p, "POST", "/a"); resp.StatusCode != 200 {
				t.Errorf("what has not run was not sent again: %d", resp.StatusCode)
			}
		}
	}
	if a.Requests() == 0 {
		t.Error("the full backend was never asked")
	}
}

// The key is the field that the class names, once and not empty; another field is no key.
func TestTheKeyIsTheFieldThatTheClassNames(t *testing.T) {
	a := backend(t, standin.Echo)
	p := start(t, decode2(t, to("a"), svc{"a", `one = { repeat = "keyed", key = "record-id", dedup_window = "30s" }`, at(a.Addr()), ""}))
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
		if resp, body := ask(t, p, "POST", "/a", c.header...); resp.StatusCode != c.want {
			t.Errorf("%v: got %d %s, want %d", c.header, resp.StatusCode, body, c.want)
		}
	}
	if n := a.Requests(); n != 1 {
		t.Errorf("%d requests came, want 1", n)
	}
}

// Early data may be a replay (RFC 8470): a class that is not safe is answered 425 at once and no backend sees it; a safe
// one goes on, unless its owner says otherwise.
func TestEarlyDataOfUnsafeClassesIsTooEarly(t *testing.T) {
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
		p := start(t, decode2(t, to("a"), svc{"a", c.class, at(a.Addr()), ""}))
		resp, _ := ask(t, p, "POST", "/a", "Idempotency-Key: k", "Early-Data: 1")
		if came := a.Requests(); resp.StatusCode != c.want || (came == 1) != (c.want == 200) {
			t.Errorf("%s: got %d, %d came; want %d", c.class, resp.StatusCode, came, c.want)
		}
		if resp, _ := ask(t, p, "POST", "/a", "Idempotency-Key: k"); resp.StatusCode != 200 {
			t.Errorf("%s: without early data: got %d", c.class, resp.StatusCode)
		}
	}
}

// The sidecar's own answers have the codes that the service states.
func TestOwnAnswersHaveTheStatedCodes(t *testing.T) {
	t.Parallel()
	codes := "answers = { refused = 429, failed = 500, expired = 500 }"
	a := backend(t, breaks)
	p := start(t, decode2(t, to("a"), svc{"a", unsafeClass, at(a.Addr()), codes}))
	if resp, _ := ask(t, p, "POST", "/a"); resp.StatusCode != 500 {
		t.Errorf("failed: got %d", resp.StatusCode)
	}
	b := backend(t, standin.Hangs)
	p = start(t, decode2(t, to("b"), svc{"b", `post = { repeat = "unsafe", objective = "50ms", deadline = "100ms" }`, at(b.Addr()), codes}))
	if resp, _ := ask(t, p, "POST", "/b"); resp.StatusCode != 500 {
		t.Errorf("expired: got %d", resp.StatusCode)
	}
	p = start(t, decode2(t, to("c"), svc{"c", unsafeClass, `endpoints = [{ address = "127.0.0.1:1", status = "draining" }]`, codes}))
	if resp, _ := ask(t, p, "POST", "/c"); resp.StatusCode != 429 || resp.Header.Get("Retry-After") == "" {
		t.Errorf("refused: got %d, %v", resp.StatusCode, resp.Header)
	}
}
