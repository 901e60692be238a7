package bodies

import (
	"errors"
	"fmt"
	"io"
	"os"
)

const writeBufferSize = 256 << 10 // bytes buffered in memory before a write to the file

// storedBody is a body that is stored in a file of a Dir.
type storedBody struct {
	dir      *Dir
	name     string // path of the file
	size     int64  // bytes, including the buffered ones
	buffered []byte // bytes that are not written to the file yet
}

// Write implements io.Writer. It returns ErrFull if the body would exceed the size of the store.
func (b *storedBody) Write(p []byte) (int, error) {
	size := int64(len(p))
	if b.dir.storedBytes.Add(size) > b.dir.maxBytes {
		b.dir.storedBytes.Add(-size)
		return 0, fmt.Errorf("%w: limit of %d bytes", ErrFull, b.dir.maxBytes)
	}
	b.size += size
	b.buffered = append(b.buffered, p...)
	if len(b.buffered) < writeBufferSize {
		return len(p), nil
	}
	return len(p), b.flush()
}

// flush writes the buffered bytes to the file.
func (b *storedBody) flush() (err error) {
	if len(b.buffered) == 0 {
		return nil
	}
	file, err := os.OpenFile(b.name, os.O_WRONLY|os.O_APPEND, 0)
	if err != nil {
		return fmt.Errorf("bodies: %w", err)
	}
	defer func() { err = errors.Join(err, file.Close()) }()
	_, err = file.Write(b.buffered)
	b.buffered = nil
	return err
}

// Open implements http.StoredBody.
func (b *storedBody) Open() (io.ReadCloser, error) {
	if err := b.flush(); err != nil {
		return nil, err
	}
	return os.Open(b.name)
}

// Remove implements http.StoredBody.
func (b *storedBody) Remove() error {
	b.dir.storedBytes.Add(-b.size)
	b.size, b.buffered = 0, nil
	return os.Remove(b.name)
}
