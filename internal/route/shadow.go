package route

import (
	"fmt"
	"slices"
	"strings"
)

// shadowed finds the rules that no request can reach, since earlier ones match all that they do.
func (t *Table) shadowed() (errs []error) {
	for j := range t.rules {
		r := &t.rules[j]
		if r.Path == "" || r.Path[0] != '/' || slices.Contains(r.hosts, "") {
			continue // said already
		}
		by := -1
		all := true
		for _, h := range orAny(r.hosts) {
			for _, m := range orAny(r.Methods) {
				i := t.cover(j, h, m)
				if i < 0 {
					all = false
				} else {
					by = max(by, i)
				}
			}
		}
		if all {
			errs = append(errs, &RuleError{j, &ShadowedError{By: by}})
		}
	}
	return errs
}

// ShadowedError is the fault of a rule that no request can reach.
type ShadowedError struct{ By int } // the last of the earlier rules that take its requests, from 0

// Error implements error.
func (s *ShadowedError) Error() string {
	return fmt.Sprintf("can't be reached: route %d takes all its requests before", s.By+1)
}

func orAny(words []string) []string {
	if len(words) == 0 {
		return []string{""}
	}
	return words
}

// cover returns the first rule before j that takes all requests that j matches with this host pattern and method
// (empty: any), or -1.
func (t *Table) cover(j int, host, method string) int {
	c := coverage{t: t, j: j, method: method, best: j}
	c.walk(t.any, t.rules[j].Path[1:], true)
	if host != "" {
		name, star := strings.CutPrefix(host, "*.")
		if n := t.exact[host]; !star && n != nil {
			c.walk(n, t.rules[j].Path[1:], true)
		}
		// *.b.c lies within *.b.c and *.c; a.b.c within *.b.c and *.c.
		for rest := name; rest != ""; {
			if !star {
				_, rest, _ = strings.Cut(rest, ".")
			}
			if n := t.suffixes[rest]; rest != "" && n != nil {
				c.walk(n, t.rules[j].Path[1:], true)
			}
			if star {
				_, rest, _ = strings.Cut(rest, ".")
			}
		}
	}
	if c.best == j {
		return -1
	}
	return c.best
}

type coverage struct {
	t      *Table
	j      int
	method string
	best   int
}

// walk follows the path of rule j through the tree; a template's segment is covered by another's alone.
func (c *coverage) walk(n *node, rest string, more bool) {
	c.look(n.below)
	r := &c.t.rules[c.j]
	if r.Path == "/" && r.Kind == Prefix {
		return
	}
	if !more {
		if r.Kind != Prefix {
			c.look(n.ends)
		}
		return
	}
	seg, rest, more := strings.Cut(rest, "/")
	param := r.Kind == Template && strings.HasPrefix(seg, "{")
	if next := n.static[seg]; next != nil && !param {
		c.walk(next, rest, more)
	}
	if n.param != nil && seg != "" {
		c.walk(n.param, rest, more)
	}
}

func (c *coverage) look(rules []int32) {
	for _, i := range rules {
		if int(i) >= c.best {
			return
		}
		r := &c.t.rules[i]
		if len(r.Methods) > 0 && !slices.Contains(r.Methods, c.method) {
			continue
		}
		implied := true
		for _, want := range r.Headers {
			implied = implied && slices.ContainsFunc(c.t.rules[c.j].Headers, func(h HeaderMatch) bool {
				return h == want || want.Any && h.Name == want.Name
			})
		}
		if implied {
			c.best = int(i)
			return
		}
	}
}
