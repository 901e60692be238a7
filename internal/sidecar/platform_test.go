package sidecar

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"fernlanding/internal/core"
	"fernlanding/internal/membership"
	"fernlanding/internal/standin/backendtest"
)

// Requests of all classes are served on one connection to the backend.
func TestPlatformServesAllClasses(t *testing.T) {
	b := backendtest.Start(t, backendtest.RespondWith(servedResponse, true))
	p := startProxyTrusting(
		t, startDiscovery(t).address, 200,
		listJSON(1, true, endpointJSON("a", b.Addr, "SERVING")),
		true,
	)
	c := connect(t, p)
	for i, text := range []string{
		lookRequest("1", 4000),
		"POST /rate/k HTTP/1.1\r\nHost: h\r\nRequest-Id: 2\r\nRequest-Class: rate\r\nRequest-Timeout-Ms: 4000\r\n" +
			"Idempotency-Key: x\r\nContent-Length: 3\r\n\r\nabc",
		postHead("3", "Content-Length: 3") + "abc",
	} {
		c.send(t, text)
		if resp, body := c.readResponse(t); resp.StatusCode != 200 || body != "ok" {
			t.Errorf("request %d: got %s %q, want 200 with body ok", i, resp.Status, body)
		}
	}
	if b.Requests.Load() != 3 || b.Conns.Load() != 1 {
		t.Errorf("%d requests on %d connections, want 3 on 1", b.Requests.Load(), b.Conns.Load())
	}
}

// An invalid request gets an error response at once and its connection is closed. Neither the
// request nor any bytes in its body or after it are forwarded. The proxy does not wait for bodies
// that never arrive.
func TestInvalidRequestsAreNotForwarded(t *testing.T) {
	t.Parallel()
	p, b := startProxyWithBackend(t, backendtest.RespondWith(servedResponse, true))
	for name, c := range map[string]struct {
		text string
		want int
	}{
		"no class":               {"GET /look/k HTTP/1.1\r\nHost: h\r\nRequest-Id: 1\r\n\r\n", 400},
		"unknown class":          {strings.ReplaceAll(lookRequest("1", 9), "look", "leap"), 400},
		"unknown class, no body": {strings.ReplaceAll(postHead("1", "Content-Length: 9"), "post", "past"), 400},
		"pipelined":              {strings.Repeat(strings.ReplaceAll(lookRequest("1", 9), "look", "leap"), 300), 400},
		"other path":             {strings.Replace(lookRequest("1", 9), "/look", "/rate", 1), 400},
		"absolute-form target":   {strings.Replace(lookRequest("1", 9), "/look", "http://h/look", 1), 400},
		"no id":                  {strings.Replace(lookRequest("1", 9), "Request-Id", "Other", 1), 400},
		"long id":                {lookRequest(strings.Repeat("1", 9000), 9), 400},
		"two ids":                {strings.Replace(lookRequest("1", 9), "Tenant: acme", "Request-Id: 2", 1), 400},
		"wrong method":           {strings.Replace(lookRequest("1", 9), "GET", "PUT", 1), 405},
		"unexpected key":         {strings.Replace(lookRequest("1", 9), "Tenant", "Idempotency-Key", 1), 400},
		"missing key":            {strings.ReplaceAll(postHead("1", "Content-Length: 0"), "post", "rate"), 400},
		"body on a GET": {
			strings.Replace(lookRequest("1", 9), "Tenant: acme", "Content-Length: 2", 1) + "ab",
			400,
		},
		"invalid timeout":     {strings.Replace(lookRequest("1", 9), "-Ms: 9", "-Ms: soon", 1), 400},
		"empty timeout":       {strings.Replace(lookRequest("1", 9), "-Ms: 9", "-Ms:", 1), 400},
		"negative timeout":    {lookRequest("1", -5), 400},
		"no timeout":          {strings.Replace(lookRequest("1", 9), "Request-Timeout-Ms", "Other", 1), 400},
		"too large":           {postHead("3", "Content-Length: 65537"), 413},
		"60 MB":               {postHead("3", "Content-Length: 60000000") + strings.Repeat("x", 100000), 413},
		"negative length":     {postHead("3", "Content-Length: -4"), 400},
		"length not a number": {postHead("3", "Content-Length: ten"), 400},
		"two lengths":         {postHead("3", "Content-Length: 2\r\nContent-Length: 5") + "hello", 400},
		"chunked body":        {postHead("3", "Transfer-Encoding: chunked") + "3\r\nabc\r\n0\r\n\r\n", 411},
		"chunks never arrive": {postHead("3", "Transfer-Encoding: chunked"), 411},
		"smuggled request, Content-Length first": {
			postHead("3", "Content-Length: 4\r\nTransfer-Encoding: chunked") + "0\r\n\r\n" + lookRequest("4", 4000),
			411,
		},
		"smuggled request, Transfer-Encoding first": {
			postHead("3", "Transfer-Encoding: chunked\r\nContent-Length: 5") + "0\r\n\r\n" + lookRequest("4", 4000),
			411,
		},
		"unknown transfer coding": {postHead("3", "Content-Length: 4\r\nTransfer-Encoding: xchunked") + "abcd", 501},
		"both framings in HTTP/1.0": {
			strings.Replace(postHead("3", "Content-Length: 4\r\nTransfer-Encoding: chunked"), "1.1", "1.0", 1),
			505,
		},
		"not HTTP": {"what is this\r\n\r\n", 400},
		"oversized header section": {
			"GET /look/k HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 64<<10) + "\r\n\r\n",
			431,
		},
	} {
		t.Run(name, func(t *testing.T) {
			cl := connect(t, p)
			cl.send(t, c.text)
			if resp, _ := cl.readResponse(t); resp.StatusCode != c.want || !resp.Close {
				t.Errorf("got %s, close %v, want %d, close true", resp.Status, resp.Close, c.want)
			}
			if rest, _ := io.ReadAll(cl.r); len(rest) > 0 { // a reset ends the connection as well
				t.Errorf("got %q after the response, want nothing", rest)
			}
		})
	}
	if n := b.Requests.Load(); n != 0 {
		t.Errorf("%d requests were forwarded", n)
	}
}

// A connection without a request, or with an incomplete request, is closed after a timeout.
func TestUnfinishedRequestsTimeOut(t *testing.T) {
	t.Parallel()
	p, b := startProxyWithBackend(t, backendtest.RespondWith(servedResponse, true))
	var all sync.WaitGroup
	for name, text := range map[string]string{
		"silent": "", "half a head": "GET /look/k HTTP/1.1\r\nHos",
		"half a body": postHead("3", "Content-Length: 9") + "abc",
	} {
		c := connect(t, p)
		c.send(t, text)
		start := time.Now()
		all.Go(func() {
			got, err := io.ReadAll(c.r)
			if err != nil || len(got) > 0 && !strings.HasPrefix(string(got), "HTTP/1.1 4") {
				t.Errorf("%s: got %q, %v after %v, want the end or a status 4xx", name, got, err, time.Since(start))
			}
		})
	}
	all.Wait()
	waitUntil(t, func() bool { return p.stats().Open == 0 })
	if n := b.Requests.Load(); n != 0 {
		t.Errorf("%d requests were forwarded", n)
	}
}

// The read deadline of a request's body is cleared after the body has been read. Otherwise the
// deadline ends requests in flight.
func TestSlowResponseOutlivesBodyReadDeadline(t *testing.T) {
	t.Parallel()
	p, _ := startProxyWithBackend(t, func(w io.Writer, _ *http.Request, _ int) bool {
		time.Sleep(3*time.Second + 200*time.Millisecond)
		_, _ = io.WriteString(w, servedResponse)
		return true
	})
	c := connect(t, p)
	c.send(t, postHead("3", "Content-Length: 3")+"abc")
	if resp, body := c.readResponse(t); resp.StatusCode != 200 || body != "ok" {
		t.Errorf("got %s %q, want 200 with body ok", resp.Status, body)
	}
}

// A response with status 400 is not retried and does not make the backend an outlier.
func TestBackend400IsNeitherRetriedNorCountedAsFailure(t *testing.T) {
	t.Parallel()
	p, b := startProxyWithBackend(t, func(w io.Writer, r *http.Request, _ int) bool {
		if r.URL.RawQuery != "" {
			_, _ = io.WriteString(w, "HTTP/1.1 400 No\r\nContent-Length: 0\r\n\r\n")
		} else {
			_, _ = io.WriteString(w, servedResponse)
		}
		return true
	})
	for i := range 40 {
		c := connect(t, p)
		c.send(t, strings.Replace(lookRequest(fmt.Sprint(i), 4000), "/k", "/k?v=1", 1))
		if resp, _ := c.readResponse(t); resp.StatusCode != 400 {
			t.Fatalf("got %s, want 400", resp.Status)
		}
	}
	if n := b.Requests.Load(); n != 40 {
		t.Errorf("%d attempts for 40 requests, want 40", n)
	}
	c := connect(t, p)
	c.send(t, lookRequest("good", 4000))
	if resp, _ := c.readResponse(t); resp.StatusCode != 200 {
		t.Errorf("valid request: got %s, want 200", resp.Status)
	}
}

// A request that the module sheds gets a response with Retry-After at once.
func TestShedRequestGetsRetryAfter(t *testing.T) {
	p, b := startProxyWithBackend(
		t,
		backendtest.RespondWith("HTTP/1.1 503 No\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n", true),
	)
	c := connect(t, p)
	c.send(t, lookRequest("1", 8000))
	resp, _ := c.readResponse(t)
	if resp.StatusCode != 503 || resp.Header.Get("Retry-After") == "" {
		t.Errorf("got %s %v, want 503 with Retry-After", resp.Status, resp.Header)
	}
	if n := b.Requests.Load(); n < 1 || n > 3 {
		t.Errorf("%d attempts, want 1 to 3", n)
	}
}

// A non-idempotent request to a hung backend fails at its deadline, after one attempt.
func TestRequestToHungBackendFailsAtDeadline(t *testing.T) {
	t.Parallel()
	p, b := startProxyWithBackend(t, backendtest.Hang(t))
	c := connect(t, p)
	start := time.Now()
	c.send(t, "POST /post/k HTTP/1.1\r\nHost: h\r\nRequest-Id: 3\r\nRequest-Class: post\r\n"+
		"Request-Timeout-Ms: 1000\r\nContent-Length: 0\r\n\r\n")
	resp, _ := c.readResponse(t)
	if resp.StatusCode != http.StatusBadGateway && resp.StatusCode != http.StatusGatewayTimeout {
		t.Errorf("got %s after %v, want 502 or 504", resp.Status, time.Since(start))
	}
	if n := b.Requests.Load(); n != 1 {
		t.Errorf("%d attempts of a non-idempotent request, want 1", n)
	}
}

// Two open requests with the same ID can't be distinguished, so the second request is rejected.
// Otherwise it never gets a response.
func TestDuplicateRequestIDIsRejected(t *testing.T) {
	p, b := startProxyWithBackend(t, backendtest.Hang(t))
	first, second := connect(t, p), connect(t, p)
	first.send(t, lookRequest("1", 8000))
	waitUntil(t, func() bool { return b.Requests.Load() == 1 })
	second.send(t, lookRequest("1", 8000))
	if resp, _ := second.readResponse(t); resp.StatusCode != 400 {
		t.Errorf("got %s, want 400", resp.Status)
	}
}

// A proxy sees new IDs, keys, backends and zones all the time. Ended requests and removed endpoints
// must not leave any state, or memory use grows without bound.
func TestEndedRequestsAndRemovedEndpointsReleaseState(t *testing.T) {
	p, _ := startProxyWithBackend(t, backendtest.RespondWith(servedResponse, true))
	const clients, each = 8, 250
	var all sync.WaitGroup
	for i := range clients {
		c := connect(t, p)
		all.Go(func() {
			for n := range each {
				target := fmt.Sprintf("/look/k%d-%d", i, n)
				c.send(t, strings.Replace(lookRequest(fmt.Sprint(i, "-", n), 4000), "/look/k", target, 1))
				c.readResponse(t)
			}
		})
	}
	all.Wait()
	pool := p.platformService().pool
	for i := range 5000 {
		e := membership.Endpoint{Name: fmt.Sprint("s", i), Address: "127.0.0.1:1", Zone: fmt.Sprint("z", i)}
		pool.UpdateEndpoints(&membership.List{Version: int64(i), Endpoints: []membership.Endpoint{e}})
		e.Status = membership.Deleted
		pool.UpdateEndpoints(&membership.List{Version: int64(i), Endpoints: []membership.Endpoint{e}})
	}
	poolStats, upstreamStats := pool.Stats(), p.platformService().upstream.Stats()
	if poolStats != (core.Stats{Zones: 1}) || upstreamStats.Backends != 1 {
		t.Errorf("remaining state: %+v, %+v, want one zone and one backend only", poolStats, upstreamStats)
	}
}
