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

// DefaultKey is the header field with the idempotency key in version 1 of the format.
const DefaultKey = "Idempotency-Key"

// invalidKeys are header fields that can't carry an idempotency key, because a sidecar sets or
// changes them or because they do not identify a request.
var invalidKeys = []string{
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
					"duplicate name %q: already a name of another class", tomldoc.Truncate(former))
			}
			formerNames[former] = true
		}
		classScope.ReportUnknown()
		s.Classes = append(s.Classes, names[i])
		s.ClassPolicies = append(s.ClassPolicies, policy)
		s.Balancer.Classes = append(s.Balancer.Classes, class)
	}
	if len(names) == 0 {
		scope.ReportField(rules.Missing, "classes", "must contain at least one class")
	}
}

// class decodes one class. class returns the configuration of the module for the class, and the
// policy of the class's owner.
func (dec *decoder) class(scope tomldoc.Scope) (logic.Class, ClassPolicy) {
	class := logic.Class{
		LatencyObjective:   scope.Duration("objective", 500*time.Millisecond, minDuration, MaxDeadline).Microseconds(),
		Deadline:           scope.Duration("deadline", 2*time.Second, minDuration, MaxDeadline).Microseconds(),
		PriorityWeight:     scope.Float("worth", 1, 0, 1e9),
		LatePriorityFactor: scope.Float("late_worth", 0.5, 0, 1),
		Ordered:            scope.Bool("in_order"),
	}
	if class.LatencyObjective > class.Deadline {
		scope.ReportField(rules.Objective, "objective", "must be at most the deadline of %v", deadlineOf(class))
	}
	policy := dec.policy(scope)
	class.Idempotency, class.DedupScope = policy.Idempotency, policy.DedupScope
	class.DedupWindow = policy.DedupWindow.Microseconds()
	if policy.RetryScope == RetryNever { // the module then retries only requests that have certainly not run
		class.Idempotency, class.DedupScope, class.DedupWindow = logic.NonIdempotent, logic.DedupTier, 0
	}
	return class, policy
}

// policy decodes the statement of a class's owner about repeated runs of a request.
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

// idempotency decodes the idempotency of a class. idempotency returns a policy with the defaults
// that follow from the idempotency.
func (dec *decoder) idempotency(scope tomldoc.Scope) ClassPolicy {
	if !scope.Has("repeat") {
		scope.ReportField(rules.Missing, "repeat",
			`must be "safe", "keyed" or "unsafe"; there is no default because it decides which requests may be retried`)
	}
	switch scope.OneOf("repeat", "safe", "safe", "keyed", "unsafe") {
	case "keyed":
		if !scope.Has("dedup_window") {
			scope.ReportField(rules.Missing, "dedup_window",
				"a keyed class must state the time for which its backends drop duplicates")
		}
		return ClassPolicy{Idempotency: logic.IdempotentByKey, RetryScope: RetryInDedupScope}
	case "unsafe":
		return ClassPolicy{Idempotency: logic.NonIdempotent}
	default:
		return ClassPolicy{Idempotency: logic.Idempotent, RetryScope: RetryAnywhere, EarlyData: true}
	}
}

// deduplication decodes the dedup scope and the dedup window of a keyed class.
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
			scope.ReportField(rules.KeyedFields, field, "applies only to keyed classes")
		}
	}
}

// key decodes the header field with the idempotency key of a keyed class.
func (dec *decoder) key(scope tomldoc.Scope, policy *ClassPolicy) {
	key := textproto.CanonicalMIMEHeaderKey(scope.Text("key", ""))
	if policy.Idempotency != logic.IdempotentByKey {
		return
	}
	policy.Key = key
	switch {
	case !scope.Has("key"):
		scope.ReportField(rules.KeyedKey, "key",
			"missing field %q: a keyed class must name the header field with the key", "key")
	case !route.IsToken(key):
		scope.ReportField(rules.KeyedKey, "key", "must be the name of a header field")
	case slices.Contains(invalidKeys, key):
		scope.ReportField(rules.KeyedKey, "key",
			"must be a header field of the client's own: %s does not identify a request or is set on the way", key)
	}
}

// allowances decodes the settings that narrow or extend what follows from the idempotency of a
// class.
func (dec *decoder) allowances(scope tomldoc.Scope, policy *ClassPolicy) {
	word := scope.OneOf("resend", policy.RetryScope.String(), "never", "scope", "any")
	resend := map[string]RetryScope{"never": RetryNever, "scope": RetryInDedupScope, "any": RetryAnywhere}[word]
	switch {
	case policy.Idempotency == logic.NonIdempotent && resend != RetryNever:
		scope.ReportField(rules.UnsafeResend, "resend", `must be "never" for an unsafe class`)
	case policy.Idempotency == logic.IdempotentByKey && resend == RetryAnywhere:
		scope.ReportField(rules.KeyedScope, "resend", `must be "scope" or "never" for a keyed class`)
	case policy.Idempotency == logic.Idempotent && resend == RetryInDedupScope:
		scope.ReportField(rules.KeyedFields, "resend",
			`must be "any" or "never" for a safe class, which has no dedup scope`)
	default:
		policy.RetryScope = resend
	}
	if scope.Bool("hedge") {
		scope.ReportField(rules.Hedge, "hedge", "must be false: a request has one attempt at a time")
	}
	if scope.Has("early_data") {
		policy.EarlyData = scope.Bool("early_data")
		if policy.EarlyData && policy.Idempotency != logic.Idempotent {
			scope.ReportField(rules.UnsafeEarly, "early_data", "must be false for a class that is not safe")
		}
	}
	scope.MarkKnown("early_data", "hedge")
}
