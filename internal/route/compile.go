package route

import (
	"errors"
	"fmt"
	"net/textproto"
	"strings"
)

// rule is a compiled Match.
type rule struct {
	Match
	hosts []string // canonical forms of Match.Hosts; "" for an invalid host
}

// compile validates a rule and converts it to canonical form. The error joins all errors of the
// rule.
func compile(m Match) (rule, error) {
	r := rule{Match: m}
	var errs []error
	for _, h := range m.Hosts {
		pattern, err := canonicalHostPattern(h)
		if err != nil {
			errs = append(errs, err)
		}
		r.hosts = append(r.hosts, pattern)
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

// canonicalHostPattern converts an exact host or *.suffix to canonical form.
func canonicalHostPattern(pattern string) (string, error) {
	name, isSuffix := strings.CutPrefix(pattern, "*.")
	host, err := CanonicalHost(name)
	switch {
	case err != nil:
		return "", fmt.Errorf("host %q: %w", pattern, err)
	case name == "" || host == "":
		return "", fmt.Errorf("host %q: a name or *.suffix expected", pattern)
	case strings.Contains(name, ":") && !strings.HasPrefix(name, "["):
		return "", fmt.Errorf("host %q: ports do not count, write %q", pattern, host)
	case isSuffix:
		return "*." + host, nil
	}
	return host, nil
}

// checkPath returns an error if the rule's path is invalid.
func (r *rule) checkPath() error {
	plain := r.Path // without braces
	if r.Kind == Template {
		plain = strings.NewReplacer("{", "", "}", "").Replace(plain)
		if err := checkTemplate(r.Path); err != nil {
			return err
		}
	} else if strings.ContainsAny(plain, "{}") {
		return fmt.Errorf("path %q: braces are allowed only in templates", r.Path)
	}
	canonical, err := CanonicalPath(plain)
	switch {
	case err != nil:
		return fmt.Errorf("path %q: %w", r.Path, err)
	case canonical != plain && r.Kind != Template:
		return fmt.Errorf("path %q: requests are matched in canonical form, write %q", r.Path, canonical)
	case strings.Contains(canonical, "%2F") || strings.Contains(canonical, "%5C"):
		return fmt.Errorf("path %q: an encoded slash is ambiguous, so no route can match by it", r.Path)
	case canonical != plain:
		return fmt.Errorf("path %q: not in canonical form", r.Path)
	case r.Kind == Prefix && plain != "/" && strings.HasSuffix(plain, "/"):
		withoutSlash := strings.TrimRight(plain, "/")
		return fmt.Errorf("path %q: a prefix must not end with a slash, write %q", r.Path, withoutSlash)
	}
	return nil
}

// checkTemplate returns an error if a segment of a template has braces but is not {name}.
func checkTemplate(path string) error {
	for segment := range strings.SplitSeq(path, "/") {
		if !strings.ContainsAny(segment, "{}") {
			continue
		}
		name := strings.TrimSuffix(strings.TrimPrefix(segment, "{"), "}")
		if len(segment) != len(name)+len("{}") || !IsToken(name) {
			return fmt.Errorf("path %q: {name} for a whole segment expected, found %q", path, segment)
		}
	}
	return nil
}

// IsToken reports whether s is a token (RFC 9110, section 5.6.2).
func IsToken(s string) bool {
	for i := range len(s) {
		if !isAlphanumeric(s[i]) && strings.IndexByte("!#$%&'*+-.^_`|~", s[i]) < 0 {
			return false
		}
	}
	return s != ""
}

// isAlphanumeric reports whether c is an ASCII letter or digit.
func isAlphanumeric(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
}
