package config

import (
	"fernlanding/internal/route"
	"fernlanding/internal/rules"
	"fernlanding/internal/tomldoc"
	"fernlanding/logic"
	"fmt"
	"slices"
	"strings"
	"time"
)

// targets reads where a route leads.
func (x *decoder) targets(s tomldoc.Scope, r *Route) {
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
		x.split(s, r, sides)
	}
	x.checkTargets(s, r)
	x.mirror(s, r)
}

// split reads the sides of a split and their weights.
func (x *decoder) split(s tomldoc.Scope, r *Route, sides []tomldoc.Scope) {
	var weights []route.Arm
	for _, side := range sides {
		t := x.target(side, int(side.Whole("weight", 0, 0, route.MaxWeight)))
		if !side.Has("weight") {
			side.Bad(rules.Missing, "weight", "0 to %d expected", route.MaxWeight)
		}
		side.Done()
		r.To, weights = append(r.To, t), append(weights, route.Arm{Name: t.Service, Weight: t.Weight})
	}
	if _, err := route.NewSplit("", weights); err != nil {
		s.Bad(rules.SplitWeights, "split", "%v", err)
	}
}

// checkTargets faults sides of a split that disagree on what may be repeated, and a time limit that doesn't fit its classes.
func (x *decoder) checkTargets(s tomldoc.Scope, r *Route) {
	first := -1
	for i, t := range r.To {
		k, rule, ok := x.app.class(t)
		if !ok {
			continue // said already
		}
		if first < 0 {
			first = i
		} else {
			x.checkAgreement(s, r.To[first], t)
		}
		x.checkTimeout(s, r, t, k)
		if rule.Idempotency == logic.IdempotentByKey && len(r.To) > 1 && r.Sticky != "" && r.Sticky != rule.Key && i == first {
			s.Bad(rules.SplitScope, "sticky_header", "class %s of %s is keyed: one key may come with two values of %s", t.Class, t.Service, r.Sticky)
		}
	}
}

// checkAgreement faults two sides of a split whose classes state different things about a repeat.
func (x *decoder) checkAgreement(s tomldoc.Scope, first, other Target) {
	_, a, _ := x.app.class(first)
	_, b, _ := x.app.class(other)
	if a.Idempotency != b.Idempotency {
		s.Bad(rules.SplitRepeat, "split", "its sides disagree on what may be repeated: %s of %s is %s, %s of %s is %s",
			first.Class, first.Service, IdempotencyName(a.Idempotency), other.Class, other.Service, IdempotencyName(b.Idempotency))
		return
	}
	told := func(r ClassPolicy) bool { return r.Key != "" && r.DedupWindow > 0 }
	if a.Idempotency == logic.IdempotentByKey && told(a) && told(b) {
		sameScope(s, first, a, other, b)
	}
}

// checkTimeout faults a time limit of a route that is over the deadline of a class that it leads to, or under its objective.
func (x *decoder) checkTimeout(s tomldoc.Scope, r *Route, t Target, k logic.Class) {
	if deadline := time.Duration(k.Deadline) * time.Microsecond; r.Timeout > deadline {
		s.Bad(rules.LimitDeadline, "timeout", "the deadline of class %s (%v) expected at most", t.Class, deadline)
	}
	if aim := time.Duration(k.LatencyObjective) * time.Microsecond; r.Timeout > 0 && r.Timeout < aim {
		s.Bad(rules.LimitObjective, "timeout", "the objective of class %s of %s (%v) expected at least", t.Class, t.Service, aim)
	}
}

// sameScope faults two sides of a keyed split that differ in what they say about their keys.
func sameScope(s tomldoc.Scope, a Target, x ClassPolicy, b Target, y ClassPolicy) {
	for _, c := range []struct {
		what string
		x, y any
	}{{"dedup_scope", DedupScopeName(x.DedupScope), DedupScopeName(y.DedupScope)}, {"dedup_window", x.DedupWindow, y.DedupWindow}, {"key", x.Key, y.Key}} {
		if c.x != c.y {
			s.Bad(rules.SplitScope, "split", "its sides disagree on %s: %s of %s has %v, %s of %s has %v", c.what, a.Class, a.Service, c.x, b.Class, b.Service, c.y)
		}
	}
}

// mirror reads where copies go. A copy is sent beside the request itself and is nobody's retry: a class that may not
// run twice has no copies.
func (x *decoder) mirror(s tomldoc.Scope, r *Route) {
	if !s.Has("mirror") {
		s.Take("mirror")
		return
	}
	m := s.Sub("mirror")
	t := x.target(m, 0)
	m.Done()
	for _, to := range r.To {
		if _, rule, ok := x.app.class(to); ok && rule.Idempotency != logic.Idempotent {
			s.Bad(rules.Mirror, "mirror", "the route's class is %s: a copy of its requests would let an effect happen twice", IdempotencyName(rule.Idempotency))
			break
		}
	}
	if _, rule, ok := x.app.class(t); ok && rule.Idempotency != logic.Idempotent {
		s.Bad(rules.Mirror, "mirror", "class %s of %s is %s: copies go to safe classes alone", t.Class, t.Service, IdempotencyName(rule.Idempotency))
	}
	r.Mirror = &t
}

// target reads one service and class that a route leads to; a service with one class alone needs no class beside it.
func (x *decoder) target(s tomldoc.Scope, weight int) Target {
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
	if v.Class(t.Class) >= 0 {
		return t
	}
	renamed := slices.IndexFunc(v.ClassPolicies, func(r ClassPolicy) bool { return slices.Contains(r.FormerNames, t.Class) })
	if renamed >= 0 {
		s.Bad(rules.ClassRenamed, "class", "%s expected: that is its name now", v.Classes[renamed])
	} else {
		s.Bad(rules.UnknownClass, "class", "%s", oneOf("one of the classes of "+t.Service+" expected", t.Class, v.Classes))
	}
	return t
}

// oneOf words a list of names, and the near one where there is one.
func oneOf(what, word string, names []string) string {
	if guess := tomldoc.Guess(what, word, names); guess != what && word != "" {
		return guess
	}
	if len(names) > 8 {
		names = append(slices.Clone(names[:8]), fmt.Sprintf("and %d more", len(names)-8))
	}
	return what + ": " + strings.Join(names, ", ")
}

// class is what the module is told of a target's class, and what its owner states; false where there is no such class.
func (a *App) class(t Target) (logic.Class, ClassPolicy, bool) {
	if v := a.Service(t.Service); v != nil {
		if i := v.Class(t.Class); i >= 0 {
			return v.Balancer.Classes[i], v.ClassPolicies[i], true
		}
	}
	return logic.Class{}, ClassPolicy{}, false
}
