package latency

import (
	"fmt"
	"strings"
	"testing"
)

const goodAnswer = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 3\r\n\r\nyes"

func TestAnswerLength(t *testing.T) {
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
		got, refused, err := answerLength([]byte(x.came))
		if got != x.want || refused != x.refused || (err == nil) != (x.fault == "") || err != nil && !strings.Contains(err.Error(), x.fault) {
			t.Errorf("%q: %d, %v; want %d, %q", x.came, got, err, x.want, x.fault)
		}
	}
}

func FuzzAnswerLength(f *testing.F) {
	f.Add([]byte(goodAnswer))
	f.Fuzz(func(t *testing.T, came []byte) {
		if n, _, err := answerLength(came); n < 0 || n > maxAnswer || n > 0 && err != nil {
			t.Errorf("%d, %v", n, err)
		}
	})
}

func TestTicksOf(t *testing.T) {
	const stat = "42 (a (strange) name) S 1 42 42 0 -1 4194560 100 0 0 0 70 30 0 0 20 0 9 0 12345"
	if n, err := ticksOf(stat); n != 100 || err != nil {
		t.Errorf("%d, %v; want 100", n, err)
	}
	for _, bad := range []string{"", "42 (x) S 1", "42 (x) S 1 42 42 0 -1 4194560 100 0 0 0 seventy 30 0"} {
		if n, err := ticksOf(bad); err == nil {
			t.Errorf("%q: %d ticks", bad, n)
		}
	}
}
