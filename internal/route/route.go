// Package route finds the rule that a request is for, and deals requests out among the arms of a
// split. It is pure: no I/O, no clock, no global state; randomness comes in as an argument.
//
// A Table is an ordered list of rules, of which the first that matches decides. It is compiled into
// a tree of path segments for each host pattern (tree.go), so that the cost of a match grows with
// the length of the path and not with the number of exact and prefix rules. Hosts and paths are
// matched in canonical form (host.go, path.go). Rules that no request can reach are found when a
// table is compiled (shadowed.go).
//
// A Split assigns requests to arms by weight (split.go), and Assignments keep a key on its arm for
// a while after the weights have changed (assignments.go).
package route

import (
	"errors"
	"strings"
)

// PathKind says how a rule's path is matched.
type PathKind int

// The kinds of path.
const (
	Prefix   PathKind = iota // whole segments: /a matches /a, /a/ and /a/b, not /ab; / matches all
	Exact                    // the whole path
	Template                 // the whole path, {name} standing for one segment that is not empty
)

// HeaderMatch is a condition on a header field.
type HeaderMatch struct {
	Name  string
	Value string // one of the field's values equals this, byte for byte
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

// Request is what rules are matched against.
type Request struct {
	Method string
	Host   string              // as received
	Path   string              // as received, without the query
	Header map[string][]string // by canonical names, as in net/textproto
}

// Table is a compiled list of rules. It does not change and may be used by many goroutines.
type Table struct {
	rules           []rule
	exact           map[string]*node // by host
	suffixes        map[string]*node // by what follows the star's dot
	anyHost         *node
	maxSuffixLabels int // of the longest suffix
}

// New compiles rules in the order in which they are tried. Errors are joined, each a *RuleError.
// The table has the valid rules also if there are errors.
func New(rules []Match) (*Table, error) {
	t := &Table{exact: map[string]*node{}, suffixes: map[string]*node{}, anyHost: &node{}}
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
	errs = append(errs, t.shadowed()...)
	return t, errors.Join(errs...)
}

// Match returns the index of the first rule that matches, or -1 for none. The error is a
// *HostError, a *PathError or ErrAmbiguous: the request's host or path is invalid. It allocates
// nothing for canonical hosts and paths.
func (t *Table) Match(r Request) (int, error) {
	host, err := CanonicalHost(r.Host)
	if err != nil {
		return -1, err
	}
	readings, err := readPath(r.Path)
	if err != nil {
		return -1, err
	}
	found := t.find(&r, host, readings.canonical)
	if readings.literal != "" && t.find(&r, host, readings.literal) != found ||
		readings.decoded != "" && t.find(&r, host, readings.decoded) != found {
		return -1, ErrAmbiguousPath
	}
	return found, nil
}

// Rewrite replaces the rule's prefix in a path as received. It returns false where the path does
// not begin with the prefix as it is written, which happens in paths that are not canonical.
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
