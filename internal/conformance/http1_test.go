package conformance

import (
	"bufio"
	"fernlanding/internal/standin"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// http1Backends are stand-ins over HTTP/1.1.
type http1Backends struct{}

func (http1Backends) Config() string { return "" }

func (http1Backends) Start(t testing.TB, script Script) string {
	b, err := standin.NewBackend(func(c *standin.Call) bool {
		f, body := script()
		return http1Fault(c, f, body)
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(b.Close)
	return b.Addr()
}

func http1Fault(c *standin.Call, f Fault, body string) (keep bool) {
	say := func(text string) { _, _ = io.WriteString(c.Conn, text) }
	whole := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	switch f {
	case Serve:
		say(whole)
		return true
	case Created:
		say(strings.Replace(whole, "200 OK", "201 Created", 1))
		return true
	case EarlyWords:
		say("HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n" + whole)
		return true
	case ServedAndMore:
		say(whole + "\xfai\x19\xce")
		return true
	case Full:
		say("HTTP/1.1 503 No\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n")
		return true
	case Error:
		say("HTTP/1.1 500 No\r\nContent-Length: 4\r\n\r\nsoon")
		return true
	case Busy:
		say("HTTP/1.1 503 No\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n")
		return true
	case Nonsense:
		say("HTTP/1.1 422 No\r\nContent-Length: 0\r\n\r\n")
		return true
	case HalfHead:
		say("HTTP/1.1 200 OK\r\nContent-")
	case HalfBody:
		say("HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\nans")
	case Noise:
		say("\xfai\x19\xce\xea\r\n\r\n")
	case TwoFramings:
		say("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n")
	case TooLong:
		say("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + strings.Repeat("x", 1<<17))
	case Stall:
		say("HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\nans")
		return standin.Hangs(c)
	case Hang:
		return standin.Hangs(c)
	}
	return false
}

// http1Client speaks HTTP/1.1 by hand: net/http would send some requests again by itself.
type http1Client struct{}

func (http1Client) Send(t testing.TB, addr string, class Class, id string, timeout time.Duration) (Outcome, string) {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(timeout + 20*time.Second))
	method, more := "POST", "Content-Length: 3\r\n"
	switch class {
	case Safe:
		method, more = "GET", ""
	case Keyed:
		more += "Idempotency-Key: k-" + id + "\r\n"
	}
	fmt.Fprintf(c, "%s /%s/x HTTP/1.1\r\nHost: h\r\nRequest-Id: %s\r\n%s\r\n", method, class, id, more)
	if method == "POST" {
		_, _ = io.WriteString(c, "abc")
	}
	start := time.Now()
	r := bufio.NewReader(c)
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return Failed, err.Error()
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return Failed, err.Error()
	}
	if took := time.Since(start); took > timeout+15*time.Second {
		t.Errorf("answered after %v", took)
	}
	switch {
	case resp.StatusCode < 300:
		return Served, string(body)
	case resp.StatusCode == 503 || resp.StatusCode == 429:
		return Refused, string(body)
	case resp.StatusCode < 500:
		return Rejected, string(body)
	}
	return Failed, string(body)
}

func TestHTTP1ToHTTP1(t *testing.T) { Run(t, http1Client{}, http1Backends{}) }
