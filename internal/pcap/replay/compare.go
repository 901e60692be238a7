package replay

import (
	"bytes"
	"errors"
	"fmt"
	"io"

	"fernlanding/internal/pcap/http"
)

const maxResponseBody = 64 << 20 // bytes

// compareBodies reads a response's body to its end. It reports whether the body is the captured
// one, and its size in bytes. An error means that the body is incomplete, too large, or that the
// captured one cannot be opened.
func compareBodies(replayed io.Reader, captured http.Body) (equal bool, size int64, err error) {
	wanted, err := captured.Open()
	if err != nil {
		return false, 0, err
	}
	defer func() { _ = wanted.Close() }() // it is only read: nothing can be lost
	limited := io.LimitReader(replayed, maxResponseBody+1)
	got, want := make([]byte, copyBufferSize), make([]byte, copyBufferSize)
	equal = true
	for {
		n, err := limited.Read(got)
		size += int64(n)
		// A captured body that cannot be read to here counts as a different one.
		if m, _ := io.ReadFull(wanted, want[:n]); m != n || !bytes.Equal(got[:n], want[:n]) {
			equal = false
		}
		if size > maxResponseBody {
			return false, size, fmt.Errorf("over %d bytes", maxResponseBody)
		}
		if errors.Is(err, io.EOF) {
			if m, _ := wanted.Read(want[:1]); m > 0 { // the captured one is longer
				equal = false
			}
			return equal, size, nil
		}
		if err != nil {
			return false, size, err
		}
	}
}
