package route

import (
	"fmt"
	"strings"
)

// Limits of a path.
const (
	MaxPathBytes    = 8192
	MaxPathSegments = 128
)

// CanonicalPath converts a path as received, without the query, to the form in which rules are
// matched. Percent-encoded unreserved characters are decoded, and other encodings get upper-case
// digits (RFC 3986, section 6.2.2). Repeated slashes are merged. Dot segments, including encoded
// ones, are removed (section 5.2.4). An encoded slash remains part of its segment. A trailing slash
// is significant and kept.
//
// CanonicalPath returns a *PathError if the path does not begin with a slash, leads above the root,
// contains a control character, a space, a backslash, a byte over 0x7E, an invalid percent-encoding
// or an encoded control character, or exceeds MaxPathBytes or MaxPathSegments.
func CanonicalPath(raw string) (string, error) {
	if raw == "" || raw[0] != '/' {
		return "", &PathError{"does not begin with a slash"}
	}
	if len(raw) > MaxPathBytes {
		return "", &PathError{fmt.Sprintf("%d bytes, at most %d", len(raw), MaxPathBytes)}
	}
	canonical, err := scanPath(raw)
	if err != nil {
		return "", err
	}
	if canonical {
		return raw, nil
	}
	return removeDotSegments(normalizeEncoding(raw))
}

// scanPath checks the bytes and the number of segments of a path. It returns true only if the path
// is certainly canonical.
func scanPath(raw string) (canonical bool, err error) {
	canonical = true
	segments := 0
	for i := range len(raw) {
		switch c := raw[i]; {
		case c <= ' ' || c >= 0x7f || c == '\\':
			return false, &PathError{fmt.Sprintf("byte %#02x", c)}
		case c == '/':
			segments++
			if next := raw[i+1:]; strings.HasPrefix(next, "/") || strings.HasPrefix(next, ".") {
				canonical = false
			}
		case c == '%':
			canonical = false
			if err := checkEncoding(raw[i:]); err != nil {
				return false, err
			}
		}
	}
	if segments > MaxPathSegments {
		return false, &PathError{fmt.Sprintf("%d segments, at most %d", segments, MaxPathSegments)}
	}
	return canonical, nil
}

// checkEncoding checks the percent-encoding at the start of s.
func checkEncoding(s string) error {
	c, ok := decodePercent(s)
	if !ok {
		return &PathError{"a broken percent-encoding"}
	}
	if c < ' ' || c == 0x7f {
		return &PathError{fmt.Sprintf("encoded byte %#02x", c)}
	}
	return nil
}

// normalizeEncoding decodes unreserved characters and writes other encodings with upper-case
// digits.
func normalizeEncoding(raw string) string {
	var b strings.Builder
	for i := 0; i < len(raw); i++ {
		if raw[i] != '%' {
			b.WriteByte(raw[i])
			continue
		}
		c, _ := decodePercent(raw[i:]) // valid, as checked by scanPath
		if isAlphanumeric(c) || strings.IndexByte("-._~", c) >= 0 {
			b.WriteByte(c)
		} else {
			fmt.Fprintf(&b, "%%%02X", c)
		}
		i += len("2F")
	}
	return b.String()
}

// removeDotSegments removes dot segments and empty segments and keeps a trailing slash.
func removeDotSegments(path string) (string, error) {
	var out []string
	segments := strings.Split(path[1:], "/")
	for i, segment := range segments {
		switch segment {
		case "..":
			if len(out) == 0 {
				return "", &PathError{"leads above the root"}
			}
			out = out[:len(out)-1]
		case ".", "":
		default:
			out = append(out, segment)
			continue
		}
		if isLast := i == len(segments)-1; isLast && len(out) > 0 {
			out = append(out, "")
		}
	}
	return "/" + strings.Join(out, "/"), nil
}

// interpretations holds the ways in which a backend, which gets the path as received, may read it.
type interpretations struct {
	canonical string // canonical form, by which the rule is selected
	literal   string // form as received; empty if it equals canonical
	decoded   string // canonical form with %2F and %5C read as slashes; empty if it contains neither
}

// interpretPath returns the interpretations of a path as received.
func interpretPath(raw string) (interpretations, error) {
	canonical, err := CanonicalPath(raw)
	if err != nil {
		return interpretations{}, err
	}
	r := interpretations{canonical: canonical}
	if canonical == raw && strings.IndexByte(raw, '%') < 0 {
		return r, nil
	}
	if canonical != raw {
		r.literal = raw
	}
	if strings.Contains(canonical, "%2F") || strings.Contains(canonical, "%5C") {
		r.decoded, err = removeDotSegments(strings.NewReplacer("%2F", "/", "%5C", "/").Replace(canonical))
	}
	return r, err
}

// isHex reports whether c is a hexadecimal digit.
func isHex(c byte) bool {
	return c >= '0' && c <= '9' || c >= 'a' && c <= 'f' || c >= 'A' && c <= 'F'
}

// hexValue returns the value of a hexadecimal digit.
func hexValue(c byte) byte {
	switch {
	case c <= '9':
		return c - '0'
	case c <= 'F':
		return c - 'A' + 10
	}
	return c - 'a' + 10
}

// decodePercent decodes the percent-encoding at the start of s and reports whether it is valid.
func decodePercent(s string) (byte, bool) {
	if len(s) < len("%2F") || !isHex(s[1]) || !isHex(s[2]) {
		return 0, false
	}
	return hexValue(s[1])<<4 | hexValue(s[2]), true
}
