package config

import (
	"net/textproto"
	"slices"
	"time"

	"fernlanding/internal/route"
	"fernlanding/internal/rules"
	"fernlanding/internal/tomldoc"
	"fernlanding/logic"
)

// DefaultKey is the field that carries an idempotency key in version 1 of the format.
const DefaultKey = "Idempotency-Key"

// notKeys are fields that a sidecar makes or changes, or that say nothing about a request's
// identity.
var notKeys = []string{
	"Request-Id", "Host", "Connection", "Content-Length", "Content-Type", "Transfer-Encoding", "Te",
	"Trailer", "Upgrade", "Keep-Alive", "Proxy-Connection", "Date", "Request-Timeout-Ms", "Tenant",
	"Early-Data", "User-Agent", "Accept",
}

// classes decodes the classes of a service.
func (dec *decoder) classes(scope tomldoc.Scope, s *Service) {
	names, scopes := scope.Tables("classes")
	formerNames := map[string]bool{}
	for i, classScope := range scopes {
		CheckName(classScope, "", names[i])
		class, policy := dec.class(classScope)
		for _, former := range policy.FormerNames {
			if formerNames[former] || slices.Contains(names, former) {
				classScope.ReportField(rules.DoubleName, "formerly",
					"%q is a name of another class too", tomldoc.Truncate(former))
			}
			formerNames[former] = true
		}
		classScope.ReportUnknown()
		s.Classes = append(s.Classes, names[i])
		s.ClassPolicies = append(s.ClassPolicies, policy)
		s.Balancer.Classes = append(s.Balancer.Classes, class)
	}
	if len(names) == 0 {
		scope.ReportField(rules.Missing, "classes", "one class at least expected")
	}
}

// class decodes one class: what the module is configured with, and its owner's policy.
func (dec *decoder) class(scope tomldoc.Scope) (logic.Class, ClassPolicy) {
	class := logic.Class{
		LatencyObjective:   scope.Duration("objective", 500*time.Millisecond, minTime, MaxDeadline).Microseconds(),
		Deadline:           scope.Duration("deadline", 2*time.Second, minTime, MaxDeadline).Microseconds(),
		PriorityWeight:     scope.Float("worth", 1, 0, 1e9),
		LatePriorityFactor: scope.Float("late_worth", 0.5, 0, 1),
		Ordered:            scope.Bool("in_order"),
	}
	if class.LatencyObjective > class.Deadline {
		scope.ReportField(rules.Objective, "objective", "the deadline (%v) expected at most", deadlineOf(class))
	}
	policy := dec.policy(scope)
	class.Idempotency, class.DedupScope = policy.Idempotency, policy.DedupScope
	class.DedupWindow = policy.DedupWindow.Microseconds()
	if policy.RetryScope == RetryNever { // the module retries what has certainly not run, and nothing else
		class.Idempotency, class.DedupScope, class.DedupWindow = logic.NonIdempotent, logic.DedupTier, 0
	}
	return class, policy
}

// policy decodes what a class's owner states about running a request again.
func (dec *decoder) policy(scope tomldoc.Scope) ClassPolicy {
	policy := dec.idempotency(scope)
	dec.deduplication(scope, &policy)
	if dec.version < 2 {
		if policy.Idempotency == logic.IdempotentByKey {
			policy.Key = DefaultKey
		}
		return policy
	}
	dec.key(scope, &policy)
	dec.allowances(scope, &policy)
	policy.FormerNames = scope.Strings("formerly")
	for _, former := range policy.FormerNames {
		CheckName(scope, "formerly", former)
	}
	return policy
}

// idempotency decodes whether a class is idempotent, and with it the default allowances.
func (dec *decoder) idempotency(scope tomldoc.Scope) ClassPolicy {
	if !scope.Has("repeat") {
		scope.ReportField(rules.Missing, "repeat",
			`"safe", "keyed" or "unsafe" expected: it decides what may be sent again, so there is no default`)
	}
	switch scope.OneOf("repeat", "safe", "safe", "keyed", "unsafe") {
	case "keyed":
		if !scope.Has("dedup_window") {
			scope.ReportField(rules.Missing, "dedup_window",
				"how long its servers recall a key is expected of a keyed class")
		}
		return ClassPolicy{Idempotency: logic.IdempotentByKey, RetryScope: RetryInDedupScope}
	case "unsafe":
		return ClassPolicy{Idempotency: logic.NonIdempotent}
	default:
		return ClassPolicy{Idempotency: logic.Idempotent, RetryScope: RetryAnywhere, EarlyData: true}
	}
}

// deduplication decodes which backends drop the duplicates of a keyed class, and for how long.
func (dec *decoder) deduplication(scope tomldoc.Scope, policy *ClassPolicy) {
	policy.DedupWindow = scope.Duration("dedup_window", 0, 0, time.Hour)
	switch scope.OneOf("dedup_scope", "cell", "cell", "zone", "service") {
	case "zone":
		policy.DedupScope = logic.DedupZone
	case "cell":
		policy.DedupScope = logic.DedupCell
	}
	if policy.Idempotency == logic.IdempotentByKey {
		return
	}
	policy.DedupScope, policy.DedupWindow = logic.DedupTier, 0
	for _, field := range []string{"dedup_window", "dedup_scope", "key"} {
		if scope.Has(field) && (field != "key" || dec.version >= 2) {
			scope.ReportField(rules.KeyedFields, field, "only keyed classes are deduplicated")
		}
	}
}

// key decodes the field that carries the idempotency key of a keyed class.
func (dec *decoder) key(scope tomldoc.Scope, policy *ClassPolicy) {
	key := textproto.CanonicalMIMEHeaderKey(scope.Text("key", ""))
	if policy.Idempotency != logic.IdempotentByKey {
		return
	}
	policy.Key = key
	switch {
	case !scope.Has("key"):
		scope.ReportField(rules.KeyedKey, "key", "the field that carries the key is expected of a keyed class")
	case !route.IsToken(key):
		scope.ReportField(rules.KeyedKey, "key", "the name of a field expected")
	case slices.Contains(notKeys, key):
		scope.ReportField(rules.KeyedKey, "key",
			"a field that is the client's own expected: %s is made or changed on the way", key)
	}
}

// allowances decodes what a class is allowed or denied beside what follows from its idempotency.
func (dec *decoder) allowances(scope tomldoc.Scope, policy *ClassPolicy) {
	word := scope.OneOf("resend", policy.RetryScope.String(), "never", "scope", "any")
	resend := map[string]RetryScope{"never": RetryNever, "scope": RetryInDedupScope, "any": RetryAnywhere}[word]
	switch {
	case policy.Idempotency == logic.NonIdempotent && resend != RetryNever:
		scope.ReportField(rules.UnsafeResend, "resend", `"never" expected of an unsafe class`)
	case policy.Idempotency == logic.IdempotentByKey && resend == RetryAnywhere:
		scope.ReportField(rules.KeyedScope, "resend", `"scope" or "never" expected of a keyed class`)
	case policy.Idempotency == logic.Idempotent && resend == RetryInDedupScope:
		scope.ReportField(rules.KeyedFields, "resend", `"any" or "never" expected of a safe class: it has no scope`)
	default:
		policy.RetryScope = resend
	}
	if scope.Bool("hedge") {
		scope.ReportField(rules.Hedge, "hedge", "one attempt at a time expected")
	}
	if scope.Has("early_data") {
		policy.EarlyData = scope.Bool("early_data")
		if policy.EarlyData && policy.Idempotency != logic.Idempotent {
			scope.ReportField(rules.UnsafeEarly, "early_data", "false expected of a class that is not safe")
		}
	}
	scope.MarkKnown("early_data", "hedge")
}
