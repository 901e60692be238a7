// Package bodies stores large bodies in files of a temporary directory, up to a total size.
package bodies

import (
	"errors"
	"fmt"
	"os"
	"sync/atomic"

	"fernlanding/internal/pcap/http"
)

// Dir is an [http.Store] in a directory of its own, which Close removes. It is safe for concurrent
// use.
type Dir struct {
	path        string
	maxBytes    int64
	storedBytes atomic.Int64
}

// ErrFull is the error of a write to a Dir that has no room left.
var ErrFull = errors.New("the store of bodies is full")

// New creates a store of a total size under a parent directory; an empty parent stands for the
// system's directory of temporary files.
func New(parent string, maxBytes int64) (*Dir, error) {
	path, err := os.MkdirTemp(parent, "bodies-")
	if err != nil {
		return nil, fmt.Errorf("bodies: %w", err)
	}
	return &Dir{path: path, maxBytes: maxBytes}, nil
}

// StoredBytes returns the total size of the bodies in the store.
func (d *Dir) StoredBytes() int64 { return d.storedBytes.Load() }

// Close removes the store and the bodies that are left in it.
func (d *Dir) Close() error { return os.RemoveAll(d.path) }

// New implements http.Store.
func (d *Dir) New() (http.StoredBody, error) {
	file, err := os.CreateTemp(d.path, "body-")
	if err != nil {
		return nil, fmt.Errorf("bodies: %w", err)
	}
	// The file is opened again for each write: flows may be many, and descriptors are few.
	if err := file.Close(); err != nil {
		return nil, fmt.Errorf("bodies: %w", err)
	}
	return &storedBody{dir: d, name: file.Name()}, nil
}
