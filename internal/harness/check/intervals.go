package check

import "slices"

// openEnd is the end of an interval that has not ended, and a time that is never reached.
const openEnd = int64(1) << 62

// interval is a period of time, in microseconds. It includes both its ends.
type interval struct {
	from int64
	to   int64
}

// overlaps reports whether two intervals have a moment in common.
func (i interval) overlaps(other interval) bool { return i.from <= other.to && other.from <= i.to }

// intervals are periods by the process that they are about, in order of their beginnings.
type intervals map[string][]interval

// open begins an interval of a process, unless its last one is open.
func (s intervals) open(process string, at int64) {
	own := s[process]
	if len(own) == 0 || own[len(own)-1].to != openEnd {
		s.openAnother(process, at)
	}
}

// openAnother begins an interval of a process, whether or not another one is open.
func (s intervals) openAnother(process string, at int64) {
	s[process] = append(s[process], interval{from: at, to: openEnd})
}

// end ends the last interval of a process, if it is open.
func (s intervals) end(process string, at int64) {
	own := s[process]
	if len(own) > 0 && own[len(own)-1].to == openEnd {
		own[len(own)-1].to = at
	}
}

// endFirst ends the first interval of a process that is open.
func (s intervals) endFirst(process string, at int64) {
	own := s[process]
	first := slices.IndexFunc(own, func(i interval) bool { return i.to == openEnd })
	if first >= 0 {
		own[first].to = at
	}
}

// overlap reports whether an interval of a process has a moment in common with another.
func (s intervals) overlap(process string, other interval) bool {
	return slices.ContainsFunc(s[process], other.overlaps)
}
