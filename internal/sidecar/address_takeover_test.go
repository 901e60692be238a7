package sidecar

import (
	"fmt"
	"net/http"
	"testing"

	"fernlanding/internal/socket"
	"fernlanding/internal/standin"
)

// entryAt returns an entry of discovery's list.
func entryAt(name, addr string, cell, sinceMs int) string {
	return fmt.Sprintf(
		`{"name":%q,"address":%q,"zone":"a","type":"m","group":%d,"status":"SERVING","weight":1,"since_ms":%d}`,
		name, addr, cell, sinceMs,
	)
}

// rateRequest returns a request that is idempotent by key.
func rateRequest(id string) string {
	return "POST /rate/k HTTP/1.1\r\nHost: h\r\nRequest-Id: " + id + "\r\nRequest-Class: rate\r\n" +
		"Request-Timeout-Ms: 4000\r\nIdempotency-Key: key-" + id + "\r\nContent-Length: 0\r\n\r\n"
}

// resetConn resets the connection of a call.
func resetConn(c *standin.Call) bool {
	socket.SetResetOnClose(c.Conn, true)
	return false
}

// A new backend comes up at the address of one that is gone and is still listed. A keyed request that
// may have run there ran again in the cell of the older one (review case 6).
func TestKeyedRequestAtTakenOverAddressRunsOnce(t *testing.T) {
	taken, member := startBackend(t, resetConn), startBackend(t, standin.Echo)
	d := startDiscovery(t)
	p := startProxy(t, d.address, 200, "")
	d.replies <- listJSON(1, true, entryAt("older", taken.Addr(), 1, 0), entryAt("member", member.Addr(), 1, 0))
	waitUntil(t, p.platformService().isReady)
	d.replies <- listJSON(2, false, entryAt("newer", taken.Addr(), 2, 1))
	waitUntil(t, func() bool { return len(d.queries) == 3 }) // the watch after the delta
	const requests = 40
	client := connect(t, p)
	for i := range requests {
		client.send(t, rateRequest(fmt.Sprint(i)))
		client.readResponse(t)
	}
	atTaken, atMember := taken.RequestIDCounts(), member.RequestIDCounts()
	for id := range atTaken {
		if atMember[id] > 0 {
			t.Errorf("request %s ran at the address that is taken over and in the cell of the older backend", id)
		}
	}
	if len(atTaken) == 0 || len(atMember) == 0 {
		t.Errorf("%d and %d requests at the two backends, want some at each", len(atTaken), len(atMember))
	}
}

// A request is under way to a backend while the list tells that another one has its address. The
// request may have run at either: it is not sent to the cell of the older one again.
func TestRequestUnderWayDuringTakeoverRunsOnce(t *testing.T) {
	received, reset := make(chan struct{}, 10), make(chan struct{})
	taken := startBackend(t, func(c *standin.Call) bool {
		received <- struct{}{}
		select {
		case <-reset:
		case <-c.Done:
		}
		return resetConn(c)
	})
	d := startDiscovery(t)
	p := startProxy(t, d.address, 200, "")
	d.replies <- listJSON(1, true, entryAt("older", taken.Addr(), 1, 0))
	waitUntil(t, p.platformService().isReady)
	client := connect(t, p)
	client.send(t, rateRequest("1"))
	receive(t, "request", received)
	member := startBackend(t, standin.Echo)
	d.replies <- listJSON(2, false, entryAt("newer", taken.Addr(), 2, 1), entryAt("member", member.Addr(), 1, 0))
	waitUntil(t, func() bool { return p.platformService().upstream.Stats().Backends > 1 })
	close(reset)
	if resp, _ := client.readResponse(t); resp.StatusCode != http.StatusBadGateway {
		t.Errorf("got %s, want 502", resp.Status)
	}
	if n := member.Requests(); n != 0 {
		t.Errorf("the cell of the older backend got the request %d times, want none", n)
	}
}
