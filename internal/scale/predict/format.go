package predict

import (
	"fmt"
	"math"
	"strings"
)

// formatNumber returns the text of a number with three significant digits and, from 10,000 on, a
// unit prefix (k, M or G).
func formatNumber(v float64) string {
	magnitude := math.Abs(v)
	switch {
	case v == 0:
		return "0"
	case math.IsInf(v, 0):
		return "∞"
	case math.IsNaN(v):
		return "-"
	case magnitude >= 1e9:
		return threeDigits(v/1e9) + " G"
	case magnitude >= 1e6:
		return threeDigits(v/1e6) + " M"
	case magnitude >= 1e4:
		return threeDigits(v/1e3) + " k"
	case magnitude >= 1000:
		return fmt.Sprintf("%.0f", v)
	case magnitude < 1e-3:
		return fmt.Sprintf("%.2g", v)
	}
	return threeDigits(v)
}

// threeDigits returns the text of a number with at most three significant digits and no trailing
// zeros after the decimal point.
func threeDigits(v float64) string {
	digits := 2
	switch magnitude := math.Abs(v); {
	case magnitude >= 100:
		digits = 0
	case magnitude >= 10:
		digits = 1
	case magnitude < 0.1:
		digits = 4
	case magnitude < 1:
		digits = 3
	}
	s := fmt.Sprintf("%.*f", digits, v)
	if strings.Contains(s, ".") {
		s = strings.TrimRight(strings.TrimRight(s, "0"), ".")
	}
	return s
}

func formatRate(v float64) string     { return formatNumber(v) + "/s" }
func formatBytes(v float64) string    { return formatPrefix(v) + "B" }
func formatByteRate(v float64) string { return formatPrefix(v) + "B/s" }
func formatCores(v float64) string    { return formatNumber(v) + " cores" }
func formatSeconds(v float64) string  { return formatNumber(v) + " s" }

func formatPercent(v float64) string {
	if v < 1e-6 {
		v = 0
	}
	return formatNumber(100*v) + "%"
}

// formatPrefix returns the text of a number to which a unit can be appended: the text ends with a
// unit prefix or a space.
func formatPrefix(v float64) string {
	s := formatNumber(v)
	if strings.ContainsAny(s, "GMk") {
		return s
	}
	return s + " "
}

// formatRange returns the text of a range, or of one number if both are equal.
func formatRange(first, last float64) string {
	if first == last {
		return formatNumber(first)
	}
	return formatNumber(first) + " to " + formatNumber(last)
}

// verdict returns a text with the factor by which a need is below or above its limit.
func verdict(need amount, limit float64) string {
	switch {
	case !need.known:
		return "not measured"
	case need.value <= 0:
		return "fits"
	case need.value <= limit:
		return fmt.Sprintf("fits %s times", formatNumber(limit/need.value))
	}
	return fmt.Sprintf("**misses by %s times**", formatNumber(need.value/limit))
}
