package conformance

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"fernlanding/internal/standin"
)

// http1Backends starts stand-in backends that speak HTTP/1.1.
type http1Backends struct{}

// config implements upstreamProtocol.
func (http1Backends) config() string { return "" }

// start implements upstreamProtocol.
func (http1Backends) start(tb testing.TB, s script) string {
	tb.Helper()
	b, err := standin.NewBackend(func(c *standin.Call) bool {
		f, body := s()
		return respondHTTP1(c, f, body)
	})
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(b.Close)
	return b.Addr()
}

// respondHTTP1 responds to a call as a fault requires. It reports whether the connection stays
// open.
func respondHTTP1(c *standin.Call, f fault, body string) (keep bool) {
	_, _ = io.WriteString(c.Conn, http1Response(f, body)) // the proxy may have closed the connection
	switch f {
	case serve, created, informational, shortLength, trailingBytes, repeatedResponse,
		overloaded, serverError, unavailable, invalidRequest:
		return true
	case stall, hang:
		return standin.Hang(c)
	case noLengthReset:
		if tcp, ok := c.Conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		return false
	default:
		return false
	}
}

// http1Response returns the bytes that a backend with a fault writes.
func http1Response(f fault, body string) string {
	complete := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	switch f {
	case serve:
		return complete
	case created:
		return strings.Replace(complete, "200 OK", "201 Created", 1)
	case informational:
		return "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n" + complete
	case shortLength:
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body)-1, body)
	case trailingBytes:
		return complete + "\xfai\x19\xce"
	case noLength, noLengthReset:
		return "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + body
	case repeatedResponse:
		return complete + complete
	case overloaded:
		return "HTTP/1.1 503 No\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n"
	case serverError:
		return "HTTP/1.1 500 No\r\nContent-Length: 4\r\n\r\nsoon"
	case unavailable:
		return "HTTP/1.1 503 No\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n"
	case invalidRequest:
		return "HTTP/1.1 422 No\r\nContent-Length: 0\r\n\r\n"
	case truncatedHead:
		return "HTTP/1.1 200 OK\r\nContent-"
	case truncatedBody, stall:
		return "HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\nans"
	case garbage:
		return "\xfai\x19\xce\xea\r\n\r\n"
	case conflictingFraming:
		return "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"
	case tooLarge:
		return "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + strings.Repeat("x", 1<<17)
	case notListening, reset, hang:
	}
	return ""
}

// http1Client is an HTTP/1.1 client that never retries. net/http would retry some requests by
// itself.
type http1Client struct{}

// send implements frontProtocol.
func (http1Client) send(
	tb testing.TB, addr string, class class, id string, timeout time.Duration,
) (outcome, string) {
	tb.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		tb.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	if err := c.SetDeadline(time.Now().Add(timeout + 20*time.Second)); err != nil {
		tb.Fatal(err)
	}
	if _, err := io.WriteString(c, http1Request(class, id)); err != nil {
		tb.Fatal(err)
	}
	start := time.Now()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return failed, err.Error()
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return failed, err.Error()
	}
	if elapsed := time.Since(start); elapsed > timeout+15*time.Second {
		tb.Errorf("response after %v, want at most %v", elapsed, timeout+15*time.Second)
	}
	return http1Outcome(resp.StatusCode), string(body)
}

// http1Request returns a request of a class.
func http1Request(class class, id string) string {
	head := fmt.Sprintf("/%s/x HTTP/1.1\r\nHost: h\r\nRequest-Id: %s\r\n", class, id)
	switch class {
	case idempotent:
		return "GET " + head + "\r\n"
	case idempotentByKey:
		head += "Content-Length: 3\r\nIdempotency-Key: k-" + id + "\r\n"
	case nonIdempotent:
		head += "Content-Length: 3\r\n"
	}
	return "POST " + head + "\r\nabc"
}

// http1Outcome returns the outcome that a status means to a client.
func http1Outcome(status int) outcome {
	switch {
	case status < 300:
		return served
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		return shed
	case status < 500:
		return rejected
	}
	return failed
}

func TestHTTP1ToHTTP1(t *testing.T) { runTable(t, http1Client{}, http1Backends{}) }
