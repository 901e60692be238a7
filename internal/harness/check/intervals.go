package check

import "slices"

// openEnd is the end of an interval that has not ended. As a time, it is never reached.
const openEnd = int64(1) << 62

// interval is a period of time in microseconds. It includes both ends.
type interval struct {
	from int64
	to   int64
}

// overlaps reports whether two intervals overlap.
func (i interval) overlaps(other interval) bool { return i.from <= other.to && other.from <= i.to }

// intervals are the intervals of each process, sorted by their beginnings.
type intervals map[string][]interval

// open begins an interval of a process unless the process's last interval is open.
func (s intervals) open(process string, at int64) {
	own := s[process]
	if len(own) == 0 || own[len(own)-1].to != openEnd {
		s.openAnother(process, at)
	}
}

// openAnother begins an interval of a process even if another interval is open.
func (s intervals) openAnother(process string, at int64) {
	s[process] = append(s[process], interval{from: at, to: openEnd})
}

// end ends the last interval of a process if that interval is open.
func (s intervals) end(process string, at int64) {
	own := s[process]
	if len(own) > 0 && own[len(own)-1].to == openEnd {
		own[len(own)-1].to = at
	}
}

// endFirst ends the first open interval of a process.
func (s intervals) endFirst(process string, at int64) {
	own := s[process]
	first := slices.IndexFunc(own, func(i interval) bool { return i.to == openEnd })
	if first >= 0 {
		own[first].to = at
	}
}

// overlap reports whether any interval of a process overlaps other.
func (s intervals) overlap(process string, other interval) bool {
	return slices.ContainsFunc(s[process], other.overlaps)
}
