package config

import (
	"cmp"
	"errors"
	"fmt"
	"net"
	"net/textproto"
	"slices"
	"strconv"
	"strings"
	"time"

	"fernlanding/internal/doc"
	"fernlanding/internal/membership"
	"fernlanding/internal/route"
	"fernlanding/internal/rules"
	"fernlanding/logic"
)

const (
	defaultSockets = 1024
	defaultListAge = 10 * time.Minute
	maxListAge     = 24 * time.Hour
	maxNames       = 64 // bytes of a name
	maxRouteTime   = MaxDeadline
	minTime        = time.Millisecond
	// DefaultKey is the field that carries a key in version 1 of the format.
	DefaultKey = "Idempotency-Key"
	// MaxDrainGrace is the longest drain grace: what is sent later after a drain was told is lost.
	MaxDrainGrace = 250 * time.Millisecond
	// ColdMultiple is the default of what a cold backend bears.
	defaultCold = 3
	maxServes   = 64
)

// later are the fields that version 1 lacks.
var later = map[string]int{"team": 2, "host": 2, "serves": 2, "generated": 2, "owner": 2, "answers": 2, "cold_multiple": 2, "share": 2,
	"path": 2, "registered_as": 2, "token_file": 2, "key": 2, "resend": 2, "early_data": 2, "hedge": 2, "formerly": 2, "for": 2, "state_dir": 2, "list_age": 2}

// decoder reads one file.
type decoder struct {
	*doc.Reader
	app     *App
	version int
}

// read reads the tree.
func (d *Document) read() {
	r := &doc.Reader{}
	s := doc.NewScope(r, d.root)
	defer func() { d.Faults = append(d.Faults, r.Faults...) }()
	switch v := d.root.Fields["version"]; {
	case v == nil:
		s.Bad(rules.Version, "version", "version = %d expected", Version)
	case v.Kind != doc.Integer:
		s.Whole("version", 0, 1, Version)
	default:
		n, err := strconv.ParseInt(strings.ReplaceAll(v.Text, "_", ""), 0, 32)
		if err != nil || n < 1 {
			s.Bad(rules.Version, "version", "1 to %d expected", Version)
		} else if n > Version {
			s.Bad(rules.Version, "version", "this program (%s) reads versions 1 to %d; the file is of version %d", Program, Version, n)
			return // what else it says may mean something else there
		}
		d.Version = int(n)
	}
	s.Take("version")
	if d.Version == 1 {
		r.Later = later
		s.Bad(rules.OldVersion, "version", "version %d is the newest", Version)
	}
	x := decoder{r, &App{Version: max(1, d.Version)}, max(1, d.Version)}
	if d.Version == 0 {
		x.version = Version
	}
	x.read(s)
	d.App = x.app
	if len(d.refusedOf(r.Faults)) == 0 {
		x.check(s)
	}
}

func (d *Document) refusedOf(f Faults) Faults {
	return (&Document{Version: d.Version, Faults: f}).refused()
}

func (x *decoder) read(s doc.Scope) {
	app := x.app
	app.Name, app.Seed = s.Text("name", ""), uint64(s.Whole("seed", 0, 0, 1<<62))
	if x.version >= 2 {
		if !s.Has("name") {
			s.Bad(rules.Missing, "name", "the application's name expected")
		} else {
			Named(s, "name", app.Name)
		}
		app.Team, app.Host = s.Text("team", ""), s.Text("host", "")
		for _, f := range []string{"team", "host"} {
			if s.Has(f) {
				Named(s, f, s.Text(f, ""))
			}
		}
		app.Serves = s.Texts("serves")
		if len(app.Serves) > maxServes {
			s.Bad(rules.TooMany, "serves", "%d services, %d expected at most", len(app.Serves), maxServes)
		}
		for _, name := range app.Serves {
			Named(s, "serves", name)
		}
		x.head(s)
	}
	p := s.Sub("process")
	app.Process = Process{Cores: p.Number("cores", 0, 0, 1024), MemoryMB: p.Number("memory_mb", 0, 0, 1<<20),
		Sockets: int(p.Whole("sockets", defaultSockets, 1, 1<<24))}
	if app.StateDir = p.Text("state_dir", ""); p.Has("state_dir") && app.StateDir == "" {
		p.Bad(rules.Missing, "state_dir", "a folder expected")
	}
	if app.ListAge = p.Span("list_age", defaultListAge, 0, maxListAge); p.Has("list_age") && app.StateDir == "" {
		p.Bad(rules.Missing, "list_age", "state_dir, the folder that lists are kept in, expected beside it")
	}
	p.Done()
	x.listeners(s)
	names, scopes := s.Each("services")
	for i, v := range scopes {
		app.Services = append(app.Services, x.service(v, names[i]))
	}
	switch {
	case !s.Has("services") || len(s.V.Fields["services"].Keys) == 0 && s.V.Fields["services"].Kind == doc.Table:
		s.Bad(rules.Missing, "services", "one service at least expected")
	case len(names) > MaxServices:
		s.Bad(rules.TooMany, "services", "%d services, %d expected at most", len(names), MaxServices)
	}
	x.routes(s)
	s.Done()
}

// head reads what a generator has written about the file.
func (x *decoder) head(s doc.Scope) {
	h := s.Sub("generated")
	x.app.Head = Head{By: h.Text("by", ""), Requires: h.Text("requires", ""), Sources: h.Text("sources", ""), Environment: h.Text("environment", "")}
	if want := x.app.Head.Requires; h.Has("requires") {
		if newer, err := Newer(want, Program); err != nil {
			h.Bad(rules.Version, "requires", "a version such as %q expected", Program)
		} else if newer {
			h.Bad(rules.Version, "requires", "this program is of version %s; the file asks for %s", Program, doc.Clip(want))
		}
	}
	h.Done()
}

// Newer tells whether version a of a program, major.minor, is newer than b.
func Newer(a, b string) (bool, error) {
	x, err := parts(a)
	if err != nil {
		return false, err
	}
	y, err := parts(b)
	return x[0] > y[0] || x[0] == y[0] && x[1] > y[1], err
}

func parts(v string) (n [2]uint64, err error) {
	major, minor, ok := strings.Cut(v, ".")
	if !ok {
		return n, fmt.Errorf("%q: major.minor expected", v)
	}
	if n[0], err = strconv.ParseUint(major, 10, 16); err == nil {
		n[1], err = strconv.ParseUint(minor, 10, 16)
	}
	return n, err
}

// IsName tells whether a name can be one: a token of RFC 9110 of 1 to 64 bytes.
func IsName(name string) bool { return len(name) <= maxNames && route.IsToken(name) }

// Named faults a name that is none; without a field, that of the table itself.
func Named(s doc.Scope, field, name string) {
	if IsName(name) {
		return
	}
	at, path := s.V, s.Path
	if field != "" {
		path = s.Name(field)
		if v := s.V.Fields[field]; v != nil {
			at = v
		}
	}
	s.Fault(at, rules.Name, path, strconv.Quote(doc.Clip(name)), fmt.Sprintf("a name of 1 to %d letters, digits and signs expected", maxNames))
}

// address reads host:port. Port 0, which stands for any free one, makes sense for listeners alone.
func address(s doc.Scope, field string, listener bool) string {
	addr := s.Text(field, "")
	if host, port, err := net.SplitHostPort(addr); err != nil || host == "" {
		s.Bad(rules.Address, field, "host:port expected")
	} else if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 && !listener {
		s.Bad(rules.Address, field, "host:port with a port of 1 to 65535 expected")
	}
	return addr
}

func (x *decoder) listeners(s doc.Scope) {
	seen := map[string]bool{}
	for _, l := range s.List("listeners") {
		one := Listener{Name: l.Text("name", "main"), Address: address(l, "address", true)}
		Named(l, "name", one.Name)
		l.Done()
		if seen[one.Name] {
			l.Bad(rules.DoubleName, "name", "another listener has this name")
		}
		seen[one.Name] = true
		for i, o := range x.app.Listeners {
			if Clash(o.Address, one.Address) {
				l.Bad(rules.ListenerClash, "address", "listener %s of number %d has this address", o.Name, i+1)
			}
		}
		x.app.Listeners = append(x.app.Listeners, one)
	}
	if !s.Has("listeners") {
		s.Bad(rules.Missing, "listeners", "one listener at least expected")
	}
}

// Clash tells whether two listeners of one host could not both open: they have one port, and one address or one of them
// all addresses.
func Clash(a, b string) bool {
	h1, p1, err1 := net.SplitHostPort(a)
	h2, p2, err2 := net.SplitHostPort(b)
	if err1 != nil || err2 != nil || p1 != p2 || p1 == "0" {
		return false
	}
	every := func(h string) bool { ip := net.ParseIP(h); return h == "" || ip != nil && ip.IsUnspecified() }
	same := func() bool {
		x, y := net.ParseIP(h1), net.ParseIP(h2)
		return x != nil && y != nil && x.Equal(y) || strings.EqualFold(h1, h2)
	}
	return every(h1) || every(h2) || same()
}

func (x *decoder) service(s doc.Scope, name string) *Service {
	Named(s, "", name)
	v := &Service{Name: name, PassAll: true, Trusted: s.Flag("trusted"),
		Connections: s.Whole("connections", 0, 1, 1<<20),
		MaxBody:     s.Whole("max_body", 64<<10, 0, MaxBody),
		MaxAnswer:   s.Whole("max_answer", 1<<20, 0, MaxBody)}
	v.DialTimeout = s.Span("dial_timeout", 200*time.Millisecond, minTime, MaxDeadline)
	v.IdleClose = s.Span("idle_close", 30*time.Second, 100*time.Millisecond, time.Hour)
	v.Zones = s.Texts("zones")
	zone := s.Text("zone", "")
	if len(v.Zones) == 0 {
		v.Zones = []string{zone}
	}
	l := &v.Logic
	*l = logic.Settings{Zones: len(v.Zones), Zone: slices.Index(v.Zones, zone),
		Siblings: int(s.Whole("siblings", 1, 1, 1<<20)), Ordinal: int(s.Whole("ordinal", 0, 0, 1<<20)),
		Stage: int(s.Whole("tier", 0, 0, 64)), MaxAttempts: int(s.Whole("attempts", 3, 1, 16)),
		OrderSettle:   micros(s.Span("order_settle", 0, 0, MaxDeadline)),
		FullMayRun:    s.Flag("full_may_run"),
		MaxRetryAfter: micros(s.Span("retry_after", time.Second, 0, MaxDeadline)),
		DrainGrace:    micros(s.Span("drain_grace", MaxDrainGrace, 0, time.Minute)),
		Cold:          micros(s.Span("cold", 0, 0, 10*time.Minute)), StartCapacity: s.Number("start_capacity", 1, 0.01, 1),
		SizeHints: s.Flag("weighted"), Lag: micros(v.DialTimeout),
	}
	if l.Zone < 0 {
		s.Bad(rules.UnknownZone, "zone", "one of zones expected: %s", strings.Join(v.Zones, ", "))
	}
	if l.DrainGrace > micros(MaxDrainGrace) {
		s.Bad(rules.DrainGrace, "drain_grace", "%v at most expected", MaxDrainGrace)
	}
	if l.MaxRetryAfter == 0 {
		s.Bad(rules.NoHint, "retry_after", "a time to come back expected")
	}
	v.ColdMultiple = defaultCold
	if x.version >= 2 {
		x.service2(s, v)
	}
	b := s.Sub("retry_budget")
	l.BudgetSpan = micros(b.Span("span", 10*time.Second, 100*time.Millisecond, 10*time.Minute))
	l.BudgetFree = b.Number("free", 5, 0, 1e6)
	l.BudgetShare = b.Number("share", 0.1, 0, 10)
	b.Done()
	x.classes(s, v)
	names, scopes := s.Each("tenants")
	portions := 0.0
	for i, t := range scopes {
		Named(t, "", names[i])
		v.Tenants = append(v.Tenants, names[i])
		before := len(s.Faults)
		l.Tenants = append(l.Tenants, logic.Tenant{Portion: t.Number("portion", 1, 0, 1), Quota: t.Number("quota", 0, 0, 1e9)})
		if len(s.Faults) == before {
			portions += l.Tenants[i].Portion
		}
		t.Done()
	}
	if len(names) > 1 && portions > 1+1e-9 { // one tenant alone may have it all by default
		s.Bad(rules.TenantShares, "tenants", "portions of 1 together expected, not %.4g", portions)
	}
	x.source(s, v)
	s.Done()
	return v
}

// service2 reads what version 2 adds to a service.
func (x *decoder) service2(s doc.Scope, v *Service) {
	if v.Owner = s.Text("owner", ""); s.Has("owner") {
		Named(s, "owner", v.Owner)
	}
	v.Share = s.Number("share", 0, 0, 1)
	if v.ColdMultiple = s.Number("cold_multiple", defaultCold, 0, 100); v.ColdMultiple < 1 {
		s.Bad(rules.ColdMultiple, "cold_multiple", "1 at least expected: sidecars may send a cold backend all that it can do")
	}
	c := s.Sub("answers")
	v.Codes = Codes{Refused: code(c, "refused", 503, 429), Failed: code(c, "failed", 502, 500), Expired: code(c, "expired", 504, 502, 500)}
	c.Done()
}

// code reads one of some codes. The codes after which a client sends again at once promise that nothing has run.
func code(s doc.Scope, field string, codes ...int64) int {
	s.Take(field)
	if !s.Has(field) || s.Get(field, doc.Integer) == nil {
		return 0
	}
	n, err := strconv.ParseInt(strings.ReplaceAll(s.V.Fields[field].Text, "_", ""), 0, 32)
	if err == nil && slices.Contains(codes, n) {
		return int(n)
	}
	rule, words := rules.Range, make([]string, len(codes))
	if field != "refused" && slices.Contains([]int64{408, 425, 429, 503}, n) {
		rule = rules.RefusalCode
	}
	for i, c := range codes {
		words[i] = strconv.FormatInt(c, 10)
	}
	s.Bad(rule, field, "one of %s expected", strings.Join(words, ", "))
	return 0
}

func micros(d time.Duration) int64 { return d.Microseconds() }

func (x *decoder) classes(s doc.Scope, v *Service) {
	names, scopes := s.Each("classes")
	former := map[string]string{}
	for i, c := range scopes {
		Named(c, "", names[i])
		k := logic.Class{Aim: micros(c.Span("objective", 500*time.Millisecond, minTime, MaxDeadline)),
			Deadline:  micros(c.Span("deadline", 2*time.Second, minTime, MaxDeadline)),
			Worth:     c.Number("worth", 1, 0, 1e9),
			LateWorth: c.Number("late_worth", 0.5, 0, 1),
			ByArrival: c.Flag("in_order"),
		}
		if k.Aim > k.Deadline {
			c.Bad(rules.Objective, "objective", "the deadline (%v) expected at most", time.Duration(k.Deadline)*time.Microsecond)
		}
		r := x.repeat(c)
		for _, f := range r.Formerly {
			if by, twice := former[f]; twice || slices.Contains(names, f) {
				c.Bad(rules.DoubleName, "formerly", "%q is a name of another class too%s", doc.Clip(f), by)
			}
			former[f] = ""
		}
		k.Repeat, k.Group, k.Window = r.Repeat, r.Group, micros(r.Window)
		if r.Resend == Never { // the module sends again what is proven not to have run, and nothing else
			k.Repeat, k.Group, k.Window = logic.Unsafe, logic.GroupAll, 0
		}
		c.Done()
		v.Classes = append(v.Classes, names[i])
		v.Rules = append(v.Rules, r)
		v.Logic.Classes = append(v.Logic.Classes, k)
	}
	if len(names) == 0 {
		s.Bad(rules.Missing, "classes", "one class at least expected")
	}
}

// repeat reads what a class's owner states about running it again.
func (x *decoder) repeat(c doc.Scope) (r Rule) {
	if !c.Has("repeat") {
		c.Bad(rules.Missing, "repeat", `"safe", "keyed" or "unsafe" expected: it decides what may be sent again, so there is no default`)
	}
	switch c.Word("repeat", "safe", "safe", "keyed", "unsafe") {
	case "safe":
		r.Repeat, r.Resend, r.Early = logic.Safe, Any, true
	case "keyed":
		r.Repeat, r.Resend = logic.Keyed, InScope
		if !c.Has("dedup_window") {
			c.Bad(rules.Missing, "dedup_window", "how long its servers recall a key is expected of a keyed class")
		}
	case "unsafe":
		r.Repeat = logic.Unsafe
	}
	r.Window = c.Span("dedup_window", 0, 0, time.Hour)
	switch c.Word("dedup_scope", "cell", "cell", "zone", "service") {
	case "zone":
		r.Group = logic.GroupZone
	case "cell":
		r.Group = logic.GroupCell
	}
	keyed := r.Repeat == logic.Keyed
	if !keyed {
		r.Group, r.Window = logic.GroupAll, 0
		for _, f := range []string{"dedup_window", "dedup_scope", "key"} {
			if c.Has(f) && (f != "key" || x.version >= 2) {
				c.Bad(rules.KeyedFields, f, "only keyed classes are deduplicated")
			}
		}
	}
	if x.version < 2 {
		if keyed {
			r.Key = DefaultKey
		}
		return r
	}
	r.Key = textproto.CanonicalMIMEHeaderKey(c.Text("key", ""))
	if keyed {
		switch {
		case !c.Has("key"):
			c.Bad(rules.KeyedKey, "key", "the field that carries the key is expected of a keyed class")
		case !route.IsToken(r.Key):
			c.Bad(rules.KeyedKey, "key", "the name of a field expected")
		case slices.Contains(notKeys, r.Key):
			c.Bad(rules.KeyedKey, "key", "a field that is the client's own expected: %s is made or changed on the way", r.Key)
		}
	} else {
		r.Key = ""
	}
	x.allowances(c, &r)
	r.Formerly = c.Texts("formerly")
	for _, f := range r.Formerly {
		Named(c, "formerly", f)
	}
	return r
}

// notKeys are fields that a sidecar makes or changes, or that say nothing about a request's identity.
var notKeys = []string{"Request-Id", "Host", "Connection", "Content-Length", "Content-Type", "Transfer-Encoding", "Te", "Trailer", "Upgrade",
	"Keep-Alive", "Proxy-Connection", "Date", "Request-Timeout-Ms", "Tenant", "Early-Data", "User-Agent", "Accept"}

// allowances reads what a class is allowed beyond, or not allowed of, what its repeat rule gives.
func (x *decoder) allowances(c doc.Scope, r *Rule) {
	usual := r.Resend.String()
	word := c.Word("resend", usual, "never", "scope", "any")
	allowed := map[string]Resend{"never": Never, "scope": InScope, "any": Any}[word]
	switch {
	case r.Repeat == logic.Unsafe && allowed != Never:
		c.Bad(rules.UnsafeResend, "resend", `"never" expected of an unsafe class`)
	case r.Repeat == logic.Keyed && allowed == Any:
		c.Bad(rules.KeyedScope, "resend", `"scope" or "never" expected of a keyed class`)
	case r.Repeat == logic.Safe && allowed == InScope:
		c.Bad(rules.KeyedFields, "resend", `"any" or "never" expected of a safe class: it has no scope`)
	default:
		r.Resend = allowed
	}
	if c.Flag("hedge") {
		c.Bad(rules.Hedge, "hedge", "one attempt at a time expected")
	}
	if c.Has("early_data") {
		if r.Early = c.Flag("early_data"); r.Early && r.Repeat != logic.Safe {
			c.Bad(rules.UnsafeEarly, "early_data", "false expected of a class that is not safe")
		}
	}
	c.Take("early_data", "hedge")
}

func (x *decoder) source(s doc.Scope, v *Service) {
	before := len(s.Faults)
	kinds := []string{"static", "catalog", "file", "consul"}
	if x.version < 2 {
		kinds = kinds[:2]
	}
	kind := s.Word("membership", "static", kinds...)
	if len(s.Faults) > before { // what goes with it can't be told
		s.Take("discovery", "endpoints", "subscribe", "path", "registered_as", "token_file")
		return
	}
	for field, with := range map[string]string{"path": "file", "registered_as": "consul", "token_file": "consul"} {
		if s.Has(field) && kind != with && x.version >= 2 {
			s.Bad(rules.Exclusive, field, "goes with membership = %q", with)
			s.Take(field)
		}
	}
	switch kind {
	case "file":
		v.Source = Source{Kind: File, Path: s.Text("path", "")}
		if v.Source.Path == "" {
			s.Bad(rules.Missing, "path", "the file that has the list expected")
		}
		for _, f := range []string{"endpoints", "discovery"} {
			if s.Has(f) {
				s.Bad(rules.Exclusive, f, `does not go with membership = "file"`)
			}
		}
		s.Take("endpoints", "discovery")
		return
	case "consul":
		v.Source = Source{Kind: Consul, Address: address(s, "discovery", false), As: s.Text("registered_as", v.Name), TokenFile: s.Text("token_file", "")}
		if v.Source.As == "" {
			s.Bad(rules.Missing, "registered_as", "the service's name in the registry expected")
		}
		if s.Has("endpoints") {
			s.Bad(rules.Exclusive, "endpoints", `does not go with membership = "consul"`)
		}
		s.Take("endpoints")
		return
	case "catalog":
		v.Source = Source{Kind: Catalog, Address: address(s, "discovery", false)}
		if s.Has("endpoints") {
			s.Bad(rules.Exclusive, "endpoints", `stand in the file where membership is "static"`)
		}
		s.Take("endpoints")
		if s.Flag("subscribe") {
			v.Logic.Subscribe, v.Logic.AskEvery = true, micros(10*time.Second)
		}
		return
	}
	if s.Has("discovery") {
		s.Bad(rules.Exclusive, "discovery", `goes with membership = "catalog"`)
		s.Take("discovery")
	}
	if !s.Has("endpoints") {
		s.Bad(rules.Missing, "endpoints", `one at least expected where membership is "static"`)
	}
	seen := map[string]bool{}
	for _, e := range s.List("endpoints") {
		one := membership.Endpoint{Name: e.Text("name", ""), Address: address(e, "address", false), Zone: e.Text("zone", v.Zones[max(0, v.Logic.Zone)]),
			Cell: int(e.Whole("cell", 0, 0, 1<<30)), Weight: e.Number("weight", 1, 0, 1e6)}
		if e.Word("status", "serving", "serving", "draining") == "draining" {
			one.Status = membership.Draining
		}
		if one.Name == "" {
			one.Name = one.Address
		}
		if x.version >= 2 && !slices.Contains(v.Zones, one.Zone) {
			e.Bad(rules.UnknownZone, "zone", "one of the zones of the service expected: %s", cmp.Or(strings.Join(v.Zones, ", "), "it names none"))
		}
		if seen[one.Name] {
			e.Bad(rules.DoubleName, "name", "another endpoint of %s has this name", s.Path)
		}
		seen[one.Name] = true
		e.Done()
		v.Source.Endpoints = append(v.Source.Endpoints, one)
	}
}

// routes reads the rules, and checks where they lead.
func (x *decoder) routes(s doc.Scope) {
	a := x.app
	var scopes []doc.Scope
	names := map[string]bool{}
	for _, r := range s.List("routes") {
		one := x.route(r)
		if names[one.Name] {
			r.Bad(rules.DoubleName, "name", "another route has this name")
		}
		names[one.Name] = true
		a.Routes, scopes = append(a.Routes, one), append(scopes, r)
	}
	switch {
	case !s.Has("routes"):
		s.Bad(rules.Missing, "routes", "one route at least expected")
	case len(scopes) > MaxRoutes:
		s.Bad(rules.TooMany, "routes", "%d routes, %d expected at most", len(scopes), MaxRoutes)
		return
	}
	for _, l := range a.Listeners {
		matches, numbers := a.rules(l.Name)
		_, err := route.New(matches)
		for _, e := range split(err) {
			var re *route.RuleError
			if !errors.As(e, &re) {
				continue
			}
			at := scopes[numbers[re.Rule]]
			var sh *route.Shadowed
			if errors.As(e, &sh) {
				by := scopes[numbers[sh.By]]
				s.Faults = append(s.Faults, Fault{Place: at.V.Place, Rule: rules.RouteDead, Field: at.Path,
					Found: strconv.Quote(doc.Clip(a.Routes[numbers[re.Rule]].Name)), See: by.V.Place,
					Expect: fmt.Sprintf("it can't be reached at listener %s: %q takes all its requests before", l.Name, doc.Clip(a.Routes[numbers[sh.By]].Name))})
				continue
			}
			for _, why := range split(re.Err) {
				at.Fault(at.V, rules.RouteMatch, at.Path, "", why.Error())
			}
		}
	}
}

// split takes joined errors apart.
func split(err error) []error {
	if err == nil {
		return nil
	}
	if many, ok := err.(interface{ Unwrap() []error }); ok {
		return many.Unwrap()
	}
	return []error{err}
}

// rules are those of a listener, with their numbers among all.
func (a *App) rules(listener string) (matches []route.Match, numbers []int) {
	for i, r := range a.Routes {
		if len(r.Listeners) == 0 || slices.Contains(r.Listeners, listener) {
			matches, numbers = append(matches, r.Match), append(numbers, i)
		}
	}
	return matches, numbers
}

// Table compiles the rules of a listener; numbers are those of its rules among all. It can't fail on a decoded App.
func (a *App) Table(listener string) (t *route.Table, numbers []int, err error) {
	matches, numbers := a.rules(listener)
	t, err = route.New(matches)
	return t, numbers, err
}

func (x *decoder) route(s doc.Scope) Route {
	r := Route{Name: s.Text("name", ""), Listeners: s.Texts("listeners"), Rewrite: s.Text("rewrite_prefix", ""),
		Timeout: s.Span("timeout", 0, minTime, maxRouteTime)}
	Named(s, "name", r.Name)
	for _, l := range r.Listeners {
		if !slices.ContainsFunc(x.app.Listeners, func(o Listener) bool { return o.Name == l }) {
			s.Bad(rules.UnknownListener, "listeners", "no listener is named %q", doc.Clip(l))
		}
	}
	if x.version >= 2 {
		r.For = s.Texts("for")
		for _, f := range r.For {
			if service, class, ok := strings.Cut(f, "/"); !ok || !IsName(class) || !slices.Contains(x.app.Serves, service) {
				s.Bad(rules.UnknownService, "for", "service/class of what the application serves expected, found %q", doc.Clip(f))
			}
		}
	}
	r.Match.Hosts, r.Match.Methods = s.Texts("hosts"), s.Texts("methods")
	kinds := 0
	for i, field := range []string{"prefix", "exact", "template"} {
		if s.Has(field) {
			kinds++
			r.Match.Kind, r.Match.Path = route.PathKind(i), s.Text(field, "")
		} else {
			s.Take(field)
		}
	}
	if kinds > 1 {
		s.Fault(s.V, rules.Exclusive, s.Path, "", "one of prefix, exact and template expected, not several")
	}
	h := s.Sub("headers")
	for _, name := range h.V.Keys {
		v := h.V.Fields[name]
		h.Take(name)
		switch {
		case v.Kind == doc.String:
			r.Match.Headers = append(r.Match.Headers, route.HeaderMatch{Name: name, Value: v.Text})
		case v.Kind == doc.Bool && v.Text == "true":
			r.Match.Headers = append(r.Match.Headers, route.HeaderMatch{Name: name, Any: true})
		default:
			h.Bad(rules.WrongType, name, "a string, or true for any value, expected")
		}
	}
	if s.Has("rewrite_prefix") {
		if canon, err := route.CanonicalPath(r.Rewrite); err != nil || canon != r.Rewrite {
			s.Bad(rules.Rewrite, "rewrite_prefix", "a path in canonical form expected")
		}
		if r.Match.Kind != route.Prefix {
			s.Bad(rules.Rewrite, "rewrite_prefix", "goes with prefix alone")
		}
	}
	if r.Sticky = s.Text("sticky_header", ""); s.Has("sticky_header") {
		if r.Sticky = textproto.CanonicalMIMEHeaderKey(r.Sticky); !route.IsToken(r.Sticky) {
			s.Bad(rules.RouteMatch, "sticky_header", "the name of a field expected")
		}
	}
	x.targets(s, &r)
	s.Done()
	return r
}

// targets reads where a route leads.
func (x *decoder) targets(s doc.Scope, r *Route) {
	sides := s.List("split")
	if len(sides) > 0 && (s.Has("service") || s.Has("class")) {
		s.Bad(rules.Exclusive, "split", "either service and class or a split expected")
	}
	if len(sides) == 0 {
		if s.Has("sticky_header") {
			s.Bad(rules.Exclusive, "sticky_header", "goes with a split")
		}
		r.To = []Target{x.target(s, 1)}
		s.Take("split")
	} else {
		s.Take("service", "class")
		var weights []route.Side
		for _, side := range sides {
			t := x.target(side, int(side.Whole("weight", 0, 0, route.MaxWeight)))
			if !side.Has("weight") {
				side.Bad(rules.Missing, "weight", "0 to %d expected", route.MaxWeight)
			}
			side.Done()
			r.To, weights = append(r.To, t), append(weights, route.Side{Name: t.Service, Weight: t.Weight})
		}
		if _, err := route.NewSplit("", weights); err != nil {
			s.Bad(rules.SplitWeights, "split", "%v", err)
		}
	}
	first := -1
	for i, t := range r.To {
		k, rule, ok := x.app.class(t)
		if !ok {
			continue // said already
		}
		if first < 0 {
			first = i
		}
		if _, of, _ := x.app.class(r.To[first]); of.Repeat != rule.Repeat {
			s.Bad(rules.SplitRepeat, "split", "its sides disagree on what may be repeated: %s of %s is %s, %s of %s is %s",
				r.To[first].Class, r.To[first].Service, RepeatName(of.Repeat), t.Class, t.Service, RepeatName(rule.Repeat))
		} else if rule.Repeat == logic.Keyed && i > first && of.Key != "" && rule.Key != "" && of.Window > 0 && rule.Window > 0 {
			sameScope(s, r.To[first], of, t, rule)
		}
		if d := time.Duration(k.Deadline) * time.Microsecond; r.Timeout > d {
			s.Bad(rules.LimitDeadline, "timeout", "the deadline of class %s (%v) expected at most", t.Class, d)
		}
		if aim := time.Duration(k.Aim) * time.Microsecond; r.Timeout > 0 && r.Timeout < aim {
			s.Bad(rules.LimitObjective, "timeout", "the objective of class %s of %s (%v) expected at least", t.Class, t.Service, aim)
		}
		if rule.Repeat == logic.Keyed && len(r.To) > 1 && r.Sticky != "" && r.Sticky != rule.Key && i == first {
			s.Bad(rules.SplitScope, "sticky_header", "class %s of %s is keyed: one key may come with two values of %s", t.Class, t.Service, r.Sticky)
		}
	}
	x.mirror(s, r)
}

// sameScope faults two sides of a keyed split that differ in what they say about their keys.
func sameScope(s doc.Scope, a Target, x Rule, b Target, y Rule) {
	for _, c := range []struct {
		what string
		x, y any
	}{{"dedup_scope", GroupName(x.Group), GroupName(y.Group)}, {"dedup_window", x.Window, y.Window}, {"key", x.Key, y.Key}} {
		if c.x != c.y {
			s.Bad(rules.SplitScope, "split", "its sides disagree on %s: %s of %s has %v, %s of %s has %v", c.what, a.Class, a.Service, c.x, b.Class, b.Service, c.y)
		}
	}
}

// mirror reads where copies go. A copy is sent beside the request itself and is nobody's retry: a class that may not
// run twice has no copies.
func (x *decoder) mirror(s doc.Scope, r *Route) {
	if !s.Has("mirror") {
		s.Take("mirror")
		return
	}
	m := s.Sub("mirror")
	t := x.target(m, 0)
	m.Done()
	for _, to := range r.To {
		if _, rule, ok := x.app.class(to); ok && rule.Repeat != logic.Safe {
			s.Bad(rules.Mirror, "mirror", "the route's class is %s: a copy of its requests would let an effect happen twice", RepeatName(rule.Repeat))
			break
		}
	}
	if _, rule, ok := x.app.class(t); ok && rule.Repeat != logic.Safe {
		s.Bad(rules.Mirror, "mirror", "class %s of %s is %s: copies go to safe classes alone", t.Class, t.Service, RepeatName(rule.Repeat))
	}
	r.Mirror = &t
}

func (x *decoder) target(s doc.Scope, weight int) Target {
	t := Target{Service: s.Text("service", ""), Class: s.Text("class", ""), Weight: weight}
	v := x.app.Service(t.Service)
	if v == nil {
		var names []string
		for _, o := range x.app.Services {
			names = append(names, o.Name)
		}
		s.Bad(rules.UnknownService, "service", "%s", oneOf("one of the services expected", t.Service, names))
		return t
	}
	if t.Class == "" && len(v.Classes) == 1 && !s.Has("class") {
		t.Class = v.Classes[0]
	}
	if v.Class(t.Class) < 0 {
		for i, r := range v.Rules {
			if slices.Contains(r.Formerly, t.Class) {
				s.Bad(rules.ClassRenamed, "class", "%s expected: that is its name now", v.Classes[i])
				return t
			}
		}
		s.Bad(rules.UnknownClass, "class", "%s", oneOf("one of the classes of "+t.Service+" expected", t.Class, v.Classes))
	}
	return t
}

// oneOf words a list of names, and the near one where there is one.
func oneOf(what, word string, names []string) string {
	if guess := doc.Guess(what, word, names); guess != what && word != "" {
		return guess
	}
	if len(names) > 8 {
		names = append(slices.Clone(names[:8]), fmt.Sprintf("and %d more", len(names)-8))
	}
	return what + ": " + strings.Join(names, ", ")
}

func (a *App) class(t Target) (logic.Class, Rule, bool) {
	if v := a.Service(t.Service); v != nil {
		if i := v.Class(t.Class); i >= 0 {
			return v.Logic.Classes[i], v.Rules[i], true
		}
	}
	return logic.Class{}, Rule{}, false
}
