package http

import "cmp"

// Limits are the limits of the state that a Reader holds. A zero field means its default.
type Limits struct {
	Head     int   // bytes of a message's head, or of a chunked body's trailer (default 64 KiB)
	Memory   int   // bytes of a body in memory; a longer body goes to the Store (default 64 KiB)
	Body     int64 // bytes of a body; a longer body is a fault (default 64 MiB)
	Unpaired int   // requests of a connection without a response (default 1024)
}

const (
	defaultHead     = 64 << 10
	defaultMemory   = 64 << 10
	defaultBody     = 64 << 20
	defaultUnpaired = 1024

	maxChunkLine = 4 << 10 // bytes of a chunk's size and extensions
	maxInterim   = 64      // 1xx responses before one final response
	maxAhead     = 64      // responses of a connection whose requests are not parsed yet
)

// withDefaults returns the limits with zero fields set to their defaults.
func (l Limits) withDefaults() Limits {
	l.Head = cmp.Or(l.Head, defaultHead)
	l.Memory = cmp.Or(l.Memory, defaultMemory)
	l.Body = cmp.Or(l.Body, defaultBody)
	l.Unpaired = cmp.Or(l.Unpaired, defaultUnpaired)
	return l
}
