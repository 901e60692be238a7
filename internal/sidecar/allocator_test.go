package sidecar

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"

	"fernlanding/internal/standin"
)

// inUse returns the sum that all consumers have acquired.
func (a *allocator) inUse() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.quotas.InUse()
}

// One service uses all descriptors beyond the floors, and the other service still gets its floor at
// once. Then the services change roles.
func TestDescriptorFloorsAreGuaranteed(t *testing.T) {
	release := []chan struct{}{make(chan struct{}), make(chan struct{})}
	backends := []*standin.Backend{startBackend(t, holdUntil(release[0])), startBackend(t, holdUntil(release[1]))}
	extra := "connections = 10\nattempts = 1"
	p := startVersion1(
		t, 152, routeTo("a")+routeTo("b"),
		serviceTOML{name: "a", classes: unsafeClass, source: endpointsAt(backends[0].Addr()), extra: extra},
		serviceTOML{name: "b", classes: unsafeClass, source: endpointsAt(backends[1].Addr()), extra: extra},
	)
	flood := func(service string, n int) []*client {
		var clients []*client
		for i := range n {
			c := connect(t, p)
			c.send(t, requestText("POST", "/"+service, fmt.Sprintf("Request-Id: %s%d-%d", service, i, rand.Uint64())))
			clients = append(clients, c)
		}
		return clients
	}
	check := func(stage string) {
		t.Helper()
		if inUse := p.shared.descriptors.inUse(); inUse > 120 {
			t.Errorf("%s: %d descriptors in use, want at most 120", stage, inUse)
		}
	}
	wantServed := func(name string, clients []*client) {
		t.Helper()
		for i, c := range clients {
			if resp, _ := c.readResponse(t); resp.StatusCode != 200 {
				t.Errorf("%s, request %d: got %s, want 200", name, i, resp.Status)
			}
			_ = c.Close()
		}
	}
	// Of 120 descriptors, the floor of the clients is 40, the floor of each service is 10, and 60
	// can be borrowed. A request holds one descriptor of the clients and one of its service. The
	// first service borrows 40, and the clients borrow the rest.
	atLimit := flood("a", 50)
	waitUntil(t, func() bool { return backends[0].Requests() == 50 })
	check("a alone")
	onFloor := flood("b", 10)
	waitUntil(t, func() bool { return backends[1].Requests() == 10 })
	check("b on its floor")
	close(release[0])
	wantServed("a", atLimit) // its connections to the backend stay idle
	close(release[1])
	wantServed("b", onFloor)
	release[1] = make(chan struct{})
	// The services change roles: the idle connections of service a are closed.
	backends[1].SetHandler(holdUntil(release[1]))
	atLimit = flood("b", 50)
	waitUntil(t, func() bool { return backends[1].Requests() == 60 })
	check("b alone")
	backends[0].SetHandler(standin.Echo)
	onFloor = flood("a", 10)
	waitUntil(t, func() bool { return backends[0].Requests() == 60 })
	check("a on its floor")
	wantServed("a", onFloor)
	close(release[1])
	wantServed("b", atLimit)
}

// A request without memory for its body is shed before the body is read, and other requests are
// served.
func TestRequestBodiesAreBoundedByMemory(t *testing.T) {
	b := startBackend(t, standin.Echo)
	s := serviceTOML{name: "s", classes: unsafeClass, source: endpointsAt(b.Addr()), extra: "max_body = 100_000"}
	p := startVersion1(t, 200, routeTo("s"), s)
	total := p.shared.memory.quotas.Total()
	if !p.shared.memory.acquire("s", total-1000) {
		t.Fatal("initial memory not acquired")
	}
	c := connect(t, p)
	c.send(t, "POST /s HTTP/1.1\r\nHost: h\r\nContent-Length: 2000\r\n\r\n")
	if resp, _ := c.readResponse(t); resp.StatusCode != 503 || resp.Header.Get("Retry-After") == "" || !resp.Close {
		t.Errorf("got %s %v, want 503 with Retry-After and a closed connection", resp.Status, resp.Header)
	}
	c = connect(t, p)
	c.send(t, "POST /s HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc")
	if resp, body := c.readResponse(t); resp.StatusCode != 200 || body != "POST /s\nabc" {
		t.Errorf("got %s %q", resp.Status, body)
	}
	p.shared.memory.release("s", total-1000)
	waitUntil(t, func() bool { return p.shared.memory.inUse() == 0 })
}

// A response body counts against the memory quota until it is written. A response waits until there
// is memory for its body.
func TestResponseBodiesWaitForMemory(t *testing.T) {
	big := strings.Repeat("x", 500_000)
	response := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(big), big)
	b := startBackend(t, standin.RespondWith(response, true))
	p := startVersion1(t, 200, routeTo("s"), serviceTOML{name: "s", classes: safeClass, source: endpointsAt(b.Addr())})
	total := p.shared.memory.quotas.Total()
	p.shared.memory.acquire("s", total-600_000)
	var all sync.WaitGroup
	for range 4 {
		c := connect(t, p)
		c.send(t, requestText("GET", "/s"))
		all.Go(func() {
			if resp, body := c.readResponse(t); resp.StatusCode != 200 || body != big {
				t.Errorf("got %s with %d bytes, want 200 with %d", resp.Status, len(body), len(big))
			}
			if inUse := p.shared.memory.inUse(); inUse > total {
				t.Errorf("%d bytes in use, want at most %d", inUse, total)
			}
		})
	}
	all.Wait()
	p.shared.memory.release("s", total-600_000)
	waitUntil(t, func() bool { return p.shared.memory.inUse() == 0 })
}
