package sidecar

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"fernlanding/internal/config"
	"fernlanding/internal/membership"
	"fernlanding/internal/standin/backendtest"
)

// platformSettings is a settings object of the platform with one class for each kind of
// idempotency.
const platformSettings = `{"contract":{"cold_us":1000000,"start_capacity":0.3},"failure_domains":["a"],` +
	`"limits":{"dial_timeout_us":5000000,"idle_close_us":30000000,"max_retry_after_us":2000000,"retry_after":true,` +
	`"try_limit":3},` +
	`"membership_mode":"automatic","my_zone":0,"ordinal":0,"profiles":[` +
	`{"give_up_us":8000000,"name":"look","objective_us":4000000,"repeat":"idempotent","worth":1},` +
	`{"dedup_scope":"cell","dedup_window_us":9000000,"give_up_us":8000000,"name":"rate","objective_us":1000000,` +
	`"late_share":0.5,"repeat":"deduplicated","worth":1},` +
	`{"give_up_us":8000000,"name":"post","objective_us":4000000,"repeat":"at_most_once","worth":1}],` +
	`"siblings":1,"stage":0,"tenants":[{"name":"acme","portion":1,"quota_per_s":1000}],"weights":"off"}`

// fakeDiscovery responds to calls with its replies, in order, and then holds every call.
type fakeDiscovery struct {
	address string
	replies chan string   // the next responses; "" breaks the connection
	queries chan string   // the received queries
	closed  chan struct{} // closed to end held calls
}

// startDiscovery starts a discovery until the test ends.
func startDiscovery(tb testing.TB) *fakeDiscovery {
	tb.Helper()
	d := &fakeDiscovery{replies: make(chan string, 10), queries: make(chan string, 1000), closed: make(chan struct{})}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d.queries <- r.URL.RawQuery
		select {
		case text := <-d.replies:
			if text == "" {
				panic(http.ErrAbortHandler)
			}
			_, _ = io.WriteString(w, text)
		case <-d.closed:
		case <-r.Context().Done():
		}
	}))
	d.address = strings.TrimPrefix(s.URL, "http://")
	tb.Cleanup(func() {
		close(d.closed)
		s.Close()
	})
	return d
}

// listJSON returns a response of discovery.
func listJSON(index int, full bool, entries ...string) string {
	return fmt.Sprintf(`{"index":%d,"snapshot":%v,"endpoints":[%s]}`, index, full, strings.Join(entries, ","))
}

// endpointJSON returns one endpoint of a response of discovery.
func endpointJSON(name, addr, status string) string {
	return fmt.Sprintf(`{"name":%q,"address":%q,"zone":"a","type":"m","group":1,"status":%q,"weight":1,"since_ms":0}`,
		name, addr, status)
}

// platformService returns the single service of the platform.
func (r *runningSidecar) platformService() *service { return r.services[config.PlatformService] }

// setDiscovery reloads the configuration with another address of discovery.
func (r *runningSidecar) setDiscovery(discovery string) {
	app, s := *r.app, *r.app.Services[0]
	s.Source.Address = discovery
	app.Services = []*config.Service{&s}
	_ = r.Reload(&app)
}

// startProxy starts the platform's proxy. The proxy has a known list if known is not empty.
func startProxy(tb testing.TB, discovery string, sockets int, known string) *runningSidecar {
	tb.Helper()
	return startProxyTrusting(tb, discovery, sockets, known, false)
}

// startProxyTrusting is startProxy with or without trust in the backends. Connections to trusted
// backends are reused at once.
func startProxyTrusting(tb testing.TB, discovery string, sockets int, known string, trusted bool) *runningSidecar {
	tb.Helper()
	text := fmt.Sprintf(
		`{"listen":"127.0.0.1:0","discovery":%q,"seed":"7","limits":{"sockets":%d},"settings":%s}`,
		discovery, sockets, platformSettings,
	)
	app, err := config.DecodePlatform("test", []byte(text), "", "")
	if err != nil {
		tb.Fatal(err)
	}
	app.Services[0].Trusted = trusted
	if known != "" {
		if app.Services[0].KnownList, err = membership.Parse([]byte(known)); err != nil {
			tb.Fatal(err)
		}
	}
	return startSidecar(tb, app)
}

// startProxyWithBackend starts the platform's proxy with one backend.
func startProxyWithBackend(tb testing.TB, reply func(io.Writer, *http.Request, int) bool) (
	*runningSidecar, *backendtest.Backend,
) {
	tb.Helper()
	b := backendtest.Start(tb, reply)
	return startProxy(tb, startDiscovery(tb).address, 200, listJSON(1, true, endpointJSON("a", b.Addr, "SERVING"))), b
}

// lookRequest returns an idempotent request.
func lookRequest(id string, ms int) string {
	return fmt.Sprintf("GET /look/k HTTP/1.1\r\nHost: h\r\nRequest-Id: %s\r\nRequest-Class: look\r\nTenant: acme\r\n"+
		"Request-Timeout-Ms: %d\r\n\r\n", id, ms)
}

// postHead returns the head of a non-idempotent request, up to its Content-Length.
func postHead(id, length string) string {
	return "POST /post/k HTTP/1.1\r\nHost: h\r\nRequest-Id: " + id + "\r\nRequest-Class: post\r\n" +
		"Request-Timeout-Ms: 4000\r\n" + length + "\r\n\r\n"
}

// startProxyWithFewConnections starts the platform's proxy with capacity for few client
// connections, and returns the limit.
func startProxyWithFewConnections(tb testing.TB, reply func(io.Writer, *http.Request, int) bool) (
	p *runningSidecar, maxConns int,
) {
	tb.Helper()
	b := backendtest.Start(tb, reply)
	p = startProxy(tb, startDiscovery(tb).address, 80, listJSON(1, true, endpointJSON("a", b.Addr, "SERVING")))
	d, err := p.app.Descriptors()
	if err != nil {
		tb.Fatal(err)
	}
	return p, int(d.Floors[0])
}
