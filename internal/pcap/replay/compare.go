package replay

import (
	"bytes"
	"errors"
	"fmt"
	"io"

	"fernlanding/internal/pcap/http"
)

const maxResponseBody = 64 << 20 // bytes

// compareBodies reads the body of a replayed response to its end. It returns whether the body
// equals the captured one, and the size of the replayed body in bytes. An error means that the
// replayed body is incomplete or too large, or that the captured body cannot be opened.
func compareBodies(replayed io.Reader, captured http.Body) (equal bool, size int64, err error) {
	wanted, err := captured.Open()
	if err != nil {
		return false, 0, err
	}
	defer func() { _ = wanted.Close() }() // read only: a failed close loses no data
	limited := io.LimitReader(replayed, maxResponseBody+1)
	got, want := make([]byte, copyBufferSize), make([]byte, copyBufferSize)
	equal = true
	for {
		n, err := limited.Read(got)
		size += int64(n)
		// If the captured body cannot be read up to this point, the bodies are different.
		if m, _ := io.ReadFull(wanted, want[:n]); m != n || !bytes.Equal(got[:n], want[:n]) {
			equal = false
		}
		if size > maxResponseBody {
			return false, size, fmt.Errorf("over %d bytes", maxResponseBody)
		}
		if errors.Is(err, io.EOF) {
			if m, _ := wanted.Read(want[:1]); m > 0 { // the captured body is longer
				equal = false
			}
			return equal, size, nil
		}
		if err != nil {
			return false, size, err
		}
	}
}
