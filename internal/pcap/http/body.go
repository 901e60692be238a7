package http

import (
	"bytes"
	"fmt"
	"io"
)

// Store keeps bodies that are too large for memory.
type Store interface {
	// New returns room for one body.
	New() (Room, error)
}

// Room keeps one body. It belongs to whoever has the message, who calls Drop when done with it.
type Room interface {
	io.Writer
	// Open returns the body from its start.
	Open() (io.ReadCloser, error)
	// Drop gives the room back.
	Drop() error
}

// Body is a message's body. The zero Body is empty.
type Body struct {
	Size  int64
	small []byte
	room  Room
}

// Open returns the body's bytes from the start. It may be called again and again until Drop.
func (b Body) Open() (io.ReadCloser, error) {
	if b.room != nil {
		r, err := b.room.Open()
		if err != nil {
			return nil, fmt.Errorf("open a kept body: %w", err)
		}
		return r, nil
	}
	return io.NopCloser(bytes.NewReader(b.small)), nil
}

// Bytes is the whole body.
func (b Body) Bytes() ([]byte, error) {
	if b.room == nil {
		return b.small, nil
	}
	r, err := b.Open()
	if err != nil {
		return nil, err
	}
	defer r.Close()
	return io.ReadAll(r)
}

// Drop gives back what holds the body.
func (b Body) Drop() error {
	if b.room == nil {
		return nil
	}
	return b.room.Drop()
}

// filling is a body on its way.
type filling struct {
	size  int64
	most  int
	small []byte
	store Store
	room  Room
}

func newFilling(store Store, most int) *filling { return &filling{store: store, most: most} }

func (f *filling) add(data []byte) error {
	if f.room == nil && f.store != nil && len(f.small)+len(data) > f.most {
		room, err := f.store.New()
		if err != nil {
			return err
		}
		if f.room = room; len(f.small) > 0 {
			if _, err := room.Write(f.small); err != nil {
				return err
			}
			f.small = nil
		}
	}
	f.size += int64(len(data))
	if f.room != nil {
		_, err := f.room.Write(data)
		return err
	}
	f.small = append(f.small, data...)
	return nil
}

// drop gives back what a body that comes to nothing holds. A room that cannot be dropped is its store's to report.
func (f *filling) drop() {
	if f.room != nil {
		_ = f.room.Drop()
	}
	f.small, f.room = nil, nil
}

func (f *filling) body() Body { return Body{Size: f.size, small: f.small, room: f.room} }
