package http1

import (
	"bufio"
	"bytes"
	"net/http"
	"reflect"
	"strings"
	"testing"
)

// A head that is accepted means the same as to the parser of net/http, and has one length.
func FuzzParseHead(f *testing.F) {
	for _, head := range []string{
		getRequest("1"), "POST /a?b HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\n", "\r\n" + getRequest("1"),
		"GET http://g/a HTTP/1.1\r\nHost: h\r\n\r\n", "GET / HTTP/1.0\r\n\r\n", "OPTIONS * HTTP/1.1\r\nHost: h\r\n\r\n",
		"CONNECT h:1 HTTP/1.1\r\nHost: h\r\n\r\n", "CONNECT #0 HTTP/1.0\n0:\n\n",
		"GET / HTTP/1.1\nHost: h\nA: b\n c\n\n",
		"GET / HTTP/1.1\r\nHost: h\r\nContent-Length: 1, 1\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: h\r\nConnection: a, Close\r\n\r\n",
	} {
		f.Add([]byte(head))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		var scanner headScanner
		scanner.scan(text)
		if !scanner.complete || scanner.checkSize(len(text)) != nil {
			return
		}
		head := text[:scanner.size]
		got, reqErr := parseHead(head)
		if reqErr != nil {
			return
		}
		want, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(bytes.TrimLeft(head, "\r\n"))))
		if err != nil {
			t.Fatalf("%q: accepted, want %v", head, err)
		}
		delete(got.Header, "Content-Length") // net/http keeps one of several equal fields
		delete(want.Header, "Content-Length")
		if got.Method != want.Method || got.RequestURI != want.RequestURI ||
			got.ContentLength != max(0, want.ContentLength) || got.ProtoMinor != want.ProtoMinor ||
			!reflect.DeepEqual(got.URL, want.URL) ||
			got.ProtoMinor > 0 && got.Host != want.Host || got.ProtoMinor > 0 && got.Close != want.Close {
			t.Errorf("%q:\ngot  %+v\nwant %+v", head, got, want)
		}
	})
}

// A head with too many fields is rejected before it is complete, and before it is parsed.
func TestHeadWithTooManyFieldsIsRejected(t *testing.T) {
	l := listen(t)
	serve(t, l, newGatedPool())
	for name, end := range map[string]string{"complete": "\r\n", "incomplete": ""} {
		conn, r := dial(t, l)
		send(t, conn, "GET /1 HTTP/1.1\r\nHost: h\r\n"+strings.Repeat("x:\r\n", maxRequestFields)+end)
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		if resp.StatusCode != http.StatusRequestHeaderFieldsTooLarge || !resp.Close {
			t.Errorf("%s: got %s, close %v, want 431 and a close", name, resp.Status, resp.Close)
		}
	}
}
