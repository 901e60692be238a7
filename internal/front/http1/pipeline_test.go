package http1

import (
	"fmt"
	"strings"
	"testing"

	"fernlanding/internal/socket"
)

// A disconnect is detected also if the client has sent more after its request.
func TestDisconnectIsDetectedAfterPipelinedBytes(t *testing.T) {
	for _, c := range []struct {
		name, body, pipelined string
	}{
		{"nothing", "", ""},
		{"a byte", "", "x"},
		{"its next request", "", getRequest("next")},
		{"more than the buffer holds", "", strings.Repeat("noise ", 10_000)},
		{"a next request after a body", "body", getRequest("next")},
	} {
		t.Run(c.name, func(t *testing.T) {
			pool, l := newGatedPool(), listen(t)
			serve(t, l, pool)
			conn, _ := dial(t, l)
			head := fmt.Sprintf("POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", len(c.body))
			send(t, conn, head+c.body)
			receive(t, "request", pool.admitted)
			send(t, conn, c.pipelined) // arrives after the request has been read, in any number of segments
			if err := conn.Close(); err != nil {
				t.Fatal(err)
			}
			if id := receive(t, "cancel", pool.canceled); id != "1" {
				t.Errorf("request %s was canceled, want 1", id)
			}
		})
	}
}

// A client that keeps sending while its request is in flight does not wait for the response.
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

// What a client sends while its request is in flight is its next request. If some of it was
// discarded, the connection closes after the response.
func TestPipelinedBytesAreTheNextRequest(t *testing.T) {
	pool, l := newGatedPool(), listen(t)
	f := serve(t, l, pool)
	conn, r := dial(t, l)
	send(t, conn, getRequest("1"))
	receive(t, "request", pool.admitted)
	send(t, conn, getRequest("2")+getRequest("3"))
	hasKept := func(n int, cut bool) func() bool {
		return onlyConn(f, func(c *clientConn) bool { return len(c.received) == n && c.truncated == cut })
	}
	waitUntil(t, hasKept(len(getRequest("2")+getRequest("3")), false))
	if f.conns.closeIdle(0) != 1 {
		t.Error("connection with an open request was closed")
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
		t.Error("the response after which bytes were discarded does not close the connection")
	}
	if _, err := r.ReadByte(); err == nil {
		t.Error("bytes follow the last response")
	}
}

// A client receives its response before the handler returns, and may send its next request at once.
// None of that request counts as pipelined.
func TestNextRequestMayArriveDuringResponse(t *testing.T) {
	pool, l := newGatedPool(), listen(t)
	ended := make(chan struct{})
	pool.release = func() { <-ended }
	f := serve(t, l, pool)
	conn, r := dial(t, l)
	id := strings.Repeat("1", 8<<10) // response is sent in its first write
	send(t, conn, getRequest(id))
	receive(t, "request", pool.admitted)
	pool.gate <- struct{}{}
	readResponse(t, r, id)
	body := strings.Repeat("b", 60<<10)
	send(t, conn, fmt.Sprintf("POST /2 HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
	waitUntil(t, onlyConn(f, func(c *clientConn) bool { return c.truncated || !socket.IsIdle(c.Conn) }))
	close(pool.gate)
	close(ended)
	readResponse(t, r, "2")
}

// A client sends further requests while its response is being written, and closes its connection. The
// requests are read after that, and with them the pool learns that the client has left (issue 61,
// picture c).
func TestRequestReadAfterCloseIsNotForwarded(t *testing.T) {
	pool, l := newGatedPool(), listen(t)
	ended := make(chan struct{})
	pool.release = func() { <-ended }
	f := serve(t, l, pool)
	conn, r := dial(t, l)
	send(t, conn, getRequest("1"))
	receive(t, "request", pool.admitted)
	close(pool.gate)
	readResponse(t, r, "1")
	send(t, conn, strings.Repeat(getRequest("2"), 1000))
	if err := conn.Close(); err != nil {
		t.Fatal(err)
	}
	waitUntil(t, onlyConn(f, func(c *clientConn) bool { return socket.HasPeerEnded(c.Conn) }))
	close(ended)
	if id := receive(t, "cancel", pool.canceled); id != "2" {
		t.Errorf("request %s was canceled, want 2", id)
	}
	waitUntil(t, func() bool { return f.Stats().Open == 0 })
	if len(pool.admitted) > 0 || len(pool.canceled) > 0 {
		t.Errorf("%d more requests were forwarded and %d canceled, want none", len(pool.admitted), len(pool.canceled))
	}
}
