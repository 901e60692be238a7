package http

import (
	"bytes"
	"fmt"
	"io"
)

// Store keeps bodies that are too large for memory.
type Store interface {
	// New returns an empty body to write to.
	New() (StoredBody, error)
}

// StoredBody is one body of a Store. It belongs to whoever has the message, who calls Remove when
// done with it.
type StoredBody interface {
	io.Writer
	// Open returns the body from its start.
	Open() (io.ReadCloser, error)
	// Remove removes the body from its store.
	Remove() error
}

// Body is a message's body. The zero Body is empty.
type Body struct {
	Size   int64      // bytes
	memory []byte     // the bytes, unless stored is set
	stored StoredBody // nil for a body in memory
}

// Open returns the body's bytes from the start. It may be called many times until Remove.
func (b Body) Open() (io.ReadCloser, error) {
	if b.stored == nil {
		return io.NopCloser(bytes.NewReader(b.memory)), nil
	}
	r, err := b.stored.Open()
	if err != nil {
		return nil, fmt.Errorf("open a kept body: %w", err)
	}
	return r, nil
}

// Bytes returns all bytes of the body.
func (b Body) Bytes() ([]byte, error) {
	if b.stored == nil {
		return b.memory, nil
	}
	r, err := b.Open()
	if err != nil {
		return nil, err
	}
	defer func() { _ = r.Close() }() // it was only read: nothing can be lost
	return io.ReadAll(r)
}

// Remove removes the body from its store.
func (b Body) Remove() error {
	if b.stored == nil {
		return nil
	}
	return b.stored.Remove()
}

// bodyBuffer gathers a body: in memory up to a limit, in a store beyond it.
type bodyBuffer struct {
	size        int64
	memoryLimit int
	memory      []byte
	store       Store // may be nil
	stored      StoredBody
}

// newBodyBuffer returns an empty body. The store may be nil.
func newBodyBuffer(store Store, memoryLimit int) *bodyBuffer {
	return &bodyBuffer{store: store, memoryLimit: memoryLimit}
}

// append adds bytes to the body. An error is the store's.
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

// moveToStore moves what is in memory to the store.
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

// discard drops a body that is not handed on.
func (b *bodyBuffer) discard() {
	if b.stored != nil {
		_ = b.stored.Remove() // the store removes what is left when it closes
	}
	b.memory, b.stored = nil, nil
}

// body returns the body as gathered.
func (b *bodyBuffer) body() Body {
	return Body{Size: b.size, memory: b.memory, stored: b.stored}
}
