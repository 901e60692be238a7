package explain

import (
	"strings"
	"testing"

	"fernlanding/internal/config"
)

// configuration is the file of the sidecar whose handling of requests is explained.
const configuration = `version = 2
name = "gateway"

[[listeners]]
address = "127.0.0.1:8080"

[[listeners]]
name = "inside"
address = "127.0.0.1:8081"

[services.tariff]
membership = "catalog"
discovery = "127.0.0.1:8500"
attempts = 2
retry_after = "0s"
answers = { failed = 500 }
[services.tariff.classes.look]
repeat = "safe"
objective = "300ms"
deadline = "1s"

[services.billing]
endpoints = [{ address = "127.0.0.1:9001", cell = 1 }, { address = "127.0.0.1:9002", cell = 2, status = "draining" }]
[services.billing.classes.rate]
repeat = "keyed"
dedup_scope = "cell"
dedup_window = "7.5s"
key = "Record-Id"
[services.billing.classes.post]
repeat = "unsafe"
worth = 5
[services.billing.tenants.acme]
quota = 10

[services.next]
membership = "catalog"
discovery = "127.0.0.1:8501"
[services.next.classes.rate]
repeat = "keyed"
dedup_scope = "cell"
dedup_window = "7.5s"
key = "Record-Id"

[[routes]]
name = "look"
hosts = ["*.example.org"]
prefix = "/v1/tariffs"
service = "tariff"
rewrite_prefix = "/t"
timeout = "900ms"

[[routes]]
name = "rate"
exact = "/rate"
split = [
  { service = "billing", class = "rate", weight = 3 },
  { service = "next", class = "rate", weight = 1 },
]

[[routes]]
name = "post"
template = "/a/{id}/post"
listeners = ["main"]
service = "billing"
class = "post"
`

// partText returns the location and the text of a part of an explanation, or the empty string if the
// part is missing.
func partText(explanation Explanation, part string) string {
	for _, l := range explanation.Lines {
		if l.Part == part {
			location := l.Location
			if l.IsDefault {
				location = "default of " + location
			}
			return strings.TrimSpace(location + " " + l.Text)
		}
	}
	return ""
}

// readConfiguration decodes a file that a sidecar accepts.
func readConfiguration(t *testing.T, text string) *config.Document {
	t.Helper()
	doc := config.Read("f", []byte(text))
	if doc.App == nil {
		t.Fatal(doc.Diagnostics)
	}
	return doc
}

// Each part of an explanation has the line of the file that determines it.
func TestExplainNamesSourceLines(t *testing.T) {
	doc := readConfiguration(t, configuration)
	for _, c := range []struct {
		listener, method, url string
		fields                []string
		status                int
		want                  map[string]string
	}{
		{"", "GET", "http://x.example.org:80/v1/tariffs/7?a=b", nil, 0, map[string]string{
			"listener": "f:4 main, 127.0.0.1:8080", "route": "f:44 look, number 1 of 3",
			"service": "f:48 tariff", "class": "f:17 look",
			"path": "f:49 goes on as /t/7", "time limit": "f:50 900ms", "objective": "f:19 300ms",
			"attempts": "f:14 2 at most, one at a time", "repeat rule": "f:18 safe",
			"sent again": "default of f:17 to any backend, after any failed attempt, within its time limit",
			"pool":       "f:13 as the discovery at 127.0.0.1:8500 says",
			"failed":     "f:16 500 when it may have run and no answer came, 504 when its time is up",
		}},
		{"", "GET", "/v1/tariffs/7", []string{"Host: y.example.org", "Request-Timeout-Ms: 20"}, 0, map[string]string{
			"time limit": "20ms, by its own Request-Timeout-Ms",
		}},
		{"", "GET", "/v1/tariffs/7", nil, 404, nil},
		{"", "GET", "/../x", nil, 400, nil},
		{"", "GET", "/_health", nil, 200, nil},
		{"", "POST", "/rate", nil, 400, map[string]string{"key": "f:28 Record-Id"}},
		{"", "POST", "/rate", []string{"Record-Id: 7", "Early-Data: 1"}, 425, nil},
		{"", "POST", "/rate", []string{"Record-Id: 7"}, 0, map[string]string{
			"repeat rule": "f:25 keyed", "until": "f:27 7.5s after its first send, and within its time limit",
			"time limit": "default of f:24 2s",
		}},
		{"inside", "POST", "/a/7/post", nil, 404, nil},
		{"main", "POST", "/a/7/post", nil, 0, map[string]string{
			"pool":    "f:23 2 endpoints in 2 pods, 1 serving",
			"tenants": "f:32 acme; a tenant beyond its quota is refused first",
			"sent again": "default of f:29 after an attempt that is proven not to have run (found no room, " +
				"no connection): to any backend that is not draining; never once it may have run",
		}},
	} {
		r, err := ParseRequest(c.method, c.url, c.fields)
		if err != nil {
			t.Fatal(err)
		}
		explanation, err := Explain(doc, c.listener, r)
		if err != nil || explanation.Status != c.status {
			t.Errorf("%s %s: got status %d, error %v; want %d", c.method, c.url, explanation.Status, err, c.status)
		}
		for part, want := range c.want {
			if got := partText(explanation, part); got != want {
				t.Errorf("%s %s: %s: got %q, want %q", c.method, c.url, part, got, want)
			}
		}
	}
	if _, err := Explain(doc, "outside", Request{Path: "/"}); err == nil {
		t.Error("unknown listener: got no error")
	}
	if _, err := Explain(config.Read("f", nil), "", Request{}); err == nil {
		t.Error("file that a sidecar rejects: got no error")
	}
}

// If a service's endpoint list comes from relays, the part of its pool has their addresses.
func TestExplainNamesRelays(t *testing.T) {
	text := strings.Replace(configuration, "discovery = \"127.0.0.1:8500\"\n", "as = \"tariff.live\"\n", 1)
	text = strings.Replace(text, "membership = \"catalog\"", "membership = \"relay\"", 1)
	text = strings.Replace(text, "[[listeners]]",
		"[distribution]\nrelays = [\"127.0.0.1:7401\", \"127.0.0.1:7402\"]\n[[listeners]]", 1)
	doc := readConfiguration(t, text)
	r, err := ParseRequest("GET", "http://x.example.org/v1/tariffs/7", nil)
	if err != nil {
		t.Fatal(err)
	}
	explanation, err := Explain(doc, "", r)
	const want = "as the relays 127.0.0.1:7401, 127.0.0.1:7402 say of the list tariff.live"
	if got := partText(explanation, "pool"); err != nil || !strings.HasSuffix(got, want) {
		t.Errorf("got %q, error %v; want suffix %q", got, err, want)
	}
}

// ParseRequest returns an error for a method, a URL or a header field that no client can send.
func TestParseRequestRejectsMalformedRequests(t *testing.T) {
	for _, c := range []struct{ method, url, field string }{
		{"G T", "/", ""},
		{"GET", "x", ""},
		{"GET", "ftp://x/", ""},
		{"GET", "/%zz", ""},
		{"GET", "/", "a b: c"},
		{"GET", "/", "ab"},
	} {
		var fields []string
		if c.field != "" {
			fields = []string{c.field}
		}
		if r, err := ParseRequest(c.method, c.url, fields); err == nil {
			t.Errorf("%+v: got %+v, want an error", c, r)
		}
	}
}

// Explain explains any request that ParseRequest accepts.
func FuzzExplain(f *testing.F) {
	doc := config.Read("f", []byte(configuration))
	f.Add("GET", "http://x.example.org/v1/tariffs/%2e%2e/7", "Record-Id: 7")
	f.Add("POST", "/rate", "Early-Data: 1")
	f.Add("POST", "/v1/tariffs//7", "Host: [::1]:8")
	f.Fuzz(func(t *testing.T, method, url, field string) {
		r, err := ParseRequest(method, url, []string{field})
		if err != nil {
			return
		}
		if explanation, err := Explain(doc, "", r); err != nil || len(explanation.Lines) == 0 {
			t.Fatalf("got explanation %v, error %v", explanation, err)
		}
	})
}
