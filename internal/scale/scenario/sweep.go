package scenario

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"fernlanding/internal/rules"
	"fernlanding/internal/scale/result"
	"fernlanding/internal/tomldoc"
)

// bounds is the range of values that a dimension may have.
type bounds struct {
	min       float64
	max       float64
	isInteger bool // integers only
}

func boundsOf(d result.Dimension) bounds {
	switch d {
	case result.Proxies:
		return bounds{min: 1, max: MaxProxies, isInteger: true}
	case result.Services:
		return bounds{min: 1, max: MaxServices, isInteger: true}
	case result.Backends:
		return bounds{min: 2, max: MaxBackends, isInteger: true}
	case result.Changes:
		return bounds{min: 0.01, max: MaxChanges}
	default:
		return bounds{min: 0.01, max: MaxCalls}
	}
}

// readSweep reads the swept dimension, its sizes and the held-out size.
func (sc *Scenario) readSweep(s tomldoc.Scope) {
	defer s.ReportUnknown()
	sc.Dimension = result.Dimension(s.OneOf("dimension", "", string(result.Proxies), string(result.Services),
		string(result.Backends), string(result.Changes), string(result.Calls)))
	b := boundsOf(sc.Dimension)
	sc.Sizes = readNumbers(s, "sizes", b)
	if len(sc.Sizes) < MinSizes || len(sc.Sizes) > MaxSizes {
		s.ReportField(rules.Range, "sizes", "%d to %d sizes expected, %d found", MinSizes, MaxSizes, len(sc.Sizes))
	}
	for i := 1; i < len(sc.Sizes); i++ {
		if sc.Sizes[i] < MinFactor*factorTolerance*sc.Sizes[i-1] {
			s.ReportField(rules.Range, "sizes", "each a factor of %d above the one before expected; %g follows %g",
				MinFactor, sc.Sizes[i], sc.Sizes[i-1])
		}
	}
	sc.readHeldOut(s, b)
}

func (sc *Scenario) readHeldOut(s tomldoc.Scope, b bounds) {
	if !s.Has("held_out") {
		s.MarkKnown("held_out") // for the list of known fields in error messages
		return
	}
	sc.HeldOut = s.Float("held_out", 0, b.min, b.max)
	if b.isInteger && sc.HeldOut != float64(int(sc.HeldOut)) {
		s.ReportField(rules.WrongType, "held_out", "a whole number expected")
	}
	if len(sc.Sizes) > 0 && sc.HeldOut <= slices.Max(sc.Sizes) {
		s.ReportField(rules.Range, "held_out", "more than the largest of the sizes, %g, expected", slices.Max(sc.Sizes))
	}
}

// readNumbers reads an array of numbers. It reports and omits numbers that are out of bounds.
func readNumbers(s tomldoc.Scope, field string, b bounds) []float64 {
	v := s.Get(field, tomldoc.Array)
	if v == nil {
		return nil
	}
	want := fmt.Sprintf("a number, %g to %g, expected", b.min, b.max)
	if b.isInteger {
		want = fmt.Sprintf("a whole number, %g to %g, expected", b.min, b.max)
	}
	var numbers []float64
	for i, item := range v.Items {
		number, err := strconv.ParseFloat(strings.ReplaceAll(item.Text, "_", ""), 64)
		isRightKind := item.Kind == tomldoc.Integer || item.Kind == tomldoc.Float && !b.isInteger
		// The condition is negated so that NaN, which compares false with every number, is rejected.
		if err != nil || !isRightKind || !(number >= b.min && number <= b.max) {
			s.ReportAt(item, rules.Range, fmt.Sprintf("%s[%d]", s.FieldPath(field), i+1), item.Describe(), want)
			continue
		}
		numbers = append(numbers, number)
	}
	return numbers
}
