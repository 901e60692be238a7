package route

import (
	"slices"
	"strings"
)

// shadowed returns an error for each rule that no request can reach, since earlier rules match all
// that it does.
func (t *Table) shadowed() []error {
	var errs []error
	for i := range t.rules {
		r := &t.rules[i]
		if r.Path == "" || r.Path[0] != '/' || slices.Contains(r.hosts, "") {
			continue // invalid: compile has said so
		}
		if by := t.shadowedBy(i); by >= 0 {
			errs = append(errs, &RuleError{Rule: i, Err: &ShadowedError{By: by}})
		}
	}
	return errs
}

// shadowedBy returns the last of the earlier rules that together match all that a rule does, or -1
// if some of it is left. Hosts and methods are looked at one by one: each may be covered by another
// rule.
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

// orAny returns conditions, or the empty one, which stands for any, if there are none.
func orAny(conditions []string) []string {
	if len(conditions) == 0 {
		return []string{""}
	}
	return conditions
}

// coveredBy returns the first rule before index that matches all that this one does with one host
// pattern and one method (empty: any), or -1.
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

// treesCovering returns the trees of the host patterns that match all that one does: *.b.c lies
// within *.b.c and *.c; a.b.c within a.b.c, *.b.c and *.c.
func (t *Table) treesCovering(host string) []*node {
	trees := []*node{t.anyHost}
	if host == "" {
		return trees
	}
	suffix, isSuffix := strings.CutPrefix(host, "*.")
	if !isSuffix {
		if tree := t.exact[host]; tree != nil {
			trees = append(trees, tree)
		}
		_, suffix, _ = strings.Cut(host, ".")
	}
	for suffix != "" {
		if tree := t.suffixes[suffix]; tree != nil {
			trees = append(trees, tree)
		}
		_, suffix, _ = strings.Cut(suffix, ".")
	}
	return trees
}

// coverSearch is one search for the first rule that matches all that a rule does with one method.
type coverSearch struct {
	table  *Table
	rule   *rule
	method string // empty: any
	best   int    // index of the first rule found so far, or else of the rule itself
}

// walk follows the rule's path through a tree. A template's segment is covered by another
// template's alone.
func (c *coverSearch) walk(n *node, rest string, more bool) {
	c.consider(n.below)
	if c.rule.Path == "/" && c.rule.Kind == Prefix {
		return
	}
	if !more {
		if c.rule.Kind != Prefix {
			c.consider(n.ends)
		}
		return
	}
	segment, rest, more := strings.Cut(rest, "/")
	isParam := c.rule.Kind == Template && strings.HasPrefix(segment, "{")
	if next := n.static[segment]; next != nil && !isParam {
		c.walk(next, rest, more)
	}
	if n.param != nil && segment != "" {
		c.walk(n.param, rest, more)
	}
}

// consider takes the first of some rules whose conditions the rule implies, if it comes before the
// best so far.
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

// impliesAll reports whether a request that fulfils the rule's conditions on header fields fulfils
// these too.
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
