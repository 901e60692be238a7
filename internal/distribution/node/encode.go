package node

import (
	"encoding/json"

	"fernlanding/internal/distribution"
	"fernlanding/internal/distribution/httpapi"
)

const (
	// maxResponseBytes is the size of updates from which on no further update is added to a
	// response. The remaining updates are sent with the next read.
	maxResponseBytes = 4 << 20
	// maxCacheBytes is the maximum size of the cached encoded updates.
	maxCacheBytes = 16 << 20
)

// respond returns a response with the encoded pending updates. The caller holds n.mu.
func (n *Node) respond(session *distribution.Session, pending []distribution.PendingUpdate) *httpapi.EncodedResponse {
	resp := &httpapi.EncodedResponse{
		Session:      session.ID,
		SourceAge:    n.upstream.sourceAge(),
		Disconnected: n.upstream.disconnected(),
	}
	size := 0
	for _, update := range pending {
		if size >= maxResponseBytes {
			break
		}
		encoded := n.encode(update)
		size += len(encoded.data)
		resp.Updates = append(resp.Updates, encoded.data)
		if encoded.full {
			n.stats.SnapshotUpdates++
		} else {
			n.stats.DeltaUpdates++
		}
	}
	n.stats.MessagesOut++
	return resp
}

// encode returns an update as JSON. All followers that receive the same update share its encoding.
// The caller holds n.mu.
func (n *Node) encode(pending distribution.PendingUpdate) encodedUpdate {
	key := updateKey{resource: pending.Resource, from: pending.From, version: n.store.Version(pending.Resource)}
	if cached, found := n.encoded.get(key); found {
		return cached
	}
	update := n.store.UpdateSince(pending.Resource, pending.From)
	data, err := json.Marshal(update)
	if err != nil { // unreachable: the values were decoded from JSON
		return encodedUpdate{}
	}
	n.stats.Encodings++
	encoded := encodedUpdate{data: data, full: update.IsSnapshot()}
	n.encoded.put(key, encoded)
	return encoded
}

// encodedUpdate is an update as JSON.
type encodedUpdate struct {
	data []byte
	full bool // whether the update is a snapshot
}

// updateKey identifies an update.
type updateKey struct {
	resource      string
	from, version distribution.Version
}

// updateCache caches encoded updates up to a total size, and evicts the oldest ones first.
type updateCache struct {
	maxBytes int64
	bytes    int64
	entries  map[updateKey]encodedUpdate
	order    []updateKey // oldest first
}

// newUpdateCache returns an empty cache.
func newUpdateCache(maxBytes int64) *updateCache {
	return &updateCache{maxBytes: maxBytes, entries: make(map[updateKey]encodedUpdate)}
}

// get returns a cached update.
func (c *updateCache) get(key updateKey) (encodedUpdate, bool) {
	e, found := c.entries[key]
	return e, found
}

// put caches an update that is not cached yet, unless the update is larger than the cache.
func (c *updateCache) put(key updateKey, e encodedUpdate) {
	size := int64(len(e.data))
	if size > c.maxBytes {
		return
	}
	for c.bytes+size > c.maxBytes {
		oldest := c.order[0]
		c.bytes -= int64(len(c.entries[oldest].data))
		delete(c.entries, oldest)
		c.order = c.order[1:]
	}
	c.entries[key] = e
	c.order = append(c.order, key)
	c.bytes += size
}
