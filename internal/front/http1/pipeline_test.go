package http1

import (
	"fmt"
	"strings"
	"testing"

	"fernlanding/internal/socket"
)

// net/http looks no further than one byte behind a request: a client that has sent more and left
// was not seen to leave.
func TestClientLeavingIsSeenBehindPipelinedBytes(t *testing.T) {
	for _, c := range []struct {
		name, body, pipelined string
	}{
		{"nothing", "", ""},
		{"a byte", "", "x"},
		{"its next request", "", getRequest("next")},
		{"more than is kept", "", strings.Repeat("noise ", 10_000)},
		{"a next request behind a body", "body", getRequest("next")},
	} {
		t.Run(c.name, func(t *testing.T) {
			pool, l := newGatedPool(), listen(t)
			serve(t, l, pool)
			conn, _ := dial(t, l)
			head := fmt.Sprintf("POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", len(c.body))
			send(t, conn, head+c.body)
			receive(t, "request", pool.admitted)
			send(t, conn, c.pipelined) // comes after the request has been read, whatever of it is in one segment
			if err := conn.Close(); err != nil {
				t.Fatal(err)
			}
			if id := receive(t, "cancel", pool.canceled); id != "1" {
				t.Errorf("%s was canceled", id)
			}
		})
	}
}

// A client that goes on sending while its request is in flight does not wait for the response.
func TestPipelineFloodCancelsRequest(t *testing.T) {
	pool, l := newGatedPool(), listen(t)
	serve(t, l, pool)
	conn, _ := dial(t, l)
	send(t, conn, getRequest("1"))
	receive(t, "request", pool.admitted)
	go func() {
		for {
			if _, err := conn.Write(make([]byte, 64<<10)); err != nil {
				return
			}
		}
	}()
	receive(t, "cancel", pool.canceled)
}

// What a client sends while its request is in flight is its next request; where not all of it was
// kept the connection ends with the response.
func TestPipelinedBytesAreTheNextRequest(t *testing.T) {
	pool, l := newGatedPool(), listen(t)
	f := serve(t, l, pool)
	conn, r := dial(t, l)
	send(t, conn, getRequest("1"))
	receive(t, "request", pool.admitted)
	send(t, conn, getRequest("2")+getRequest("3"))
	hasKept := func(n int, lost bool) func() bool {
		return onlyConn(f, func(c *clientConn) bool { return len(c.pipelined) == n && c.pipelineLost == lost })
	}
	waitUntil(t, hasKept(len(getRequest("2")+getRequest("3")), false))
	if f.conns.closeIdle(0) != 1 {
		t.Error("an open request's connection was closed")
	}
	for _, id := range []string{"1", "2", "3"} {
		pool.gate <- struct{}{}
		readResponse(t, r, id)
	}
	send(t, conn, getRequest("4"))
	waitUntil(t, func() bool { return len(pool.admitted) == 3 })
	send(t, conn, strings.Repeat(getRequest("5"), 1+maxPipelined/len(getRequest("5"))))
	waitUntil(t, hasKept(maxPipelined, true))
	close(pool.gate)
	if resp := readResponse(t, r, "4"); !resp.Close {
		t.Error("a response behind which something was discarded is not the last")
	}
	if _, err := r.ReadByte(); err == nil {
		t.Error("something follows the last response")
	}
}

// A client has its response before the handler has ended, and sends its next request at once: none
// of it is taken for what was pipelined.
func TestNextRequestMayComeDuringResponse(t *testing.T) {
	pool, l := newGatedPool(), listen(t)
	ended := make(chan struct{})
	pool.release = func() { <-ended }
	f := serve(t, l, pool)
	conn, r := dial(t, l)
	id := strings.Repeat("1", 8<<10) // is sent in its first write
	send(t, conn, getRequest(id))
	receive(t, "request", pool.admitted)
	pool.gate <- struct{}{}
	readResponse(t, r, id)
	body := strings.Repeat("b", 60<<10)
	send(t, conn, fmt.Sprintf("POST /2 HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
	waitUntil(t, onlyConn(f, func(c *clientConn) bool { return c.pipelineLost || !socket.IsIdle(c.Conn) }))
	close(pool.gate)
	close(ended)
	readResponse(t, r, "2")
}
