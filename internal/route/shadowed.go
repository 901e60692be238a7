package route

import (
	"slices"
	"strings"
)

// shadowErrors returns an error for each rule that no request can reach, because earlier rules
// match all requests that the rule matches.
func (t *Table) shadowErrors() []error {
	var errs []error
	for i := range t.rules {
		r := &t.rules[i]
		if r.Path == "" || r.Path[0] != '/' || slices.Contains(r.hosts, "") {
			continue // invalid, as already reported by compile
		}
		if by := t.shadowedBy(i); by >= 0 {
			errs = append(errs, &RuleError{Rule: i, Err: &ShadowedError{By: by}})
		}
	}
	return errs
}

// shadowedBy returns the last of the earlier rules that together match all requests of a rule, or
// -1 if the rule can be reached. Each combination of a host and a method is checked separately,
// because each may be covered by a different rule.
func (t *Table) shadowedBy(index int) int {
	r := &t.rules[index]
	last := -1
	for _, host := range orAny(r.hosts) {
		for _, method := range orAny(r.Methods) {
			by := t.coveredBy(index, host, method)
			if by < 0 {
				return -1
			}
			last = max(last, by)
		}
	}
	return last
}

// orAny returns conditions, or a single empty condition, which matches any value, if there are
// none.
func orAny(conditions []string) []string {
	if len(conditions) == 0 {
		return []string{""}
	}
	return conditions
}

// coveredBy returns the first rule before index that matches all requests of the rule at index with
// one host pattern and one method, or -1 if there is none. An empty host or method matches any.
func (t *Table) coveredBy(index int, host, method string) int {
	c := coverSearch{table: t, rule: &t.rules[index], method: method, best: index}
	for _, tree := range t.treesCovering(host) {
		c.walk(tree, c.rule.Path[1:], true)
	}
	if c.best == index {
		return -1
	}
	return c.best
}

// treesCovering returns the trees of the host patterns that match all hosts of a pattern: *.b.c is
// covered by *.b.c and *.c, and a.b.c by a.b.c, *.b.c and *.c.
func (t *Table) treesCovering(host string) []*node {
	trees := []*node{t.anyHost}
	if host == "" {
		return trees
	}
	suffix, isSuffix := strings.CutPrefix(host, "*.")
	if !isSuffix {
		if tree := t.exactHosts[host]; tree != nil {
			trees = append(trees, tree)
		}
		_, suffix, _ = strings.Cut(host, ".")
	}
	for suffix != "" {
		if tree := t.suffixHosts[suffix]; tree != nil {
			trees = append(trees, tree)
		}
		_, suffix, _ = strings.Cut(suffix, ".")
	}
	return trees
}

// coverSearch is a search for the first rule that matches all requests of a rule with one method.
type coverSearch struct {
	table  *Table
	rule   *rule
	method string // empty means any method
	best   int    // index of the first rule found so far; initially that of the rule itself
}

// walk follows the rule's path through a tree. A {name} segment is covered only by a {name}
// segment.
func (c *coverSearch) walk(n *node, rest string, hasMore bool) {
	c.consider(n.prefixRules)
	if c.rule.Path == "/" && c.rule.Kind == Prefix {
		return
	}
	if !hasMore {
		if c.rule.Kind != Prefix {
			c.consider(n.terminalRules)
		}
		return
	}
	segment, rest, hasMore := strings.Cut(rest, "/")
	isParam := c.rule.Kind == Template && strings.HasPrefix(segment, "{")
	if next := n.static[segment]; next != nil && !isParam {
		c.walk(next, rest, hasMore)
	}
	if n.param != nil && segment != "" {
		c.walk(n.param, rest, hasMore)
	}
}

// consider sets best to the first of the given rules whose conditions are implied by the rule's
// conditions, if that rule comes before the current best.
func (c *coverSearch) consider(rules []int32) {
	for _, i := range rules {
		if int(i) >= c.best {
			return
		}
		other := &c.table.rules[i]
		if len(other.Methods) > 0 && !slices.Contains(other.Methods, c.method) {
			continue
		}
		if c.impliesAll(other.Headers) {
			c.best = int(i)
			return
		}
	}
}

// impliesAll reports whether every request that meets the rule's conditions on header fields also
// meets the given conditions.
func (c *coverSearch) impliesAll(conditions []HeaderMatch) bool {
	for _, condition := range conditions {
		implied := slices.ContainsFunc(c.rule.Headers, func(h HeaderMatch) bool {
			return h == condition || condition.Any && h.Name == condition.Name
		})
		if !implied {
			return false
		}
	}
	return true
}
