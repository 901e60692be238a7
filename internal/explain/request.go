package explain

import (
	"fmt"
	"net/http"
	"net/url"
	"strings"

	"fernlanding/internal/route"
)

// Request is the request that is explained.
type Request struct {
	Method string
	Host   string
	Path   string // as it is received, without the query
	Header http.Header
}

// ParseRequest returns the request of a method, a URL or a path, and header fields of the form
// "Name: value".
func ParseRequest(method, target string, fields []string) (Request, error) {
	r := Request{Method: method, Header: http.Header{}}
	if !route.IsToken(method) {
		return r, fmt.Errorf("method %q: a word such as GET expected", method)
	}
	if err := r.parseTarget(target); err != nil {
		return r, err
	}
	for _, field := range fields {
		name, value, ok := strings.Cut(field, ":")
		if !ok || !route.IsToken(name) {
			return r, fmt.Errorf("field %q: \"Name: value\" expected", field)
		}
		value = strings.TrimSpace(value)
		if strings.EqualFold(name, "Host") {
			r.Host = value
			continue
		}
		r.Header.Add(name, value)
	}
	return r, nil
}

// parseTarget sets the host and the path by a URL or a path. The path stays as it is written, since
// routes match it so; url.Parse would decode it.
func (r *Request) parseTarget(target string) error {
	rest := target
	if scheme, after, ok := strings.Cut(target, "://"); ok {
		if scheme != "http" && scheme != "https" {
			return fmt.Errorf("URL %q: http or https expected", target)
		}
		host, path, _ := strings.Cut(after, "/")
		r.Host = host
		rest = "/" + path
	}
	r.Path, _, _ = strings.Cut(rest, "?")
	if !strings.HasPrefix(r.Path, "/") {
		return fmt.Errorf("URL %q: http://host/path or /path expected", target)
	}
	if _, err := url.PathUnescape(r.Path); err != nil {
		return fmt.Errorf("URL %q: %w", target, err)
	}
	return nil
}
