package route

import (
	"slices"
	"strings"
)

// node is a place in the tree of the paths of one host pattern.
type node struct {
	static map[string]*node // by segment
	param  *node            // for a segment {name}
	ends   []int32          // rules whose path ends here, in order
	below  []int32          // prefix rules: this place and all below it, in order
}

// insert puts a rule into the tree of each of its hosts.
func (t *Table) insert(index int32, r *rule) {
	if len(r.hosts) == 0 {
		t.anyHost.insert(index, r)
	}
	for _, host := range r.hosts {
		trees, name := t.exact, host
		if suffix, ok := strings.CutPrefix(host, "*."); ok {
			trees, name = t.suffixes, suffix
			t.maxSuffixLabels = max(t.maxSuffixLabels, strings.Count(suffix, ".")+1)
		}
		if trees[name] == nil {
			trees[name] = &node{}
		}
		trees[name].insert(index, r)
	}
}

// insert puts a rule at the place of its path below n.
func (n *node) insert(index int32, r *rule) {
	rest := r.Path[1:]
	for more := r.Path != "/" || r.Kind != Prefix; more; {
		var segment string
		segment, rest, more = strings.Cut(rest, "/")
		n = n.child(segment, r.Kind == Template && strings.HasPrefix(segment, "{"))
	}
	if r.Kind == Prefix {
		n.below = append(n.below, index)
	} else {
		n.ends = append(n.ends, index)
	}
}

// child returns the place of a segment, which it creates if need be.
func (n *node) child(segment string, isParam bool) *node {
	if isParam {
		if n.param == nil {
			n.param = &node{}
		}
		return n.param
	}
	if n.static == nil {
		n.static = map[string]*node{}
	}
	if n.static[segment] == nil {
		n.static[segment] = &node{}
	}
	return n.static[segment]
}

// search is one search for the first rule that matches a request.
type search struct {
	table *Table
	req   *Request
	best  int32 // index of the first rule found so far; the number of rules for none
}

// find returns the index of the first rule that matches a canonical host and a path, or -1.
func (t *Table) find(r *Request, host, path string) int {
	s := search{table: t, req: r, best: int32(len(t.rules))}
	s.walk(t.anyHost, path[1:], true)
	if n := t.exact[host]; n != nil && host != "" {
		s.walk(n, path[1:], true)
	}
	if len(t.suffixes) > 0 {
		s.walkSuffixes(host, path)
	}
	if s.best == int32(len(t.rules)) {
		return -1
	}
	return int(s.best)
}

// walkSuffixes walks the trees of the suffixes of a host.
func (s *search) walkSuffixes(host, path string) {
	// Suffixes of more labels than any rule's need no look.
	suffix := host
	for labels := strings.Count(suffix, "."); labels > s.table.maxSuffixLabels; labels-- {
		_, suffix, _ = strings.Cut(suffix, ".")
	}
	for {
		_, suffix, _ = strings.Cut(suffix, ".")
		if suffix == "" {
			return
		}
		if n := s.table.suffixes[suffix]; n != nil {
			s.walk(n, path[1:], true)
		}
	}
}

// walk considers the rules of a place and of those below it that the rest of the path leads to.
// Without more the path ends at the place.
func (s *search) walk(n *node, rest string, more bool) {
	s.consider(n.below)
	if !more {
		s.consider(n.ends)
		return
	}
	segment, rest, more := strings.Cut(rest, "/")
	if next := n.static[segment]; next != nil {
		s.walk(next, rest, more)
	}
	if n.param != nil && segment != "" {
		s.walk(n.param, rest, more)
	}
}

// consider takes the first of some rules that matches, if it comes before the best so far.
func (s *search) consider(rules []int32) {
	for _, i := range rules {
		if i >= s.best {
			return
		}
		if s.table.rules[i].matchesHead(s.req) {
			s.best = i
			return
		}
	}
}

// matchesHead reports whether a rule matches a request's method and header fields; the tree has
// matched the rest.
func (r *rule) matchesHead(q *Request) bool {
	if len(r.Methods) > 0 && !slices.Contains(r.Methods, q.Method) {
		return false
	}
	for i := range r.Headers {
		if !r.Headers[i].matches(q.Header) {
			return false
		}
	}
	return true
}

// matches reports whether a header fulfils the condition.
func (m *HeaderMatch) matches(header map[string][]string) bool {
	values := header[m.Name]
	if m.Any {
		return len(values) > 0
	}
	return slices.Contains(values, m.Value)
}
