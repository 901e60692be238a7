package sidecar

import (
	"fernlanding/internal/config"
	"fernlanding/internal/core"
	"fernlanding/internal/front"
	"fernlanding/internal/route"
	"fernlanding/logic"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	mostPins    = 1 << 16 // keyed requests whose side of a split is remembered: some 5 MB
	mostMirrors = 64      // copies under way
	mostFormer  = 16      // earlier splits of a route that are looked at
	againLater  = time.Second
)

// world is a configuration that holds: what resolves requests. It does not change.
type world struct {
	platform   *platform // on the platform, and there alone
	services   map[string]*service
	byListener map[string]*table
	paths      map[string]*path // by name
	pins       *pinned
	mirrors    chan struct{}
}

// unlisted are the names of the services that have no list.
func (w *world) unlisted() (names []string) {
	for name, v := range w.services {
		if !v.ready() {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// table is one listener's routes.
type table struct {
	compiled *route.Table
	routes   []*path // by the table's numbers
}

// path is a route with what it leads to.
type path struct {
	config.Route
	split *route.Split // nil: one side
	sides []side
	copy  *side
	was   []former
}

// former is a split that a route had, while keys that it dealt out may still be recalled.
type former struct {
	path  *path
	until int64
}

// follow takes over what a route of the same name had before.
func (p *path) follow(before *path, now int64) {
	if before == nil {
		return
	}
	for _, f := range before.was {
		if f.until > now {
			p.was = append(p.was, f)
		}
	}
	recall := int64(0)
	for _, s := range before.sides {
		recall = max(recall, s.recall())
	}
	// More than this many in one window are too many to look at for each request: the oldest go.
	if p.was = append(p.was, former{&path{Route: before.Route, split: before.split, sides: before.sides}, now + recall}); len(p.was) > mostFormer {
		p.was = p.was[len(p.was)-mostFormer:]
	}
}

// deal picks a side by the route's split: by the sticky field, else by the key, else at random.
func (p *path) deal(r *http.Request, key string) int {
	if p.split == nil {
		return 0
	}
	if p.Sticky != "" {
		if v := field(r.Header, p.Sticky); v != "" {
			return p.split.ForKey(v)
		}
	}
	if key != "" {
		return p.split.ForKey(key)
	}
	return p.split.Pick(rand.Uint64())
}

// moved tells whether an earlier split would have sent a request elsewhere than to a service of this name.
func (p *path) moved(r *http.Request, key, name string, now int64) bool {
	for _, f := range p.was {
		if f.until > now && f.path.sides[f.path.deal(r, key)].name != name {
			return true
		}
	}
	return false
}

// side is one service and class.
type side struct {
	name    string // of the service
	pool    front.Pool
	class   int
	rule    logic.Class
	owner   config.ClassPolicy // what the class's owner states about running it again
	maxBody int64
	tenants map[string]int
	memory  front.Memory
}

// recall is how long after its coming a request's key may be recalled, in the clock's units. The window of a record
// begins with the send that made it, at the latest at the deadline.
func (s *side) recall() int64 { return s.rule.Deadline + s.owner.DedupWindow.Microseconds() }

// pinned is the memory of keyed requests; it outlives configurations.
type pinned struct {
	mu   sync.Mutex
	pins *route.Assignments
}

// newWorld makes a configuration ready to hold, after old (nil: none).
func newWorld(app *config.App, services map[string]*service, old *world, with parted) (*world, error) {
	w := &world{services: services, byListener: map[string]*table{}, paths: map[string]*path{}}
	if old != nil {
		w.pins, w.mirrors = old.pins, old.mirrors
	} else {
		w.pins, w.mirrors = &pinned{pins: route.NewAssignments(mostPins)}, make(chan struct{}, mostMirrors)
	}
	if app.Kind == config.Platform {
		v := services[config.PlatformService]
		w.platform = newPlatform(&v.cfg.Deployment, v.cfg.MaxBody, v.pool)
		return w, nil
	}
	tenants := map[string]map[string]int{}
	for name, v := range services {
		tenants[name] = numbers(v.cfg.Tenants)
	}
	sideOf := func(t config.Target) side {
		v := services[t.Service]
		class := v.cfg.Class(t.Class)
		var pool front.Pool = v.pool
		if v.cfg.Codes != (config.Codes{}) {
			pool = coded{v.pool, v.cfg.Codes.WithDefaults()}
		}
		return side{
			name: t.Service, pool: pool, class: class, rule: v.cfg.Balancer.Classes[class], owner: v.cfg.ClassPolicies[class],
			maxBody: v.cfg.MaxBody,
			tenants: tenants[t.Service], memory: memory{with.memory, t.Service},
		}
	}
	paths := make([]*path, len(app.Routes))
	for i, r := range app.Routes {
		p := &path{Route: r}
		var weights []route.Arm
		for _, t := range r.To {
			p.sides = append(p.sides, sideOf(t))
			weights = append(weights, route.Arm{Name: t.Service, Weight: t.Weight})
		}
		if len(r.To) > 1 {
			var err error
			if p.split, err = route.NewSplit(r.Name, weights); err != nil {
				return nil, err
			}
		}
		if r.Mirror != nil {
			c := sideOf(*r.Mirror)
			p.copy = &c
		}
		if old != nil {
			p.follow(old.paths[r.Name], with.clock.Now())
		}
		paths[i], w.paths[r.Name] = p, p
	}
	for _, l := range app.Listeners {
		compiled, which, err := app.Table(l.Name)
		if err != nil {
			return nil, err
		}
		t := &table{compiled: compiled}
		for _, i := range which {
			t.routes = append(t.routes, paths[i])
		}
		w.byListener[l.Name] = t
	}
	return w, nil
}

// resolve says where a request of a listener goes.
func (w *world) resolve(listener string, r *http.Request) (front.Destination, *front.RequestError) {
	if w.platform != nil {
		return w.platform.resolve(r)
	}
	bad := func(status int, why string) (front.Destination, *front.RequestError) {
		return front.Destination{}, &front.RequestError{Status: status, Reason: why}
	}
	if fault := twice(r.Header); fault != nil {
		return front.Destination{}, fault
	}
	rawPath, query, hasQuery := strings.Cut(r.RequestURI, "?")
	t := w.byListener[listener]
	n, err := t.compiled.Match(route.Request{Method: r.Method, Host: r.Host, Path: rawPath, Header: r.Header})
	if err != nil {
		return bad(http.StatusBadRequest, err.Error())
	}
	if n < 0 {
		return bad(http.StatusNotFound, "no route")
	}
	p := t.routes[n]
	dest := front.Destination{ID: field(r.Header, "Request-Id"), Target: r.RequestURI, Tenant: -1, MemoryRetryAfter: againLater}
	if len(dest.ID) > maxID {
		return bad(http.StatusBadRequest, "a long Request-Id")
	}
	if dest.ID == "" {
		dest.ID = strconv.FormatUint(rand.Uint64()|1<<63, 16)
		dest.Header = []core.Field{{Name: "Request-Id", Value: dest.ID}}
	}
	if p.Rewrite != "" {
		to, ok := t.compiled.Rewrite(n, rawPath, p.Rewrite)
		if !ok {
			return bad(http.StatusBadRequest, "a path that is not in canonical form can't be rewritten")
		}
		if dest.Target = to; hasQuery {
			dest.Target += "?" + query
		}
	}
	s, fault := w.choose(p, r)
	if fault != nil {
		return dest, fault
	}
	k := &s.rule
	if name := s.owner.Key; s.owner.Idempotency == logic.IdempotentByKey && (len(r.Header[name]) != 1 || r.Header[name][0] == "") {
		return bad(http.StatusBadRequest, "a keyed class needs one "+name)
	}
	if early := r.Header["Early-Data"]; !s.owner.EarlyData && len(early) > 0 {
		// It may be a replay (RFC 8470, section 5.2): nothing of it goes on, and the client comes again after its
		// handshake. A field of another value than 1 is one that no proxy has sent; it counts the same.
		return bad(http.StatusTooEarly, "taken after the handshake alone")
	}
	wait := time.Duration(k.Deadline) * time.Microsecond
	if p.Timeout > 0 {
		wait = min(wait, p.Timeout)
	}
	if text := field(r.Header, "Request-Timeout-Ms"); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil || ms <= 0 {
			return bad(http.StatusBadRequest, "Request-Timeout-Ms is no time")
		}
		wait = min(wait, time.Duration(min(ms, 1e9))*time.Millisecond)
	}
	dest.Timeout = wait - min(answerMargin, wait/marginPart)
	dest.Pool, dest.Class, dest.Memory, dest.MaxBody = s.pool, s.class, s.memory, s.maxBody
	if name := field(r.Header, "Tenant"); name != "" {
		if n, ok := s.tenants[name]; ok {
			dest.Tenant = n
		}
	}
	if k.Ordered {
		dest.Key = rawPath[strings.LastIndexByte(rawPath, '/')+1:]
	}
	if p.copy != nil {
		dest.Mirror = func(req *core.Request) { w.mirror(p.copy, req) }
	}
	return dest, nil
}

// choose picks the side of a request. A keyed one goes where its key went before, while that side recalls it.
func (w *world) choose(p *path, r *http.Request) (side, *front.RequestError) {
	keyed := p.sides[0].owner.Idempotency == logic.IdempotentByKey // all sides agree on it, and on the key's field from version 2 on
	name := p.sides[0].owner.Key
	if name == "" {
		name = config.DefaultKey
	}
	key := field(r.Header, name)
	n := p.deal(r, key)
	if key == "" || !keyed {
		return p.sides[n], nil
	}
	now := p.sides[n].pool.Clock().Now()
	return w.pins.choose(p, n, route.Hash(p.Name, key), now, func(name string) bool { return p.moved(r, key, name, now) })
}

// choose returns the side that a keyed request's key is pinned to, and pins it to side n if it is to none.
func (m *pinned) choose(p *path, n int, hash uint64, now int64, moved func(name string) bool) (side, *front.RequestError) {
	m.mu.Lock()
	defer m.mu.Unlock()
	to, known := m.pins.Lookup(now, hash)
	if known {
		n = slices.IndexFunc(p.sides, func(s side) bool { return s.name == to })
	}
	if n < 0 || !known && !m.pins.Complete(now) && moved(p.sides[n].name) {
		// Its record is with another service, or may be. That one is not this route's any more; elsewhere its effect
		// might happen twice.
		return side{}, &front.RequestError{
			Status: http.StatusServiceUnavailable, RetryAfter: againLater,
			Reason: "another service may hold the record of this key; it is forgotten after its window",
		}
	}
	s := p.sides[n]
	m.pins.Assign(now, hash, s.name, now+s.recall())
	return s, nil
}

// mirror sends a copy of a request elsewhere. Nobody waits for its answer; over the bound there is no copy.
func (w *world) mirror(to *side, r *core.Request) {
	select {
	case w.mirrors <- struct{}{}:
	default:
		return
	}
	c := &core.Request{Request: r.Request, Method: r.Method, Target: r.Target, Host: r.Host, Body: r.Body}
	c.ID, c.Class, c.Tenant, c.Key = r.ID+"-mirror", to.class, -1, ""
	for _, f := range r.Header {
		if f.Name == "Request-Id" {
			f.Value = c.ID
		}
		c.Header = append(c.Header, f)
	}
	go func() {
		defer func() { <-w.mirrors }()
		to.pool.Do(c).Response.Close()
	}()
}
