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

// bounds are the values that a dimension may have.
type bounds struct {
	least   float64
	most    float64
	isWhole bool // whole numbers only
}

func boundsOf(d result.Dimension) bounds {
	switch d {
	case result.Proxies:
		return bounds{least: 1, most: MaxProxies, isWhole: true}
	case result.Services:
		return bounds{least: 1, most: MaxServices, isWhole: true}
	case result.Backends:
		return bounds{least: 2, most: MaxBackends, isWhole: true}
	case result.Changes:
		return bounds{least: 0.01, most: MaxChanges}
	default:
		return bounds{least: 0.01, most: MaxCalls}
	}
}

// readSweep reads the swept dimension with its sizes and the held-out one.
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
		if sc.Sizes[i] < MinFactor*factorSlack*sc.Sizes[i-1] {
			s.ReportField(rules.Range, "sizes", "each a factor of %d above the one before expected; %g follows %g",
				MinFactor, sc.Sizes[i], sc.Sizes[i-1])
		}
	}
	sc.readHeldOut(s, b)
}

func (sc *Scenario) readHeldOut(s tomldoc.Scope, b bounds) {
	if !s.Has("held_out") {
		s.MarkKnown("held_out") // so that it is among the fields known here
		return
	}
	sc.HeldOut = s.Float("held_out", 0, b.least, b.most)
	if b.isWhole && sc.HeldOut != float64(int(sc.HeldOut)) {
		s.ReportField(rules.WrongType, "held_out", "a whole number expected")
	}
	if len(sc.Sizes) > 0 && sc.HeldOut <= slices.Max(sc.Sizes) {
		s.ReportField(rules.Range, "held_out", "more than the largest of the sizes, %g, expected", slices.Max(sc.Sizes))
	}
}

// readNumbers reads an array of numbers. It reports those that are out of bounds and leaves them
// out.
func readNumbers(s tomldoc.Scope, field string, b bounds) []float64 {
	v := s.Get(field, tomldoc.Array)
	if v == nil {
		return nil
	}
	want := fmt.Sprintf("a number, %g to %g, expected", b.least, b.most)
	if b.isWhole {
		want = fmt.Sprintf("a whole number, %g to %g, expected", b.least, b.most)
	}
	var numbers []float64
	for i, item := range v.Items {
		number, err := strconv.ParseFloat(strings.ReplaceAll(item.Text, "_", ""), 64)
		isRightKind := item.Kind == tomldoc.Integer || item.Kind == tomldoc.Float && !b.isWhole
		// Not in the bounds rather than outside them: not-a-number is neither.
		if err != nil || !isRightKind || !(number >= b.least && number <= b.most) {
			s.ReportAt(item, rules.Range, fmt.Sprintf("%s[%d]", s.FieldPath(field), i+1), item.Describe(), want)
			continue
		}
		numbers = append(numbers, number)
	}
	return numbers
}
