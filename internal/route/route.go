// Package route finds the rule that matches a request and distributes requests among the arms of a
// split. The package is pure: it does no I/O, reads no clock and has no global state. Random
// numbers are arguments.
//
// A [Table] is an ordered list of rules, of which the first matching one applies. The rules of each
// host pattern are compiled into a tree of path segments (tree.go), so that the cost of a match
// grows with the length of the path and not with the number of exact and prefix rules. Hosts and
// paths are matched in canonical form (host.go, path.go). Compiling a table also finds rules that
// no request can reach (shadowed.go).
//
// A [Split] assigns requests to arms by weight (split.go). [Assignments] keep a key on its arm for
// a while after the weights have changed (assignments.go).
package route

import (
	"errors"
	"strings"
)

// PathKind is the way in which a rule's path is matched.
type PathKind int

// The kinds of path matches.
const (
	Prefix   PathKind = iota // prefix of whole segments: /a matches /a, /a/ and /a/b, not /ab; / matches all
	Exact                    // the whole path
	Template                 // the whole path, where {name} matches one non-empty segment
)

// HeaderMatch is a condition on a header field.
type HeaderMatch struct {
	Name  string
	Value string // compared byte for byte; one of the field's values has to equal it
	Any   bool   // any value matches if the field is present; Value is empty
}

// Match holds the conditions of a rule. An empty field matches every request.
type Match struct {
	Hosts   []string // alternatives: exact hosts, or *.suffix for names with at least one more label
	Kind    PathKind
	Path    string        // in canonical form; empty means the prefix /
	Methods []string      // alternatives
	Headers []HeaderMatch // conditions that all have to be met
}

// Request holds the parts of a request that rules are matched against.
type Request struct {
	Method string
	Host   string              // as received
	Path   string              // as received, without the query
	Header map[string][]string // by canonical name, as in net/textproto
}

// Table is a compiled list of rules. It is immutable and safe for concurrent use.
type Table struct {
	rules           []rule
	exactHosts      map[string]*node // trees of exact hosts, by host
	suffixHosts     map[string]*node // trees of *.suffix patterns, by suffix
	anyHost         *node            // tree of the rules without hosts
	maxSuffixLabels int              // number of labels of the longest suffix
}

// New compiles rules; earlier rules take precedence. The error joins a *RuleError for each rule
// that is invalid or that no request can reach. Even if there are errors, New returns a table with
// the valid rules.
func New(rules []Match) (*Table, error) {
	t := &Table{exactHosts: map[string]*node{}, suffixHosts: map[string]*node{}, anyHost: &node{}}
	var errs []error
	for i, match := range rules {
		r, err := compile(match)
		t.rules = append(t.rules, r)
		if err != nil {
			errs = append(errs, &RuleError{Rule: i, Err: err})
			continue
		}
		t.insert(int32(i), &t.rules[i])
	}
	errs = append(errs, t.shadowErrors()...)
	return t, errors.Join(errs...)
}

// Match returns the index of the first matching rule, or -1 if no rule matches. If the request's
// host or path is invalid, the error is a *HostError, a *PathError or ErrAmbiguousPath. Match
// allocates nothing for canonical hosts and paths.
func (t *Table) Match(r Request) (int, error) {
	host, err := CanonicalHost(r.Host)
	if err != nil {
		return -1, err
	}
	paths, err := interpretPath(r.Path)
	if err != nil {
		return -1, err
	}
	found := t.find(&r, host, paths.canonical)
	if paths.literal != "" && t.find(&r, host, paths.literal) != found ||
		paths.decoded != "" && t.find(&r, host, paths.decoded) != found {
		return -1, ErrAmbiguousPath
	}
	return found, nil
}

// Rewrite replaces the rule's prefix in a path as received. It returns false if the path does not
// begin with the literal prefix, which can be the case for a path that is not canonical.
func (t *Table) Rewrite(rule int, path, replacement string) (string, bool) {
	prefix := t.rules[rule].Path
	if prefix == "/" {
		prefix = ""
	}
	rest, ok := strings.CutPrefix(path, prefix)
	if !ok || rest != "" && rest[0] != '/' {
		return "", false
	}
	replacement = strings.TrimSuffix(replacement, "/")
	if replacement == "" && rest == "" {
		return "/", true
	}
	return replacement + rest, true
}
