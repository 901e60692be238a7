package route

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
)

func table(t testing.TB, rules ...Match) *Table {
	t.Helper()
	tab, err := New(rules)
	if err != nil {
		t.Fatal(err)
	}
	return tab
}

func get(host, path string) Request { return Request{Method: "GET", Host: host, Path: path} }

func TestTheFirstRuleThatMatchesDecides(t *testing.T) {
	tab := table(t,
		Match{Hosts: []string{"api.example.org"}, Kind: Exact, Path: "/a/b"},
		Match{Hosts: []string{"*.example.org"}, Path: "/a", Methods: []string{"POST", "PUT"}},
		Match{Hosts: []string{"*.example.org"}, Path: "/a", Headers: []HeaderMatch{{Name: "x-tier", Value: "gold"}, {Name: "x-id", Any: true}}},
		Match{Hosts: []string{"api.example.org", "[::1]"}, Kind: Template, Path: "/a/{id}"},
		Match{Hosts: []string{"example.org"}},
		Match{Kind: Template, Path: "/users/{id}/calls/{call}"},
		Match{Path: "/users/me"},
	)
	for _, c := range []struct {
		req  Request
		want int
	}{
		{get("api.example.org", "/a/b"), 0},
		{get("API.Example.ORG.:8443", "/a/b"), 0},
		{get("api.example.org", "/a/b/"), -1},
		{get("api.example.org", "/a/c"), 3},
		{get("api.example.org", "/a/"), -1}, // a template's segment is not empty
		{get("[::1]:80", "/a/c"), 3},
		{get("[::1]", "/a/c/d"), -1},
		{Request{Method: "POST", Host: "x.y.example.org", Path: "/a"}, 1},
		{Request{Method: "POST", Host: "x.y.example.org", Path: "/ab"}, -1},
		{Request{Method: "POST", Host: "example.org", Path: "/a"}, 4}, // the star stands for a label at least
		{Request{Method: "GET", Host: "x.example.org", Path: "/a/z", Header: map[string][]string{"X-Tier": {"tin", "gold"}, "X-Id": {""}}}, 2},
		{Request{Method: "GET", Host: "x.example.org", Path: "/a/z", Header: map[string][]string{"X-Tier": {"Gold"}, "X-Id": {""}}}, -1},
		{Request{Method: "GET", Host: "x.example.org", Path: "/a/z", Header: map[string][]string{"X-Tier": {"gold"}}}, -1},
		{get("", "/users/7/calls/9"), 5},
		{get("anything", "/users/me/calls/9"), 5}, // order decides, not how exact a rule is
		{get("anything", "/users/me/calls"), 6},
		{get("anything", "/"), -1},
	} {
		got, err := tab.Match(c.req)
		if err != nil || got != c.want {
			t.Errorf("%s %s%s: got %d, %v, want %d", c.req.Method, c.req.Host, c.req.Path, got, err, c.want)
		}
	}
}

func TestCanonicalForms(t *testing.T) {
	for _, c := range []struct{ raw, want string }{
		{"/", "/"},
		{"/a/b", "/a/b"},
		{"/a/b/", "/a/b/"},
		{"//", "/"},
		{"/a//b", "/a/b"},
		{"/a//", "/a/"},
		{"/./a", "/a"},
		{"/a/.", "/a/"},
		{"/a/..", "/"},
		{"/a/../b", "/b"},
		{"/a/b/../..", "/"},
		{"/a/b/..", "/a/"},
		{"/%61", "/a"},
		{"/%7euser", "/~user"},
		{"/a%2fb", "/a%2Fb"},
		{"/a/%2e%2E/b", "/b"},
		{"/a/.%2e/b", "/b"},
		{"/%41%3a", "/A%3A"},
		{"/.well-known/x", "/.well-known/x"},
		{"/a/...", "/a/..."},
		{"/a%252Fb", "/a%252Fb"},
		{"", "!"},
		{"a", "!"},
		{"*", "!"},
		{"/..", "!"},
		{"/a/../../b", "!"},
		{"/%2e%2e/a", "!"},
		{"/a%", "!"},
		{"/a%4", "!"},
		{"/a%zz", "!"},
		{"/a%00", "!"},
		{"/a%0d%0a", "!"},
		{"/a b", "!"},
		{"/a\\b", "!"},
		{"/a\x00", "!"},
		{"/\xc3\xa9", "!"},
		{"/" + strings.Repeat("a", MaxPath), "!"},
		{strings.Repeat("/a", MaxSegments+1), "!"},
	} {
		got, err := CanonicalPath(c.raw)
		if (err != nil) != (c.want == "!") || err == nil && got != c.want {
			t.Errorf("path %.40q: got %q, %v, want %q", c.raw, got, err, c.want)
		}
	}
	for _, c := range []struct{ raw, want string }{
		{"", ""},
		{"a.b", "a.b"},
		{"A.B", "a.b"},
		{"a.b.", "a.b"},
		{"a.b:80", "a.b"},
		{"a.b.:80", "a.b"},
		{"a:", "a"},
		{"[::1]", "[::1]"},
		{"[::1]:443", "[::1]"},
		{"[FE80::1]", "[fe80::1]"},
		{"127.0.0.1:9", "127.0.0.1"},
		{"x_y", "x_y"},
		{".", "!"},
		{"..", "!"},
		{"a..b", "!"},
		{".a", "!"},
		{"a.b..", "!"},
		{":80", "!"},
		{"a:b", "!"},
		{"a:1:2", "!"},
		{"a:123456", "!"},
		{"[::1", "!"},
		{"[::1]x", "!"},
		{"[x]", "!"},
		{"a/b", "!"},
		{"u@h", "!"},
		{"a%2eb", "!"},
		{"a b", "!"},
		{"a\x00", "!"},
		{strings.Repeat("a", MaxHost+1), "!"},
	} {
		got, err := CanonicalHost(c.raw)
		if (err != nil) != (c.want == "!") || err == nil && got != c.want {
			t.Errorf("host %.40q: got %q, %v, want %q", c.raw, got, err, c.want)
		}
	}
}

// The bytes that came go on. A path that another reader may take for another route's is turned away: it would get
// there with the rights and the repeat rule of the wrong one.
func TestPathsThatMayBeReadInTwoWaysAreTurnedAway(t *testing.T) {
	tab := table(t, Match{Path: "/charge"}, Match{Path: "/tariff"})
	for path, want := range map[string]int{
		"/tariff/x%2Fy":                 1,
		"/tariff//x":                    1,
		"/tariff/a/../b":                1,
		"/charge/./x":                   0,
		"/%63harge/x":                   -2, // literally no route's
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
		got, err := tab.Match(get("h", path))
		if err != nil {
			got = -2
		}
		if got != want {
			t.Errorf("%s: got %d, %v, want %d", path, got, err, want)
		}
	}
}

func TestRulesThatMakeNoSenseAreErrors(t *testing.T) {
	for want, m := range map[string]Match{
		"does not begin":      {Path: "a"},
		`write "/a/b"`:        {Path: "/a//b"},
		`write "/a"`:          {Path: "/a/"},
		"an encoded slash":    {Path: "/a%2Fb"},
		"braces":              {Kind: Exact, Path: "/{id}"},
		"whole segment":       {Kind: Template, Path: "/a{id}"},
		`found "{}"`:          {Kind: Template, Path: "/{}"},
		"a name or":           {Hosts: []string{"*."}},
		`'*' in a name`:       {Hosts: []string{"a.*.b"}},
		"ports do not count":  {Hosts: []string{"a:80"}},
		"an upper-case word":  {Methods: []string{"get"}},
		"the name of a field": {Headers: []HeaderMatch{{Name: "a b"}}},
	} {
		_, err := New([]Match{m})
		var re *RuleError
		if err == nil || !strings.Contains(err.Error(), want) || !errors.As(err, &re) || re.Rule != 0 {
			t.Errorf("%+v: got %v, want %q", m, err, want)
		}
	}
}

func TestRulesThatNothingReachesAreErrors(t *testing.T) {
	for name, c := range map[string]struct {
		rules []Match
		dead  []int
	}{
		"same twice":             {[]Match{{Path: "/a"}, {Path: "/a"}}, []int{1}},
		"below a prefix":         {[]Match{{Path: "/a"}, {Kind: Exact, Path: "/a/b"}, {Kind: Template, Path: "/a/{x}"}, {Path: "/ab"}}, []int{1, 2}},
		"all":                    {[]Match{{}, {Hosts: []string{"h"}, Path: "/x"}}, []int{1}},
		"exact before prefix":    {[]Match{{Kind: Exact, Path: "/a"}, {Path: "/a"}}, nil},
		"template before exact":  {[]Match{{Kind: Template, Path: "/a/{x}"}, {Kind: Exact, Path: "/a/b"}}, []int{1}},
		"exact before template":  {[]Match{{Kind: Exact, Path: "/a/b"}, {Kind: Template, Path: "/a/{x}"}}, nil},
		"host wildcard":          {[]Match{{Hosts: []string{"*.b"}}, {Hosts: []string{"a.b"}}, {Hosts: []string{"*.a.b"}}, {Hosts: []string{"b"}}}, []int{1, 2}},
		"some hosts":             {[]Match{{Hosts: []string{"a"}}, {Hosts: []string{"a", "b"}}}, nil},
		"hosts one by one":       {[]Match{{Hosts: []string{"a"}}, {Hosts: []string{"b"}}, {Hosts: []string{"A.", "b"}}}, []int{2}},
		"methods":                {[]Match{{Methods: []string{"GET", "PUT"}}, {Methods: []string{"GET"}}, {Methods: []string{"GET", "POST"}}, {}}, []int{1}},
		"methods one by one":     {[]Match{{Methods: []string{"GET"}}, {Methods: []string{"PUT"}}, {Methods: []string{"GET", "PUT"}}}, []int{2}},
		"fewer headers":          {[]Match{{Headers: []HeaderMatch{{Name: "a", Any: true}}}, {Headers: []HeaderMatch{{Name: "A", Value: "1"}, {Name: "b", Any: true}}}}, []int{1}},
		"other headers":          {[]Match{{Headers: []HeaderMatch{{Name: "a", Value: "2"}}}, {Headers: []HeaderMatch{{Name: "A", Value: "1"}}}, {}}, nil},
		"slash is not all":       {[]Match{{Kind: Exact, Path: "/"}, {}}, nil},
		"slash exact after all":  {[]Match{{}, {Kind: Exact, Path: "/"}}, []int{1}},
		"prefix does not end it": {[]Match{{Kind: Template, Path: "/{a}"}, {Path: "/x"}}, nil},
	} {
		_, err := New(c.rules)
		var dead []int
		if err != nil {
			for _, e := range err.(interface{ Unwrap() []error }).Unwrap() {
				var s *ShadowedError
				if !errors.As(e, &s) {
					t.Errorf("%s: %v", name, e)
				}
				dead = append(dead, e.(*RuleError).Rule)
			}
		}
		if !slices.Equal(dead, c.dead) {
			t.Errorf("%s: got %v, want %v", name, dead, c.dead)
		}
	}
}

// naive matches rules one by one, by their words alone.
func naive(rules []Match, host, path string, r Request) int {
	for i, m := range rules {
		hostOK := len(m.Hosts) == 0
		for _, h := range m.Hosts {
			if suffix, star := strings.CutPrefix(h, "*"); star {
				hostOK = hostOK || strings.HasSuffix(host, suffix) && len(host) > len(suffix)
			} else {
				hostOK = hostOK || h == host
			}
		}
		pathOK := false
		switch m.Kind {
		case Exact:
			pathOK = path == m.Path
		case Prefix:
			pathOK = m.Path == "/" || m.Path == "" || path == m.Path || strings.HasPrefix(path, m.Path+"/")
		case Template:
			want, got := strings.Split(m.Path, "/"), strings.Split(path, "/")
			pathOK = len(want) == len(got)
			for k := 0; pathOK && k < len(want); k++ {
				pathOK = want[k] == got[k] || strings.HasPrefix(want[k], "{") && got[k] != ""
			}
		}
		if hostOK && pathOK && (len(m.Methods) == 0 || slices.Contains(m.Methods, r.Method)) {
			return i
		}
	}
	return -1
}

// The compiled table says what a plain walk over the rules says, and a rule is called unreachable only if the walk
// never ends at it.
func TestTheCompiledTableAgreesWithAPlainWalk(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 2))
	pick := func(words ...string) string { return words[rnd.IntN(len(words))] }
	path := func(n int, words ...string) string {
		p := ""
		for range rnd.IntN(n) + 1 {
			p += "/" + pick(words...)
		}
		return p
	}
	for range 400 {
		var rules []Match
		for range 1 + rnd.IntN(8) {
			m := Match{Kind: PathKind(rnd.IntN(3))}
			for range rnd.IntN(3) {
				m.Hosts = append(m.Hosts, pick("a", "b.a", "*.a", "*.b.a", "c"))
			}
			if m.Kind == Template {
				m.Path = path(3, "x", "y", "{p}")
			} else {
				m.Path = path(3, "x", "y", "z")
			}
			if rnd.IntN(4) == 0 {
				m.Methods = []string{pick("GET", "POST")}
			}
			rules = append(rules, m)
		}
		tab, err := New(rules)
		dead := map[int]bool{}
		if err != nil {
			for _, e := range err.(interface{ Unwrap() []error }).Unwrap() {
				dead[e.(*RuleError).Rule] = true
			}
		}
		for range 200 {
			host := pick("", "a", "b.a", "c.b.a", "c", "d")
			r := Request{Method: pick("GET", "POST", "PUT"), Host: host, Path: path(4, "x", "y", "z", "w") + pick("", "", "/")}
			want := naive(rules, host, r.Path, r)
			if got, err := tab.Match(r); err != nil || got != want {
				t.Fatalf("%+v: got %d, %v, want %d of %+v", r, got, err, want, rules)
			}
			if dead[want] {
				t.Fatalf("%+v reaches rule %d of %+v, which was called unreachable", r, want, rules)
			}
		}
	}
}

func TestRewrite(t *testing.T) {
	tab := table(t, Match{Path: "/a/b"}, Match{})
	for _, c := range []struct {
		rule           int
		path, by, want string
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
		got, ok := tab.Rewrite(c.rule, c.path, c.by)
		if !ok {
			got = "!"
		}
		if got != c.want {
			t.Errorf("%s by %s: got %q, want %q", c.path, c.by, got, c.want)
		}
	}
}

// The cost of a match is asserted by what it allocates; its time is in the benchmarks.
func TestAMatchAllocatesNothing(t *testing.T) {
	tab, reqs := large(t, 1000)
	if n := testing.AllocsPerRun(100, func() {
		for _, r := range reqs {
			_, _ = tab.Match(r)
		}
	}); n != 0 {
		t.Errorf("%v allocations", n)
	}
}

// large is a table of n exact and prefix rules over hosts, and requests that match, some of them late and some none.
func large(t testing.TB, n int) (*Table, []Request) {
	var rules []Match
	var reqs []Request
	for i := range n {
		m := Match{Hosts: []string{fmt.Sprintf("svc%d.example.org", i%100)}, Kind: PathKind(i % 2), Path: fmt.Sprintf("/v1/service%d/things", i)}
		rules = append(rules, m)
		if i%(1+n/8) == 0 {
			reqs = append(reqs, Request{Method: "POST", Host: m.Hosts[0], Path: m.Path})
			reqs = append(reqs, Request{Method: "GET", Host: m.Hosts[0], Path: m.Path + "/17"})
		}
	}
	return table(t, rules...), reqs
}

func BenchmarkMatch(b *testing.B) {
	for _, n := range []int{10, 1000, 10_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			tab, reqs := large(b, n)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				_, _ = tab.Match(reqs[i%len(reqs)])
			}
		})
	}
}

func BenchmarkCompile10000(b *testing.B) {
	for b.Loop() {
		large(b, 10_000)
	}
}

func FuzzMatch(f *testing.F) {
	tab := table(f, Match{Hosts: []string{"*.example.org"}, Path: "/a"}, Match{Kind: Template, Path: "/b/{x}/c"}, Match{Kind: Exact, Path: "/d"}, Match{Path: "/e"})
	f.Add("x.example.org:1", "/a/../b/%2e/c")
	f.Add("", "/e%2ff//")
	f.Add("[::1]:8", "/b/%2F/c")
	f.Fuzz(func(t *testing.T, host, path string) {
		i, err := tab.Match(Request{Method: "GET", Host: host, Path: path})
		if err != nil {
			return
		}
		canon, err := CanonicalPath(path)
		if err != nil {
			t.Fatalf("%q matched and has no canonical form: %v", path, err)
		}
		if again, err := CanonicalPath(canon); err != nil || again != canon {
			t.Fatalf("%q: canonical %q, then %q, %v", path, canon, again, err)
		}
		if strings.Contains(canon, "//") || strings.Contains(canon+"/", "/../") || strings.Contains(canon+"/", "/./") {
			t.Fatalf("%q: canonical %q", path, canon)
		}
		// The same request in canonical form meets the same rule.
		h, err := CanonicalHost(host)
		if err != nil {
			t.Fatal(err)
		}
		if j, err := tab.Match(Request{Method: "GET", Host: h, Path: canon}); err != nil || j != i {
			t.Fatalf("%q %q: rule %d, in canonical form %q %q: %d, %v", host, path, i, h, canon, j, err)
		}
	})
}
