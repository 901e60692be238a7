package explain

import (
	"fmt"
	"net/http"
	"net/url"
	"strings"

	"fernlanding/internal/route"
)

// Request is a request to explain.
type Request struct {
	Method string
	Host   string
	Path   string // encoded path as received, without the query
	Header http.Header
}

// ParseRequest returns the request with a method, a target, which is a URL or a path, and header
// fields of the form "Name: value".
func ParseRequest(method, target string, fields []string) (Request, error) {
	r := Request{Method: method, Header: http.Header{}}
	if !route.IsToken(method) {
		return r, fmt.Errorf("invalid method %q: must be a token such as GET", method)
	}
	if err := r.parseTarget(target); err != nil {
		return r, err
	}
	for _, field := range fields {
		name, value, ok := strings.Cut(field, ":")
		if !ok || !route.IsToken(name) {
			return r, fmt.Errorf("invalid header field %q: must have the form \"Name: value\"", field)
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

// parseTarget sets the host and the path from a URL or a path. It does not use url.Parse, which
// would decode the path: routes match the encoded path.
func (r *Request) parseTarget(target string) error {
	rest := target
	if scheme, after, ok := strings.Cut(target, "://"); ok {
		if scheme != "http" && scheme != "https" {
			return fmt.Errorf("invalid URL %q: scheme must be http or https", target)
		}
		host, path, _ := strings.Cut(after, "/")
		r.Host = host
		rest = "/" + path
	}
	r.Path, _, _ = strings.Cut(rest, "?")
	if !strings.HasPrefix(r.Path, "/") {
		return fmt.Errorf("invalid URL %q: must be http://host/path or /path", target)
	}
	if _, err := url.PathUnescape(r.Path); err != nil {
		return fmt.Errorf("invalid URL %q: %w", target, err)
	}
	return nil
}
