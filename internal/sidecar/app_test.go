package sidecar

import (
	"context"
	"fernlanding/internal/config"
	"fernlanding/internal/standin"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// The tests of a sidecar before several services, over loopback sockets.

// svc is one service of a test's configuration.
type svc struct {
	name    string
	classes string // as TOML: lines of "name = { ... }"
	from    string // lines that say where the list comes from
	more    string // further lines
}

const (
	safeClass   = `look = { repeat = "safe", objective = "2s", deadline = "4s" }`
	keyedClass  = `rate = { repeat = "keyed", objective = "2s", deadline = "4s", dedup_scope = "cell", dedup_window = "30s" }`
	unsafeClass = `post = { repeat = "unsafe", objective = "2s", deadline = "4s" }`
)

func at(addrs ...string) string {
	var b strings.Builder
	b.WriteString("endpoints = [")
	for _, a := range addrs {
		fmt.Fprintf(&b, "{ address = %q },", a)
	}
	return b.String() + "]"
}

func decode(t *testing.T, sockets int, routes string, services ...svc) *config.App {
	t.Helper()
	var b strings.Builder
	fmt.Fprintf(&b, "version = 1\nlisteners = [{ address = \"127.0.0.1:0\" }]\nprocess = { sockets = %d, memory_mb = 64 }\n%s\n", sockets, routes)
	for _, s := range services {
		fmt.Fprintf(&b, "[services.%s]\ntrusted = true\n%s\n%s\n[services.%s.classes]\n%s\n", s.name, s.from, s.more, s.name, s.classes)
	}
	app, err := config.Decode("test", []byte(b.String()))
	if err != nil {
		t.Fatal(err)
	}
	return app
}

// to is a route by prefix to the one class of a service.
func to(service string) string {
	return fmt.Sprintf("[[routes]]\nname = %q\nprefix = \"/%s\"\nservice = %q\n", service, service, service)
}

func backend(t testing.TB, h standin.Handler) *standin.Backend {
	t.Helper()
	b, err := standin.NewBackend(h)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(b.Close)
	return b
}

// held is a handler that answers once it is released.
func held(release <-chan struct{}) standin.Handler {
	return func(c *standin.Call) bool {
		select {
		case <-release:
			return standin.Echo(c)
		case <-c.Done:
			return false
		}
	}
}

// ask sends one request by hand and returns the answer and its body.
func ask(t *testing.T, p *running, method, target string, header ...string) (*http.Response, string) {
	t.Helper()
	c := connect(t, p)
	c.send(t, words(method, target, header...))
	if method == "HEAD" {
		resp, err := http.ReadResponse(c.r, &http.Request{Method: method})
		if err != nil {
			t.Fatal(err)
		}
		return resp, ""
	}
	return c.answer(t)
}

func words(method, target string, header ...string) string {
	text := method + " " + target + " HTTP/1.1\r\nHost: h\r\n"
	for _, h := range header {
		text += h + "\r\n"
	}
	if method == "POST" {
		text += "Content-Length: 0\r\n"
	}
	return text + "\r\n"
}

func reloads(t *testing.T, p *running, app *config.App) {
	t.Helper()
	if err := p.Reload(app); err != nil {
		t.Fatal(err)
	}
}

// Each request goes where the first route that matches says, and the bytes that came go on.
func TestRoutesLeadToServices(t *testing.T) {
	a, b := backend(t, standin.Echo), backend(t, standin.Echo)
	p := start(t, decode(t, 200, `
[[routes]]
name = "rewritten"
prefix = "/v1/a"
service = "a"
rewrite_prefix = "/x"
[[routes]]
name = "a"
hosts = ["h"]
prefix = "/a"
service = "a"
[[routes]]
name = "b"
template = "/b/{id}"
headers = { Tier = "gold" }
service = "b"
`, svc{"a", safeClass, at(a.Addr()), ""}, svc{"b", safeClass, at(b.Addr()), ""}))
	for _, c := range []struct {
		method, target, header string
		status                 int
		body                   string
	}{
		{"GET", "/a/k%2f1?x=%20y&/..", "", 200, "GET /a/k%2f1?x=%20y&/..\n"},
		{"GET", "/a//b/./c", "", 200, "GET /a//b/./c\n"},
		{"PUT", "/v1/a?q", "", 200, "PUT /x?q\n"},
		{"GET", "/v1/a/%7eme/", "", 200, "GET /x/%7eme/\n"},
		{"GET", "/b/7", "Tier: gold", 200, "GET /b/7\n"},
		{"HEAD", "/b/7", "Tier: gold", 200, ""},
		{"GET", "/b/7", "Tier: tin", 404, "no route\n"},
		{"GET", "/b/7/8", "Tier: gold", 404, "no route\n"},
		{"GET", "/a/../b/7", "Tier: gold", 400, "path: may be read in two ways, which lead to different routes\n"},
		{"GET", "/v1//a/x", "", 400, "path: may be read in two ways, which lead to different routes\n"},
		{"GET", "/a/..%2f..%2fb", "", 400, "path: leads above the root\n"},
		{"GET", "/a", "Request-Timeout-Ms: soon", 400, "Request-Timeout-Ms is no time\n"},
		{"GET", "/a", "Request-Id: 1\r\nRequest-Id: 2", 400, "Request-Id is given twice\n"},
		{"GET", "http://h/a", "", 400, "path: does not begin with a slash\n"},
	} {
		resp, body := ask(t, p, c.method, c.target, c.header)
		if resp.StatusCode != c.status || c.method != "HEAD" && body != c.body {
			t.Errorf("%s %s: got %s %q", c.method, c.target, resp.Status, body)
		}
	}
	if a.Requests() != 4 || b.Requests() != 2 {
		t.Errorf("%d and %d requests", a.Requests(), b.Requests())
	}
}

// Replies of all kinds go on with their header, but nothing that concerns the backend's connection; an error of a
// backend's is never worded as a refusal.
func TestRepliesGoOnWhole(t *testing.T) {
	reply := make(chan string, 1)
	b := backend(t, func(c *standin.Call) bool {
		_, err := io.WriteString(c.Conn, <-reply)
		return err == nil
	})
	p := start(t, decode(t, 200, to("s"), svc{"s", unsafeClass, at(b.Addr()), ""}))
	for _, c := range []struct {
		reply  string
		status int
		want   string // a field
		body   string
	}{
		{"HTTP/1.1 201 Created\r\nLocation: /x\r\nX: 1\r\nKeep-Alive: timeout=9\r\nContent-Length: 2\r\n\r\nok", 201, "/x", "ok"},
		{"HTTP/1.1 204 No Content\r\nLocation: /y\r\n\r\n", 204, "/y", ""},
		{"HTTP/1.1 303 See Other\r\nLocation: /z\r\nContent-Length: 0\r\n\r\n", 303, "/z", ""},
		{"HTTP/1.1 422 No\r\nLocation: /w\r\nContent-Length: 3\r\n\r\nwhy", 422, "/w", "why"},
		{"HTTP/1.1 500 No\r\nLocation: /v\r\nContent-Length: 3\r\n\r\nwhy", 500, "/v", "why"},
		{"HTTP/1.1 503 No\r\nLocation: /u\r\nContent-Length: 3\r\n\r\nwhy", 502, "/u", "why"},
		{"HTTP/1.1 429 No\r\nContent-Length: 0\r\n\r\n", 502, "", ""},
		{"HTTP/1.1 408 No\r\nContent-Length: 0\r\n\r\n", 502, "", ""},
	} {
		reply <- c.reply
		resp, body := ask(t, p, "POST", "/s")
		if resp.StatusCode != c.status || resp.Header.Get("Location") != c.want || body != c.body || resp.Header.Get("Keep-Alive") != "" {
			t.Errorf("%q: got %s %v %q", c.reply, resp.Status, resp.Header, body)
		}
	}
}

// A service whose discovery never answers holds up neither the others nor the health check; its requests are refused at
// once, with when to come back.
func TestADeadDiscoveryHoldsUpNobodyElse(t *testing.T) {
	t.Parallel()
	d, err := standin.NewDiscovery()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	d.Silent(true)
	b := backend(t, standin.Echo)
	p := start(t, decode(t, 200, to("dead")+to("live"),
		svc{"dead", safeClass, fmt.Sprintf("membership = \"catalog\"\ndiscovery = %q", d.Addr()), ""}, svc{"live", safeClass, at(b.Addr()), ""}))
	if resp, _ := ask(t, p, "GET", "/_health"); resp.StatusCode != 200 {
		t.Errorf("health: %s", resp.Status)
	}
	for range 20 {
		if resp, _ := ask(t, p, "GET", "/live"); resp.StatusCode != 200 {
			t.Errorf("live: %s", resp.Status)
		}
		if resp, _ := ask(t, p, "GET", "/dead"); resp.StatusCode != 503 || resp.Header.Get("Retry-After") == "" {
			t.Errorf("dead: %s %v", resp.Status, resp.Header)
		}
	}
	d.Put(standin.Member{Name: "x", Address: b.Addr()})
	d.Silent(false)
	waitUntil(t, func() bool { resp, _ := ask(t, p, "GET", "/dead"); return resp.StatusCode == 200 })
}

// A service is taken out while a charge is on its way to it: the charge gets its one answer, and nothing new goes there.
func TestAServiceThatIsTakenOutEndsWithItsLastAnswer(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	old, kept := backend(t, held(release)), backend(t, standin.Echo)
	keeps := svc{"kept", safeClass, at(kept.Addr()), ""}
	p := start(t, decode(t, 200, to("old")+to("kept"), svc{"old", unsafeClass, at(old.Addr()), ""}, keeps))
	c := connect(t, p)
	c.send(t, words("POST", "/old/charge"))
	waitUntil(t, func() bool { return old.Requests() == 1 })
	stays := p.services["kept"]
	reloads(t, p, decode(t, 200, to("kept"), keeps))
	if p.services["kept"] != stays {
		t.Error("a service that did not change has a new pool")
	}
	if resp, _ := ask(t, p, "POST", "/old/charge"); resp.StatusCode != 404 {
		t.Errorf("after the reload: %s", resp.Status)
	}
	if resp, _ := ask(t, p, "GET", "/kept"); resp.StatusCode != 200 {
		t.Errorf("the other service: %s", resp.Status)
	}
	close(release)
	if resp, body := c.answer(t); resp.StatusCode != 200 || body != "POST /old/charge\n" {
		t.Errorf("the charge: %s %q", resp.Status, body)
	}
	waitUntil(t, func() bool { p.mu.Lock(); defer p.mu.Unlock(); return len(p.leaving) == 0 })
	waitUntil(t, func() bool { _, open, _ := old.Conns(); return open == 0 })
	if old.Requests() != 1 {
		t.Errorf("%d requests came", old.Requests())
	}
}

// A configuration that can't hold changes nothing at all.
func TestAReloadThatFailsChangesNothing(t *testing.T) {
	b := backend(t, standin.Echo)
	s := svc{"s", safeClass, at(b.Addr()), ""}
	p := start(t, decode(t, 200, to("s"), s))
	before := p.world.Load()
	for _, app := range []*config.App{
		decode(t, 300, to("s"), s),
		func() *config.App {
			a := decode(t, 200, to("s"), s)
			a.Listeners = append(a.Listeners, config.Listener{Name: "b", Address: "127.0.0.1:0"})
			return a
		}(),
		func() *config.App {
			a := decode(t, 200, to("s"), s)
			a.Services[0].Balancer.MaxAttempts = 0
			return a
		}(),
		{Kind: config.Platform},
	} {
		if err := p.Reload(app); err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("got %v", err)
		}
	}
	if p.world.Load() != before {
		t.Error("something has changed")
	}
	if resp, _ := ask(t, p, "GET", "/s"); resp.StatusCode != 200 {
		t.Errorf("got %s", resp.Status)
	}
}

// splitTo is a route that deals rate out between two services.
func splitTo(a, b int) string {
	return fmt.Sprintf("[[routes]]\nname = \"rate\"\nprefix = \"/rate\"\nsplit = [{ service = \"a\", weight = %d }, { service = \"b\", weight = %d }]\n", a, b)
}

// The weights of a split change between a keyed request and the client's retry of it: the retry goes to the service that
// holds the record of its key, whatever the weights now say. Where that service is on the route no more, it is refused.
func TestAKeyedRetryStaysWithItsRecord(t *testing.T) {
	t.Parallel()
	a, b := backend(t, standin.Echo), backend(t, standin.Echo)
	sa, sb := svc{"a", keyedClass, at(a.Addr()), ""}, svc{"b", keyedClass, at(b.Addr()), ""}
	p := start(t, decode(t, 200, splitTo(90, 10), sa, sb))
	send := func(key int) int {
		resp, _ := ask(t, p, "POST", "/rate", fmt.Sprintf("Idempotency-Key: k%d", key))
		return resp.StatusCode
	}
	const keys = 60
	for k := range keys {
		if got := send(k); got != 200 {
			t.Fatalf("key %d: %d", k, got)
		}
	}
	first := []map[string]int{a.Keys(), b.Keys()}
	for _, w := range [][2]int{{10, 90}, {0, 1}, {50, 50}, {1, 0}} {
		reloads(t, p, decode(t, 200, splitTo(w[0], w[1]), sa, sb))
		for k := range keys {
			if got := send(k); got != 200 {
				t.Fatalf("key %d: %d", k, got)
			}
		}
	}
	for i, now := range []map[string]int{a.Keys(), b.Keys()} {
		if len(now) != len(first[i]) {
			t.Errorf("service %d has seen %d keys, %d before the weights changed", i, len(now), len(first[i]))
		}
	}
	if got := send(keys + 1); got != 200 || a.Keys()[fmt.Sprint("k", keys+1)] != 1 {
		t.Errorf("a new key: %d, and not by the new weights", got)
	}
	reloads(t, p, decode(t, 200, "[[routes]]\nname = \"rate\"\nprefix = \"/rate\"\nservice = \"b\"\n", sa, sb))
	for k := range keys {
		want := 503
		if first[1][fmt.Sprint("k", k)] > 0 {
			want = 200
		}
		if got := send(k); got != want {
			t.Errorf("key %d, whose service has left the route: %d, %d expected", k, got, want)
		}
	}
}

// Beyond its bound the memory of keys is lost in part. Then a key that an earlier split dealt elsewhere is refused, and
// one that all splits deal alike goes on.
func TestLostPinsAreOwnedUpTo(t *testing.T) {
	t.Parallel()
	a, b := backend(t, standin.Echo), backend(t, standin.Echo)
	sa, sb := svc{"a", keyedClass, at(a.Addr()), ""}, svc{"b", keyedClass, at(b.Addr()), ""}
	p := start(t, decode(t, 200, splitTo(50, 50), sa, sb))
	for i := range mostPins + 10 { // other requests, which are not sent
		w := p.world.Load()
		r := &http.Request{Method: "POST", RequestURI: "/rate", Host: "h", Header: http.Header{"Idempotency-Key": {fmt.Sprint("x", i)}}}
		if _, fault := w.resolve("main", r); fault != nil {
			t.Fatalf("before the weights change: %+v", fault)
		}
	}
	before := p.world.Load().paths["rate"].split
	reloads(t, p, decode(t, 200, splitTo(20, 80), sa, sb))
	after := p.world.Load().paths["rate"].split
	moved := 0
	for i := range 100 {
		key := fmt.Sprint("new", i)
		resp, _ := ask(t, p, "POST", "/rate", "Idempotency-Key: "+key)
		want := 200
		if before.ForKey(key) != after.ForKey(key) {
			want = 503
			moved++
		}
		if resp.StatusCode != want {
			t.Errorf("key %s: %s, %d expected", key, resp.Status, want)
		}
	}
	if moved == 0 {
		t.Error("no key moved: nothing was tested")
	}
}

// One service takes all descriptors that are lent; the other still gets its floor at once. Then it is the other way
// round.
func TestOneServiceTakesNothingFromTheOthers(t *testing.T) {
	release := []chan struct{}{make(chan struct{}), make(chan struct{})}
	bs := []*standin.Backend{backend(t, held(release[0])), backend(t, held(release[1]))}
	more := "connections = 10\nattempts = 1"
	p := start(t, decode(t, 152, to("a")+to("b"), svc{"a", unsafeClass, at(bs[0].Addr()), more}, svc{"b", unsafeClass, at(bs[1].Addr()), more}))
	flood := func(service string, n int) (ask []*client) {
		for i := range n {
			c := connect(t, p)
			c.send(t, words("POST", "/"+service, fmt.Sprintf("Request-Id: %s%d-%d", service, i, rand.Uint64())))
			ask = append(ask, c)
		}
		return ask
	}
	check := func(what string) {
		t.Helper()
		if all, _ := p.with.sockets.held(config.Clients); all > 120 {
			t.Errorf("%s: %d descriptors of 120", what, all)
		}
	}
	served := func(name string, asked []*client) {
		t.Helper()
		for i, c := range asked {
			if resp, _ := c.answer(t); resp.StatusCode != 200 {
				t.Errorf("%s, request %d: %s", name, i, resp.Status)
			}
			c.Close()
		}
	}
	// 120 descriptors: 40 are the clients' at any time, 10 each service's, 60 are lent. A request holds one on either
	// side. The first service has 40 of what is lent, the clients the rest.
	rich := flood("a", 50)
	waitUntil(t, func() bool { return bs[0].Requests() == 50 })
	check("a alone")
	poor := flood("b", 10)
	waitUntil(t, func() bool { return bs[1].Requests() == 10 })
	check("b on its floor")
	close(release[0])
	served("a", rich) // and its connections are kept
	close(release[1])
	served("b", poor)
	release[1] = make(chan struct{})
	// The other way round: what the first keeps idle is given back.
	bs[1].SetHandler(held(release[1]))
	rich = flood("b", 50)
	waitUntil(t, func() bool { return bs[1].Requests() == 60 })
	check("b alone")
	bs[0].SetHandler(standin.Echo)
	poor = flood("a", 10)
	waitUntil(t, func() bool { return bs[0].Requests() == 60 })
	check("a on its floor")
	served("a", poor)
	close(release[1])
	served("b", rich)
}

// Where no memory is left for bodies a request is refused before its body is read, and others go on.
func TestBodiesAreBounded(t *testing.T) {
	b := backend(t, standin.Echo)
	s := svc{"s", unsafeClass, at(b.Addr()), "max_body = 100_000"}
	p := start(t, decode(t, 200, to("s"), s))
	total := p.with.memory.ledger.Total()
	if !p.with.memory.take("s", total-1000) {
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
	p.with.memory.give("s", total-1000)
	waitUntil(t, func() bool { all, _ := p.with.memory.held("s"); return all == 0 })
}

// Answers count until they are written; one that finds no room waits for it.
func TestAnswersAreBounded(t *testing.T) {
	big := strings.Repeat("x", 500_000)
	b := backend(t, standin.Says(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(big), big), true))
	p := start(t, decode(t, 200, to("s"), svc{"s", safeClass, at(b.Addr()), ""}))
	total := p.with.memory.ledger.Total()
	p.with.memory.take("s", total-600_000)
	var all sync.WaitGroup
	for range 4 {
		c := connect(t, p)
		c.send(t, words("GET", "/s"))
		all.Go(func() {
			if resp, body := c.answer(t); resp.StatusCode != 200 || body != big {
				t.Errorf("got %s with %d bytes", resp.Status, len(body))
			}
			if held, _ := p.with.memory.held("s"); held > total {
				t.Errorf("%d of %d bytes held", held, total)
			}
		})
	}
	all.Wait()
	p.with.memory.give("s", total-600_000)
	waitUntil(t, func() bool { held, _ := p.with.memory.held("s"); return held == 0 })
}

// A copy goes to the mirror, once, under an id of its own; what becomes of it concerns nobody.
func TestMirrorsOfSafeClasses(t *testing.T) {
	a, b := backend(t, standin.Echo), backend(t, standin.Hangs)
	p := start(t, decode(t, 200, "[[routes]]\nname = \"m\"\nservice = \"a\"\nmirror = { service = \"b\" }\n",
		svc{"a", safeClass, at(a.Addr()), ""}, svc{"b", safeClass, at(b.Addr()), ""}))
	for i := range 10 {
		if resp, _ := ask(t, p, "GET", "/x", fmt.Sprintf("Request-Id: r%d", i)); resp.StatusCode != 200 {
			t.Errorf("got %s", resp.Status)
		}
	}
	waitUntil(t, func() bool { return b.Requests() >= 10 })
	if a.Requests() != 10 || b.Runs()["r3-mirror"] != 1 || b.Runs()["r3"] != 0 {
		t.Errorf("%d requests, and %v at the mirror", a.Requests(), b.Runs())
	}
}

// Three services under load are reloaded 50 times: routes, weights, services that come and go. No request is lost and
// no effect happens twice, counted at the backends.
func TestReloadsUnderLoadLoseNothing(t *testing.T) {
	const clients, reloadsAtLeast = 12, 50
	effects := standin.NewEffects(30 * time.Second)
	var workers []*standin.Worker
	for i := range 8 {
		w, err := standin.NewWorker(standin.WorkerConfig{Cores: 8, Waiting: 100, Work: 2 * time.Millisecond, Speed: 1, Pod: i / 2, Effects: effects})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(w.Close)
		workers = append(workers, w)
	}
	two := func(i int, classes string) svc {
		name := string(rune('a' + i))
		return svc{name, classes, at(workers[2*i].Addr(), workers[2*i+1].Addr()), ""}
	}
	a, b, c, d := two(0, keyedClass), two(1, keyedClass), two(2, safeClass), two(3, unsafeClass)
	rnd := rand.New(rand.NewPCG(5, 6))
	look, post := to("c"), to("d")
	next := func(i int) *config.App {
		routes := splitTo(rnd.IntN(100), 1+rnd.IntN(100))
		if i%3 == 0 { // another order and another route
			routes = fmt.Sprintf("[[routes]]\nname = \"n%d\"\nexact = \"/other/%d\"\nservice = \"c\"\n", i, i) + routes
		}
		c := c
		if i%2 == 0 { // its settings change: a new pool, while the old one drains
			c.more = fmt.Sprintf("attempts = %d", 2+i%4/2)
		}
		if i%5 == 4 { // a service goes
			return decode(t, 400, routes+look, a, b, c)
		}
		return decode(t, 400, routes+look+post, a, b, c, d)
	}
	p := start(t, next(0))
	var done atomic.Bool
	var sent, served, refused, failed, none atomic.Int64
	var all sync.WaitGroup
	for i := range clients {
		all.Go(func() {
			cl := connect(t, p)
			for n := 0; !done.Load(); n++ {
				id := fmt.Sprintf("%d-%d", i, n)
				method, target, more := "GET", "/c/x", "X: 1"
				switch n % 3 {
				case 1:
					method, target, more = "POST", "/rate", "Idempotency-Key: k"+id
				case 2:
					method, target = "POST", "/d/x"
				}
				tries := 1
				if n%3 == 1 && n%2 == 0 {
					tries = 3 // the client's retries, under one key
				}
				for try := range tries {
					sent.Add(1)
					cl.send(t, words(method, target, fmt.Sprintf("Request-Id: %s-%d", id, try), more))
					resp, err := http.ReadResponse(cl.r, &http.Request{Method: method})
					if err != nil {
						none.Add(1)
						t.Errorf("%s %s: %v", id, target, err)
						return
					}
					_, _ = io.Copy(io.Discard, resp.Body)
					switch {
					case resp.StatusCode == 200:
						served.Add(1)
					case resp.StatusCode == 503, resp.StatusCode == 404 && target == "/d/x": // its route is not there just now
						refused.Add(1)
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
	for i := range reloadsAtLeast {
		before := served.Load()
		waitUntil(t, func() bool { return served.Load() > before+20 }) // under load
		reloads(t, p, next(i+1))
	}
	done.Store(true)
	all.Wait()
	waitUntil(t, func() bool { p.mu.Lock(); defer p.mu.Unlock(); return len(p.leaving) == 0 })
	if n := served.Load() + refused.Load() + failed.Load() + none.Load(); n != sent.Load() || none.Load() > 0 || failed.Load() > 0 {
		t.Errorf("sent %d: served %d, refused %d, failed %d, no answer %d", sent.Load(), served.Load(), refused.Load(), failed.Load(), none.Load())
	}
	if twice := effects.Duplicates(); len(twice) > 0 {
		t.Errorf("%d effects twice: %.200v", len(twice), twice)
	}
	t.Logf("%d sent, %d served, %d refused, %d effects", sent.Load(), served.Load(), refused.Load(), effects.Count())
}

// Nothing is left of a sidecar that has ended: no goroutine, no descriptor counted, no memory counted.
func TestASidecarThatHasEndedLeavesNothing(t *testing.T) {
	b := backend(t, standin.Echo)
	before := runtime.NumGoroutine()
	for range 3 {
		app := decode(t, 200, to("s")+to("r"), svc{"s", safeClass, at(b.Addr()), ""}, svc{"r", keyedClass, at(b.Addr()), ""})
		s, err := New(app, slog.New(slog.DiscardHandler))
		if err != nil {
			t.Fatal(err)
		}
		ctx, stop := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- s.Run(ctx) }()
		p := &running{Sidecar: s, app: app}
		for i := range 20 {
			ask(t, p, "GET", "/s")
			ask(t, p, "POST", "/r", fmt.Sprintf("Idempotency-Key: %d", i))
		}
		reloads(t, p, decode(t, 200, to("s"), svc{"s", safeClass, at(b.Addr()), "attempts = 2"}))
		ask(t, p, "GET", "/s")
		stop()
		if err := wait(t, "end of Run", ended); err != nil {
			t.Error(err)
		}
		if all, _ := s.with.sockets.held("s"); all != 0 {
			t.Errorf("%d descriptors still counted", all)
		}
		if all, _ := s.with.memory.held("s"); all != 0 {
			t.Errorf("%d bytes still counted", all)
		}
		if err := s.Reload(app); err == nil {
			t.Error("a sidecar that has ended takes a configuration")
		}
	}
	waitUntil(t, func() bool { _, open, _ := b.Conns(); return open == 0 && runtime.NumGoroutine() <= before })
}
