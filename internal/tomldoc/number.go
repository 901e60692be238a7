package tomldoc

import (
	"errors"
	"strconv"
	"strings"
)

// integerProblem returns why a text is no integer of TOML 1.0; empty: it is one.
func integerProblem(s string) string {
	digits := strings.TrimLeft(s, "+-")
	signed := len(digits) != len(s)
	base, prefixed := 10, false
	if len(digits) > 1 && digits[0] == '0' {
		base = baseOf(digits[1])
		if base == 0 {
			return "an integer begins with no zero: " + Truncate(s)
		}
		digits, prefixed = digits[2:], true
	}
	if !prefixed && len(s)-len(digits) > 1 || signed && prefixed || !isGrouped(digits) {
		return "not an integer: " + Truncate(s)
	}
	text := strings.ReplaceAll(digits, "_", "")
	if strings.HasPrefix(s, "-") {
		text = "-" + text
	}
	_, err := strconv.ParseInt(text, base, 64)
	switch {
	case errors.Is(err, strconv.ErrRange):
		return "an integer beyond 64 bits: " + Truncate(s)
	case err != nil:
		return "not an integer: " + Truncate(s)
	}
	return ""
}

// baseOf returns the base that the letter after a leading zero stands for; 0: none.
func baseOf(letter byte) int {
	switch letter {
	case 'x':
		return 16
	case 'o':
		return 8
	case 'b':
		return 2
	}
	return 0
}

// isGrouped reports whether a text has underscores between two other characters alone, and is not
// empty.
func isGrouped(s string) bool {
	return s != "" && s[0] != '_' && s[len(s)-1] != '_' && !strings.Contains(s, "__")
}

// isDecimal reports whether a text is decimal digits, with underscores between them.
func isDecimal(s string) bool {
	return isGrouped(s) && strings.Trim(s, "0123456789_") == ""
}

// isFloat reports whether a text is a float of TOML 1.0 that fits 64 bits.
func isFloat(s string) bool {
	body := trimSign(s)
	if body == "inf" || body == "nan" {
		return true
	}
	mantissa, exponent, hasExponent := strings.Cut(strings.ToLower(body), "e")
	integer, fraction, hasFraction := strings.Cut(mantissa, ".")
	switch {
	case !hasFraction && !hasExponent, hasExponent && !isDecimal(trimSign(exponent)):
		return false
	case !isDecimal(integer), len(integer) > 1 && integer[0] == '0':
		return false
	case hasFraction && !isDecimal(fraction):
		return false
	}
	_, err := strconv.ParseFloat(strings.ReplaceAll(body, "_", ""), 64)
	return err == nil
}

// trimSign returns a text without one leading sign.
func trimSign(s string) string {
	if strings.HasPrefix(s, "+") || strings.HasPrefix(s, "-") {
		return s[1:]
	}
	return s
}
