package route

import (
	"slices"
	"strings"
)

// node is a node in the tree of path segments of one host pattern.
type node struct {
	static        map[string]*node // children by literal segment
	param         *node            // child for a {name} segment
	terminalRules []int32          // indexes of exact and template rules whose path ends here, ascending
	prefixRules   []int32          // indexes of prefix rules whose prefix ends here, ascending
}

// insert adds a rule to the tree of each of its hosts.
func (t *Table) insert(index int32, r *rule) {
	if len(r.hosts) == 0 {
		t.anyHost.insert(index, r)
	}
	for _, host := range r.hosts {
		trees, name := t.exactHosts, host
		if suffix, ok := strings.CutPrefix(host, "*."); ok {
			trees, name = t.suffixHosts, suffix
			t.maxSuffixLabels = max(t.maxSuffixLabels, strings.Count(suffix, ".")+1)
		}
		if trees[name] == nil {
			trees[name] = &node{}
		}
		trees[name].insert(index, r)
	}
}

// insert adds a rule at the node of its path below n.
func (n *node) insert(index int32, r *rule) {
	rest := r.Path[1:]
	for hasMore := r.Path != "/" || r.Kind != Prefix; hasMore; {
		var segment string
		segment, rest, hasMore = strings.Cut(rest, "/")
		n = n.child(segment, r.Kind == Template && strings.HasPrefix(segment, "{"))
	}
	if r.Kind == Prefix {
		n.prefixRules = append(n.prefixRules, index)
	} else {
		n.terminalRules = append(n.terminalRules, index)
	}
}

// child returns the child node for a segment and creates the node if it does not exist.
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

// search is a search for the first rule that matches a request.
type search struct {
	table *Table
	req   *Request
	best  int32 // index of the first rule found so far; the number of rules if there is none
}

// find returns the index of the first rule that matches a request with a canonical host and one
// interpretation of its path, or -1 if there is none.
func (t *Table) find(r *Request, host, path string) int {
	s := search{table: t, req: r, best: int32(len(t.rules))}
	s.walk(t.anyHost, path[1:], true)
	if n := t.exactHosts[host]; n != nil && host != "" {
		s.walk(n, path[1:], true)
	}
	if len(t.suffixHosts) > 0 {
		s.walkSuffixes(host, path)
	}
	if s.best == int32(len(t.rules)) {
		return -1
	}
	return int(s.best)
}

// walkSuffixes walks the trees of the suffixes of a host.
func (s *search) walkSuffixes(host, path string) {
	// Suffixes with more labels than any rule's suffix cannot match and are skipped.
	suffix := host
	for labels := strings.Count(suffix, "."); labels > s.table.maxSuffixLabels; labels-- {
		_, suffix, _ = strings.Cut(suffix, ".")
	}
	for {
		_, suffix, _ = strings.Cut(suffix, ".")
		if suffix == "" {
			return
		}
		if n := s.table.suffixHosts[suffix]; n != nil {
			s.walk(n, path[1:], true)
		}
	}
}

// walk considers the rules of a node and of the descendants that match the rest of the path.
// Without hasMore the path ends at the node.
func (s *search) walk(n *node, rest string, hasMore bool) {
	s.consider(n.prefixRules)
	if !hasMore {
		s.consider(n.terminalRules)
		return
	}
	segment, rest, hasMore := strings.Cut(rest, "/")
	if next := n.static[segment]; next != nil {
		s.walk(next, rest, hasMore)
	}
	if n.param != nil && segment != "" {
		s.walk(n.param, rest, hasMore)
	}
}

// consider sets best to the first matching one of the given rules if it comes before the current
// best.
func (s *search) consider(rules []int32) {
	for _, i := range rules {
		if i >= s.best {
			return
		}
		if s.table.rules[i].matchesMethodAndHeaders(s.req) {
			s.best = i
			return
		}
	}
}

// matchesMethodAndHeaders reports whether a rule matches a request's method and header fields. Host
// and path have been matched by the tree.
func (r *rule) matchesMethodAndHeaders(q *Request) bool {
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

// matches reports whether a header meets the condition.
func (m *HeaderMatch) matches(header map[string][]string) bool {
	values := header[m.Name]
	if m.Any {
		return len(values) > 0
	}
	return slices.Contains(values, m.Value)
}
