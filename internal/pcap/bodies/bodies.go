// Package bodies keeps large bodies in files of a directory of its own, up to a sum.
package bodies

import (
	"errors"
	"fmt"
	"io"
	"os"
	"sync/atomic"

	"fernlanding/internal/pcap/http"
)

// Dir is a store of bodies. Its directory goes with Close.
type Dir struct {
	path string
	most int64
	held atomic.Int64
}

// New makes a store under the directory parent (the system's for temporary files if empty) that holds at most most bytes.
func New(parent string, most int64) (*Dir, error) {
	path, err := os.MkdirTemp(parent, "bodies-")
	if err != nil {
		return nil, fmt.Errorf("bodies: %w", err)
	}
	return &Dir{path: path, most: most}, nil
}

// StoredBytes is how many bytes the store holds.
func (d *Dir) StoredBytes() int64 { return d.held.Load() }

// Close removes the store and what is left in it.
func (d *Dir) Close() error { return os.RemoveAll(d.path) }

// New implements http.Store.
func (d *Dir) New() (http.StoredBody, error) {
	f, err := os.CreateTemp(d.path, "body-")
	if err != nil {
		return nil, fmt.Errorf("bodies: %w", err)
	}
	name := f.Name()
	if err := f.Close(); err != nil { // opened again for each write: flows may be many, descriptors few
		return nil, fmt.Errorf("bodies: %w", err)
	}
	return &room{dir: d, name: name}, nil
}

// ErrFull says that a store holds as much as it may.
var ErrFull = errors.New("the store of bodies is full")

const batch = 256 << 10 // bytes that wait in memory for the next write to a file

// room is one body's file.
type room struct {
	dir  *Dir
	name string
	size int64
	wait []byte
}

// Write implements io.Writer.
func (r *room) Write(p []byte) (int, error) {
	if r.dir.held.Add(int64(len(p))) > r.dir.most {
		r.dir.held.Add(-int64(len(p)))
		return 0, fmt.Errorf("%w: %d bytes", ErrFull, r.dir.most)
	}
	r.size += int64(len(p))
	if r.wait = append(r.wait, p...); len(r.wait) < batch {
		return len(p), nil
	}
	return len(p), r.flush()
}

func (r *room) flush() (err error) {
	if len(r.wait) == 0 {
		return nil
	}
	f, err := os.OpenFile(r.name, os.O_WRONLY|os.O_APPEND, 0)
	if err != nil {
		return fmt.Errorf("bodies: %w", err)
	}
	defer func() { err = errors.Join(err, f.Close()) }()
	_, err = f.Write(r.wait)
	r.wait = nil
	return err
}

// Open implements http.Room.
func (r *room) Open() (io.ReadCloser, error) {
	if err := r.flush(); err != nil {
		return nil, err
	}
	return os.Open(r.name)
}

// Remove implements http.Room.
func (r *room) Remove() error {
	r.dir.held.Add(-r.size)
	r.size, r.wait = 0, nil
	return os.Remove(r.name)
}
