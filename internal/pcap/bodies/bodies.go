// Package bodies stores large bodies in files of a temporary directory, up to a maximum total size.
package bodies

import (
	"errors"
	"fmt"
	"os"
	"sync/atomic"

	"fernlanding/internal/pcap/http"
)

// Dir is an [http.Store] in a temporary directory, which Close removes. A Dir is safe for
// concurrent use.
type Dir struct {
	path        string
	maxBytes    int64 // maximum total size of the bodies
	storedBytes atomic.Int64
}

// ErrFull is returned by a write that would exceed the maximum total size of a Dir.
var ErrFull = errors.New("body store is full")

// New creates a Dir for at most maxBytes of bodies in a new directory within parent. An empty
// parent means the default directory for temporary files.
func New(parent string, maxBytes int64) (*Dir, error) {
	path, err := os.MkdirTemp(parent, "bodies-")
	if err != nil {
		return nil, fmt.Errorf("bodies: %w", err)
	}
	return &Dir{path: path, maxBytes: maxBytes}, nil
}

// StoredBytes returns the total size in bytes of the stored bodies.
func (d *Dir) StoredBytes() int64 { return d.storedBytes.Load() }

// Close removes the directory and all bodies in it.
func (d *Dir) Close() error { return os.RemoveAll(d.path) }

// New implements http.Store.
func (d *Dir) New() (http.StoredBody, error) {
	file, err := os.CreateTemp(d.path, "body-")
	if err != nil {
		return nil, fmt.Errorf("bodies: %w", err)
	}
	// The file is reopened for each write, since many open flows could exhaust the file descriptors.
	if err := file.Close(); err != nil {
		return nil, fmt.Errorf("bodies: %w", err)
	}
	return &storedBody{dir: d, name: file.Name()}, nil
}
