package logic

// timeline holds the times of events, oldest first.
type timeline []int64

// add records an event at time now and forgets events older than span.
func (t *timeline) add(now, span int64) {
	*t = append(*t, now)
	t.since(now - span)
}

// since forgets the events before from and returns the number of the others.
func (t *timeline) since(from int64) float64 {
	n := 0
	for n < len(*t) && (*t)[n] < from {
		n++
	}
	*t = (*t)[n:]
	return float64(len(*t))
}
