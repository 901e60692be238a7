package sidecar

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"

	"fernlanding/internal/standin"
)

// inUse returns what all parties have acquired.
func (a *allocator) inUse() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.quotas.InUse()
}

// One service uses all descriptors beyond the floors; the other still gets its floor at once. Then
// it is the other way round.
func TestDescriptorFloorsAreGuaranteed(t *testing.T) {
	release := []chan struct{}{make(chan struct{}), make(chan struct{})}
	backends := []*standin.Backend{backend(t, holdUntil(release[0])), backend(t, holdUntil(release[1]))}
	extra := "connections = 10\nattempts = 1"
	p := startVersion1(
		t, 152, routeTo("a")+routeTo("b"),
		serviceText{name: "a", classes: unsafeClass, source: endpointsAt(backends[0].Addr()), extra: extra},
		serviceText{name: "b", classes: unsafeClass, source: endpointsAt(backends[1].Addr()), extra: extra},
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
	check := func(what string) {
		t.Helper()
		if inUse := p.shared.descriptors.inUse(); inUse > 120 {
			t.Errorf("%s: %d descriptors of 120", what, inUse)
		}
	}
	wantServed := func(name string, clients []*client) {
		t.Helper()
		for i, c := range clients {
			if resp, _ := c.answer(t); resp.StatusCode != 200 {
				t.Errorf("%s, request %d: %s", name, i, resp.Status)
			}
			_ = c.Close()
		}
	}
	// 120 descriptors: the clients' floor is 40, each service's 10, and 60 are lent. A request
	// holds one on either side. The first service has 40 of what is lent, the clients the rest.
	atLimit := flood("a", 50)
	waitUntil(t, func() bool { return backends[0].Requests() == 50 })
	check("a alone")
	onFloor := flood("b", 10)
	waitUntil(t, func() bool { return backends[1].Requests() == 10 })
	check("b on its floor")
	close(release[0])
	wantServed("a", atLimit) // and its connections stay idle
	close(release[1])
	wantServed("b", onFloor)
	release[1] = make(chan struct{})
	// The other way round: what the first keeps idle is given back.
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

// Without memory for its body a request is rejected before the body is read, and others are served.
func TestRequestBodiesAreBoundedByMemory(t *testing.T) {
	b := backend(t, standin.Echo)
	s := serviceText{name: "s", classes: unsafeClass, source: endpointsAt(b.Addr()), extra: "max_body = 100_000"}
	p := startVersion1(t, 200, routeTo("s"), s)
	total := p.shared.memory.quotas.Total()
	if !p.shared.memory.acquire("s", total-1000) {
		t.Fatal("no memory at the start")
	}
	c := connect(t, p)
	c.send(t, "POST /s HTTP/1.1\r\nHost: h\r\nContent-Length: 2000\r\n\r\n")
	if resp, _ := c.answer(t); resp.StatusCode != 503 || resp.Header.Get("Retry-After") == "" || !resp.Close {
		t.Errorf("got %s %v", resp.Status, resp.Header)
	}
	c = connect(t, p)
	c.send(t, "POST /s HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc")
	if resp, body := c.answer(t); resp.StatusCode != 200 || body != "POST /s\nabc" {
		t.Errorf("got %s %q", resp.Status, body)
	}
	p.shared.memory.release("s", total-1000)
	waitUntil(t, func() bool { return p.shared.memory.inUse() == 0 })
}

// Response bodies are in the memory quota until they are written; one that finds no capacity waits
// for it.
func TestResponseBodiesWaitForMemory(t *testing.T) {
	big := strings.Repeat("x", 500_000)
	b := backend(t, standin.Says(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(big), big), true))
	p := startVersion1(t, 200, routeTo("s"), serviceText{name: "s", classes: safeClass, source: endpointsAt(b.Addr())})
	total := p.shared.memory.quotas.Total()
	p.shared.memory.acquire("s", total-600_000)
	var all sync.WaitGroup
	for range 4 {
		c := connect(t, p)
		c.send(t, requestText("GET", "/s"))
		all.Go(func() {
			if resp, body := c.answer(t); resp.StatusCode != 200 || body != big {
				t.Errorf("got %s with %d bytes", resp.Status, len(body))
			}
			if inUse := p.shared.memory.inUse(); inUse > total {
				t.Errorf("%d of %d bytes in use", inUse, total)
			}
		})
	}
	all.Wait()
	p.shared.memory.release("s", total-600_000)
	waitUntil(t, func() bool { return p.shared.memory.inUse() == 0 })
}
