package http1

import (
	"bytes"
	"testing"
)

// The end of a head is found at the first empty line and not before, however the head is split.
func FuzzHeadScanner(f *testing.F) {
	for _, s := range []string{
		getRequest("1"), "GET / HTTP/1.1\nHost: h\n\n", "\r\n\r\n", "GET / HTTP/1.1\r\nA: b\r\n", "\n\r", "",
	} {
		f.Add([]byte(s), 1, 3)
	}
	f.Fuzz(func(t *testing.T, b []byte, i, j int) {
		if len(b) > 1<<12 || bytes.Contains(b, []byte("\r\r")) { // no valid line contains them
			return
		}
		i, j = min(max(i, 0), len(b)), min(max(j, 0), len(b))
		i, j = min(i, j), max(i, j)
		var inParts, atOnce headScanner
		for _, part := range [][]byte{b[:i], b[i:j], b[j:]} {
			inParts.scan(part)
		}
		atOnce.scan(b)
		want := bytes.Contains(b, []byte("\n\n")) || bytes.Contains(b, []byte("\n\r\n"))
		if atOnce.complete != want || inParts.complete != atOnce.complete || inParts.size != atOnce.size {
			t.Errorf("%q split at %d and %d: %+v, at once %+v, want %v", b, i, j, inParts, atOnce, want)
		}
	})
}
