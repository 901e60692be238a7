package route

import (
	"errors"
	"fmt"
	"strings"
)

// Bounds of what is matched.
const (
	MaxHost     = 255  // bytes of a host with its port (RFC 1035, section 2.3.4)
	MaxPath     = 8192 // bytes of a path
	MaxSegments = 128  // of a path
)

// CanonicalHost brings a Host field or an :authority to the form that routes are matched by: lower case, without
// port, without one trailing dot. The empty host stays empty; it is matched by routes for any host alone. An IPv6
// literal keeps its brackets. Anything that is no host by RFC 3986, section 3.2.2, is an error, names with
// percent-encoding included.
func CanonicalHost(host string) (string, error) {
	if len(host) > MaxHost {
		return "", fmt.Errorf("host: %d bytes, at most %d", len(host), MaxHost)
	}
	if strings.HasPrefix(host, "[") {
		return canonicalLiteral(host)
	}
	name := host
	if i := strings.IndexByte(name, ':'); i >= 0 {
		if err := port(name[i:]); err != nil {
			return "", err
		}
		if name = name[:i]; name == "" {
			return "", errors.New("host: a port without a name")
		}
	}
	name = strings.TrimSuffix(name, ".")
	if name == "" && host != "" {
		return "", errors.New("host: an empty label")
	}
	return canonicalName(name)
}

// canonicalLiteral is an IPv6 address in brackets, without the port behind it.
func canonicalLiteral(host string) (string, error) {
	end := strings.IndexByte(host, ']')
	if end < 0 {
		return "", errors.New("host: [ without ]")
	}
	if err := port(host[end+1:]); err != nil {
		return "", err
	}
	for i := 1; i < end; i++ {
		if c := host[i]; !isHex(c) && c != ':' && c != '.' {
			return "", fmt.Errorf("host: %q in an address", c)
		}
	}
	return strings.ToLower(host[:end+1]), nil
}

// canonicalName is a name without port in lower case; the empty one stays empty.
func canonicalName(name string) (string, error) {
	upper, last := false, byte('.')
	for i := 0; i < len(name); i++ {
		c := name[i]
		switch {
		case c >= 'A' && c <= 'Z':
			upper = true
		case c == '.' && last == '.':
			return "", errors.New("host: an empty label")
		case c >= 'a' && c <= 'z', c >= '0' && c <= '9', c == '-', c == '_', c == '.':
		default:
			return "", fmt.Errorf("host: %q in a name", c)
		}
		last = c
	}
	if last == '.' && name != "" {
		return "", errors.New("host: an empty label")
	}
	if upper {
		name = strings.ToLower(name)
	}
	return name, nil
}

// port checks what follows a host: nothing, or a colon and at most five digits.
func port(s string) error {
	if s == "" {
		return nil
	}
	if s[0] != ':' || len(s) > 6 {
		return errors.New("host: no port behind it")
	}
	for i := 1; i < len(s); i++ {
		if s[i] < '0' || s[i] > '9' {
			return errors.New("host: a port that is no number")
		}
	}
	return nil
}

// readings are the ways in which the path of a request may be read by one who gets it as it came.
type readings struct {
	canonical string // the stated form, by which a route is chosen
	literal   string // as it came; empty if that is the same
	decoded   string // with encoded slashes taken for slashes; empty if there are none
}

// CanonicalPath brings a raw path (no query) to the form that routes are matched by: percent-encoded unreserved
// characters are decoded and other encodings get upper-case digits (RFC 3986, section 6.2.2), repeated slashes
// count as one, and dot segments, also encoded ones, are removed (section 5.2.4). An encoded slash stays a
// character of its segment. A trailing slash counts. Errors are a path that does not begin with a slash, leads above
// the root, holds a control character, a space, a backslash, a byte over 0x7E, a broken encoding or an encoded
// control character, or is over MaxPath or MaxSegments.
func CanonicalPath(raw string) (string, error) {
	if raw == "" || raw[0] != '/' {
		return "", errors.New("path: does not begin with a slash")
	}
	if len(raw) > MaxPath {
		return "", fmt.Errorf("path: %d bytes, at most %d", len(raw), MaxPath)
	}
	plain, segments := true, 0
	for i := 0; i < len(raw); i++ {
		switch c := raw[i]; {
		case c <= ' ' || c >= 0x7f || c == '\\':
			return "", fmt.Errorf("path: byte %#02x", c)
		case c == '/':
			segments++
			if next := raw[i+1:]; strings.HasPrefix(next, "/") || strings.HasPrefix(next, ".") {
				plain = false
			}
		case c == '%':
			plain = false
			v, ok := unhex(raw[i:])
			if !ok {
				return "", errors.New("path: a broken percent-encoding")
			}
			if v < ' ' || v == 0x7f {
				return "", fmt.Errorf("path: encoded byte %#02x", v)
			}
		}
	}
	if segments > MaxSegments {
		return "", fmt.Errorf("path: %d segments, at most %d", segments, MaxSegments)
	}
	if plain {
		return raw, nil
	}
	return clean(unreserved(raw))
}

// unreserved decodes what need not be encoded, and writes the rest one way.
func unreserved(raw string) string {
	var b strings.Builder
	for i := 0; i < len(raw); i++ {
		if raw[i] != '%' {
			b.WriteByte(raw[i])
			continue
		}
		v, _ := unhex(raw[i:])
		if v >= 'a' && v <= 'z' || v >= 'A' && v <= 'Z' || v >= '0' && v <= '9' || strings.IndexByte("-._~", v) >= 0 {
			b.WriteByte(v)
		} else {
			fmt.Fprintf(&b, "%%%02X", v)
		}
		i += 2
	}
	return b.String()
}

// clean removes dot segments and empty segments, but keeps a trailing slash.
func clean(path string) (string, error) {
	var out []string
	parts := strings.Split(path[1:], "/")
	for i, s := range parts {
		last := i == len(parts)-1
		switch s {
		case "..":
			if len(out) == 0 {
				return "", errors.New("path: leads above the root")
			}
			out = out[:len(out)-1]
		case ".", "":
		default:
			out = append(out, s)
			continue
		}
		if last && len(out) > 0 {
			out = append(out, "")
		}
	}
	return "/" + strings.Join(out, "/"), nil
}

// read finds the readings of a raw path.
func read(raw string) (r readings, err error) {
	if r.canonical, err = CanonicalPath(raw); err != nil {
		return r, err
	}
	if r.canonical == raw && strings.IndexByte(raw, '%') < 0 {
		return r, nil
	}
	if r.canonical != raw {
		r.literal = raw
	}
	if strings.Contains(r.canonical, "%2F") || strings.Contains(r.canonical, "%5C") {
		r.decoded, err = clean(strings.NewReplacer("%2F", "/", "%5C", "/").Replace(r.canonical))
	}
	return r, err
}

func isHex(c byte) bool {
	return c >= '0' && c <= '9' || c >= 'a' && c <= 'f' || c >= 'A' && c <= 'F'
}

// unhex decodes the percent-encoding that s begins with.
func unhex(s string) (v byte, ok bool) {
	if len(s) < 3 || !isHex(s[1]) || !isHex(s[2]) {
		return 0, false
	}
	digit := func(c byte) byte {
		switch {
		case c <= '9':
			return c - '0'
		case c <= 'F':
			return c - 'A' + 10
		}
		return c - 'a' + 10
	}
	return digit(s[1])<<4 | digit(s[2]), true
}
