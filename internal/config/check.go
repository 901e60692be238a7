package config

import (
	"fernlanding/internal/rules"
	"fernlanding/internal/tomldoc"
	"fernlanding/logic"
	"fmt"
)

// check looks at a file that has been read as a whole: its limits, and what its parts say of each other.
func (x *decoder) check(s tomldoc.Scope) {
	a := x.app
	if _, err := a.Descriptors(); err != nil {
		s.Sub("process").Bad(rules.Sockets, "sockets", "%v", err)
	}
	if _, err := a.Memory(); err != nil {
		s.Sub("process").Bad(rules.Memory, "memory_mb", "%v", err)
	}
	used := map[[2]string]bool{}
	for i := range a.Routes {
		r := &a.Routes[i]
		at := tomldoc.Scope{Reader: s.Reader, V: s.V.Fields["routes"].Items[i], Path: fmt.Sprintf("routes[%d]", i+1)}
		targets := r.To
		if r.Mirror != nil {
			targets = append(targets[:len(targets):len(targets)], *r.Mirror)
		}
		for n, t := range targets {
			used[[2]string{t.Service, t.Class}], used[[2]string{t.Service}] = true, true
			if _, rule, ok := a.class(t); ok && n < len(r.To) && rule.Idempotency == logic.IdempotentByKey && rule.Resend != Never {
				if limit := a.Deadline(r, t); limit > rule.DedupWindow {
					at.Bad(rules.KeyedWindow, "timeout", "its requests may take %v, class %s of %s is recalled for %v", limit, t.Class, t.Service, rule.DedupWindow)
				}
			}
		}
	}
	for _, v := range a.Services {
		at, _ := s.V.At("services", v.Name)
		if !used[[2]string{v.Name}] {
			s.Fault(at, rules.Unused, "services."+v.Name, "", "a route to it expected")
			continue
		}
		for _, c := range v.Classes {
			if !used[[2]string{v.Name, c}] {
				at, _ := s.V.At("services", v.Name, "classes", c)
				s.Fault(at, rules.Unused, "services."+v.Name+".classes."+c, "", "a route to it expected")
			}
		}
	}
}

// DedupScopeName is the word for a scope.
func DedupScopeName(g logic.DedupScope) string {
	return [...]string{logic.DedupTier: "service", logic.DedupZone: "zone", logic.DedupCell: "cell"}[g]
}
