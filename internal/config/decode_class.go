package config

import (
	"fernlanding/internal/route"
	"fernlanding/internal/rules"
	"fernlanding/internal/tomldoc"
	"fernlanding/logic"
	"net/textproto"
	"slices"
	"time"
)

// DefaultKey is the field that carries a key in version 1 of the format.
const DefaultKey = "Idempotency-Key"

// classes reads the classes of a service.
func (x *decoder) classes(s tomldoc.Scope, v *Service) {
	names, scopes := s.Each("classes")
	former := map[string]bool{}
	for i, c := range scopes {
		Named(c, "", names[i])
		k, r := x.class(c)
		for _, f := range r.FormerNames {
			if former[f] || slices.Contains(names, f) {
				c.Bad(rules.DoubleName, "formerly", "%q is a name of another class too", tomldoc.Clip(f))
			}
			former[f] = true
		}
		c.Done()
		v.Classes = append(v.Classes, names[i])
		v.ClassPolicies = append(v.ClassPolicies, r)
		v.Balancer.Classes = append(v.Balancer.Classes, k)
	}
	if len(names) == 0 {
		s.Bad(rules.Missing, "classes", "one class at least expected")
	}
}

// class reads one class: what the module is told of it, and what its owner states.
func (x *decoder) class(c tomldoc.Scope) (k logic.Class, r ClassPolicy) {
	k = logic.Class{
		LatencyObjective:   micros(c.Span("objective", 500*time.Millisecond, minTime, MaxDeadline)),
		Deadline:           micros(c.Span("deadline", 2*time.Second, minTime, MaxDeadline)),
		PriorityWeight:     c.Number("worth", 1, 0, 1e9),
		LatePriorityFactor: c.Number("late_worth", 0.5, 0, 1),
		Ordered:            c.Flag("in_order"),
	}
	if k.LatencyObjective > k.Deadline {
		c.Bad(rules.Objective, "objective", "the deadline (%v) expected at most", time.Duration(k.Deadline)*time.Microsecond)
	}
	r = x.repeat(c)
	k.Idempotency, k.DedupScope, k.DedupWindow = r.Idempotency, r.DedupScope, micros(r.DedupWindow)
	if r.Resend == Never { // the module sends again what is proven not to have run, and nothing else
		k.Idempotency, k.DedupScope, k.DedupWindow = logic.NonIdempotent, logic.DedupTier, 0
	}
	return k, r
}

// repeat reads what a class's owner states about running it again.
func (x *decoder) repeat(c tomldoc.Scope) (r ClassPolicy) {
	x.repeatRule(c, &r)
	x.deduplication(c, &r)
	if x.version < 2 {
		if r.Idempotency == logic.IdempotentByKey {
			r.Key = DefaultKey
		}
		return r
	}
	x.key(c, &r)
	x.allowances(c, &r)
	r.FormerNames = c.Texts("formerly")
	for _, f := range r.FormerNames {
		Named(c, "formerly", f)
	}
	return r
}

// repeatRule reads whether a class is safe, keyed or unsafe, and with it the usual allowances.
func (x *decoder) repeatRule(c tomldoc.Scope, r *ClassPolicy) {
	if !c.Has("repeat") {
		c.Bad(rules.Missing, "repeat", `"safe", "keyed" or "unsafe" expected: it decides what may be sent again, so there is no default`)
	}
	switch c.Word("repeat", "safe", "safe", "keyed", "unsafe") {
	case "safe":
		r.Idempotency, r.Resend, r.EarlyData = logic.Idempotent, Any, true
	case "keyed":
		r.Idempotency, r.Resend = logic.IdempotentByKey, InScope
		if !c.Has("dedup_window") {
			c.Bad(rules.Missing, "dedup_window", "how long its servers recall a key is expected of a keyed class")
		}
	case "unsafe":
		r.Idempotency = logic.NonIdempotent
	}
}

// deduplication reads who drops the repeats of a keyed class, and for how long.
func (x *decoder) deduplication(c tomldoc.Scope, r *ClassPolicy) {
	r.DedupWindow = c.Span("dedup_window", 0, 0, time.Hour)
	switch c.Word("dedup_scope", "cell", "cell", "zone", "service") {
	case "zone":
		r.DedupScope = logic.DedupZone
	case "cell":
		r.DedupScope = logic.DedupCell
	}
	if r.Idempotency == logic.IdempotentByKey {
		return
	}
	r.DedupScope, r.DedupWindow = logic.DedupTier, 0
	for _, f := range []string{"dedup_window", "dedup_scope", "key"} {
		if c.Has(f) && (f != "key" || x.version >= 2) {
			c.Bad(rules.KeyedFields, f, "only keyed classes are deduplicated")
		}
	}
}

// key reads the field that carries the key of a keyed class.
func (x *decoder) key(c tomldoc.Scope, r *ClassPolicy) {
	key := textproto.CanonicalMIMEHeaderKey(c.Text("key", ""))
	if r.Idempotency != logic.IdempotentByKey {
		return
	}
	r.Key = key
	switch {
	case !c.Has("key"):
		c.Bad(rules.KeyedKey, "key", "the field that carries the key is expected of a keyed class")
	case !route.IsToken(key):
		c.Bad(rules.KeyedKey, "key", "the name of a field expected")
	case slices.Contains(notKeys, key):
		c.Bad(rules.KeyedKey, "key", "a field that is the client's own expected: %s is made or changed on the way", key)
	}
}

// notKeys are fields that a sidecar makes or changes, or that say nothing about a request's identity.
var notKeys = []string{
	"Request-Id", "Host", "Connection", "Content-Length", "Content-Type", "Transfer-Encoding", "Te", "Trailer", "Upgrade",
	"Keep-Alive", "Proxy-Connection", "Date", "Request-Timeout-Ms", "Tenant", "Early-Data", "User-Agent", "Accept",
}

// allowances reads what a class is allowed beyond, or not allowed of, what its repeat rule gives.
func (x *decoder) allowances(c tomldoc.Scope, r *ClassPolicy) {
	usual := r.Resend.String()
	word := c.Word("resend", usual, "never", "scope", "any")
	allowed := map[string]Resend{"never": Never, "scope": InScope, "any": Any}[word]
	switch {
	case r.Idempotency == logic.NonIdempotent && allowed != Never:
		c.Bad(rules.UnsafeResend, "resend", `"never" expected of an unsafe class`)
	case r.Idempotency == logic.IdempotentByKey && allowed == Any:
		c.Bad(rules.KeyedScope, "resend", `"scope" or "never" expected of a keyed class`)
	case r.Idempotency == logic.Idempotent && allowed == InScope:
		c.Bad(rules.KeyedFields, "resend", `"any" or "never" expected of a safe class: it has no scope`)
	default:
		r.Resend = allowed
	}
	if c.Flag("hedge") {
		c.Bad(rules.Hedge, "hedge", "one attempt at a time expected")
	}
	if c.Has("early_data") {
		if r.EarlyData = c.Flag("early_data"); r.EarlyData && r.Idempotency != logic.Idempotent {
			c.Bad(rules.UnsafeEarly, "early_data", "false expected of a class that is not safe")
		}
	}
	c.Take("early_data", "hedge")
}
