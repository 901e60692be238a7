package tomldoc

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// integerError returns why s is not a valid integer of TOML 1.0, or "" if s is valid.
func integerError(s string) string {
	digits := strings.TrimLeft(s, "+-")
	signed := len(digits) != len(s)
	base, prefixed := 10, false
	if len(digits) > 1 && digits[0] == '0' {
		base = baseOfPrefix(digits[1])
		if base == 0 {
			return fmt.Sprintf("invalid integer %q: leading zero", Truncate(s))
		}
		digits, prefixed = digits[2:], true
	}
	if !prefixed && len(s)-len(digits) > 1 || signed && prefixed || !isGrouped(digits) {
		return fmt.Sprintf("invalid integer %q", Truncate(s))
	}
	text := strings.ReplaceAll(digits, "_", "")
	if strings.HasPrefix(s, "-") {
		text = "-" + text
	}
	_, err := strconv.ParseInt(text, base, 64)
	switch {
	case errors.Is(err, strconv.ErrRange):
		return fmt.Sprintf("invalid integer %q: out of the range of 64 bits", Truncate(s))
	case err != nil:
		return fmt.Sprintf("invalid integer %q", Truncate(s))
	}
	return ""
}

// baseOfPrefix returns the base that the letter after a leading zero denotes, or 0 if the letter
// denotes none.
func baseOfPrefix(letter byte) int {
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

// isGrouped reports whether s is not empty and each underscore in s is between two other
// characters.
func isGrouped(s string) bool {
	return s != "" && s[0] != '_' && s[len(s)-1] != '_' && !strings.Contains(s, "__")
}

// isDecimal reports whether s consists of decimal digits, with underscores only between digits.
func isDecimal(s string) bool {
	return isGrouped(s) && strings.Trim(s, "0123456789_") == ""
}

// isFloat reports whether s is a valid float of TOML 1.0 in the range of 64 bits.
func isFloat(s string) bool {
	unsigned := trimSign(s)
	if unsigned == "inf" || unsigned == "nan" {
		return true
	}
	mantissa, exponent, hasExponent := strings.Cut(strings.ToLower(unsigned), "e")
	integer, fraction, hasFraction := strings.Cut(mantissa, ".")
	switch {
	case !hasFraction && !hasExponent, hasExponent && !isDecimal(trimSign(exponent)):
		return false
	case !isDecimal(integer), len(integer) > 1 && integer[0] == '0':
		return false
	case hasFraction && !isDecimal(fraction):
		return false
	}
	_, err := strconv.ParseFloat(strings.ReplaceAll(unsigned, "_", ""), 64)
	return err == nil
}

// trimSign returns s without one leading sign.
func trimSign(s string) string {
	if strings.HasPrefix(s, "+") || strings.HasPrefix(s, "-") {
		return s[1:]
	}
	return s
}
