package standin

import (
	"net/http"
	"sync"
	"time"
)

// Effects record what has had an effect at any backend of a service: a POST, under its
// Idempotency-Key or else its Request-Id. The backends of a pod drop a key that one of them has
// recorded within the dedup window. Effects may be used by many goroutines.
type Effects struct {
	window time.Duration

	mu   sync.Mutex
	keys map[string][]effect
}

// effect is one recorded effect.
type effect struct {
	pod int
	at  time.Time
}

// NewEffects returns an empty record with a dedup window.
func NewEffects(window time.Duration) *Effects {
	return &Effects{window: window, keys: map[string][]effect{}}
}

// recordCall records a call, if it has an effect. A nil Effects records nothing.
func (e *Effects) recordCall(pod int, c *Call) {
	if e == nil || c.Method != http.MethodPost {
		return
	}
	if key := c.Header.Get("Idempotency-Key"); key != "" {
		e.Record(pod, key, true)
		return
	}
	e.Record(pod, c.Header.Get("Request-Id"), false)
}

// Record records an effect, unless it has an idempotency key that is within the pod's dedup window.
func (e *Effects) Record(pod int, key string, keyed bool) {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, earlier := range e.keys[key] {
		if keyed && earlier.pod == pod && now.Sub(earlier.at) < e.window {
			return
		}
	}
	e.keys[key] = append(e.keys[key], effect{pod: pod, at: now})
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

// Count returns how many keys have had an effect.
func (e *Effects) Count() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.keys)
}
