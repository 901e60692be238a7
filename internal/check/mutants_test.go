package check_test

import (
	"context"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"fernlanding/internal/catalogue"
	"fernlanding/internal/check"
	"fernlanding/internal/config"
	"fernlanding/internal/route"
	"fernlanding/internal/sidecar"
	"fernlanding/internal/standin"

	"github.com/pelletier/go-toml/v2"
)

// Good catalogues are changed at random. Whatever the tool then still accepts, a sidecar must load; and served through,
// before backends that break after the last byte of a request, nothing of it may let an effect happen twice. What an
// effect is and who drops a repeat is read from the changed catalogue by a reader of its own, not by the tool's.

var (
	mutants   = flag.Int("mutants", 400, "changed catalogues to judge")
	runs      = flag.Int("runs", 48, "accepted ones to serve through")
	firstSeed = flag.Uint64("first", 0, "the first seed; 0 is the catalogue itself")
)

const (
	endsIn = 4 // backends of a service, in two pods
	asked  = 5 // requests for each route
	shards = 16
)

// seedCatalogue is a chain of two tiers with every kind of class. The addresses of its backends follow in order.
const seedCatalogue = `catalogue = 1

[services.roaming]
team = "roaming"
trusted = true
retry_budget = { share = 0.05, free = 100 }
[services.roaming.pods.one]
cell = 1
endpoints = [{ name = "r1", address = "@0" }, { name = "r2", address = "@1" }]
[services.roaming.pods.two]
cell = 2
endpoints = [{ name = "r3", address = "@2" }, { name = "r4", address = "@3" }]
[services.roaming.classes.quote]
repeat = "safe"
objective = "100ms"
deadline = "800ms"
routes = [{ prefix = "/quote" }]
[services.roaming.classes.rate]
repeat = "keyed"
dedup_scope = "cell"
dedup_window = "2s"
key = "Idempotency-Key"
objective = "100ms"
deadline = "800ms"
routes = [{ exact = "/rate", methods = ["POST"] }]
[services.roaming.classes.book]
repeat = "unsafe"
objective = "100ms"
deadline = "800ms"
routes = [{ template = "/accounts/{id}/book", methods = ["POST"] }]

[services.billing]
team = "billing"
trusted = true
zones = ["a", "b"]
retry_budget = { share = 0.05, free = 100 }
tenants = { acme = { portion = 0.5, quota = 1000 }, beta = { portion = 0.5 } }
[services.billing.pods.east]
cell = 1
zone = "a"
endpoints = [{ name = "b1", address = "@4" }, { name = "b2", address = "@5" }]
[services.billing.pods.west]
cell = 2
zone = "b"
endpoints = [{ name = "b3", address = "@6" }, { name = "b4", address = "@7" }]
[services.billing.classes.usage]
repeat = "keyed"
dedup_scope = "cell"
dedup_window = "1500ms"
key = "Idempotency-Key"
objective = "80ms"
deadline = "700ms"
routes = [{ exact = "/usage", methods = ["POST"] }]
[services.billing.classes.post]
repeat = "unsafe"
objective = "80ms"
deadline = "700ms"
formerly = ["charge"]
routes = [{ template = "/accounts/{id}/charges", methods = ["POST"] }]
[services.billing.classes.look]
repeat = "safe"
objective = "80ms"
deadline = "700ms"
routes = [{ prefix = "/tariffs" }]

[services.billing-next]
team = "billing"
trusted = true
retry_budget = { share = 0.05, free = 100 }
[services.billing-next.pods.east]
cell = 1
endpoints = [{ name = "n1", address = "@8" }, { name = "n2", address = "@9" }]
[services.billing-next.pods.west]
cell = 2
endpoints = [{ name = "n3", address = "@10" }, { name = "n4", address = "@11" }]
[services.billing-next.classes.usage]
repeat = "keyed"
dedup_scope = "cell"
dedup_window = "1500ms"
key = "Idempotency-Key"
objective = "80ms"
deadline = "700ms"
[services.billing-next.classes.look]
repeat = "safe"
objective = "80ms"
deadline = "700ms"

[applications.portal]
team = "front"
host = "h1"
listeners = [{ address = "127.0.0.1:0" }]
process = { sockets = 256, memory_mb = 64 }
[applications.portal.calls.roaming]
time_limit = "750ms"
share = 0.5

[applications.desk]
team = "roaming"
host = "h1"
zone = "a"
serves = ["roaming"]
listeners = [{ address = "127.0.0.1:0" }]
process = { sockets = 256, memory_mb = 64 }
[applications.desk.calls.billing]
time_limit = "400ms"
for = ["roaming/quote"]
[applications.desk.calls.billing.classes.usage]
for = ["roaming/rate"]
[applications.desk.calls.billing.classes.post]
for = ["roaming/book"]
[applications.desk.calls.billing.classes.look]
mirror = { service = "billing-next", class = "look" }

[applications.clerk]
team = "desk"
listeners = [{ address = "127.0.0.1:0" }]
process = { sockets = 256, memory_mb = 64 }
[applications.clerk.calls.billing]
tenants = ["acme"]
[applications.clerk.calls.billing.classes.usage]
[applications.clerk.calls.billing.classes.look]

[applications.splitter]
team = "billing"
listeners = [{ address = "127.0.0.1:0" }]
process = { sockets = 256, memory_mb = 64 }
[applications.splitter.calls.billing]
split = [{ service = "billing", weight = 3 }, { service = "billing-next", weight = 1 }]
[applications.splitter.calls.billing.classes.usage]
`

// table is a part of a catalogue as a map.
type table = map[string]any

// words are values that a field may be changed to, and fields that may be added.
var words = map[string][]any{
	"repeat": {"safe", "keyed", "unsafe"}, "dedup_scope": {"cell", "zone", "service"}, "dedup_window": {"10ms", "300ms", "500ms", "2s", "1h"},
	"key": {"Idempotency-Key", "Record-Id", "Request-Id"}, "resend": {"never", "scope", "any"}, "early_data": {true, false}, "hedge": {true, false},
	"objective": {"10ms", "200ms", "2s"}, "deadline": {"50ms", "500ms", "3s", "60s"}, "time_limit": {"50ms", "100ms", "600ms", "3s"},
	"timeout": {"1s"}, "for": {[]any{"roaming/quote"}, []any{"roaming/rate"}, []any{"roaming/book"}, []any{"roaming/quote", "roaming/rate", "roaming/book"}, []any{}},
	"mirror":   {table{"service": "billing-next", "class": "usage"}, table{"service": "billing", "class": "look"}},
	"split":    {[]any{table{"service": "billing", "weight": 1}, table{"service": "billing-next", "weight": 1}}},
	"attempts": {1, 2, 16}, "share": {0.1, 0.5, 1.0}, "serves": {[]any{"roaming"}, []any{"billing"}, []any{"roaming", "billing"}},
	"in_order": {true}, "sticky_header": {"Account", "Idempotency-Key"}, "drain_grace": {"0s", "250ms", "1s"}, "cell": {1, 2, 3}, "zone": {"a", "b"},
	"full_may_run": {true}, "tenants": {[]any{"acme"}, []any{"beta"}}, "status": {"draining", "serving"}, "trusted": {true, false},
	"answers": {table{"failed": 503}, table{"failed": 500, "refused": 429}}, "retry_budget": {table{"share": 10, "free": 1000}, table{"share": 0}},
	"formerly": {[]any{"charge"}, []any{"usage"}}, "methods": {[]any{"POST"}, []any{"GET", "POST"}}, "cold_multiple": {0.5, 9}, "weighted": {true},
	"membership": {"static", "catalog"}, "max_body": {0, 9_000_000}, "connections": {1, 4000}, "cold": {"1s"}, "start_capacity": {0.1},
}

// mutate changes a catalogue in one to three places.
func mutate(rnd *rand.Rand, root table) {
	for range 1 + rnd.IntN(3) {
		places := tables(root)
		t := places[rnd.IntN(len(places))]
		keys := slices.Sorted(maps.Keys(t))
		any := func(from []any) any { return from[rnd.IntN(len(from))] }
		pick := func() string { return keys[rnd.IntN(len(keys))] }
		switch op := rnd.IntN(10); {
		case op < 3: // a field takes another value that it may have
			if known := slices.DeleteFunc(slices.Clone(keys), func(k string) bool { return words[k] == nil }); len(known) > 0 {
				k := known[rnd.IntN(len(known))]
				t[k] = any(words[k])
			}
		case op < 6: // a field is added
			all := slices.Sorted(maps.Keys(words))
			k := all[rnd.IntN(len(all))]
			t[k] = any(words[k])
		case len(keys) == 0:
		case op == 6:
			delete(t, pick())
		case op == 7: // two fields change places
			a, b := pick(), pick()
			t[a], t[b] = t[b], t[a]
		case op == 8: // a table becomes another's
			from := places[rnd.IntN(len(places))]
			for _, k := range slices.Sorted(maps.Keys(from)) {
				if _, scalar := from[k].(table); !scalar || rnd.IntN(2) == 0 {
					t[k] = clone(from[k])
				}
			}
		default:
			k := pick()
			t[k+"x"] = t[k]
			delete(t, k)
		}
	}
}

// tables are all tables of a catalogue, in one order.
func tables(v any) (out []table) {
	switch v := v.(type) {
	case table:
		out = append(out, v)
		for _, k := range slices.Sorted(maps.Keys(v)) {
			out = append(out, tables(v[k])...)
		}
	case []any:
		for _, i := range v {
			out = append(out, tables(i)...)
		}
	}
	return out
}

func clone(v any) any {
	switch v := v.(type) {
	case table:
		c := table{}
		for k, x := range v {
			c[k] = clone(x)
		}
		return c
	case []any:
		c := make([]any, len(v))
		for i, x := range v {
			c[i] = clone(x)
		}
		return c
	}
	return v
}

// world is the backends of all services, which act as the catalogue of the moment states.
type world struct {
	backends []*standin.Backend

	mu      sync.Mutex
	rnd     *rand.Rand
	root    table
	desk    map[string]string    // address of the sidecar of those that serve a service, by service
	inner   map[string][]leading // what a backend calls, by service/class
	records map[string]time.Time // of keys, by service, class, group and key
	effects map[string]int       // by service, class and subject
	client  *http.Client
}

// leading is a request that leads to a class.
type leading struct {
	class, method, path, host, key string
}

func newWorld(t *testing.T) *world {
	w := &world{client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}, Timeout: 3 * time.Second}}
	t.Cleanup(w.client.CloseIdleConnections)
	for range 3 * endsIn {
		b, err := standin.NewBackend(nil)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(b.Close)
		b.SetHandler(w.handler(b.Addr()))
		w.backends = append(w.backends, b)
	}
	return w
}

// text is the seed catalogue with the backends' addresses.
func (w *world) text() string {
	text := seedCatalogue
	for i, b := range slices.Backward(w.backends) {
		text = strings.ReplaceAll(text, `"@`+strconv.Itoa(i)+`"`, strconv.Quote(b.Addr()))
	}
	return text
}

func sub(v any, path ...string) any {
	for _, p := range path {
		t, _ := v.(table)
		v = t[p]
	}
	return v
}

func str(v any, otherwise string) string {
	if s, ok := v.(string); ok {
		return s
	}
	return otherwise
}

// member finds the service and the pod that an address belongs to.
func (w *world) member(addr, class string) (service, group string, rule any) {
	services, _ := sub(w.root, "services").(table)
	for _, s := range slices.Sorted(maps.Keys(services)) {
		rule := sub(services[s], "classes", class)
		pods, _ := sub(services[s], "pods").(table)
		for _, p := range slices.Sorted(maps.Keys(pods)) {
			ends, _ := sub(pods[p], "endpoints").([]any)
			for _, e := range ends {
				if rule == nil || str(sub(e, "address"), "") != addr {
					continue
				}
				switch str(sub(rule, "dedup_scope"), "cell") {
				case "cell":
					group = fmt.Sprint(sub(pods[p], "cell"))
				case "zone":
					group = fmt.Sprint(sub(pods[p], "zone"))
				}
				return s, group, rule
			}
		}
	}
	return "", "", nil
}

// handler is a backend that has each effect as its service's owner states, calls what its requests cause, and then mostly
// answers: else it breaks off, or says that it failed, when all of the request has come and run.
func (w *world) handler(addr string) standin.Handler {
	return func(c *standin.Call) bool {
		class, subject := c.Header.Get("Class"), c.Header.Get("Subject")
		w.mu.Lock()
		service, group, rule := w.member(addr, class)
		runs := true
		if str(sub(rule, "repeat"), "") == "keyed" {
			record := strings.Join([]string{service, class, group, c.Header.Get(str(sub(rule, "key"), ""))}, " ")
			window, _ := time.ParseDuration(str(sub(rule, "dedup_window"), ""))
			if at, known := w.records[record]; known && time.Since(at) < window {
				runs = false
			} else {
				w.records[record] = time.Now()
			}
		}
		if runs && service != "" && str(sub(rule, "repeat"), "") != "safe" {
			w.effects[service+"/"+class+" "+subject]++
		}
		to, calls := w.desk[service], w.inner[service+"/"+class]
		dice, wait := w.rnd.IntN(10), time.Duration(w.rnd.IntN(15))*time.Millisecond
		w.mu.Unlock()
		if runs {
			for _, r := range calls {
				w.ask(to, r, subject)
			}
		}
		pause := time.NewTimer(wait)
		defer pause.Stop()
		select {
		case <-pause.C:
		case <-c.Done:
			return false
		}
		switch {
		case dice < 4:
			return false
		case dice < 5:
			return c.Reply(http.StatusInternalServerError, "", nil) == nil
		}
		return c.Reply(http.StatusOK, "", nil) == nil
	}
}

// ask sends one request and forgets its answer.
func (w *world) ask(addr string, r leading, subject string) {
	req, err := http.NewRequest(r.method, "http://"+addr+r.path, nil)
	if err != nil {
		return
	}
	if r.host != "" {
		req.Host = r.host
	}
	req.Header.Set("Class", r.class)
	req.Header.Set("Subject", subject)
	if r.key != "" {
		req.Header.Set(r.key, subject)
	}
	resp, err := w.client.Do(req)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
}

// requests are those that lead to the classes of an application's routes, with the classes that cause each.
func requests(app *config.App) (out []leading, causes [][]string) {
	for i := range app.Routes {
		one := requestOf(app, i)
		// Another route may take the path before: what class it then is, that one says.
		table, numbers, err := app.Table(app.Listeners[0].Name)
		if err != nil {
			continue
		}
		if n, err := table.Match(route.Request{Method: one.method, Host: one.host, Path: one.path}); err != nil || n < 0 || numbers[n] != i {
			continue
		}
		cause := app.Routes[i].For
		if len(cause) == 0 {
			for _, s := range app.Serves {
				cause = append(cause, s+"/*")
			}
		}
		out, causes = append(out, one), append(causes, cause)
	}
	return out, causes
}

// requestOf is a request that a route takes.
func requestOf(app *config.App, number int) leading {
	r := &app.Routes[number]
	one := leading{class: r.To[0].Class, method: "POST", path: r.Match.Path}
	if one.path == "" {
		one.path = "/"
	}
	if r.Match.Kind == route.Template {
		parts := strings.Split(one.path, "/")
		for n, p := range parts {
			if strings.HasPrefix(p, "{") {
				parts[n] = "7"
			}
		}
		one.path = strings.Join(parts, "/")
	}
	if len(r.Match.Methods) > 0 {
		one.method = r.Match.Methods[0]
	}
	if len(r.Match.Hosts) > 0 {
		one.host = strings.Replace(r.Match.Hosts[0], "*", "x", 1)
	}
	s := app.Service(r.To[0].Service)
	one.key = s.ClassPolicies[s.Class(one.class)].Key
	return one
}

// chain is how requests go through applications: in at the entries, and on from the desk of each service.
type chain struct {
	entries []entry
	desk    map[string]string    // of a service: the sidecar of the application that serves it
	inner   map[string][]leading // of service/class: the requests that it causes
}

// entry is the sidecar of an application that serves nobody, and the requests that it is asked for.
type entry struct {
	addr string
	asks []leading
}

// add adds an application whose sidecar is at an address.
func (c *chain) add(root table, app *config.App, addr string) {
	asks, causes := requests(app)
	if len(app.Serves) == 0 {
		c.entries = append(c.entries, entry{addr, asks})
	}
	for _, service := range app.Serves {
		if c.desk[service] != "" {
			continue // another application's backends
		}
		c.desk[service] = addr
		for i, r := range asks {
			for _, cause := range causes[i] {
				c.addCause(root, service, cause, r)
			}
		}
	}
}

// addCause adds that a class of a service, or * for all of them, causes a request.
func (c *chain) addCause(root table, service, cause string, r leading) {
	of, class, _ := strings.Cut(cause, "/")
	if of != service {
		return
	}
	if class != "*" {
		c.inner[cause] = append(c.inner[cause], r)
		return
	}
	classes, _ := sub(root, "services", service, "classes").(table)
	for name := range classes {
		c.inner[service+"/"+name] = append(c.inner[service+"/"+name], r)
	}
}

// serve serves through what was generated and returns the effects that happened twice.
func (w *world) serve(t *testing.T, seed uint64, root table, docs []*config.Document) (twice []string, sent int) {
	ctx, stop := context.WithCancel(context.Background())
	var all sync.WaitGroup
	defer all.Wait()
	defer stop()
	c := chain{desk: map[string]string{}, inner: map[string][]leading{}}
	for _, d := range docs {
		s, err := sidecarOf(d)
		if err != nil {
			t.Fatalf("mutant %d: accepted, and not loaded: %s: %v", seed, d.File, err)
		}
		all.Go(func() { _ = s.Run(ctx) })
		c.add(root, d.App, s.Addr())
	}
	w.mu.Lock()
	w.root, w.desk, w.inner, w.rnd = root, c.desk, c.inner, rand.New(rand.NewPCG(seed, 2))
	w.records, w.effects = map[string]time.Time{}, map[string]int{}
	w.mu.Unlock()
	sent = w.load(seed, c.entries)
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, k := range slices.Sorted(maps.Keys(w.effects)) {
		if w.effects[k] > 1 {
			twice = append(twice, fmt.Sprintf("%s: %d times", k, w.effects[k]))
		}
	}
	return twice, sent
}

// load sends the requests of all entries at once, and returns how many they are when all have ended.
func (w *world) load(seed uint64, entries []entry) (sent int) {
	var clients sync.WaitGroup
	for n, e := range entries {
		for i, r := range e.asks {
			for k := range asked {
				sent++
				clients.Go(func() { w.ask(e.addr, r, fmt.Sprintf("%d-%d-%d-%d", seed, n, i, k)) })
			}
		}
	}
	clients.Wait()
	return sent
}

// sidecarOf has a sidecar take a file, with listeners at any free ports.
func sidecarOf(d *config.Document) (*sidecar.Sidecar, error) {
	for i := range d.App.Listeners {
		d.App.Listeners[i].Address = "127.0.0.1:0"
	}
	return sidecar.New(d.App, slog.New(slog.DiscardHandler))
}

// tally is what became of the mutants.
type tally struct {
	mu                     sync.Mutex
	accepted, served, sent int
	refused                map[string]int // by rule
}

func TestWhatIsAcceptedIsSafe(t *testing.T) {
	all := tally{refused: map[string]int{}}
	t.Run("shards", func(t *testing.T) {
		for shard := range shards {
			t.Run(strconv.Itoa(shard), func(t *testing.T) {
				t.Parallel()
				w := newWorld(t)
				left := (*runs + shards - 1) / shards
				for seed := *firstSeed + uint64(shard); seed < *firstSeed+uint64(*mutants); seed += shards {
					w.mutant(t, seed, &left, &all)
				}
			})
		}
	})
	t.Logf("%d mutants, %d accepted, %d of them served through with %d requests; refused by %v", *mutants, all.accepted, all.served, all.sent, all.refused)
	if all.accepted < *mutants/20 || all.served == 0 || len(all.refused) < 10 && *mutants >= 400 {
		t.Errorf("%d of %d accepted, %d served through, refused by %d rules: the changes say little", all.accepted, *mutants, all.served, len(all.refused))
	}
}

// mutant judges one changed catalogue; seed 0 is the catalogue itself. left is how many may still be served through.
func (w *world) mutant(t *testing.T, seed uint64, left *int, all *tally) {
	var root table
	if err := toml.Unmarshal([]byte(w.text()), &root); err != nil {
		t.Fatal(err)
	}
	if seed > 0 {
		mutate(rand.New(rand.NewPCG(seed, 1)), root)
	}
	text, err := toml.Marshal(root)
	if err != nil {
		t.Fatal(err)
	}
	cat, more := catalogue.Read([]catalogue.File{{Name: "c.toml", Data: text}})
	if cat == nil || len(more.Errors()) > 0 {
		return
	}
	plan, docs, found := check.Catalogue(cat, "", check.Options{})
	all.mu.Lock()
	for _, f := range found.Errors() {
		all.refused[string(f.Rule)]++
	}
	all.mu.Unlock()
	if seed == 0 && len(found) > 0 {
		t.Fatalf("the catalogue itself: %v", found)
	}
	if plan == nil || len(found.Errors()) > 0 || len(docs) == 0 {
		return
	}
	var twice []string
	sent, served := 0, 0
	if *left > 0 {
		*left--
		served = 1
		twice, sent = w.serve(t, seed, root, docs)
	} else {
		loads(t, seed, docs)
	}
	if len(twice) > 0 {
		t.Errorf("mutant %d: accepted, and effects happened twice: %v\n%s", seed, twice, text)
	}
	all.mu.Lock()
	defer all.mu.Unlock()
	all.accepted, all.served, all.sent = all.accepted+1, all.served+served, all.sent+sent
}

// loads has a sidecar take each file, and run none.
func loads(t *testing.T, seed uint64, docs []*config.Document) {
	t.Helper()
	for _, d := range docs {
		s, err := sidecarOf(d)
		if err != nil {
			t.Errorf("mutant %d: accepted, and not loaded: %s: %v", seed, d.File, err)
			continue
		}
		s.Close()
	}
}
