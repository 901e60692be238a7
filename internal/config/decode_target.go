package config

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"fernlanding/internal/route"
	"fernlanding/internal/rules"
	"fernlanding/internal/tomldoc"
	"fernlanding/logic"
)

// maxNamesListed is the maximum number of names that a diagnostic lists.
const maxNamesListed = 8

// targets decodes the targets of a route.
func (dec *decoder) targets(scope tomldoc.Scope, r *Route) {
	arms := scope.TableArray("split")
	if len(arms) > 0 && (scope.Has("service") || scope.Has("class")) {
		scope.ReportField(rules.Exclusive, "split", "service and class are not allowed with split")
	}
	if len(arms) == 0 {
		if scope.Has("sticky_header") {
			scope.ReportField(rules.Exclusive, "sticky_header", "requires split")
		}
		r.Targets = []Target{dec.target(scope, 1)}
		scope.MarkKnown("split")
	} else {
		scope.MarkKnown("service", "class")
		r.Targets = dec.split(scope, arms)
	}
	dec.checkTargets(scope, r)
	r.Mirror = dec.mirror(scope, r.Targets)
}

// split decodes the arms of a split and their weights.
func (dec *decoder) split(scope tomldoc.Scope, arms []tomldoc.Scope) []Target {
	var targets []Target
	var weights []route.Arm
	for _, arm := range arms {
		target := dec.target(arm, int(arm.Int("weight", 0, 0, route.MaxWeight)))
		if !arm.Has("weight") {
			arm.ReportField(rules.Missing, "weight", "must be from 0 to %d", route.MaxWeight)
		}
		arm.ReportUnknown()
		targets = append(targets, target)
		weights = append(weights, route.Arm{Name: target.Service, Weight: target.Weight})
	}
	if _, err := route.NewSplit("", weights); err != nil {
		scope.ReportField(rules.SplitWeights, "split", "%v", err)
	}
	return targets
}

// target decodes one target. The class is optional if the service has only one class.
func (dec *decoder) target(scope tomldoc.Scope, weight int) Target {
	target := Target{Service: scope.Text("service", ""), Class: scope.Text("class", ""), Weight: weight}
	s := dec.app.Service(target.Service)
	if s == nil {
		var names []string
		for _, other := range dec.app.Services {
			names = append(names, other.Name)
		}
		scope.ReportField(rules.UnknownService, "service", "%s",
			withNames("must be one of the services", target.Service, names))
		return target
	}
	if target.Class == "" && len(s.Classes) == 1 && !scope.Has("class") {
		target.Class = s.Classes[0]
	}
	if s.Class(target.Class) < 0 {
		dec.reportUnknownClass(scope, s, target.Class)
	}
	return target
}

// reportUnknownClass reports a class that the service does not have, or has under a new name.
func (dec *decoder) reportUnknownClass(scope tomldoc.Scope, s *Service, class string) {
	renamed := slices.IndexFunc(s.ClassPolicies, func(policy ClassPolicy) bool {
		return slices.Contains(policy.FormerNames, class)
	})
	if renamed >= 0 {
		scope.ReportField(rules.ClassRenamed, "class", "must be %s, the new name of the class", s.Classes[renamed])
		return
	}
	scope.ReportField(rules.UnknownClass, "class", "%s",
		withNames("must be one of the classes of "+s.Name, class, s.Classes))
}

// withNames returns text followed by the name that is nearest to word or, if there is none, by the
// first names.
func withNames(text, word string, names []string) string {
	if guess := tomldoc.WithSuggestion(text, word, names); guess != text && word != "" {
		return guess
	}
	if len(names) > maxNamesListed {
		more := fmt.Sprintf("and %d more", len(names)-maxNamesListed)
		names = append(slices.Clone(names[:maxNamesListed]), more)
	}
	return text + ": " + strings.Join(names, ", ")
}

// checkTargets reports arms of a split with different idempotencies, and a timeout that is invalid
// for the class of a target.
func (dec *decoder) checkTargets(scope tomldoc.Scope, r *Route) {
	first := -1 // index of the first target with a known class; unknown classes have been reported
	for i, target := range r.Targets {
		class, policy, ok := dec.app.class(target)
		if !ok {
			continue
		}
		if first < 0 {
			first = i
			dec.checkSticky(scope, r, target, policy)
		} else {
			dec.checkAgreement(scope, r.Targets[first], target)
		}
		checkTimeout(scope, r, target, class)
	}
}

// checkSticky reports a split of a keyed class whose arm is selected by another header field than
// the key.
func (dec *decoder) checkSticky(scope tomldoc.Scope, r *Route, target Target, policy ClassPolicy) {
	if policy.Idempotency != logic.IdempotentByKey || len(r.Targets) == 1 ||
		r.StickyHeader == "" || r.StickyHeader == policy.Key {
		return
	}
	scope.ReportField(rules.SplitScope, "sticky_header",
		"must be the key of class %s of %s: requests with the same key may have different values of %s",
		target.Class, target.Service, r.StickyHeader)
}

// checkAgreement reports two arms of a split whose classes have different policies for repeated
// runs of a request.
func (dec *decoder) checkAgreement(scope tomldoc.Scope, first, other Target) {
	_, a, _ := dec.app.class(first)
	_, b, _ := dec.app.class(other)
	if a.Idempotency != b.Idempotency {
		scope.ReportField(rules.SplitRepeat, "split",
			"arms have different repeat rules: %s of %s is %s, %s of %s is %s",
			first.Class, first.Service, IdempotencyName(a.Idempotency),
			other.Class, other.Service, IdempotencyName(b.Idempotency))
		return
	}
	if a.Idempotency == logic.IdempotentByKey && a.isDeduplicated() && b.isDeduplicated() {
		checkSameDeduplication(scope, first, a, other, b)
	}
}

// isDeduplicated reports whether the policy has a key and a window. A missing key or window is
// reported separately.
func (p ClassPolicy) isDeduplicated() bool { return p.Key != "" && p.DedupWindow > 0 }

// checkSameDeduplication reports two arms of a keyed split that differ in the scope, window or key.
func checkSameDeduplication(scope tomldoc.Scope, first Target, a ClassPolicy, other Target, b ClassPolicy) {
	for _, field := range []struct {
		name string
		a, b any
	}{
		{"dedup_scope", DedupScopeName(a.DedupScope), DedupScopeName(b.DedupScope)},
		{"dedup_window", a.DedupWindow, b.DedupWindow},
		{"key", a.Key, b.Key},
	} {
		if field.a != field.b {
			scope.ReportField(rules.SplitScope, "split", "arms have a different %s: %s of %s has %v, %s of %s has %v",
				field.name, first.Class, first.Service, field.a, other.Class, other.Service, field.b)
		}
	}
}

// checkTimeout reports a timeout of a route that is longer than the deadline of a target's class or
// shorter than the latency objective of the class.
func checkTimeout(scope tomldoc.Scope, r *Route, target Target, class logic.Class) {
	if deadline := deadlineOf(class); r.Timeout > deadline {
		scope.ReportField(rules.LimitDeadline, "timeout", "must be at most the deadline of %v of class %s",
			deadline, target.Class)
	}
	objective := time.Duration(class.LatencyObjective) * time.Microsecond
	if r.Timeout > 0 && r.Timeout < objective {
		scope.ReportField(rules.LimitObjective, "timeout", "must be at least the objective of %v of class %s of %s",
			objective, target.Class, target.Service)
	}
}

// mirror decodes the target of copies, or returns nil if there is none. A copy is sent in addition
// to the request itself, so only requests of idempotent classes may be copied.
func (dec *decoder) mirror(scope tomldoc.Scope, targets []Target) *Target {
	if !scope.Has("mirror") {
		scope.MarkKnown("mirror")
		return nil
	}
	mirrorScope := scope.Table("mirror")
	mirror := dec.target(mirrorScope, 0)
	mirrorScope.ReportUnknown()
	for _, target := range targets {
		if _, policy, ok := dec.app.class(target); ok && policy.Idempotency != logic.Idempotent {
			scope.ReportField(rules.Mirror, "mirror",
				"class of the route is %s: a copy of a request would have the effect twice",
				IdempotencyName(policy.Idempotency))
			break
		}
	}
	if _, policy, ok := dec.app.class(mirror); ok && policy.Idempotency != logic.Idempotent {
		scope.ReportField(rules.Mirror, "mirror", "class %s of %s is %s: only safe classes may get copies",
			mirror.Class, mirror.Service, IdempotencyName(policy.Idempotency))
	}
	return &mirror
}
