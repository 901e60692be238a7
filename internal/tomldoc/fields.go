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
func (s Scope) Text(field, otherwise string) string {
	if v := s.Get(field, String); v != nil {
		return v.Text
	}
	return otherwise
}

// OneOf reads a string that has to be one of some words. For any other it returns the first of them.
func (s Scope) OneOf(field, otherwise string, words ...string) string {
	word := s.Text(field, otherwise)
	if slices.Contains(words, word) {
		return word
	}
	expect := fmt.Sprintf("one of %s expected", strings.Join(words, ", "))
	if nearest := Nearest(word, words); nearest != "" {
		expect += "; " + nearest + " meant?"
	}
	s.ReportField(rules.Word, field, "%s", expect)
	return words[0]
}

// Bool reads a boolean; it is false where it is missing.
func (s Scope) Bool(field string) bool {
	v := s.Get(field, Bool)
	return v != nil && v.Text == "true"
}

// Int reads an integer from least to most.
func (s Scope) Int(field string, otherwise, least, most int64) int64 {
	v := s.Get(field, Integer)
	if v == nil {
		return otherwise
	}
	n, err := strconv.ParseInt(strings.ReplaceAll(v.Text, "_", ""), 0, 64)
	if err != nil || n < least || n > most {
		s.ReportField(rules.Range, field, "%d to %d expected", least, most)
		return otherwise
	}
	return n
}

// Float reads a float or an integer from least to most.
func (s Scope) Float(field string, otherwise, least, most float64) float64 {
	v := s.Get(field, Float)
	if v == nil {
		return otherwise
	}
	x, err := strconv.ParseFloat(strings.ReplaceAll(v.Text, "_", ""), 64)
	if err != nil || math.IsNaN(x) || x < least || x > most {
		s.ReportField(rules.Range, field, "%g to %g expected", least, most)
		return otherwise
	}
	return x
}

// Duration reads a duration from least to most, such as "7.5s".
func (s Scope) Duration(field string, otherwise, least, most time.Duration) time.Duration {
	v := s.Value.Fields[field]
	s.Value.markKnown(field)
	if v == nil {
		return otherwise
	}
	d, err := time.ParseDuration(v.Text)
	switch {
	case v.Kind == Integer || v.Kind == Float:
		s.ReportField(rules.Duration, field, `a time with a unit, such as "250ms" or "7.5s", expected`)
	case v.Kind != String:
		s.Get(field, String) // which reports the kind
	case err != nil:
		s.ReportField(rules.Duration, field, `a time such as "250ms" or "7.5s" expected`)
	case d < least || d > most:
		s.ReportField(rules.Range, field, "%v to %v expected", least, most)
	default:
		return d
	}
	return otherwise
}

// Strings reads an array of strings. Items of other kinds are reported and left out.
func (s Scope) Strings(field string) []string {
	v := s.Get(field, Array)
	if v == nil {
		return nil
	}
	var texts []string
	for i, item := range v.Items {
		if item.Kind != String {
			path := fmt.Sprintf("%s[%d]", s.FieldPath(field), i+1)
			s.ReportAt(item, rules.WrongType, path, item.Describe(), "a string expected")
			continue
		}
		texts = append(texts, item.Text)
	}
	return texts
}
