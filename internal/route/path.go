package route

import (
	"fmt"
	"strings"
)

// Bounds of a path.
const (
	MaxPathBytes    = 8192 // bytes
	MaxPathSegments = 128
)

// CanonicalPath brings a path as received (no query) to the form that rules are matched by:
// percent-encoded unreserved characters are decoded and other encodings get upper-case digits (RFC
// 3986, section 6.2.2), repeated slashes count as one, and dot segments, also encoded ones, are
// removed (section 5.2.4). An encoded slash stays a character of its segment. A trailing slash
// counts.
//
// It returns a *PathError for a path that does not begin with a slash, leads above the root, holds
// a control character, a space, a backslash, a byte over 0x7E, a broken encoding or an encoded
// control character, or is over MaxPath or MaxSegments.
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

// scanPath checks the bytes and the number of segments of a path and reports whether it surely is
// canonical.
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

// checkEncoding checks the percent-encoding that s begins with.
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

// normalizeEncoding decodes what need not be encoded, and writes the other encodings in one way.
func normalizeEncoding(raw string) string {
	var b strings.Builder
	for i := 0; i < len(raw); i++ {
		if raw[i] != '%' {
			b.WriteByte(raw[i])
			continue
		}
		c, _ := decodePercent(raw[i:]) // scanPath has checked it
		if isAlphanumeric(c) || strings.IndexByte("-._~", c) >= 0 {
			b.WriteByte(c)
		} else {
			fmt.Fprintf(&b, "%%%02X", c)
		}
		i += len("2F")
	}
	return b.String()
}

// removeDotSegments removes dot segments and empty segments, but keeps a trailing slash.
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

// readings are the ways in which a path may be read by a backend, which gets it as received.
type readings struct {
	canonical string // by which a rule is chosen
	literal   string // as received; empty if that is the same
	decoded   string // with encoded slashes taken for slashes; empty if there are none
}

// readPath returns the readings of a path as received.
func readPath(raw string) (readings, error) {
	canonical, err := CanonicalPath(raw)
	if err != nil {
		return readings{}, err
	}
	r := readings{canonical: canonical}
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

// decodePercent decodes the percent-encoding that s begins with and reports whether there is one.
func decodePercent(s string) (byte, bool) {
	if len(s) < len("%2F") || !isHex(s[1]) || !isHex(s[2]) {
		return 0, false
	}
	return hexValue(s[1])<<4 | hexValue(s[2]), true
}
