package front

import "sync"

// RequestMemory bounds the bytes that the requests of all clients of the process hold: heads and
// bodies, and a fixed amount for each request in flight. Requests that have not been received
// completely are bounded more tightly, so that clients that never finish their requests leave room
// for those that do. A RequestMemory is safe for concurrent use.
type RequestMemory struct {
	limit           int64
	unfinishedLimit int64

	mu         sync.Mutex // guards the fields below
	inUse      int64
	unfinished int64 // part of inUse
}

// NewRequestMemory returns a RequestMemory with a limit for all requests, and a limit for those
// that have not been received completely, in bytes.
func NewRequestMemory(limit, unfinishedLimit int64) *RequestMemory {
	return &RequestMemory{limit: limit, unfinishedLimit: unfinishedLimit}
}

// NewClaim returns a claim of no bytes for an unfinished request.
func (m *RequestMemory) NewClaim() *Claim { return &Claim{memory: m} }

// InUse returns the claimed bytes, and how many of these are claimed for unfinished requests.
func (m *RequestMemory) InUse() (all, unfinished int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.inUse, m.unfinished
}

// Claim is the memory that one request holds. It is not safe for concurrent use.
type Claim struct {
	memory   *RequestMemory
	bytes    int64
	finished bool // the request has been received completely
}

// Resize sets the size of the claim in bytes and reports whether there was room. Otherwise the claim
// does not change. A claim can always shrink.
func (c *Claim) Resize(bytes int64) bool {
	more := bytes - c.bytes
	if more == 0 {
		return true
	}
	m := c.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	if more > 0 && !c.fits(more) {
		return false
	}
	c.bytes = bytes
	m.inUse += more
	if !c.finished {
		m.unfinished += more
	}
	return true
}

// fits reports whether there is room for more bytes. The caller holds the lock of the memory.
func (c *Claim) fits(more int64) bool {
	m := c.memory
	return m.inUse+more <= m.limit && (c.finished || m.unfinished+more <= m.unfinishedLimit)
}

// Finish records that the request has been received completely.
func (c *Claim) Finish() {
	if c.finished {
		return
	}
	c.finished = true
	c.memory.mu.Lock()
	defer c.memory.mu.Unlock()
	c.memory.unfinished -= c.bytes
}

// Release gives all bytes back.
func (c *Claim) Release() { c.Resize(0) }
