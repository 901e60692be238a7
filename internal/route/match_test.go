package route

import (
	"fmt"
	"strings"
	"testing"
)

// newTable returns a table of valid rules.
func newTable(tb testing.TB, rules ...Match) *Table {
	tb.Helper()
	table, err := New(rules)
	if err != nil {
		tb.Fatal(err)
	}
	return table
}

// getRequest returns a GET request.
func getRequest(host, path string) Request { return Request{Method: "GET", Host: host, Path: path} }

func TestMatchReturnsFirstMatchingRule(t *testing.T) {
	table := newTable(t,
		Match{Hosts: []string{"api.example.org"}, Kind: Exact, Path: "/a/b"},
		Match{Hosts: []string{"*.example.org"}, Path: "/a", Methods: []string{"POST", "PUT"}},
		Match{
			Hosts: []string{"*.example.org"}, Path: "/a",
			Headers: []HeaderMatch{{Name: "x-tier", Value: "gold"}, {Name: "x-id", Any: true}},
		},
		Match{Hosts: []string{"api.example.org", "[::1]"}, Kind: Template, Path: "/a/{id}"},
		Match{Hosts: []string{"example.org"}},
		Match{Kind: Template, Path: "/users/{id}/calls/{call}"},
		Match{Path: "/users/me"},
	)
	withHeader := func(header map[string][]string) Request {
		return Request{Method: "GET", Host: "x.example.org", Path: "/a/z", Header: header}
	}
	for _, c := range []struct {
		req  Request
		want int
	}{
		{getRequest("api.example.org", "/a/b"), 0},
		{getRequest("API.Example.ORG.:8443", "/a/b"), 0},
		{getRequest("api.example.org", "/a/b/"), -1},
		{getRequest("api.example.org", "/a/c"), 3},
		{getRequest("api.example.org", "/a/"), -1}, // {id} does not match an empty segment
		{getRequest("[::1]:80", "/a/c"), 3},
		{getRequest("[::1]", "/a/c/d"), -1},
		{Request{Method: "POST", Host: "x.y.example.org", Path: "/a"}, 1},
		{Request{Method: "POST", Host: "x.y.example.org", Path: "/ab"}, -1},
		{Request{Method: "POST", Host: "example.org", Path: "/a"}, 4}, // * matches at least one label
		{withHeader(map[string][]string{"X-Tier": {"tin", "gold"}, "X-Id": {""}}), 2},
		{withHeader(map[string][]string{"X-Tier": {"Gold"}, "X-Id": {""}}), -1},
		{withHeader(map[string][]string{"X-Tier": {"gold"}}), -1},
		{getRequest("", "/users/7/calls/9"), 5},
		{getRequest("anything", "/users/me/calls/9"), 5}, // the first rule wins, not the most specific
		{getRequest("anything", "/users/me/calls"), 6},
		{getRequest("anything", "/"), -1},
	} {
		got, err := table.Match(c.req)
		if err != nil || got != c.want {
			t.Errorf("%s %s%s: got %d, %v, want %d", c.req.Method, c.req.Host, c.req.Path, got, err, c.want)
		}
	}
}

// The path is forwarded as received, so a path that a backend may interpret as another route's must
// be rejected. Otherwise the request would have the permissions and the retry rule of the wrong
// route.
func TestMatchRejectsAmbiguousPaths(t *testing.T) {
	table := newTable(t, Match{Path: "/charge"}, Match{Path: "/tariff"})
	for path, want := range map[string]int{
		"/tariff/x%2Fy":                 1,
		"/tariff//x":                    1,
		"/tariff/a/../b":                1,
		"/charge/./x":                   0,
		"/%63harge/x":                   -2, // matches no route as received
		"/charge/../tariff/x":           -2,
		"/tariff/../charge/x":           -2,
		"/tariff/%2e%2e/charge/x":       -2,
		"/tariff/..%2Fcharge":           -2,
		"/tariff/..%2fcharge/":          -2,
		"/tariff%2F..%2F..%2Fcharge":    -2,
		"/charge%2Fx":                   -2,
		"/charge%5Cx":                   -2,
		"//charge/x":                    -2,
		"/tariff/x%2F..%2F..%2F..%2Fch": -2,
	} {
		got, err := table.Match(getRequest("h", path))
		if err != nil {
			got = -2
		}
		if got != want {
			t.Errorf("%s: got %d, %v, want %d", path, got, err, want)
		}
	}
}

func TestRewrite(t *testing.T) {
	table := newTable(t, Match{Path: "/a/b"}, Match{})
	for _, c := range []struct {
		rule                    int
		path, replacement, want string
	}{
		{0, "/a/b", "/c", "/c"},
		{0, "/a/b/x%2Fy", "/c", "/c/x%2Fy"},
		{0, "/a/b", "/", "/"},
		{0, "/a/b/x", "/", "/x"},
		{0, "/a//b/x", "/c", "!"},
		{0, "/a/bc", "/c", "!"},
		{1, "/x", "/c", "/c/x"},
		{1, "/", "/c", "/c/"},
	} {
		got, ok := table.Rewrite(c.rule, c.path, c.replacement)
		if !ok {
			got = "!"
		}
		if got != c.want {
			t.Errorf("rule %d, path %s, replacement %s: got %q, want %q", c.rule, c.path, c.replacement, got, c.want)
		}
	}
}

// The test checks allocations as the cost of a match. Benchmarks measure the time.
func TestMatchDoesNotAllocate(t *testing.T) {
	table, requests := newLargeTable(t, 1000)
	if n := testing.AllocsPerRun(100, func() {
		for _, r := range requests {
			_, _ = table.Match(r)
		}
	}); n != 0 {
		t.Errorf("got %v allocations, want 0", n)
	}
}

// newLargeTable returns a table of n exact and prefix rules for 100 hosts, and requests that match
// rules throughout the table, and some that match none.
func newLargeTable(tb testing.TB, n int) (*Table, []Request) {
	tb.Helper()
	var rules []Match
	var requests []Request
	for i := range n {
		m := Match{
			Hosts: []string{fmt.Sprintf("svc%d.example.org", i%100)},
			Kind:  PathKind(i % 2),
			Path:  fmt.Sprintf("/v1/service%d/things", i),
		}
		rules = append(rules, m)
		if i%(1+n/8) == 0 {
			requests = append(requests,
				Request{Method: "POST", Host: m.Hosts[0], Path: m.Path},
				Request{Method: "GET", Host: m.Hosts[0], Path: m.Path + "/17"})
		}
	}
	return newTable(tb, rules...), requests
}

func BenchmarkMatch(b *testing.B) {
	for _, n := range []int{10, 1000, 10_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			table, requests := newLargeTable(b, n)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				_, _ = table.Match(requests[i%len(requests)])
			}
		})
	}
}

func BenchmarkCompile10000(b *testing.B) {
	for b.Loop() {
		newLargeTable(b, 10_000)
	}
}

func FuzzMatch(f *testing.F) {
	table := newTable(f,
		Match{Hosts: []string{"*.example.org"}, Path: "/a"},
		Match{Kind: Template, Path: "/b/{x}/c"},
		Match{Kind: Exact, Path: "/d"},
		Match{Path: "/e"},
	)
	f.Add("x.example.org:1", "/a/../b/%2e/c")
	f.Add("", "/e%2ff//")
	f.Add("[::1]:8", "/b/%2F/c")
	f.Fuzz(func(t *testing.T, host, path string) {
		i, err := table.Match(Request{Method: "GET", Host: host, Path: path})
		if err != nil {
			return
		}
		canon, err := CanonicalPath(path)
		if err != nil {
			t.Fatalf("path %q matched but has no canonical form: %v", path, err)
		}
		if again, err := CanonicalPath(canon); err != nil || again != canon {
			t.Fatalf("path %q: canonical form %q, second canonical form %q, %v", path, canon, again, err)
		}
		if strings.Contains(canon, "//") || strings.Contains(canon+"/", "/../") || strings.Contains(canon+"/", "/./") {
			t.Fatalf("path %q: canonical form %q has empty or dot segments", path, canon)
		}
		// The same request in canonical form matches the same rule.
		h, err := CanonicalHost(host)
		if err != nil {
			t.Fatal(err)
		}
		if j, err := table.Match(Request{Method: "GET", Host: h, Path: canon}); err != nil || j != i {
			t.Fatalf("%q %q: rule %d; canonical form %q %q: rule %d, %v", host, path, i, h, canon, j, err)
		}
	})
}
