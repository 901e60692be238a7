package catalogue

import (
	"fmt"
	"strconv"
	"strings"

	"fernlanding/internal/tomldoc"
)

// keyText returns a name as a TOML key, which is quoted unless TOML allows a bare key.
func keyText(name string) string {
	isBare := name != ""
	for _, c := range name {
		isBare = isBare && isBareKeyRune(c)
	}
	if isBare {
		return name
	}
	return quote(name)
}

// isBareKeyRune reports whether a bare key may contain a character.
func isBareKeyRune(c rune) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '-' || c == '_'
}

// quote returns a text as a TOML basic string.
func quote(text string) string {
	var b strings.Builder
	b.WriteByte('"')
	for _, c := range text {
		switch {
		case c == '"' || c == '\\':
			b.WriteByte('\\')
			b.WriteRune(c)
		case c < ' ' || c == 0x7f:
			fmt.Fprintf(&b, `\u%04X`, c)
		default:
			b.WriteRune(c)
		}
	}
	b.WriteByte('"')
	return b.String()
}

// valueText returns a value as TOML on a single line.
func valueText(value *tomldoc.Value) string {
	switch value.Kind {
	case tomldoc.String:
		return quote(value.Text)
	case tomldoc.Array:
		items := make([]string, len(value.Items))
		for i, item := range value.Items {
			items[i] = valueText(item)
		}
		return "[" + strings.Join(items, ", ") + "]"
	case tomldoc.Table:
		if len(value.Keys) == 0 {
			return "{}"
		}
		fields := make([]string, len(value.Keys))
		for i, name := range value.Keys {
			fields[i] = keyText(name) + " = " + valueText(value.Fields[name])
		}
		return "{ " + strings.Join(fields, ", ") + " }"
	default:
		return value.Text // a number, a boolean or a date, as written in the catalogue
	}
}

// floatText returns a number as a TOML float.
func floatText(number float64) string {
	text := strconv.FormatFloat(number, 'f', -1, 64)
	if !strings.ContainsAny(text, ".") && !strings.ContainsAny(text, "Nn") {
		text += ".0"
	}
	return text
}

// parseFloat parses a TOML number, which may have underscores between digits.
func parseFloat(text string) (float64, error) {
	return strconv.ParseFloat(strings.ReplaceAll(text, "_", ""), 64)
}
