// Package route says which service and class a request is for. It is pure: no I/O, no clock, no global state;
// randomness comes in as an argument.
//
// A Table is an ordered list of rules, of which the first that matches decides. It is compiled into a tree of path
// segments for each host, so that the cost of a match grows with the length of the path and not with the number of
// exact and prefix rules.
package route

import (
	"errors"
	"fmt"
	"net/textproto"
	"strings"
)

// PathKind says how a rule's path is matched.
type PathKind int

// The kinds of path.
const (
	Prefix   PathKind = iota // whole segments: /a matches /a, /a/ and /a/b, not /ab; / matches all
	Exact                    // all of it
	Template                 // all of it, {name} standing for one segment that is not empty
)

// HeaderMatch is a condition on a header field.
type HeaderMatch struct {
	Name  string
	Value string // one of the field's values is this, byte for byte
	Any   bool   // the field only has to be there; Value is empty
}

// Match is what a rule asks of a request. What is empty asks nothing.
type Match struct {
	Hosts   []string // exact, or *.suffix for names of at least one label more
	Kind    PathKind
	Path    string // canonical; empty stands for the prefix /
	Methods []string
	Headers []HeaderMatch // all of them
}

// Request is what a rule looks at.
type Request struct {
	Method string
	Host   string              // as it came
	Path   string              // as it came, without the query
	Header map[string][]string // by canonical names, as in net/textproto
}

// Table is a compiled list of rules. It does not change and may be used by many goroutines.
type Table struct {
	rules    []rule
	exact    map[string]*node // by host
	suffixes map[string]*node // by what follows the star's dot
	any      *node
	deepest  int // labels of the longest suffix
}

type rule struct {
	Match
	hosts []string // canonical
}

// node is a place in the tree of one host pattern's paths.
type node struct {
	static map[string]*node
	param  *node
	ends   []int32 // rules whose path ends here, in order
	below  []int32 // prefix rules: this place and all below it, in order
}

// New compiles rules in the order in which they are tried. Errors, each with the number of its rule (see RuleError),
// are joined.
func New(rules []Match) (*Table, error) {
	t := &Table{exact: map[string]*node{}, suffixes: map[string]*node{}, any: &node{}}
	var errs []error
	for i, m := range rules {
		r, err := compile(m)
		if err != nil {
			errs = append(errs, &RuleError{i, err})
		}
		t.rules = append(t.rules, r)
		if err == nil {
			t.enter(int32(i), r)
		}
	}
	errs = append(errs, t.shadowed()...)
	return t, errors.Join(errs...)
}

// RuleError is what is wrong with one rule.
type RuleError struct {
	Rule int // from 0
	Err  error
}

// Error implements error.
func (e *RuleError) Error() string { return fmt.Sprintf("route %d: %v", e.Rule+1, e.Err) }

// Unwrap gives the cause.
func (e *RuleError) Unwrap() error { return e.Err }

func compile(m Match) (rule, error) {
	r := rule{Match: m}
	var errs []error
	for _, h := range m.Hosts {
		name, err := hostPattern(h)
		if err != nil {
			errs = append(errs, err)
		}
		r.hosts = append(r.hosts, name)
	}
	if r.Path == "" {
		r.Kind, r.Path = Prefix, "/"
	}
	errs = append(errs, r.checkPath())
	for _, method := range m.Methods {
		if !IsToken(method) || strings.ToUpper(method) != method {
			errs = append(errs, fmt.Errorf("method %q: an upper-case word expected", method))
		}
	}
	r.Headers = nil
	for _, h := range m.Headers {
		if !IsToken(h.Name) {
			errs = append(errs, fmt.Errorf("header %q: the name of a field expected", h.Name))
		}
		h.Name = textproto.CanonicalMIMEHeaderKey(h.Name)
		r.Headers = append(r.Headers, h)
	}
	return r, errors.Join(errs...)
}

// hostPattern brings an exact host or *.suffix to its canonical form.
func hostPattern(h string) (string, error) {
	name, star := strings.CutPrefix(h, "*.")
	got, err := CanonicalHost(name)
	switch {
	case err != nil:
		return "", fmt.Errorf("host %q: %w", h, err)
	case name == "" || got == "":
		return "", fmt.Errorf("host %q: a name or *.suffix expected", h)
	case strings.Contains(name, ":") && !strings.HasPrefix(name, "["):
		return "", fmt.Errorf("host %q: ports do not count, write %q", h, got)
	case star:
		return "*." + got, nil
	}
	return got, nil
}

func (r *rule) checkPath() error {
	plain := r.Path
	if r.Kind == Template {
		plain = strings.ReplaceAll(strings.ReplaceAll(plain, "{", ""), "}", "")
		for s := range strings.SplitSeq(r.Path, "/") {
			if !strings.ContainsAny(s, "{}") {
				continue
			}
			if name := strings.TrimSuffix(strings.TrimPrefix(s, "{"), "}"); len(s) != len(name)+2 || !IsToken(name) {
				return fmt.Errorf("path %q: {name} for a whole segment expected, found %q", r.Path, s)
			}
		}
	} else if strings.ContainsAny(plain, "{}") {
		return fmt.Errorf("path %q: braces stand in templates alone", r.Path)
	}
	got, err := CanonicalPath(plain)
	switch {
	case err != nil:
		return fmt.Errorf("path %q: %w", r.Path, err)
	case got != plain && r.Kind != Template:
		return fmt.Errorf("path %q: requests are matched in canonical form, write %q", r.Path, got)
	case strings.Contains(got, "%2F") || strings.Contains(got, "%5C"):
		return fmt.Errorf("path %q: an encoded slash may be read in two ways, so no route can tell by it", r.Path)
	case got != plain:
		return fmt.Errorf("path %q: not in canonical form", r.Path)
	case r.Kind == Prefix && plain != "/" && strings.HasSuffix(plain, "/"):
		return fmt.Errorf("path %q: a prefix ends with a whole segment, write %q", r.Path, strings.TrimRight(plain, "/"))
	}
	return nil
}

// IsToken tells whether s is a token of RFC 9110, section 5.6.2.
func IsToken(s string) bool {
	for i := 0; i < len(s); i++ {
		c := s[i]
		if !(c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' ||
			strings.IndexByte("!#$%&'*+-.^_`|~", c) >= 0) {
			return false
		}
	}
	return s != ""
}

// enter puts a rule into the tree of each of its hosts.
func (t *Table) enter(i int32, r rule) {
	if len(r.hosts) == 0 {
		t.any.enter(i, r)
	}
	for _, h := range r.hosts {
		in, name := t.exact, h
		if suffix, ok := strings.CutPrefix(h, "*."); ok {
			in, name = t.suffixes, suffix
			t.deepest = max(t.deepest, strings.Count(suffix, ".")+1)
		}
		if in[name] == nil {
			in[name] = &node{}
		}
		in[name].enter(i, r)
	}
}

func (n *node) enter(i int32, r rule) {
	rest := r.Path[1:]
	for more := r.Path != "/" || r.Kind != Prefix; more; {
		var s string
		s, rest, more = strings.Cut(rest, "/")
		if r.Kind == Template && strings.HasPrefix(s, "{") {
			if n.param == nil {
				n.param = &node{}
			}
			n = n.param
			continue
		}
		if n.static[s] == nil {
			if n.static == nil {
				n.static = map[string]*node{}
			}
			n.static[s] = &node{}
		}
		n = n.static[s]
	}
	if r.Kind == Prefix {
		n.below = append(n.below, i)
	} else {
		n.ends = append(n.ends, i)
	}
}

// ErrAmbiguous is the fault of a path that may be read in several ways which lead to different rules. The bytes that
// came go on, so one who reads them otherwise would take them for another route's.
var ErrAmbiguous = errors.New("path: may be read in two ways, which lead to different routes")

// Match returns the number of the first rule that matches, from 0, or -1 for none. An error is the fault of a
// request whose host or path makes no sense.
func (t *Table) Match(r Request) (int, error) {
	host, err := CanonicalHost(r.Host)
	if err != nil {
		return -1, err
	}
	paths, err := read(r.Path)
	if err != nil {
		return -1, err
	}
	found := t.find(&r, host, paths.canonical)
	if paths.literal != "" && t.find(&r, host, paths.literal) != found ||
		paths.decoded != "" && t.find(&r, host, paths.decoded) != found {
		return -1, ErrAmbiguous
	}
	return found, nil
}

// search is one match under way.
type search struct {
	t    *Table
	r    *Request
	best int32
}

func (t *Table) find(r *Request, host, path string) int {
	s := search{t, r, int32(len(t.rules))}
	s.walk(t.any, path[1:], true)
	if n := t.exact[host]; n != nil && host != "" {
		s.walk(n, path[1:], true)
	}
	if len(t.suffixes) > 0 {
		// Suffixes of more labels than any rule's need no look.
		rest := host
		for labels := strings.Count(rest, "."); labels > t.deepest; labels-- {
			_, rest, _ = strings.Cut(rest, ".")
		}
		for rest != "" {
			if _, rest, _ = strings.Cut(rest, "."); rest == "" {
				break
			}
			if n := t.suffixes[rest]; n != nil {
				s.walk(n, path[1:], true)
			}
		}
	}
	if s.best == int32(len(t.rules)) {
		return -1
	}
	return int(s.best)
}

// walk looks at a place and at those below it that the rest of the path leads to.
func (s *search) walk(n *node, rest string, more bool) {
	s.look(n.below)
	if !more {
		s.look(n.ends)
		return
	}
	seg, rest, more := strings.Cut(rest, "/")
	if next := n.static[seg]; next != nil {
		s.walk(next, rest, more)
	}
	if n.param != nil && seg != "" {
		s.walk(n.param, rest, more)
	}
}

// look takes the first of some rules that matches, if it comes before the best so far.
func (s *search) look(rules []int32) {
	for _, i := range rules {
		if i >= s.best {
			return
		}
		if s.t.rules[i].fits(s.r) {
			s.best = i
			return
		}
	}
}

// fits checks what the tree does not.
func (r *rule) fits(q *Request) bool {
	if len(r.Methods) > 0 {
		found := false
		for _, m := range r.Methods {
			found = found || m == q.Method
		}
		if !found {
			return false
		}
	}
	for i := range r.Headers {
		if !r.Headers[i].fits(q.Header) {
			return false
		}
	}
	return true
}

func (m *HeaderMatch) fits(h map[string][]string) bool {
	values := h[m.Name]
	if m.Any {
		return len(values) > 0
	}
	for _, v := range values {
		if v == m.Value {
			return true
		}
	}
	return false
}

// Rewrite puts another prefix in the place of the rule's, in the bytes that came. It is false where they do not
// begin with the rule's prefix as it is written, which happens in paths that are not canonical.
func (t *Table) Rewrite(rule int, path, by string) (string, bool) {
	prefix := t.rules[rule].Path
	if prefix == "/" {
		prefix = ""
	}
	rest, ok := strings.CutPrefix(path, prefix)
	if !ok || rest != "" && rest[0] != '/' {
		return "", false
	}
	if by = strings.TrimSuffix(by, "/"); by == "" && rest == "" {
		return "/", true
	}
	return by + rest, true
}
