package standin

import (
	"net/http"
	"sync"
	"time"
)

// Effects is the book in which all backends of a service write what has had an effect: a POST, under its
// Idempotency-Key or else its Request-Id. The members of a pod drop a key that one of them has written within the
// window.
type Effects struct {
	window time.Duration

	mu   sync.Mutex
	keys map[string][]effect
}

type effect struct {
	pod int
	at  time.Time
}

// NewEffects returns an empty book.
func NewEffects(window time.Duration) *Effects {
	return &Effects{window: window, keys: map[string][]effect{}}
}

func (e *Effects) happen(pod int, c *Call) {
	if e == nil || c.Method != http.MethodPost {
		return
	}
	key, keyed := c.Header.Get("Idempotency-Key"), true
	if key == "" {
		key, keyed = c.Header.Get("Request-Id"), false
	}
	e.Happen(pod, key, keyed)
}

// Happen writes an effect down, unless the key is recalled by the pod.
func (e *Effects) Happen(pod int, key string, keyed bool) {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, old := range e.keys[key] {
		if keyed && old.pod == pod && now.Sub(old.at) < e.window {
			return
		}
	}
	e.keys[key] = append(e.keys[key], effect{pod, now})
}

// Twice is the keys that have had more than one effect.
func (e *Effects) Twice() (keys []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for k, all := range e.keys {
		if len(all) > 1 {
			keys = append(keys, k)
		}
	}
	return keys
}

// Count is how many keys have had an effect.
func (e *Effects) Count() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.keys)
}
