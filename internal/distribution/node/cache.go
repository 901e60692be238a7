package node

import "fernlanding/internal/distribution"

// cacheKey is which update was encoded.
type cacheKey struct {
	resource      string
	from, version distribution.Version
}

// cached is an encoded update.
type cached struct {
	data  []byte
	whole bool
}

// cache keeps encoded updates, the latest so many bytes of them.
type cache struct {
	most    int64
	bytes   int64
	entries map[cacheKey]cached
	order   []cacheKey // oldest first
}

func newCache(most int64) *cache { return &cache{most: most, entries: make(map[cacheKey]cached)} }

func (c *cache) get(key cacheKey) (cached, bool) {
	e, found := c.entries[key]
	return e, found
}

// put keeps an entry that is not there; one that is larger than all are together is not kept.
func (c *cache) put(key cacheKey, e cached) {
	size := int64(len(e.data))
	if size > c.most {
		return
	}
	for c.bytes+size > c.most {
		c.bytes -= int64(len(c.entries[c.order[0]].data))
		delete(c.entries, c.order[0])
		c.order = c.order[1:]
	}
	c.entries[key] = e
	c.order = append(c.order, key)
	c.bytes += size
}
