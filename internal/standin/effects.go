package standin

import (
	"net/http"
	"sync"
	"time"
)

// Effects records the requests that have had an effect at any backend of a service. A POST has an
// effect, and is recorded under its Idempotency-Key, or its Request-Id if it has none. The backends
// of a cell drop a POST whose Idempotency-Key one of them has recorded within the dedup window.
// Effects is safe for concurrent use.
type Effects struct {
	window time.Duration

	mu   sync.Mutex
	keys map[string][]effect // by Idempotency-Key or Request-Id
}

// effect is one recorded effect.
type effect struct {
	cell       int
	recordedAt time.Time
}

// NewEffects returns an empty Effects with a dedup window.
func NewEffects(window time.Duration) *Effects {
	return &Effects{window: window, keys: map[string][]effect{}}
}

// recordCall records a call if it has an effect. A nil *Effects records nothing.
func (e *Effects) recordCall(cell int, c *Call) {
	if e == nil || c.Method != http.MethodPost {
		return
	}
	if key := c.Header.Get("Idempotency-Key"); key != "" {
		e.Record(cell, key, true)
		return
	}
	e.Record(cell, c.Header.Get("Request-Id"), false)
}

// Record records an effect at a backend of a cell. If keyed is true, the key is an idempotency key,
// and an effect within the dedup window of an earlier one in the same cell is dropped.
func (e *Effects) Record(cell int, key string, keyed bool) {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, earlier := range e.keys[key] {
		if keyed && earlier.cell == cell && now.Sub(earlier.recordedAt) < e.window {
			return
		}
	}
	e.keys[key] = append(e.keys[key], effect{cell: cell, recordedAt: now})
}

// Duplicates returns the keys that have had more than one effect.
func (e *Effects) Duplicates() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var keys []string
	for key, effects := range e.keys {
		if len(effects) > 1 {
			keys = append(keys, key)
		}
	}
	return keys
}

// Count returns the number of keys that have had an effect.
func (e *Effects) Count() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.keys)
}
