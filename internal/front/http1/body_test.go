package http1

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"fernlanding/internal/front"
)

const testBody = 64 << 10

// postPart sends a request with a body of testBody bytes, but for the last byte.
func postPart(t *testing.T, l net.Listener, id string) (last func(), status func() int) {
	t.Helper()
	conn, r := dial(t, l)
	send(t, conn, fmt.Sprintf("POST /%s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", id, testBody))
	send(t, conn, strings.Repeat("x", testBody-1))
	last = func() { send(t, conn, "x") }
	status = func() int {
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Errorf("request %s: %v, want a response", id, err)
			return 0
		}
		return resp.StatusCode
	}
	return last, status
}

// Half-sent bodies beyond the memory for unfinished requests are not kept, and do not prevent a
// complete request from being served. Once its last byte has come, each request gets an answer.
func TestHalfSentBodiesAreBounded(t *testing.T) {
	const unfinished = 4 * testBody
	pool, l := newGatedPool(), listen(t)
	close(pool.gate)
	f := serveWithMemory(t, l, pool, front.NewRequestMemory(2*unfinished, unfinished))
	const clients = 10
	var last [clients]func()
	var status [clients]func() int
	for i := range clients {
		last[i], status[i] = postPart(t, l, fmt.Sprint("part", i))
	}
	waitUntil(t, func() bool {
		open := f.Stats()
		return open.Open == clients && open.Silent == 0
	})
	conn, r := dial(t, l)
	send(t, conn, getRequest("whole"))
	readResponse(t, r, "whole")
	if _, part := f.cfg.Memory.InUse(); part > unfinished {
		t.Errorf("unfinished requests hold %d bytes, want at most %d", part, unfinished)
	}
	statuses := map[int]int{}
	for i := range clients {
		last[i]()
		statuses[status[i]()]++
	}
	if statuses[200] == 0 || statuses[503] == 0 || statuses[200]+statuses[503] != clients {
		t.Errorf("got %v, want some of 200 and some of 503", statuses)
	}
	waitUntil(t, func() bool {
		all, _ := f.cfg.Memory.InUse()
		return all == 0
	})
}

// A client that waits for 100 Continue before it sends its body gets it.
func TestContinueIsSentBeforeBody(t *testing.T) {
	pool, l := newGatedPool(), listen(t)
	close(pool.gate)
	serve(t, l, pool)
	conn, r := dial(t, l)
	send(t, conn, "POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nExpect: 100-continue\r\n\r\n")
	interim, err := http.ReadResponse(r, nil)
	if err != nil || interim.StatusCode != http.StatusContinue {
		t.Fatalf("got %v, %v, want 100", interim, err)
	}
	send(t, conn, "body")
	readResponse(t, r, "1")
}
