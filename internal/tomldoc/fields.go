package tomldoc

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"fernlanding/internal/rules"
)

// Text reads a string.
func (s Scope) Text(field, defaultValue string) string {
	if v := s.Get(field, String); v != nil {
		return v.Text
	}
	return defaultValue
}

// OneOf reads a string that must be one of the given words. For any other string, OneOf reports a
// violation and returns the first word.
func (s Scope) OneOf(field, defaultValue string, words ...string) string {
	word := s.Text(field, defaultValue)
	if slices.Contains(words, word) {
		return word
	}
	expect := "must be one of " + strings.Join(words, ", ")
	s.ReportField(rules.Word, field, "%s", WithSuggestion(expect, word, words))
	return words[0]
}

// Bool reads a boolean. A missing boolean is false.
func (s Scope) Bool(field string) bool {
	v := s.Get(field, Bool)
	return v != nil && v.Text == "true"
}

// Int reads an integer from minimum to maximum.
func (s Scope) Int(field string, defaultValue, minimum, maximum int64) int64 {
	v := s.Get(field, Integer)
	if v == nil {
		return defaultValue
	}
	n, err := strconv.ParseInt(strings.ReplaceAll(v.Text, "_", ""), 0, 64)
	if err != nil || n < minimum || n > maximum {
		s.ReportField(rules.Range, field, "must be from %d to %d", minimum, maximum)
		return defaultValue
	}
	return n
}

// Float reads a float or an integer from minimum to maximum.
func (s Scope) Float(field string, defaultValue, minimum, maximum float64) float64 {
	v := s.Get(field, Float)
	if v == nil {
		return defaultValue
	}
	x, err := strconv.ParseFloat(strings.ReplaceAll(v.Text, "_", ""), 64)
	if err != nil || math.IsNaN(x) || x < minimum || x > maximum {
		s.ReportField(rules.Range, field, "must be from %g to %g", minimum, maximum)
		return defaultValue
	}
	return x
}

// Duration reads a duration from minimum to maximum, such as "7.5s".
func (s Scope) Duration(field string, defaultValue, minimum, maximum time.Duration) time.Duration {
	v := s.Value.Fields[field]
	s.Value.markKnown(field)
	if v == nil {
		return defaultValue
	}
	d, err := time.ParseDuration(v.Text)
	switch {
	case v.Kind == Integer || v.Kind == Float:
		s.ReportField(rules.Duration, field, `must be a duration with a unit, such as "250ms" or "7.5s"`)
	case v.Kind != String:
		s.Get(field, String) // reports the wrong type
	case err != nil:
		s.ReportField(rules.Duration, field, `must be a duration such as "250ms" or "7.5s"`)
	case d < minimum || d > maximum:
		s.ReportField(rules.Range, field, "must be from %v to %v", minimum, maximum)
	default:
		return d
	}
	return defaultValue
}

// Strings reads an array of strings. Items of another type are reported and left out.
func (s Scope) Strings(field string) []string {
	v := s.Get(field, Array)
	if v == nil {
		return nil
	}
	var texts []string
	for i, item := range v.Items {
		if item.Kind != String {
			path := fmt.Sprintf("%s[%d]", s.FieldPath(field), i+1)
			s.reportType(item, path, String)
			continue
		}
		texts = append(texts, item.Text)
	}
	return texts
}
