package latency

import (
	"fmt"
	"strings"
	"testing"
)

const goodAnswer = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 3\r\n\r\nyes"

func TestResponseLength(t *testing.T) {
	for _, x := range []struct {
		came, fault string
		want        int
		refused     bool
	}{
		{goodAnswer, "", len(goodAnswer), false},
		{goodAnswer[:len(goodAnswer)-3], "", len(goodAnswer), false},
		{goodAnswer[:30], "", 0, false},
		{"", "", 0, false},
		{"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n", "", 55, true},
		{"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n", "answered \"HTTP/1.1 500", 0, false},
		{"HTTP/1.1 200 OK\r\n\r\n", "without a Content-Length", 0, false},
		{"HTTP/1.1 200 OK\r\nContent-Length: -3\r\n\r\n", "without a Content-Length", 0, false},
		{fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", maxAnswer), "too long", 0, false},
	} {
		got, refused, err := responseLength([]byte(x.came))
		isWantedError := (err == nil) == (x.fault == "") && (err == nil || strings.Contains(err.Error(), x.fault))
		if got != x.want || refused != x.refused || !isWantedError {
			t.Errorf("%q: %d, %v; want %d, %q", x.came, got, err, x.want, x.fault)
		}
	}
}

func FuzzAnswerLength(f *testing.F) {
	f.Add([]byte(goodAnswer))
	f.Fuzz(func(t *testing.T, came []byte) {
		if n, _, err := responseLength(came); n < 0 || n > maxAnswer || n > 0 && err != nil {
			t.Errorf("%d, %v", n, err)
		}
	})
}

func TestParseSchedstat(t *testing.T) {
	if u, err := parseSchedstat("1258270000 2929960 40745\n"); err != nil || u != (schedTime{1258270000, 2929960}) {
		t.Errorf("%+v, %v", u, err)
	}
	for _, bad := range []string{"", "1 2", "1 2 many", "1.5 2 3"} {
		if u, err := parseSchedstat(bad); err == nil {
			t.Errorf("%q: %+v", bad, u)
		}
	}
}

func TestNumber(t *testing.T) {
	request := newRequest()
	for n, want := range map[int]string{7: "call-0000000007\r\n\r\n", 1234567890: "call-1234567890\r\n\r\n"} {
		if writeCallNumber(request, n); !strings.HasSuffix(string(request), "\r\nRequest-Id: "+want) {
			t.Errorf("call %d: %q", n, request)
		}
	}
}
