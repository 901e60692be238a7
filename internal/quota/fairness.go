package quota

// allows reports whether a consumer can have n more.
func (a *Allocator) allows(now int64, c *consumer, n int64) bool {
	if a.inUse+n > a.total {
		return false
	}
	if c.inUse+n <= c.floor { // reserved for it, unless the floors have just been raised over what others have in use
		return true
	}
	more := c.inUse + n - max(c.inUse, c.floor) // of what can be borrowed
	if a.reserved()+more > a.total {
		return false
	}
	return !a.othersStarve(now, c) || c.borrowed()+more <= a.fairShare(now, c)
}

// reserved returns what nobody can borrow: the floors, and what is in use beyond them.
func (a *Allocator) reserved() int64 {
	var n int64
	for _, c := range a.order {
		n += max(c.floor, c.inUse)
	}
	return n
}

// fairShare returns a consumer's part of all that can be borrowed, shared evenly among those that
// have some or were denied some.
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

// isStarved reports whether a consumer was denied lately and lacks its floor or its fair share.
func (a *Allocator) isStarved(now int64, c *consumer) bool {
	return now < c.starvedUntil && (c.inUse < c.floor || c.borrowed() < a.fairShare(now, c))
}

// othersStarve reports whether any other consumer is starved.
func (a *Allocator) othersStarve(now int64, c *consumer) bool {
	for _, other := range a.order {
		if other != c && a.isStarved(now, other) {
			return true
		}
	}
	return false
}

// othersLackFloor reports whether another consumer was denied lately and lacks its floor.
func (a *Allocator) othersLackFloor(now int64, c *consumer) bool {
	for _, other := range a.order {
		if other != c && now < other.starvedUntil && other.inUse < other.floor {
			return true
		}
	}
	return false
}
