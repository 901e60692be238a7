package http

import (
	"bytes"
	"fmt"
	"io"
)

// Store stores bodies that exceed Limits.Memory.
type Store interface {
	// New returns an empty body for writing.
	New() (StoredBody, error)
}

// StoredBody is one body in a Store. The owner of the message owns the body, and calls Remove when
// it is no longer needed.
type StoredBody interface {
	io.Writer
	// Open returns a reader of the body from its start.
	Open() (io.ReadCloser, error)
	// Remove removes the body from the store.
	Remove() error
}

// Body is the body of a message. The zero Body is empty.
type Body struct {
	Size   int64      // bytes
	memory []byte     // content, unless stored is set
	stored StoredBody // nil for a body in memory
}

// Open returns a reader of the body from its start. It may be called repeatedly until Remove.
func (b Body) Open() (io.ReadCloser, error) {
	if b.stored == nil {
		return io.NopCloser(bytes.NewReader(b.memory)), nil
	}
	r, err := b.stored.Open()
	if err != nil {
		return nil, fmt.Errorf("open stored body: %w", err)
	}
	return r, nil
}

// Bytes returns the content of the body.
func (b Body) Bytes() ([]byte, error) {
	if b.stored == nil {
		return b.memory, nil
	}
	r, err := b.Open()
	if err != nil {
		return nil, err
	}
	defer func() { _ = r.Close() }() // read only: a failed close loses no data
	return io.ReadAll(r)
}

// Remove removes the body from its store. A body in memory has nothing to remove.
func (b Body) Remove() error {
	if b.stored == nil {
		return nil
	}
	return b.stored.Remove()
}

// bodyBuffer accumulates a body, in memory up to memoryLimit and in a store above it.
type bodyBuffer struct {
	size        int64 // bytes
	memoryLimit int   // bytes
	memory      []byte
	store       Store // nil: all bytes stay in memory
	stored      StoredBody
}

// newBodyBuffer returns an empty buffer. If store is nil, all bytes stay in memory.
func newBodyBuffer(store Store, memoryLimit int) *bodyBuffer {
	return &bodyBuffer{store: store, memoryLimit: memoryLimit}
}

// append appends bytes to the body. An error comes from the store.
func (b *bodyBuffer) append(data []byte) error {
	if b.stored == nil && b.store != nil && len(b.memory)+len(data) > b.memoryLimit {
		if err := b.moveToStore(); err != nil {
			return err
		}
	}
	b.size += int64(len(data))
	if b.stored != nil {
		_, err := b.stored.Write(data)
		return err
	}
	b.memory = append(b.memory, data...)
	return nil
}

// moveToStore moves the bytes in memory to the store.
func (b *bodyBuffer) moveToStore() error {
	stored, err := b.store.New()
	if err != nil {
		return err
	}
	b.stored = stored
	if len(b.memory) == 0 {
		return nil
	}
	if _, err := stored.Write(b.memory); err != nil {
		return err
	}
	b.memory = nil
	return nil
}

// discard removes a body that is not passed on with a message.
func (b *bodyBuffer) discard() {
	if b.stored != nil {
		_ = b.stored.Remove() // the store removes remaining bodies when it is closed
	}
	b.memory, b.stored = nil, nil
}

// body returns the accumulated body.
func (b *bodyBuffer) body() Body {
	return Body{Size: b.size, memory: b.memory, stored: b.stored}
}
