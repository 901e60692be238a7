package route

import (
	"fmt"
	"strings"
)

// MaxHostBytes is the maximum length of a host with its port, in bytes (RFC 1035, section 2.3.4).
const MaxHostBytes = 255

// CanonicalHost converts a Host field or an :authority to the form in which rules are matched:
// lower case, without the port and without one trailing dot. An empty host stays empty and is
// matched only by rules for any host. An IPv6 literal keeps its brackets. CanonicalHost returns a
// *HostError if the value is not a host of RFC 3986, section 3.2.2, or is a name with
// percent-encoding.
func CanonicalHost(host string) (string, error) {
	if len(host) > MaxHostBytes {
		return "", &HostError{fmt.Sprintf("%d bytes, at most %d", len(host), MaxHostBytes)}
	}
	if strings.HasPrefix(host, "[") {
		return canonicalIPLiteral(host)
	}
	name := host
	if i := strings.IndexByte(name, ':'); i >= 0 {
		if err := checkPort(name[i:]); err != nil {
			return "", err
		}
		name = name[:i]
		if name == "" {
			return "", &HostError{"a port without a name"}
		}
	}
	name = strings.TrimSuffix(name, ".")
	if name == "" && host != "" {
		return "", &HostError{"an empty label"}
	}
	return canonicalName(name)
}

// canonicalIPLiteral returns a bracketed IPv6 address in lower case and without its port.
func canonicalIPLiteral(host string) (string, error) {
	end := strings.IndexByte(host, ']')
	if end < 0 {
		return "", &HostError{"[ without ]"}
	}
	if err := checkPort(host[end+1:]); err != nil {
		return "", err
	}
	for i := 1; i < end; i++ {
		if c := host[i]; !isHex(c) && c != ':' && c != '.' {
			return "", &HostError{fmt.Sprintf("%q in an address", c)}
		}
	}
	return strings.ToLower(host[:end+1]), nil
}

// canonicalName returns a name without port in lower case. An empty name stays empty.
func canonicalName(name string) (string, error) {
	hasUpper, last := false, byte('.')
	for i := range len(name) {
		c := name[i]
		switch {
		case c >= 'A' && c <= 'Z':
			hasUpper = true
		case c == '.' && last == '.':
			return "", &HostError{"an empty label"}
		case c >= 'a' && c <= 'z', c >= '0' && c <= '9', c == '-', c == '_', c == '.':
		default:
			return "", &HostError{fmt.Sprintf("%q in a name", c)}
		}
		last = c
	}
	if last == '.' && name != "" {
		return "", &HostError{"an empty label"}
	}
	if hasUpper {
		name = strings.ToLower(name)
	}
	return name, nil
}

// checkPort checks the part after a host, which is empty or a colon and at most five digits.
func checkPort(s string) error {
	if s == "" {
		return nil
	}
	if s[0] != ':' || len(s) > len(":65535") {
		return &HostError{"no port behind it"}
	}
	for i := 1; i < len(s); i++ {
		if s[i] < '0' || s[i] > '9' {
			return &HostError{"a port that is no number"}
		}
	}
	return nil
}
