package latency

import (
	"fmt"
	"strings"
	"testing"
)

const okResponse = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 3\r\n\r\nyes"

func TestResponseLength(t *testing.T) {
	for _, x := range []struct {
		received, fault string
		want            int
		isRejected      bool
	}{
		{okResponse, "", len(okResponse), false},
		{okResponse[:len(okResponse)-3], "", len(okResponse), false},
		{okResponse[:30], "", 0, false},
		{"", "", 0, false},
		{"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n", "", 55, true},
		{"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n", "answered \"HTTP/1.1 500", 0, false},
		{"HTTP/1.1 200 OK\r\n\r\n", "without a Content-Length", 0, false},
		{"HTTP/1.1 200 OK\r\nContent-Length: -3\r\n\r\n", "without a Content-Length", 0, false},
		{fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", maxResponseBytes), "too long", 0, false},
	} {
		got, isRejected, err := responseLength([]byte(x.received))
		isWantedError := (err == nil) == (x.fault == "") && (err == nil || strings.Contains(err.Error(), x.fault))
		if got != x.want || isRejected != x.isRejected || !isWantedError {
			t.Errorf("%q: got length %d and error %v, want %d and %q", x.received, got, err, x.want, x.fault)
		}
	}
}

func FuzzAnswerLength(f *testing.F) {
	f.Add([]byte(okResponse))
	f.Fuzz(func(t *testing.T, received []byte) {
		if n, _, err := responseLength(received); n < 0 || n > maxResponseBytes || n > 0 && err != nil {
			t.Errorf("length %d, error %v; want 0 to %d without an error", n, err, maxResponseBytes)
		}
	})
}

func TestParseSchedstat(t *testing.T) {
	if u, err := parseSchedstat("1258270000 2929960 40745\n"); err != nil || u != (schedTime{1258270000, 2929960}) {
		t.Errorf("got %+v, %v; want both times", u, err)
	}
	for _, bad := range []string{"", "1 2", "1 2 many", "1.5 2 3"} {
		if u, err := parseSchedstat(bad); err == nil {
			t.Errorf("%q: got %+v, want an error", bad, u)
		}
	}
}

func TestWriteCallNumber(t *testing.T) {
	request := newRequest()
	for n, want := range map[int]string{7: "call-0000000007\r\n\r\n", 1234567890: "call-1234567890\r\n\r\n"} {
		if writeCallNumber(request, n); !strings.HasSuffix(string(request), "\r\nRequest-Id: "+want) {
			t.Errorf("call %d: request %q, want Request-Id %q", n, request, want)
		}
	}
}
