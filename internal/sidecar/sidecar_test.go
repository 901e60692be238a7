package sidecar

import (
	"bufio"
	"context"
	"fernlanding/internal/config"
	"fernlanding/internal/core"
	"fernlanding/internal/front/http1"
	"fernlanding/internal/membership"
	"fernlanding/internal/standin/backendtest"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"
)

const siteText = `{"contract":{"cold_us":1000000,"start_capacity":0.3},"failure_domains":["a"],"limits":{` +
	`"dial_timeout_us":5000000,"idle_close_us":30000000,"max_retry_after_us":2000000,"retry_after":true,"try_limit":3},` +
	`"membership_mode":"automatic","my_zone":0,"ordinal":0,"profiles":[` +
	`{"give_up_us":8000000,"name":"look","objective_us":4000000,"repeat":"idempotent","worth":1},` +
	`{"dedup_scope":"cell","dedup_window_us":9000000,"give_up_us":8000000,"name":"rate","objective_us":1000000,"late_share":0.5,"repeat":"deduplicated","worth":1},` +
	`{"give_up_us":8000000,"name":"post","objective_us":4000000,"repeat":"at_most_once","worth":1}],` +
	`"siblings":1,"stage":0,"tenants":[{"name":"acme","portion":1,"quota_per_s":1000}],"weights":"off"}`

const patience = 20 * time.Second // for what must happen

// wait takes what must come from a channel.
func wait[T any](t testing.TB, what string, c <-chan T) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(patience):
		t.Fatalf("no %s", what)
		panic("unreachable")
	}
}

const served = backendtest.Served

func waitUntil(t testing.TB, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("it never came to be")
		}
	}
}

// fakeDiscovery answers the calls in the order of its answers and then holds every watch.
type fakeDiscovery struct {
	addr  string
	say   chan string   // the next answers; "" breaks the connection
	calls chan string   // the queries that came
	over  chan struct{} // ends the held calls
}

func startDiscovery(t testing.TB) *fakeDiscovery {
	t.Helper()
	d := &fakeDiscovery{say: make(chan string, 10), calls: make(chan string, 1000), over: make(chan struct{})}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d.calls <- r.URL.RawQuery
		select {
		case text := <-d.say:
			if text == "" {
				panic(http.ErrAbortHandler)
			}
			_, _ = io.WriteString(w, text)
		case <-d.over:
		case <-r.Context().Done():
		}
	}))
	d.addr = strings.TrimPrefix(s.URL, "http://")
	t.Cleanup(func() { close(d.over); s.Close() })
	return d
}

func listText(index int, full bool, entries ...string) string {
	return fmt.Sprintf(`{"index":%d,"snapshot":%v,"endpoints":[%s]}`, index, full, strings.Join(entries, ","))
}

func listed(name, addr, status string) string {
	return fmt.Sprintf(`{"name":%q,"address":%q,"zone":"a","type":"m","group":1,"status":%q,"weight":1,"since_ms":0}`,
		name, addr, status)
}

// running is a proxy at work; stop is SIGTERM to it, done gives what Run returned.
type running struct {
	*Sidecar
	app  *config.App
	stop context.CancelFunc
	done chan error
}

func (r *running) tier() *service     { return r.services[config.PlatformService] }
func (r *running) stats() http1.Stats { return r.fronts[0].Stats() }

// renew names another discovery.
func (r *running) renew(discovery string) {
	app, s := *r.app, *r.app.Services[0]
	s.Source.Address = discovery
	app.Services = []*config.Service{&s}
	_ = r.Reload(&app)
}

func startProxy(t testing.TB, discovery string, sockets int, known string) *running {
	t.Helper()
	return startWith(t, discovery, sockets, known, false)
}

func startWith(t testing.TB, discovery string, sockets int, known string, trusted bool) *running {
	t.Helper()
	text := fmt.Sprintf(`{"listen":"127.0.0.1:0","discovery":%q,"seed":"7","limits":{"sockets":%d},"settings":%s}`, discovery, sockets, siteText)
	app, err := config.DecodePlatform("test", []byte(text), "", "")
	if err != nil {
		t.Fatal(err)
	}
	app.Services[0].Trusted = trusted
	if known != "" {
		if app.Services[0].KnownList, err = membership.Parse([]byte(known)); err != nil {
			t.Fatal(err)
		}
	}
	return start(t, app)
}

func start(t testing.TB, app *config.App) *running {
	t.Helper()
	p, err := New(app, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	r := &running{Sidecar: p, app: app, stop: stop, done: make(chan error, 1)}
	ended := make(chan struct{})
	go func() { defer close(ended); r.done <- p.Run(ctx) }()
	t.Cleanup(func() { stop(); wait(t, "end of the proxy", ended) })
	return r
}

// serving starts a proxy that knows one backend.
func serving(t testing.TB, reply func(io.Writer, *http.Request, int) bool) (*running, *backendtest.Backend) {
	t.Helper()
	b := backendtest.Start(t, reply)
	return startProxy(t, startDiscovery(t).addr, 200, listText(1, true, listed("a", b.Addr, "SERVING"))), b
}

// client is one connection of a client.
type client struct {
	net.Conn
	r *bufio.Reader
}

func connect(t testing.TB, p *running) *client {
	t.Helper()
	c, err := net.Dial("tcp", p.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	_ = c.SetDeadline(time.Now().Add(patience))
	return &client{c, bufio.NewReader(c)}
}

func (c *client) send(t testing.TB, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
}

func (c *client) answer(t testing.TB) (*http.Response, string) {
	t.Helper()
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp, string(body)
}

func look(id string, ms int) string {
	return fmt.Sprintf("GET /look/k HTTP/1.1\r\nHost: h\r\nRequest-Id: %s\r\nRequest-Class: look\r\nTenant: acme\r\n"+
		"Request-Timeout-Ms: %d\r\n\r\n", id, ms)
}

func TestRequestsOfAllClassesAreServed(t *testing.T) {
	b := backendtest.Start(t, backendtest.Says(served, true))
	p := startWith(t, startDiscovery(t).addr, 200, listText(1, true, listed("a", b.Addr, "SERVING")), true)
	c := connect(t, p)
	for i, text := range []string{
		look("1", 4000),
		"POST /rate/k HTTP/1.1\r\nHost: h\r\nRequest-Id: 2\r\nRequest-Class: rate\r\nRequest-Timeout-Ms: 4000\r\nIdempotency-Key: x\r\nContent-Length: 3\r\n\r\nabc",
		"POST /post/k HTTP/1.1\r\nHost: h\r\nRequest-Id: 3\r\nRequest-Class: post\r\nRequest-Timeout-Ms: 4000\r\nContent-Length: 3\r\n\r\nabc",
	} {
		c.send(t, text)
		if resp, body := c.answer(t); resp.StatusCode != 200 || body != "ok" {
			t.Errorf("request %d: got %s %q", i, resp.Status, body)
		}
	}
	if b.Requests.Load() != 3 || b.Conns.Load() != 1 {
		t.Errorf("%d requests on %d connections", b.Requests.Load(), b.Conns.Load())
	}
}

// post is the head of an unsafe request, up to its Content-Length.
func post(id, length string) string {
	return "POST /post/k HTTP/1.1\r\nHost: h\r\nRequest-Id: " + id + "\r\nRequest-Class: post\r\n" +
		"Request-Timeout-Ms: 4000\r\n" + length + "\r\n\r\n"
}

// What makes no sense is answered at once and the connection ends; nothing is passed on, neither the request
// nor what stands in its body or behind it. Bodies that never come were waited for without end.
func TestBadRequestsGoNoFurther(t *testing.T) {
	t.Parallel()
	p, b := serving(t, backendtest.Says(served, true))
	for name, c := range map[string]struct {
		text string
		want int
	}{
		"no class":           {"GET /look/k HTTP/1.1\r\nHost: h\r\nRequest-Id: 1\r\n\r\n", 400},
		"unknown class":      {strings.ReplaceAll(look("1", 9), "look", "leap"), 400},
		"class, no body":     {strings.ReplaceAll(post("1", "Content-Length: 9"), "post", "past"), 400},
		"hundreds at once":   {strings.Repeat(strings.ReplaceAll(look("1", 9), "look", "leap"), 300), 400},
		"other path":         {strings.Replace(look("1", 9), "/look", "/rate", 1), 400},
		"full address":       {strings.Replace(look("1", 9), "/look", "http://h/look", 1), 400},
		"no id":              {strings.Replace(look("1", 9), "Request-Id", "Other", 1), 400},
		"long id":            {look(strings.Repeat("1", 9000), 9), 400},
		"two ids":            {strings.Replace(look("1", 9), "Tenant: acme", "Request-Id: 2", 1), 400},
		"wrong method":       {strings.Replace(look("1", 9), "GET", "PUT", 1), 405},
		"needless key":       {strings.Replace(look("1", 9), "Tenant", "Idempotency-Key", 1), 400},
		"missing key":        {strings.ReplaceAll(post("1", "Content-Length: 0"), "post", "rate"), 400},
		"body on a GET":      {strings.Replace(look("1", 9), "Tenant: acme", "Content-Length: 2", 1) + "ab", 400},
		"no time":            {strings.Replace(look("1", 9), "-Ms: 9", "-Ms: soon", 1), 400},
		"empty time":         {strings.Replace(look("1", 9), "-Ms: 9", "-Ms:", 1), 400},
		"negative time":      {look("1", -5), 400},
		"time not told":      {strings.Replace(look("1", 9), "Request-Timeout-Ms", "Other", 1), 400},
		"too large":          {post("3", "Content-Length: 65537"), 413},
		"60 MB":              {post("3", "Content-Length: 60000000") + strings.Repeat("x", 100000), 413},
		"negative length":    {post("3", "Content-Length: -4"), 400},
		"length is no word":  {post("3", "Content-Length: ten"), 400},
		"two lengths":        {post("3", "Content-Length: 2\r\nContent-Length: 5") + "hello", 400},
		"chunks":             {post("3", "Transfer-Encoding: chunked") + "3\r\nabc\r\n0\r\n\r\n", 411},
		"chunks never come":  {post("3", "Transfer-Encoding: chunked"), 411},
		"hidden behind":      {post("3", "Content-Length: 4\r\nTransfer-Encoding: chunked") + "0\r\n\r\n" + look("4", 4000), 411},
		"hidden inside":      {post("3", "Transfer-Encoding: chunked\r\nContent-Length: 5") + "0\r\n\r\n" + look("4", 4000), 411},
		"odd coding":         {post("3", "Content-Length: 4\r\nTransfer-Encoding: xchunked") + "abcd", 501},
		"hidden in HTTP/1.0": {strings.Replace(post("3", "Content-Length: 4\r\nTransfer-Encoding: chunked"), "1.1", "1.0", 1), 505},
		"no HTTP":            {"what is this\r\n\r\n", 400},
		"huge head":          {"GET /look/k HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 64<<10) + "\r\n\r\n", 431},
	} {
		t.Run(name, func(t *testing.T) {
			cl := connect(t, p)
			cl.send(t, c.text)
			if resp, _ := cl.answer(t); resp.StatusCode != c.want || !resp.Close {
				t.Errorf("got %s, close %v", resp.Status, resp.Close)
			}
			if rest, _ := io.ReadAll(cl.r); len(rest) > 0 { // a reset is an end too
				t.Errorf("then got %q", rest)
			}
		})
	}
	if n := b.Requests.Load(); n != 0 {
		t.Errorf("%d requests went on", n)
	}
}

// A connection that says nothing, or begins and never ends, is closed in time.
func TestUnfinishedRequestsEnd(t *testing.T) {
	t.Parallel()
	p, b := serving(t, backendtest.Says(served, true))
	var all sync.WaitGroup
	for name, text := range map[string]string{
		"silent": "", "half a head": "GET /look/k HTTP/1.1\r\nHos",
		"half a body": post("3", "Content-Length: 9") + "abc",
	} {
		c := connect(t, p)
		c.send(t, text)
		start := time.Now()
		all.Go(func() {
			if got, err := io.ReadAll(c.r); err != nil || len(got) > 0 && !strings.HasPrefix(string(got), "HTTP/1.1 4") {
				t.Errorf("%s: got %q, %v after %v", name, got, err, time.Since(start))
			}
		})
	}
	all.Wait()
	waitUntil(t, func() bool { return p.stats().Open == 0 })
	if n := b.Requests.Load(); n != 0 {
		t.Errorf("%d requests went on", n)
	}
}

// The deadline of the body ends with it; kept, it ended requests that were still in work.
func TestASlowAnswerOutlivesTheDeadlineOfTheBody(t *testing.T) {
	t.Parallel()
	p, _ := serving(t, func(w io.Writer, _ *http.Request, _ int) bool {
		time.Sleep(3*time.Second + 200*time.Millisecond)
		_, _ = io.WriteString(w, served)
		return true
	})
	c := connect(t, p)
	c.send(t, post("3", "Content-Length: 3")+"abc")
	if resp, body := c.answer(t); resp.StatusCode != 200 || body != "ok" {
		t.Errorf("got %s", resp.Status)
	}
}

// A backend that turns a request away as nonsense says nothing against itself, and no other is asked.
func TestNonsenseThatABackendSeesIsTheClients(t *testing.T) {
	t.Parallel()
	p, b := serving(t, func(w io.Writer, r *http.Request, _ int) bool {
		if r.URL.RawQuery != "" {
			_, _ = io.WriteString(w, "HTTP/1.1 400 No\r\nContent-Length: 0\r\n\r\n")
		} else {
			_, _ = io.WriteString(w, served)
		}
		return true
	})
	for i := range 40 {
		c := connect(t, p)
		c.send(t, strings.Replace(look(fmt.Sprint(i), 4000), "/k", "/k?v=1", 1))
		if resp, _ := c.answer(t); resp.StatusCode != 400 {
			t.Fatalf("got %s", resp.Status)
		}
	}
	if n := b.Requests.Load(); n != 40 {
		t.Errorf("%d attempts for 40 requests", n)
	}
	c := connect(t, p)
	c.send(t, look("good", 4000))
	if resp, _ := c.answer(t); resp.StatusCode != 200 {
		t.Errorf("then got %s", resp.Status)
	}
}

// The module's refusal comes at once and says when to come back.
func TestARefusalIsAnsweredAtOnce(t *testing.T) {
	p, b := serving(t, backendtest.Says("HTTP/1.1 503 No\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n", true))
	c := connect(t, p)
	c.send(t, look("1", 8000))
	resp, _ := c.answer(t)
	if resp.StatusCode != 503 || resp.Header.Get("Retry-After") == "" {
		t.Errorf("got %s %v", resp.Status, resp.Header)
	}
	if n := b.Requests.Load(); n < 1 || n > 3 {
		t.Errorf("%d attempts", n)
	}
}

func TestAHungBackendCostsTheClientNoAnswer(t *testing.T) {
	t.Parallel()
	p, b := serving(t, backendtest.Hang(t))
	c := connect(t, p)
	start := time.Now()
	c.send(t, "POST /post/k HTTP/1.1\r\nHost: h\r\nRequest-Id: 3\r\nRequest-Class: post\r\nRequest-Timeout-Ms: 1000\r\nContent-Length: 0\r\n\r\n")
	resp, _ := c.answer(t)
	if resp.StatusCode != http.StatusBadGateway && resp.StatusCode != http.StatusGatewayTimeout {
		t.Errorf("got %s after %v", resp.Status, time.Since(start))
	}
	if n := b.Requests.Load(); n != 1 {
		t.Errorf("an unsafe request went out %d times", n)
	}
}

func TestAClientThatGoesTakesItsAttemptAlong(t *testing.T) {
	came := make(chan struct{}, 1)
	gone := make(chan struct{}, 1)
	p, _ := serving(t, func(w io.Writer, _ *http.Request, _ int) bool {
		came <- struct{}{}
		_, _ = w.(net.Conn).Read(make([]byte, 1))
		gone <- struct{}{}
		return false
	})
	c := connect(t, p)
	c.send(t, look("1", 8000))
	wait(t, "request", came)
	c.Close()
	wait(t, "end of the attempt", gone)
	waitUntil(t, func() bool { return p.tier().pool.Stats().Requests == 0 }) // nothing is left of it
}

func TestAClientThatGoesInMidRequestLeavesNothing(t *testing.T) {
	p, b := serving(t, backendtest.Says(served, true))
	c := connect(t, p)
	c.send(t, post("3", "Content-Length: 9")+"abc")
	waitUntil(t, func() bool { return p.stats().Open == 1 })
	c.Close()
	waitUntil(t, func() bool { return p.stats().Open == 0 })
	if n := b.Requests.Load(); n != 0 {
		t.Errorf("%d requests went on", n)
	}
}

// Two requests under one id could not be told apart; the second was never answered.
func TestASecondRequestUnderOneIDIsTurnedAway(t *testing.T) {
	p, b := serving(t, backendtest.Hang(t))
	first, second := connect(t, p), connect(t, p)
	first.send(t, look("1", 8000))
	waitUntil(t, func() bool { return b.Requests.Load() == 1 })
	second.send(t, look("1", 8000))
	if resp, _ := second.answer(t); resp.StatusCode != 400 {
		t.Errorf("got %s", resp.Status)
	}
}

// crowded starts a proxy with room for few connections of clients.
func crowded(t testing.TB, reply func(io.Writer, *http.Request, int) bool) (p *running, most int) {
	t.Helper()
	b := backendtest.Start(t, reply)
	p = startProxy(t, startDiscovery(t).addr, 80, listText(1, true, listed("a", b.Addr, "SERVING")))
	d, err := p.app.Descriptors()
	if err != nil {
		t.Fatal(err)
	}
	return p, int(d.Floors[0])
}

// Clients that ask once and keep their connection, and such that never ask, filled the proxy for good; the
// rest waited in the kernel.
func TestConnectionsThatAskNothingMakeRoom(t *testing.T) {
	p, most := crowded(t, backendtest.Says(served, true))
	for i := range most {
		c := connect(t, p)
		if i%2 == 0 {
			c.send(t, look(fmt.Sprint("i", i), 4000))
			c.answer(t)
		}
	}
	for i := range 2 * most {
		c := connect(t, p)
		c.send(t, look(fmt.Sprint("n", i), 4000))
		if resp, body := c.answer(t); resp.StatusCode != 200 || body != "ok" {
			t.Fatalf("newcomer %d: got %s", i, resp.Status)
		}
		if n := p.stats().Open; n > most {
			t.Fatalf("%d connections of at most %d", n, most)
		}
	}
}

// A connection on which a request is open is never the one that makes room.
func TestOpenRequestsKeepTheirConnections(t *testing.T) {
	release := make(chan struct{})
	p, most := crowded(t, func(w io.Writer, _ *http.Request, _ int) bool {
		<-release
		_, _ = io.WriteString(w, served)
		return true
	})
	var asking []*client
	for i := range most {
		c := connect(t, p)
		c.send(t, look(fmt.Sprint(i), 8000))
		asking = append(asking, c)
	}
	waitUntil(t, func() bool {
		s := p.stats()
		return s.Open == most && s.Silent == 0
	})
	over := connect(t, p)
	if _, err := over.r.ReadByte(); err == nil {
		t.Error("a connection over the limit got an answer")
	}
	close(release)
	for i, c := range asking {
		if resp, _ := c.answer(t); resp.StatusCode != 200 {
			t.Errorf("request %d: got %s", i, resp.Status)
		}
	}
}

// Each answer is applied, a garbled or broken one changes nothing and the next call asks for the full list.
func TestTheWatchGoesOnThroughNonsenseAndBreaks(t *testing.T) {
	a, b := backendtest.Start(t, backendtest.Says(served, true)), backendtest.Start(t, backendtest.Says(served, true))
	d := startDiscovery(t)
	p := startProxy(t, d.addr, 200, "")
	health := func() int {
		c := connect(t, p)
		c.send(t, "GET /_health HTTP/1.1\r\nHost: h\r\n\r\n")
		resp, _ := c.answer(t)
		return resp.StatusCode
	}
	ask := func(id string) int {
		c := connect(t, p)
		c.send(t, look(id, 4000))
		resp, _ := c.answer(t)
		return resp.StatusCode
	}
	query := func(want string) {
		t.Helper()
		if got := wait(t, "call", d.calls); got != want {
			t.Errorf("asked %q, want %q", got, want)
		}
	}
	query("")
	if got := health(); got != 503 {
		t.Errorf("healthy without a list: %d", got)
	}
	d.say <- listText(5, true, listed("a", a.Addr, "SERVING"))
	query("from=5&hold_ms=2000")
	if got := health(); got != 200 {
		t.Errorf("not healthy with a list: %d", got)
	}
	for _, nonsense := range []string{
		`{"index":6,"snap`, listText(6, false, listed("a", "nowhere", "SERVING")),
		listText(6, false, listed("a", a.Addr, "RESTING")), "",
	} {
		d.say <- nonsense
		if nonsense == "" {
			query("from=5&hold_ms=2000") // net/http asks once more by itself; a question may be put twice
		} else {
			query("")
		}
		d.say <- listText(5, true, listed("a", a.Addr, "SERVING"))
		query("from=5&hold_ms=2000")
		if got := ask("x"); got != 200 {
			t.Errorf("after %q: %d", nonsense, got)
		}
	}
	d.say <- listText(7, false, listed("a", a.Addr, "DRAINING"), listed("b", b.Addr, "SERVING"))
	query("from=7&hold_ms=2000")
	served := a.Requests.Load()
	for i := range 20 {
		if got := ask(fmt.Sprint("y", i)); got != 200 {
			t.Errorf("after the drain: %d", got)
		}
	}
	if a.Requests.Load() != served || b.Requests.Load() != 20 {
		t.Errorf("%d requests to a draining backend", a.Requests.Load()-served)
	}
}

// A connection to discovery fell silent; the proxy waited 13 s for it and sent to backends that drained. The
// fake holds the watch and never answers: the next call is one for the whole list, on another connection.
func TestASilentDiscoveryIsAskedAgain(t *testing.T) {
	t.Parallel()
	a := backendtest.Start(t, backendtest.Says(served, true))
	d := startDiscovery(t)
	p := startProxy(t, d.addr, 200, "")
	for i, want := range []string{"", "from=5&hold_ms=2000", "", "from=6&hold_ms=2000"} {
		if got := wait(t, "call", d.calls); got != want {
			t.Fatalf("call %d asked %q, want %q", i, got, want)
		}
		if want == "" {
			d.say <- listText(5+i/2, true, listed("a", a.Addr, "SERVING"))
		}
	}
	c := connect(t, p)
	c.send(t, look("1", 4000))
	if resp, _ := c.answer(t); resp.StatusCode != 200 {
		t.Errorf("got %s", resp.Status)
	}
}

// A new configuration names another discovery: its whole list replaces the old one, whatever their versions,
// the old watch ends, and what the old address says later is not heard. The old list stands until then.
func TestANewDiscoveryReplacesTheOldOne(t *testing.T) {
	t.Parallel()
	a, b := backendtest.Start(t, backendtest.Says(served, true)), backendtest.Start(t, backendtest.Says(served, true))
	ds := []*fakeDiscovery{startDiscovery(t), startDiscovery(t)}
	p := startProxy(t, ds[0].addr, 200, "")
	ask := func(id string, of *backendtest.Backend) {
		t.Helper()
		came, c := of.Requests.Load(), connect(t, p)
		c.send(t, look(id, 4000))
		if resp, _ := c.answer(t); resp.StatusCode != 200 || of.Requests.Load() != came+1 {
			t.Errorf("%s: got %s, %d more requests", id, resp.Status, of.Requests.Load()-came)
		}
	}
	query := func(of *fakeDiscovery, want string) {
		t.Helper()
		if got := wait(t, "call", of.calls); got != want {
			t.Errorf("asked %q, want %q", got, want)
		}
	}
	query(ds[0], "")
	ds[0].say <- listText(50, true, listed("a", a.Addr, "SERVING"))
	query(ds[0], "from=50&hold_ms=2000")
	ask("1", a)
	p.renew(ds[0].addr) // the same again changes nothing
	p.renew(ds[1].addr)
	query(ds[1], "")
	ask("2", a)
	ds[1].say <- listText(3, true, listed("b", b.Addr, "SERVING"))
	query(ds[1], "from=3&hold_ms=2000")
	ask("3", b)
	for range 5 { // several in a row
		p.renew(ds[0].addr)
		p.renew(ds[1].addr)
	}
	p.renew(ds[0].addr)
	for range cap(ds[0].say) { // some may go to calls that have ended
		ds[0].say <- listText(1, true, listed("a", a.Addr, "SERVING"))
	}
	waitUntil(t, func() bool {
		c := connect(t, p)
		c.send(t, look("again", 4000))
		c.answer(t)
		return a.Requests.Load() > 2
	})
	ask("4", a)
	p.stop()
	p.renew(ds[1].addr) // while it ends
	if err := wait(t, "end of Run", p.done); err != nil {
		t.Error(err)
	}
	p.renew(ds[0].addr) // and after
}

// holds serves requests, those whose id begins with h only after the release.
func holds(release <-chan struct{}) func(io.Writer, *http.Request, int) bool {
	return func(w io.Writer, r *http.Request, _ int) bool {
		if r.Header.Get("Request-Id")[0] == 'h' {
			<-release
		}
		_, _ = io.WriteString(w, served)
		return true
	}
}

// Two proxies were told to end close behind each other. Each closed its connections with the next answer, though
// it was there for two seconds more, and for as long clients found nobody. After SIGTERM they are served on the
// connections they have, and on new ones; at the last call each answer brings a close.
func TestSIGTERMUnderLoadLosesNothing(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	p, b := serving(t, holds(release))
	idle := connect(t, p)
	idle.send(t, look("1", 8000))
	idle.answer(t)
	var held []*client
	for i := range 10 {
		held = append(held, connect(t, p))
		held[i].send(t, look(fmt.Sprint("h", i), 8000))
	}
	waitUntil(t, func() bool { return b.Requests.Load() == 11 })
	unused := connect(t, p)
	p.stop()
	waitUntil(t, func() bool { return p.stats().Draining })
	for i, c := range []*client{idle, connect(t, p)} {
		for n := range 5 {
			c.send(t, look(fmt.Sprint("n", i, n), 8000))
			if resp, body := c.answer(t); resp.StatusCode != 200 || body != "ok" || resp.Close {
				t.Fatalf("after SIGTERM: got %s, close %v", resp.Status, resp.Close)
			}
		}
	}
	waitUntil(t, func() bool { return p.stats().Closing })
	close(release)
	var all sync.WaitGroup
	for _, c := range held {
		all.Go(func() {
			if resp, body := c.answer(t); resp.StatusCode != 200 || body != "ok" || !resp.Close {
				t.Errorf("held: got %s, close %v", resp.Status, resp.Close)
			}
		})
	}
	all.Wait()
	if err := wait(t, "end of Run", p.done); err != nil {
		t.Error(err)
	}
	if _, err := unused.r.ReadByte(); err == nil {
		t.Error("an unused connection got an answer")
	}
}

// After SIGTERM clients got no new connections. Once all they had were held by slow calls, the next one found
// nobody and took the proxy for gone, with two seconds left to serve. A part of them stays free: what comes on it
// is refused at once and told when to come back, and its connection can be used again.
func TestSIGTERMKeepsConnectionsFree(t *testing.T) {
	release := make(chan struct{})
	p, b := serving(t, holds(release))
	var all []*client
	for i := range 8 {
		all = append(all, connect(t, p))
		all[i].send(t, look(fmt.Sprint(i), 8000))
		all[i].answer(t)
	}
	waitUntil(t, func() bool { return p.stats().Idle == len(all) })
	p.stop()
	waitUntil(t, func() bool { return p.stats().NoNewConnections })
	for i, c := range all[:5] {
		c.send(t, look(fmt.Sprint("h", i), 8000))
	}
	waitUntil(t, func() bool { return b.Requests.Load() == 13 })
	for i := range 3 {
		all[5].send(t, look(fmt.Sprint("h", 5+i), 8000))
		resp, _ := all[5].answer(t)
		if resp.StatusCode != 503 || resp.Header.Get("Retry-After") == "" || resp.Close {
			t.Fatalf("with 5 of 8 connections held: got %s %v, close %v", resp.Status, resp.Header, resp.Close)
		}
	}
	close(release)
	for _, c := range all[:5] {
		if resp, body := c.answer(t); resp.StatusCode != 200 || body != "ok" {
			t.Errorf("held: got %s", resp.Status)
		}
	}
	all[5].send(t, look("s", 8000))
	if resp, _ := all[5].answer(t); resp.StatusCode != 200 {
		t.Errorf("with free connections: got %s", resp.Status)
	}
}

// SIGKILL follows: what a hung backend holds is failed before it comes.
func TestSIGTERMEndsWhatHangs(t *testing.T) {
	t.Parallel()
	p, b := serving(t, backendtest.Hang(t))
	c := connect(t, p)
	c.send(t, look("1", 8000))
	waitUntil(t, func() bool { return b.Requests.Load() == 1 })
	start := time.Now()
	p.stop()
	if resp, _ := c.answer(t); resp.StatusCode == 200 {
		t.Errorf("got %s", resp.Status)
	}
	if err := wait(t, "end of Run", p.done); err != nil {
		t.Error(err)
	}
	if took := time.Since(start); took > killAfter+5*time.Second {
		t.Errorf("ended %v after SIGTERM", took)
	}
}

// A long day brings ever new ids, keys, backends and zones; what has ended leaves nothing behind.
func TestWhatHasEndedLeavesNothing(t *testing.T) {
	p, _ := serving(t, backendtest.Says(served, true))
	const clients, each = 8, 250
	var all sync.WaitGroup
	for i := range clients {
		c := connect(t, p)
		all.Go(func() {
			for n := range each {
				c.send(t, strings.Replace(look(fmt.Sprint(i, "-", n), 4000), "/look/k", fmt.Sprintf("/look/k%d-%d", i, n), 1))
				c.answer(t)
			}
		})
	}
	all.Wait()
	for i := range 5000 {
		e := membership.Endpoint{Name: fmt.Sprint("s", i), Address: "127.0.0.1:1", Zone: fmt.Sprint("z", i)}
		p.tier().pool.UpdateEndpoints(&membership.List{Version: int64(i), Endpoints: []membership.Endpoint{e}})
		e.Status = membership.Deleted
		p.tier().pool.UpdateEndpoints(&membership.List{Version: int64(i), Endpoints: []membership.Endpoint{e}})
	}
	if s := p.tier().pool.Stats(); s != (core.Stats{Zones: 1}) || p.tier().up.Stats().Backends != 1 {
		t.Errorf("left behind: %+v, %+v", s, p.tier().up.Stats())
	}
}
