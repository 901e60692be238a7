package http1

import (
	"bufio"
	"bytes"
	"net/http"
	"strings"
	"testing"
)

func TestParseHeadErrors(t *testing.T) {
	for _, text := range []string{
		"", "HTTP/1.1", "HTTP/1.1 200", "HTTP/1.1 20 OK\r\n", "HTTP/1.1  200 OK\r\n", "HTTP/2.0 200 OK\r\n",
		"http/1.1 200 OK\r\n", "HTTP/1.1 099 OK\r\n", "HTTP/1.1 2x0 OK\r\n", "HTTP/1.1 2000 OK\r\n",
		"HTTP/1.1 200 O\x01K\r\n", "HTTP/1.1 200 OK\n\r\n", "HTTP/1.1 200 OK\r\nno colon\r\n",
		"HTTP/1.1 200 OK\r\n: x\r\n", "HTTP/1.1 200 OK\r\nA : x\r\n", "HTTP/1.1 200 OK\r\n A: x\r\n",
		"HTTP/1.1 200 OK\r\nA: 1\r\n folded\r\n", "HTTP/1.1 200 OK\r\nA: a\x00b\r\n",
		"HTTP/1.1 200 OK\r\nA: a\rb\r\n", "HTTP/1.1 200 OK\r\nA: a\nB: b\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length:\r\n", "HTTP/1.1 200 OK\r\nContent-Length: +1\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 1, 2\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 9999999999999999999\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 0\r\n",
	} {
		if h, err := parseHead([]byte(text), true); err == nil {
			t.Errorf("%q: parsed as %+v, want an error", text, h)
		}
	}
}

func TestParseHead(t *testing.T) {
	h, err := parseHead([]byte("HTTP/1.1 200\r\ncontent-length: 5, 5\r\nCONTENT-LENGTH:5\r\nConnection: x, Close\r\n"+
		"not-started: 1\r\ncontent-type: \ttext/plain \r\nserver-load: a\r\nX-A:\r\nupgrade: h2c\r\n"), true)
	if err != nil || h.statusCode != 200 || h.contentLength != 5 || !h.close || !h.notStarted || h.chunked ||
		len(h.fields) != 4 || h.fields[1].Name != "Content-Type" || h.fields[1].Value != "text/plain" ||
		h.fields[3].Name != "X-A" {
		t.Errorf("got %+v, %v", h, err)
	}
	h, err = parseHead([]byte("HTTP/1.0 500 Server Error\r\nContent-Type: a\r\nContent-Type: b\r\nX: 1\r\n"+
		"Transfer-Encoding: CHUNKED\r\n"), false)
	if err != nil || h.statusCode != 500 || !h.chunked || !h.close || len(h.fields) != 1 || h.fields[0].Value != "a" {
		t.Errorf("got %+v, %v", h, err)
	}
}

// parseHead is stricter than net/http: net/http accepts each head that parseHead accepts, and both
// see the same status and framing.
func FuzzParseHead(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX: y\r\n"))
	f.Add([]byte("HTTP/1.0 503 No\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n"))
	f.Add([]byte("HTTP/1.1 404\r\nContent-Length: 2, 2\r\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		if bytes.Contains(b, []byte("\r\n\r\n")) || len(b) > maxResponseHead {
			return // not a head
		}
		h, err := parseHead(b, true)
		if err != nil {
			return
		}
		if strings.Contains(string(b), ",") || h.close && h.chunked {
			return // net/http rejects lists of equal lengths, and chunks in HTTP/1.0
		}
		reader := bufio.NewReader(bytes.NewReader(append(b, "\r\n"...)))
		resp, err := http.ReadResponse(reader, &http.Request{Method: http.MethodGet})
		if err != nil {
			t.Fatalf("%q: parsed as %+v, but net/http returned %v", b, h, err)
		}
		if !agrees(&h, resp) {
			t.Fatalf("%q: parsed as %+v, but by net/http as %+v", b, h, resp)
		}
		for _, f := range h.fields {
			if len(resp.Header[f.Name]) == 0 {
				t.Fatalf("%q: net/http has no field %q: %v", b, f.Name, resp.Header)
			}
		}
	})
}

// agrees reports whether net/http sees the same status, and the same framing where the status
// allows a body.
func agrees(h *head, resp *http.Response) bool {
	if resp.StatusCode != h.statusCode {
		return false
	}
	if h.statusCode < 200 || h.statusCode == http.StatusNoContent || h.statusCode == http.StatusNotModified {
		return true
	}
	return (h.contentLength < 0 || resp.ContentLength == h.contentLength) &&
		(!h.chunked || len(resp.TransferEncoding) > 0)
}
