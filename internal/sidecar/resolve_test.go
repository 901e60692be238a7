package sidecar

import (
	"io"
	"testing"

	"fernlanding/internal/standin"
)

// The first matching route selects the service of a request. The request target is forwarded byte
// for byte, except for a configured rewrite.
func TestRoutesSelectServices(t *testing.T) {
	a, b := startBackend(t, standin.Echo), startBackend(t, standin.Echo)
	const routes = `
[[routes]]
name = "rewritten"
prefix = "/v1/a"
service = "a"
rewrite_prefix = "/x"
[[routes]]
name = "a"
hosts = ["h"]
prefix = "/a"
service = "a"
[[routes]]
name = "b"
template = "/b/{id}"
headers = { Tier = "gold" }
service = "b"
`
	p := startVersion1(
		t, 200, routes,
		serviceTOML{name: "a", classes: safeClass, source: endpointsAt(a.Addr())},
		serviceTOML{name: "b", classes: safeClass, source: endpointsAt(b.Addr())},
	)
	for _, c := range []struct {
		method, target, header string
		status                 int
		body                   string
	}{
		{"GET", "/a/k%2f1?x=%20y&/..", "", 200, "GET /a/k%2f1?x=%20y&/..\n"},
		{"GET", "/a//b/./c", "", 200, "GET /a//b/./c\n"},
		{"PUT", "/v1/a?q", "", 200, "PUT /x?q\n"},
		{"GET", "/v1/a/%7eme/", "", 200, "GET /x/%7eme/\n"},
		{"GET", "/b/7", "Tier: gold", 200, "GET /b/7\n"},
		{"HEAD", "/b/7", "Tier: gold", 200, ""},
		{"GET", "/b/7", "Tier: tin", 404, "no route\n"},
		{"GET", "/b/7/8", "Tier: gold", 404, "no route\n"},
		{"GET", "/a/../b/7", "Tier: gold", 400, "path: may be read in two ways, which lead to different routes\n"},
		{"GET", "/v1//a/x", "", 400, "path: may be read in two ways, which lead to different routes\n"},
		{"GET", "/a/..%2f..%2fb", "", 400, "path: leads above the root\n"},
		{"GET", "/a", "Request-Timeout-Ms: soon", 400, "Request-Timeout-Ms is no time\n"},
		{"GET", "/a", "Request-Id: 1\r\nRequest-Id: 2", 400, "Request-Id is given twice\n"},
		{"GET", "http://h/a", "", 400, "path: does not begin with a slash\n"},
	} {
		resp, body := sendRequest(t, p, c.method, c.target, c.header)
		if resp.StatusCode != c.status || c.method != "HEAD" && body != c.body {
			t.Errorf("%s %s: got %s %q, want %d %q", c.method, c.target, resp.Status, body, c.status, c.body)
		}
	}
	if a.Requests() != 4 || b.Requests() != 2 {
		t.Errorf("%d and %d requests, want 4 and 2", a.Requests(), b.Requests())
	}
}

// Responses of all kinds are forwarded with their header, except for fields that concern the
// backend's connection. An error of a backend is never forwarded with a status that means that the
// request has not run.
func TestResponsesAreForwardedUnchanged(t *testing.T) {
	reply := make(chan string, 1)
	b := startBackend(t, func(c *standin.Call) bool {
		_, err := io.WriteString(c.Conn, <-reply)
		return err == nil
	})
	p := startVersion1(
		t, 200, routeTo("s"),
		serviceTOML{name: "s", classes: unsafeClass, source: endpointsAt(b.Addr())},
	)
	for _, c := range []struct {
		reply  string
		status int
		want   string // Location field
		body   string
	}{
		{
			"HTTP/1.1 201 Created\r\nLocation: /x\r\nX: 1\r\nKeep-Alive: timeout=9\r\nContent-Length: 2\r\n\r\nok",
			201, "/x", "ok",
		},
		{"HTTP/1.1 204 No Content\r\nLocation: /y\r\n\r\n", 204, "/y", ""},
		{"HTTP/1.1 303 See Other\r\nLocation: /z\r\nContent-Length: 0\r\n\r\n", 303, "/z", ""},
		{"HTTP/1.1 422 No\r\nLocation: /w\r\nContent-Length: 3\r\n\r\nwhy", 422, "/w", "why"},
		{"HTTP/1.1 500 No\r\nLocation: /v\r\nContent-Length: 3\r\n\r\nwhy", 500, "/v", "why"},
		{"HTTP/1.1 503 No\r\nLocation: /u\r\nContent-Length: 3\r\n\r\nwhy", 502, "/u", "why"},
		{"HTTP/1.1 429 No\r\nContent-Length: 0\r\n\r\n", 502, "", ""},
		{"HTTP/1.1 408 No\r\nContent-Length: 0\r\n\r\n", 502, "", ""},
	} {
		reply <- c.reply
		resp, body := sendRequest(t, p, "POST", "/s")
		location, keepAlive := resp.Header.Get("Location"), resp.Header.Get("Keep-Alive")
		if resp.StatusCode != c.status || location != c.want || body != c.body || keepAlive != "" {
			t.Errorf("%q: got %s %v %q", c.reply, resp.Status, resp.Header, body)
		}
	}
}
