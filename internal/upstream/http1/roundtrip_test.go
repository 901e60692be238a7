package http1

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"fernlanding/internal/standin/backendtest"
	"fernlanding/logic"
)

const servedInChunks = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"

// The response determines the status that the decision module sees, and with it whether the request
// may be retried.
func TestResponseOutcome(t *testing.T) {
	for _, c := range []struct {
		name, text string
		want       logic.Status
	}{
		{"served", served, logic.OK},
		{"served in chunks", servedInChunks, logic.OK},
		{"informational first", "HTTP/1.1 100 Continue\r\n\r\n" + served, logic.OK},
		{"error", "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n", logic.Error},
		{"500 is never overloaded", "HTTP/1.1 500 Oops\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n", logic.Error},
		{"not found", "HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n", logic.Error},
		{"overloaded", "HTTP/1.1 503 No\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n", logic.Overloaded},
		{"request already over", "HTTP/1.1 504 No\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n", logic.Overloaded},
		{"503 without Not-Started", "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", logic.Error},
		{"504 with Not-Started: 0", "HTTP/1.1 504 No\r\nNot-Started: 0\r\nContent-Length: 0\r\n\r\n", logic.Error},
		{"closed", "", logic.Reset},
		{"half a head", "HTTP/1.1 200 OK\r\nContent-", logic.Reset},
		{"half a body", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", logic.Reset},
		{"half a chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nok", logic.Reset},
		// Issue 55, review case 2: such responses, complete or not, were never served.
		{"no length", "HTTP/1.1 200 OK\r\n\r\nok", logic.OK},
		{"no length, close announced", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nok", logic.OK},
		{"no length, HTTP/1.0", "HTTP/1.0 200 OK\r\n\r\nok", logic.OK},
		{"no length, informational first", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n\r\nok", logic.OK},
		{"no length, error", "HTTP/1.1 500 Oops\r\n\r\n", logic.Error},
		{"no length, overloaded", "HTTP/1.1 503 No\r\nNot-Started: 1\r\n\r\nbusy", logic.Overloaded},
		{"no length, too long", "HTTP/1.1 200 OK\r\n\r\n" + strings.Repeat("x", bodyPartSize+1), logic.Error},
		{
			"too long",
			"HTTP/1.1 200 OK\r\nContent-Length: 1048577\r\n\r\n" + strings.Repeat("x", maxResponse+1),
			logic.Error,
		},
		{
			"large but short",
			"HTTP/1.1 200 OK\r\nContent-Length: 300000\r\n\r\n" + strings.Repeat("x", 200000),
			logic.Reset,
		},
		{"no HTTP", "SSH-2.0-x\r\n\r\n", logic.Reset},
		{"noise", "\xfai\x19\xce\xea\r\n\r\n", logic.Reset},
		{"no status", "HTTP/1.1 OK 200\r\nContent-Length: 2\r\n\r\nok", logic.Reset},
		{"no colon", "HTTP/1.1 200 OK\r\nno colon here\r\nContent-Length: 2\r\n\r\nok", logic.Reset},
		{"two lengths", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 2\r\n\r\nok", logic.Reset},
		{"negative length", "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\nok", logic.Reset},
		{
			"two framings",
			"HTTP/1.1 200 OK\r\ncontent-length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
			logic.Reset,
		},
		{"bad chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\nzz\r\n", logic.Reset},
		{"3 GB", "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + strings.Repeat("x", 1<<20), logic.Error},
		{"head without end", "HTTP/1.1 200 OK\r\n" + strings.Repeat("X-Pad: pppp\r\n", 1<<16), logic.Reset},
		{
			"endless informational responses",
			strings.Repeat("HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n", 1000),
			logic.Reset,
		},
		{
			"Not-Started with a broken body",
			"HTTP/1.1 503 No\r\nNot-Started: 1\r\nContent-Length: 9\r\n\r\nx",
			logic.Reset,
		},
		{
			"two informational responses",
			"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n" + served,
			logic.OK,
		},
		{"malformed Server-Load", "HTTP/1.1 200 OK\r\nServer-Load: =,=\r\nContent-Length: 2\r\n\r\nok", logic.OK},
		// Issue 55, review case 3: the first part of a body was served as the complete response.
		{"length too short", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok, and the rest", logic.Reset},
		{
			"length too short, body longer than the read buffer",
			"HTTP/1.1 200 OK\r\nContent-Length: 20000\r\n\r\n" + strings.Repeat("x", 30000),
			logic.Reset,
		},
		{"noise after the body", served + "\xfai\x19\xce", logic.Reset},
		{"bytes after the chunks", servedInChunks + "rest", logic.Reset},
		{"body where none is announced", "HTTP/1.1 204 No\r\n\r\nrest", logic.Reset},
		{
			"rejection with a length too short",
			"HTTP/1.1 503 No\r\nNot-Started: 1\r\nContent-Length: 1\r\n\r\nrest",
			logic.Reset,
		},
		{"second copy", served + served, logic.OK},
		{"half a second head", served + served[:9], logic.Reset},
		{"another head behind", served + "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n", logic.Reset},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := backendtest.Start(t, backendtest.RespondWith(c.text, false))
			u := newUpstream(4, b.Addr)
			res := newAttempt(u, "a", waitLimit).run()
			if res.Status != c.want || c.want == logic.OK && string(res.Response.Body) != "ok" {
				t.Errorf("got %+v, want %v", res, c.want)
			}
			if n := b.Requests.Load(); n != 1 {
				t.Errorf("backend received %d requests, want 1", n)
			}
		})
	}
}

// Responses of some hundred KiB were once treated as errors. Each was retried five times and
// counted against its backends.
func TestLargeResponsesAreServed(t *testing.T) {
	for _, size := range []int{uncountedBody + 1, 400_000, maxResponse} {
		head := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", size)
		b := backendtest.Start(t, backendtest.RespondWith(head+strings.Repeat("x", size), true))
		u := newUpstream(8, b.Addr)
		memory := make(slotMemory, 1)
		u.cfg.Memory = memory
		var all sync.WaitGroup
		for range 4 {
			all.Go(func() {
				res := newAttempt(u, "a", waitLimit).run()
				if res.Status != logic.OK || len(res.Response.Body) != size {
					t.Errorf("body of %d bytes: got %v with %d bytes", size, res.Status, len(res.Response.Body))
				}
				if len(memory) == 0 {
					t.Errorf("body of %d bytes is not counted before the response is closed", size)
				}
				res.Response.Close()
			})
		}
		all.Wait()
		if len(memory) != 0 {
			t.Errorf("%d large responses still counted in memory, want 0", len(memory))
		}
	}
}

// A backend may send part of a response and keep the connection open. Without responseStallTimeout,
// the rest is waited for until the request's deadline.
func TestStalledResponseIsReset(t *testing.T) {
	for name, text := range map[string]string{
		"length beyond the body": "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok",
		"half a head":            "HTTP/1.1 200 OK\r\nContent-",
		"informational alone":    "HTTP/1.1 100 Continue\r\n\r\n",
		"no length and no end":   "HTTP/1.1 200 OK\r\n\r\nok",
	} {
		t.Run(name, func(t *testing.T) {
			b := backendtest.Start(t, backendtest.RespondWith(text, true))
			u := newUpstream(4, b.Addr)
			if res := newAttempt(u, "a", time.Hour).run(); res.Status != logic.Reset {
				t.Errorf("got %v, want %v", res.Status, logic.Reset)
			}
			receive(t, "close", b.Closed)
			if u.openConns != 0 {
				t.Errorf("%d connections open, want 0", u.openConns)
			}
		})
	}
}

// A second response directly after the first, in the same write or a little later, belongs to no
// request.
func TestSurplusBytesAreNotTakenForNextResponse(t *testing.T) {
	for name, apart := range map[string]bool{"in one write": false, "apart": true} {
		t.Run(name, func(t *testing.T) {
			b := backendtest.Start(t, func(w io.Writer, _ *http.Request, n int) bool {
				text := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n%04d", n)
				if !apart {
					text += text
				}
				_, _ = io.WriteString(w, text)
				if apart {
					time.Sleep(2 * time.Millisecond)
					_, _ = io.WriteString(w, text)
				}
				return true
			})
			u := newUpstream(100, b.Addr)
			for n := range 60 {
				res := newAttempt(u, "a", waitLimit).run()
				if res.Status != logic.OK || string(res.Response.Body) != fmt.Sprintf("%04d", n+1) {
					t.Fatalf("request %d: got %+v", n+1, res)
				}
			}
		})
	}
}

func TestHungBackendTimesOutAndConnectionIsClosed(t *testing.T) {
	b := backendtest.Start(t, backendtest.Hang(t))
	u := newUpstream(4, b.Addr)
	if res := newAttempt(u, "a", 50*time.Millisecond).run(); res.Status != logic.TimedOut {
		t.Errorf("got %v, want %v", res.Status, logic.TimedOut)
	}
	if u.openConns != 0 || len(u.endpoints["a"].idle) != 0 {
		t.Error("connection still open or idle after the timeout")
	}
}

func TestCanceledAttemptClosesConnection(t *testing.T) {
	received := make(chan struct{}, 1)
	closed := make(chan error, 1)
	b := backendtest.Start(t, func(w io.Writer, _ *http.Request, _ int) bool {
		received <- struct{}{}
		conn, ok := w.(net.Conn)
		if !ok {
			closed <- nil
			return false
		}
		_, err := conn.Read(make([]byte, 1))
		closed <- err
		return false
	})
	u := newUpstream(4, b.Addr)
	a := newAttempt(u, "a", waitLimit)
	results := a.start()
	receive(t, "request", received)
	a.Cancel()
	if res := receive(t, "result", results); res.Status != logic.Canceled {
		t.Errorf("got %v, want %v", res.Status, logic.Canceled)
	}
	if err := receive(t, "end of the connection", closed); err == nil {
		t.Error("connection still open after the cancel")
	}
}

// The backend's close of an idle connection crosses the next request. The request is sent exactly
// once, and it may have run.
func TestCloseCrossingRequestIsReset(t *testing.T) {
	b := backendtest.Start(t, func(w io.Writer, _ *http.Request, n int) bool {
		if n == 1 {
			_, _ = io.WriteString(w, served)
		}
		return n == 1
	})
	u := newUpstream(4, b.Addr)
	if res := newAttempt(u, "a", waitLimit).run(); res.Status != logic.OK {
		t.Fatalf("got %v, want %v", res.Status, logic.OK)
	}
	expireReuseDelay(u)
	if res := newAttempt(u, "a", waitLimit).run(); res.Status != logic.Reset {
		t.Errorf("got %v, want %v", res.Status, logic.Reset)
	}
	if b.Requests.Load() != 2 || b.Conns.Load() != 1 {
		t.Errorf("got %d requests on %d connections, want 2 on 1", b.Requests.Load(), b.Conns.Load())
	}
}
