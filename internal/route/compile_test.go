package route

import (
	"errors"
	"slices"
	"strings"
	"testing"
)

// ruleErrors returns the errors that New has joined, or none for a nil error.
func ruleErrors(t *testing.T, err error) []*RuleError {
	t.Helper()
	if err == nil {
		return nil
	}
	var joined interface{ Unwrap() []error }
	if !errors.As(err, &joined) {
		t.Fatalf("not a joined error: %v", err)
	}
	var ruleErrs []*RuleError
	for _, e := range joined.Unwrap() {
		var ruleErr *RuleError
		if !errors.As(e, &ruleErr) {
			t.Fatalf("not a RuleError: %v", e)
		}
		ruleErrs = append(ruleErrs, ruleErr)
	}
	return ruleErrs
}

func TestNewRejectsInvalidRules(t *testing.T) {
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
		var ruleErr *RuleError
		if err == nil || !strings.Contains(err.Error(), want) || !errors.As(err, &ruleErr) || ruleErr.Rule != 0 {
			t.Errorf("%+v: got %v, want %q", m, err, want)
		}
	}
}

func TestNewRejectsShadowedRules(t *testing.T) {
	for name, c := range map[string]struct {
		rules    []Match
		shadowed []int
	}{
		"same twice": {[]Match{{Path: "/a"}, {Path: "/a"}}, []int{1}},
		"below a prefix": {[]Match{
			{Path: "/a"},
			{Kind: Exact, Path: "/a/b"},
			{Kind: Template, Path: "/a/{x}"},
			{Path: "/ab"},
		}, []int{1, 2}},
		"all":                 {[]Match{{}, {Hosts: []string{"h"}, Path: "/x"}}, []int{1}},
		"exact before prefix": {[]Match{{Kind: Exact, Path: "/a"}, {Path: "/a"}}, nil},
		"template before exact": {[]Match{
			{Kind: Template, Path: "/a/{x}"},
			{Kind: Exact, Path: "/a/b"},
		}, []int{1}},
		"exact before template": {[]Match{
			{Kind: Exact, Path: "/a/b"},
			{Kind: Template, Path: "/a/{x}"},
		}, nil},
		"host wildcard": {[]Match{
			{Hosts: []string{"*.b"}},
			{Hosts: []string{"a.b"}},
			{Hosts: []string{"*.a.b"}},
			{Hosts: []string{"b"}},
		}, []int{1, 2}},
		"some hosts": {[]Match{{Hosts: []string{"a"}}, {Hosts: []string{"a", "b"}}}, nil},
		"hosts one by one": {[]Match{
			{Hosts: []string{"a"}},
			{Hosts: []string{"b"}},
			{Hosts: []string{"A.", "b"}},
		}, []int{2}},
		"methods": {[]Match{
			{Methods: []string{"GET", "PUT"}},
			{Methods: []string{"GET"}},
			{Methods: []string{"GET", "POST"}},
			{},
		}, []int{1}},
		"methods one by one": {[]Match{
			{Methods: []string{"GET"}},
			{Methods: []string{"PUT"}},
			{Methods: []string{"GET", "PUT"}},
		}, []int{2}},
		"fewer headers": {[]Match{
			{Headers: []HeaderMatch{{Name: "a", Any: true}}},
			{Headers: []HeaderMatch{{Name: "A", Value: "1"}, {Name: "b", Any: true}}},
		}, []int{1}},
		"other headers": {[]Match{
			{Headers: []HeaderMatch{{Name: "a", Value: "2"}}},
			{Headers: []HeaderMatch{{Name: "A", Value: "1"}}},
			{},
		}, nil},
		"slash is not all":       {[]Match{{Kind: Exact, Path: "/"}, {}}, nil},
		"slash exact after all":  {[]Match{{}, {Kind: Exact, Path: "/"}}, []int{1}},
		"prefix does not end it": {[]Match{{Kind: Template, Path: "/{a}"}, {Path: "/x"}}, nil},
	} {
		_, err := New(c.rules)
		var shadowed []int
		for _, ruleErr := range ruleErrors(t, err) {
			var shadowedErr *ShadowedError
			if !errors.As(ruleErr, &shadowedErr) {
				t.Errorf("%s: not a ShadowedError: %v", name, ruleErr)
			}
			shadowed = append(shadowed, ruleErr.Rule)
		}
		if !slices.Equal(shadowed, c.shadowed) {
			t.Errorf("%s: got %v, want %v", name, shadowed, c.shadowed)
		}
	}
}
