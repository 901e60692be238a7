package route

import (
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
)

// linearMatch returns the index of the first matching rule by the definition of a match, or -1.
func linearMatch(rules []Match, host, path, method string) int {
	return slices.IndexFunc(rules, func(m Match) bool {
		return hostMatches(m, host) && pathMatches(m, path) &&
			(len(m.Methods) == 0 || slices.Contains(m.Methods, method))
	})
}

// hostMatches reports whether a canonical host matches a rule.
func hostMatches(m Match, host string) bool {
	return len(m.Hosts) == 0 || slices.ContainsFunc(m.Hosts, func(h string) bool {
		suffix, isSuffix := strings.CutPrefix(h, "*")
		if isSuffix {
			return strings.HasSuffix(host, suffix) && len(host) > len(suffix)
		}
		return h == host
	})
}

// pathMatches reports whether a canonical path matches a rule.
func pathMatches(m Match, path string) bool {
	switch m.Kind {
	case Exact:
		return path == m.Path
	case Prefix:
		return m.Path == "/" || m.Path == "" || path == m.Path || strings.HasPrefix(path, m.Path+"/")
	case Template:
		want, got := strings.Split(m.Path, "/"), strings.Split(path, "/")
		return slices.EqualFunc(want, got, func(want, got string) bool {
			return want == got || strings.HasPrefix(want, "{") && got != ""
		})
	}
	return false
}

// randomRules generates rules and requests with few hosts and segments, so that they overlap.
type randomRules struct{ *rand.Rand }

// pick returns a random word.
func (r randomRules) pick(words ...string) string { return words[r.IntN(len(words))] }

// path returns a random path of one to maxSegments segments.
func (r randomRules) path(maxSegments int, segments ...string) string {
	path := ""
	for range r.IntN(maxSegments) + 1 {
		path += "/" + r.pick(segments...)
	}
	return path
}

// rules returns one to eight random rules.
func (r randomRules) rules() []Match {
	var rules []Match
	for range 1 + r.IntN(8) {
		m := Match{Kind: PathKind(r.IntN(3))}
		for range r.IntN(3) {
			m.Hosts = append(m.Hosts, r.pick("a", "b.a", "*.a", "*.b.a", "c"))
		}
		if m.Kind == Template {
			m.Path = r.path(3, "x", "y", "{p}")
		} else {
			m.Path = r.path(3, "x", "y", "z")
		}
		if r.IntN(4) == 0 {
			m.Methods = []string{r.pick("GET", "POST")}
		}
		rules = append(rules, m)
	}
	return rules
}

// request returns a random request.
func (r randomRules) request() Request {
	host := r.pick("", "a", "b.a", "c.b.a", "c", "d")
	return Request{
		Method: r.pick("GET", "POST", "PUT"), Host: host,
		Path: r.path(4, "x", "y", "z", "w") + r.pick("", "", "/"),
	}
}

// The compiled table returns the same rule as a linear search, and a rule that was reported as
// shadowed is never the result of the search.
func TestMatchAgreesWithLinearSearch(t *testing.T) {
	random := randomRules{rand.New(rand.NewPCG(1, 2))}
	for range 400 {
		rules := random.rules()
		table, err := New(rules)
		shadowed := map[int]bool{}
		for _, ruleErr := range ruleErrors(t, err) {
			shadowed[ruleErr.Rule] = true
		}
		for range 200 {
			r := random.request()
			want := linearMatch(rules, r.Host, r.Path, r.Method)
			if got, err := table.Match(r); err != nil || got != want {
				t.Fatalf("%+v: got %d, %v, want %d of %+v", r, got, err, want, rules)
			}
			if shadowed[want] {
				t.Fatalf("%+v matches rule %d of %+v, which was reported as shadowed", r, want, rules)
			}
		}
	}
}
