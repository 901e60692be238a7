// Package explain says what a sidecar would do with a request, and which line of its file each part of the answer comes
// from. It is pure and asks nobody: what depends on the state of the fleet it names as such.
package explain

import (
	"errors"
	"fmt"
	"net/http"
	"net/textproto"
	"net/url"
	"strconv"
	"strings"
	"time"

	"fernlanding/internal/config"
	"fernlanding/internal/membership"
	"fernlanding/internal/route"
	"fernlanding/internal/tomldoc"
	"fernlanding/logic"
)

// Request is what is asked about.
type Request struct {
	Method string
	Host   string
	Path   string // as it comes, without the query
	Header http.Header
}

// ParseRequest makes a request of a method, a URL or a path, and fields of the form "Name: value".
func ParseRequest(method, target string, fields []string) (Request, error) {
	r := Request{Method: method, Header: http.Header{}}
	if !route.IsToken(method) {
		return r, fmt.Errorf("method %q: a word such as GET expected", method)
	}
	rest := target
	if scheme, after, ok := strings.Cut(target, "://"); ok {
		if scheme != "http" && scheme != "https" {
			return r, fmt.Errorf("URL %q: http or https expected", target)
		}
		host, path, _ := strings.Cut(after, "/")
		r.Host, rest = host, "/"+path
	}
	r.Path, _, _ = strings.Cut(rest, "?")
	if !strings.HasPrefix(r.Path, "/") {
		return r, fmt.Errorf("URL %q: http://host/path or /path expected", target)
	}
	if _, err := url.PathUnescape(r.Path); err != nil {
		return r, fmt.Errorf("URL %q: %w", target, err)
	}
	for _, f := range fields {
		name, value, ok := strings.Cut(f, ":")
		if !ok || !route.IsToken(name) {
			return r, fmt.Errorf("field %q: \"Name: value\" expected", f)
		}
		value = strings.TrimSpace(value)
		if strings.EqualFold(name, "Host") {
			r.Host = value
			continue
		}
		r.Header.Add(name, value)
	}
	return r, nil
}

// Line is one part of the answer.
type Line struct {
	What    string        `json:"what"`
	Says    string        `json:"says"`
	From    tomldoc.Place `json:"-"`
	Default bool          `json:"default,omitempty"` // no line says so; a default holds
	Where   string        `json:"where,omitempty"`
}

// Answer is what a sidecar would do.
type Answer struct {
	Status int    `json:"status,omitempty"` // that the sidecar answers itself, with no backend asked; 0: it goes on
	Lines  []Line `json:"lines"`
}

// explainer builds an answer.
type explainer struct {
	d   *config.Document
	out Answer
}

// say adds a part with the line that it comes from.
func (e *explainer) say(what string, path []string, format string, args ...any) {
	l := Line{What: what, Says: fmt.Sprintf(format, args...)}
	if path != nil {
		at, said := e.d.Place(path...)
		l.From, l.Default, l.Where = at, !said, at.Short()
	}
	e.out.Lines = append(e.out.Lines, l)
}

func (e *explainer) ends(status int, format string, args ...any) Answer {
	e.out.Status = status
	e.say("answer", nil, "%d %s: %s", status, http.StatusText(status), fmt.Sprintf(format, args...))
	return e.out
}

func words(w ...string) []string { return w }

// Explain says what the sidecar of a file would do with a request that comes to a listener; the empty name stands for the
// first. The document has to be one that a sidecar takes.
func Explain(d *config.Document, listener string, r Request) (Answer, error) {
	if d.App == nil {
		return Answer{}, errors.New("the file is one that a sidecar refuses")
	}
	n := -1
	for i, l := range d.App.Listeners {
		if n < 0 && (listener == "" || l.Name == listener) {
			n = i
		}
	}
	if n < 0 {
		return Answer{}, fmt.Errorf("no listener is named %q", listener)
	}
	e := &explainer{d: d}
	l := d.App.Listeners[n]
	e.say("listener", words("listeners", strconv.Itoa(n+1)), "%s, %s", l.Name, l.Address)
	if r.Path == "/_health" {
		return e.ends(http.StatusOK, "the sidecar's own health, or 503; no route is asked"), nil
	}
	table, numbers, err := d.App.Table(l.Name)
	if err != nil {
		return Answer{}, err
	}
	header := map[string][]string{}
	for k, v := range r.Header {
		header[textproto.CanonicalMIMEHeaderKey(k)] = v
	}
	found, err := table.Match(route.Request{Method: r.Method, Host: r.Host, Path: r.Path, Header: header})
	if err != nil {
		return e.ends(http.StatusBadRequest, "%v", err), nil
	}
	if found < 0 {
		return e.ends(http.StatusNotFound, "no route takes it"), nil
	}
	i := numbers[found]
	rt := &d.App.Routes[i]
	at := words("routes", strconv.Itoa(i+1))
	e.say("route", at, "%s, number %d of %d", rt.Name, i+1, len(d.App.Routes))
	target := e.target(rt, at, header)
	e.path(table, found, rt, at, r)
	return e.side(rt, at, target, header), nil
}

func (e *explainer) path(table *route.Table, found int, rt *config.Route, at []string, r Request) {
	if rt.Rewrite == "" {
		return
	}
	if to, ok := table.Rewrite(found, r.Path, rt.Rewrite); ok {
		e.say("path", append(at, "rewrite_prefix"), "goes on as %s", to)
	} else {
		e.say("path", append(at, "rewrite_prefix"), "answered 400: a path that is not in canonical form can't be rewritten")
	}
}

// target picks the side of a split, where the request decides it.
func (e *explainer) target(rt *config.Route, at []string, header map[string][]string) config.Target {
	if len(rt.To) == 1 {
		e.say("service", append(at, "service"), "%s", rt.To[0].Service)
		return rt.To[0]
	}
	var sides []route.Arm
	var parts []string
	total := 0
	for _, t := range rt.To {
		sides = append(sides, route.Arm{Name: t.Service, Weight: t.Weight})
		total += t.Weight
	}
	for _, t := range rt.To {
		parts = append(parts, fmt.Sprintf("%s %.4g%%", t.Service, 100*float64(t.Weight)/float64(total)))
	}
	by := rt.Sticky
	key := e.rule(rt.To[0]).Key
	if key == "" {
		key = config.DefaultKey
	}
	if by == "" || first(header[by]) == "" {
		by = key
	}
	split, err := route.NewSplit(rt.Name, sides)
	if value := first(header[by]); err == nil && value != "" {
		n := split.ForKey(value)
		e.say("service", append(at, "split"), "%s, by the hash of %s: %s (of %s); a key that went elsewhere before goes there while it is recalled",
			rt.To[n].Service, by, value, strings.Join(parts, ", "))
		return rt.To[n]
	}
	e.say("service", append(at, "split"), "drawn: %s; what follows is for %s", strings.Join(parts, ", "), rt.To[0].Service)
	return rt.To[0]
}

func first(v []string) string {
	if len(v) == 0 {
		return ""
	}
	return v[0]
}

func (e *explainer) rule(t config.Target) config.ClassPolicy {
	s := e.d.App.Service(t.Service)
	return s.ClassPolicies[s.Class(t.Class)]
}

// side says what becomes of the request at one service.
func (e *explainer) side(rt *config.Route, at []string, t config.Target, header map[string][]string) Answer {
	s := e.d.App.Service(t.Service)
	in := words("services", s.Name)
	class := append(in[:2:2], "classes", t.Class)
	k, rule := s.Balancer.Classes[s.Class(t.Class)], e.rule(t)
	e.say("class", class, "%s", t.Class)
	e.pool(s, in)
	if rule.Idempotency == logic.IdempotentByKey && first(header[rule.Key]) == "" {
		e.say("key", append(class[:4:4], "key"), "%s", rule.Key)
		return e.ends(http.StatusBadRequest, "a keyed class needs one %s", rule.Key)
	}
	if !rule.EarlyData && len(header["Early-Data"]) > 0 {
		e.say("early data", append(class[:4:4], "early_data"), "not taken")
		return e.ends(http.StatusTooEarly, "it comes again after the handshake")
	}
	e.limit(rt, at, s, class, t, header)
	e.attempts(s, in, class, rule)
	e.again(s, class, rule)
	e.refusals(s, in, class, k)
	if rt.Mirror != nil {
		e.say("mirror", append(at, "mirror"), "a copy goes to %s/%s; nobody waits for its answer", rt.Mirror.Service, rt.Mirror.Class)
	}
	return e.out
}

func (e *explainer) pool(s *config.Service, in []string) {
	if s.Source.Kind == config.Catalog {
		e.say("pool", append(in[:2:2], "discovery"), "as the discovery at %s says", s.Source.Address)
		return
	}
	if s.Source.Kind == config.Consul {
		e.say("pool", append(in[:2:2], "discovery"), "as the health API at %s says of %s", s.Source.Address, s.Source.RemoteName)
		return
	}
	if s.Source.Kind == config.Relay {
		e.say("pool", words("distribution", "relays"), "as the relays %s say of the list %s", strings.Join(e.d.App.Distribution.Relays, ", "), s.Source.RemoteName)
		return
	}
	if s.Source.Kind == config.File {
		e.say("pool", append(in[:2:2], "path"), "as the file %s says", s.Source.Path)
		return
	}
	pods, serving := map[int]bool{}, 0
	for _, p := range s.Source.Endpoints {
		if pods[p.Cell] = true; p.Status == membership.Serving {
			serving++
		}
	}
	e.say("pool", append(in[:2:2], "endpoints"), "%d endpoints in %d pods, %d serving", len(s.Source.Endpoints), len(pods), serving)
}

func (e *explainer) limit(rt *config.Route, at []string, s *config.Service, class []string, t config.Target, header map[string][]string) {
	limit, from := e.d.App.Deadline(rt, t), append(class[:4:4], "deadline")
	if rt.Timeout > 0 {
		from = append(at[:2:2], "timeout")
	}
	if ms, err := strconv.ParseInt(first(header["Request-Timeout-Ms"]), 10, 64); err == nil && ms > 0 && time.Duration(min(ms, 1e9))*time.Millisecond < limit {
		limit = time.Duration(ms) * time.Millisecond
		e.say("time limit", nil, "%v, by its own Request-Timeout-Ms", limit)
	} else {
		e.say("time limit", from, "%v", limit)
	}
	e.say("objective", append(class[:4:4], "objective"), "%v", time.Duration(s.Balancer.Classes[s.Class(t.Class)].LatencyObjective)*time.Microsecond)
}

func (e *explainer) attempts(s *config.Service, in, class []string, rule config.ClassPolicy) {
	l := s.Balancer
	e.say("attempts", append(in[:2:2], "attempts"), "%d at most, one at a time", l.MaxAttempts)
	e.say("retry budget", append(in[:2:2], "retry_budget"), "in any %v further attempts are at most %g + %g x requests", time.Duration(l.RetryBudgetWindow)*time.Microsecond, l.RetryBudgetMin, l.RetryBudgetRatio)
	e.say("repeat rule", append(class[:4:4], "repeat"), "%s", config.IdempotencyName(rule.Idempotency))
}

// again says when a request may be sent again, and to whom.
func (e *explainer) again(s *config.Service, class []string, rule config.ClassPolicy) {
	full := "found no room, "
	if s.Balancer.RejectionMayHaveRun {
		full = ""
	}
	never := "after an attempt that is proven not to have run (" + full + "no connection): to any backend that is not draining"
	switch rule.Resend {
	case config.Never:
		e.say("sent again", append(class[:4:4], "resend"), "%s; never once it may have run", never)
	case config.InScope:
		scope := map[logic.DedupScope]string{logic.DedupTier: "any backend of the service", logic.DedupZone: "a backend of the same zone", logic.DedupCell: "a backend of the same pod"}[rule.DedupScope]
		e.say("sent again", append(class[:4:4], "dedup_scope"), "%s; once it may have run: to %s, which drops its repeats by %s", never, scope, rule.Key)
		e.say("until", append(class[:4:4], "dedup_window"), "%v after its first send, and within its time limit", rule.DedupWindow)
	default:
		e.say("sent again", append(class[:4:4], "resend"), "to any backend, after any failed attempt, within its time limit")
	}
}

func (e *explainer) refusals(s *config.Service, in, class []string, k logic.Class) {
	codes := s.Codes.WithDefaults()
	hint := "without a time to come back"
	if l := s.Balancer.MaxRetryAfter; l > 0 {
		hint = fmt.Sprintf("with a Retry-After of %v at most", time.Duration(l)*time.Microsecond)
	}
	e.say("refused", append(in[:2:2], "retry_after"), "%d %s, at once: when the pool is empty or full, its worth (%g) is below what is served, or its body finds no room", codes.Shed, hint, k.PriorityWeight)
	e.say("failed", append(in[:2:2], "answers"), "%d when it may have run and no answer came, %d when its time is up", codes.Failed, codes.Expired)
	if len(s.Tenants) > 0 {
		e.say("tenants", append(in[:2:2], "tenants"), "%s; a tenant beyond its quota is refused first", strings.Join(s.Tenants, ", "))
	}
}
