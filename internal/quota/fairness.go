package quota

// allows reports whether a consumer may acquire n units.
func (a *Allocator) allows(now int64, c *consumer, n int64) bool {
	if a.inUse+n > a.total {
		return false
	}
	if c.inUse+n <= c.floor {
		// The floor is reserved for c. Others can have part of it in use only after the floors have
		// been raised, and then the total is the limit.
		return true
	}
	more := c.inUse + n - max(c.inUse, c.floor) // part of n that has to be borrowed
	if a.reserved()+more > a.total {
		return false
	}
	return !a.othersStarved(now, c) || c.borrowed()+more <= a.fairShare(now, c)
}

// reserved returns the capacity that cannot be borrowed: the floors and what is in use beyond them.
func (a *Allocator) reserved() int64 {
	var n int64
	for _, c := range a.order {
		n += max(c.floor, c.inUse)
	}
	return n
}

// fairShare returns a consumer's fair share of the capacity that can be borrowed. That capacity is
// divided evenly among the consumer and all others that have borrowed something or are marked as
// starved.
func (a *Allocator) fairShare(now int64, c *consumer) int64 {
	free, n := a.total, int64(0)
	for _, other := range a.order {
		free -= other.floor
		if other.borrowed() > 0 || now < other.starvedUntil || other == c {
			n++
		}
	}
	return max(0, free) / max(1, n)
}

// isStarved reports whether a consumer is marked as starved and is below its floor or its fair
// share.
func (a *Allocator) isStarved(now int64, c *consumer) bool {
	return now < c.starvedUntil && (c.inUse < c.floor || c.borrowed() < a.fairShare(now, c))
}

// othersStarved reports whether any consumer other than c is starved.
func (a *Allocator) othersStarved(now int64, c *consumer) bool {
	for _, other := range a.order {
		if other != c && a.isStarved(now, other) {
			return true
		}
	}
	return false
}

// othersLackFloor reports whether a consumer other than c is marked as starved and is below its
// floor.
func (a *Allocator) othersLackFloor(now int64, c *consumer) bool {
	for _, other := range a.order {
		if other != c && now < other.starvedUntil && other.inUse < other.floor {
			return true
		}
	}
	return false
}
