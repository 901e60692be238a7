package sidecar

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"fernlanding/internal/config"
	"fernlanding/internal/standin"
)

// A service is removed while it has an open request. The request is served, and no new requests are
// forwarded to the service.
func TestRemovedServiceDrains(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	old, kept := startBackend(t, holdUntil(release)), startBackend(t, standin.Echo)
	keptText := serviceTOML{name: "kept", classes: safeClass, source: endpointsAt(kept.Addr())}
	p := startVersion1(
		t, 200,
		routeTo("old")+routeTo("kept"),
		serviceTOML{name: "old", classes: unsafeClass, source: endpointsAt(old.Addr())},
		keptText,
	)
	c := connect(t, p)
	c.send(t, requestText("POST", "/old/charge"))
	waitUntil(t, func() bool { return old.Requests() == 1 })
	keptService := p.services["kept"]
	mustReload(t, p, decodeVersion1(t, 200, routeTo("kept"), keptText))
	if p.services["kept"] != keptService {
		t.Error("an unchanged service was replaced")
	}
	if resp, _ := sendRequest(t, p, "POST", "/old/charge"); resp.StatusCode != 404 {
		t.Errorf("removed service, new request: got %s, want 404", resp.Status)
	}
	if resp, _ := sendRequest(t, p, "GET", "/kept"); resp.StatusCode != 200 {
		t.Errorf("unchanged service: got %s, want 200", resp.Status)
	}
	close(release)
	if resp, body := c.readResponse(t); resp.StatusCode != 200 || body != "POST /old/charge\n" {
		t.Errorf("removed service, open request: got %s %q, want 200", resp.Status, body)
	}
	waitUntil(t, p.hasDrained)
	waitUntil(t, func() bool { _, open, _ := old.Conns(); return open == 0 })
	if old.Requests() != 1 {
		t.Errorf("removed service got %d requests, want 1", old.Requests())
	}
}

// A configuration that can't be applied changes nothing.
func TestFailedReloadChangesNothing(t *testing.T) {
	b := startBackend(t, standin.Echo)
	s := serviceTOML{name: "s", classes: safeClass, source: endpointsAt(b.Addr())}
	p := startVersion1(t, 200, routeTo("s"), s)
	before := p.active.Load()
	for _, app := range []*config.App{
		decodeVersion1(t, 300, routeTo("s"), s),
		func() *config.App {
			a := decodeVersion1(t, 200, routeTo("s"), s)
			a.Listeners = append(a.Listeners, config.Listener{Name: "b", Address: "127.0.0.1:0"})
			return a
		}(),
		func() *config.App {
			a := decodeVersion1(t, 200, routeTo("s"), s)
			a.Services[0].Balancer.MaxAttempts = 0
			return a
		}(),
		{Kind: config.Platform},
	} {
		if err := p.Reload(app); err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("got error %v, want one of one line", err)
		}
	}
	if p.active.Load() != before {
		t.Error("the active configuration has changed")
	}
	if resp, _ := sendRequest(t, p, "GET", "/s"); resp.StatusCode != 200 {
		t.Errorf("got %s, want 200", resp.Status)
	}
}

// The configuration is reloaded 50 times under load. The reloads change routes and weights, and add
// and remove services. No request is lost, and the backends count no effect twice.
func TestReloadsUnderLoadLoseNoRequests(t *testing.T) {
	const clients, reloads = 12, 50
	effects := standin.NewEffects(30 * time.Second)
	var workers []*standin.Worker
	for i := range 8 {
		w, err := standin.NewWorker(
			standin.WorkerConfig{
				Cores: 8, QueueSize: 100, ServiceTime: 2 * time.Millisecond, Speed: 1, Cell: i / 2,
				Effects: effects,
			},
		)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(w.Close)
		workers = append(workers, w)
	}
	withTwoWorkers := func(i int, classes string) serviceTOML {
		name := string(rune('a' + i))
		return serviceTOML{
			name: name, classes: classes,
			source: endpointsAt(workers[2*i].Addr(), workers[2*i+1].Addr()),
		}
	}
	a, b := withTwoWorkers(0, keyedClass), withTwoWorkers(1, keyedClass)
	c, d := withTwoWorkers(2, safeClass), withTwoWorkers(3, unsafeClass)
	random := rand.New(rand.NewPCG(5, 6))
	look, post := routeTo("c"), routeTo("d")
	next := func(i int) *config.App {
		routes := splitRoute(random.IntN(100), 1+random.IntN(100))
		if i%3 == 0 { // one more route, before the others
			routes = fmt.Sprintf("[[routes]]\nname = \"n%d\"\nexact = \"/other/%d\"\nservice = \"c\"\n", i, i) + routes
		}
		c := c
		if i%2 == 0 { // new settings need a new pool, while the old pool drains
			c.extra = fmt.Sprintf("attempts = %d", 2+i%4/2)
		}
		if i%5 == 4 { // service d is removed
			return decodeVersion1(t, 400, routes+look, a, b, c)
		}
		return decodeVersion1(t, 400, routes+look+post, a, b, c, d)
	}
	p := startSidecar(t, next(0))
	var done atomic.Bool
	var sent, served, rejected, failed, unanswered atomic.Int64
	var all sync.WaitGroup
	for i := range clients {
		all.Go(func() {
			cl := connect(t, p)
			for n := 0; !done.Load(); n++ {
				id := fmt.Sprintf("%d-%d", i, n)
				method, target, extra := "GET", "/c/x", "X: 1"
				switch n % 3 {
				case 1:
					method, target, extra = "POST", "/rate", "Idempotency-Key: k"+id
				case 2:
					method, target = "POST", "/d/x"
				}
				attempts := 1
				if n%3 == 1 && n%2 == 0 {
					attempts = 3 // the client retries with the same key
				}
				for attempt := range attempts {
					sent.Add(1)
					cl.send(t, requestText(method, target, fmt.Sprintf("Request-Id: %s-%d", id, attempt), extra))
					resp, err := http.ReadResponse(cl.r, &http.Request{Method: method})
					if err != nil {
						unanswered.Add(1)
						t.Errorf("%s %s: %v", id, target, err)
						return
					}
					_, _ = io.Copy(io.Discard, resp.Body)
					isWithoutRoute := resp.StatusCode == 404 && target == "/d/x" // while service d is removed
					switch {
					case resp.StatusCode == 200:
						served.Add(1)
					case resp.StatusCode == 503, isWithoutRoute:
						rejected.Add(1)
					default:
						failed.Add(1)
						t.Errorf("%s %s: %s", id, target, resp.Status)
					}
					if resp.Close {
						cl = connect(t, p)
					}
				}
			}
		})
	}
	for i := range reloads {
		before := served.Load()
		waitUntil(t, func() bool { return served.Load() > before+20 }) // load between reloads
		mustReload(t, p, next(i+1))
	}
	done.Store(true)
	all.Wait()
	waitUntil(t, p.hasDrained)
	total := served.Load() + rejected.Load() + failed.Load() + unanswered.Load()
	if total != sent.Load() || unanswered.Load() > 0 || failed.Load() > 0 {
		t.Errorf(
			"sent %d: served %d, rejected %d, failed %d, without response %d",
			sent.Load(), served.Load(), rejected.Load(),
			failed.Load(), unanswered.Load(),
		)
	}
	if duplicates := effects.Duplicates(); len(duplicates) > 0 {
		t.Errorf("%d effects happened twice: %.200v", len(duplicates), duplicates)
	}
	t.Logf("%d sent, %d served, %d rejected, %d effects", sent.Load(), served.Load(), rejected.Load(), effects.Count())
}
