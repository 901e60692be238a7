package config

import (
	"fmt"
	"strings"

	"fernlanding/internal/rules"
	"fernlanding/internal/tomldoc"
	"fernlanding/logic"
)

// check checks the limits of a decoded file, and whether its tables are consistent.
func (dec *decoder) check(root tomldoc.Scope) {
	if _, err := dec.app.Descriptors(); err != nil {
		root.Table("process").ReportField(rules.Sockets, "sockets", "%v", err)
	}
	if _, err := dec.app.Memory(); err != nil {
		root.Table("process").ReportField(rules.Memory, "memory_mb", "%v", err)
	}
	for i := range dec.app.Routes {
		r := &dec.app.Routes[i]
		scope := tomldoc.Scope{
			Collector: root.Collector,
			Value:     root.Value.Fields["routes"].Items[i],
			Path:      fmt.Sprintf("routes[%d]", i+1),
		}
		for _, target := range r.Targets {
			dec.checkWindow(scope, r, target)
		}
	}
	dec.checkUse(root)
}

// checkWindow reports a route whose requests may be retried after the dedup window of the class.
func (dec *decoder) checkWindow(scope tomldoc.Scope, r *Route, target Target) {
	_, policy, ok := dec.app.class(target)
	if !ok || policy.Idempotency != logic.IdempotentByKey || policy.RetryScope == RetryNever {
		return
	}
	if deadline := dec.app.Deadline(r, target); deadline > policy.DedupWindow {
		scope.ReportField(rules.KeyedWindow, "timeout",
			"duration of requests of %v exceeds the dedup window of %v of class %s of %s",
			deadline, policy.DedupWindow, target.Class, target.Service)
	}
}

// checkUse warns of services and classes that no route uses.
func (dec *decoder) checkUse(root tomldoc.Scope) {
	usedServices, usedClasses := map[string]bool{}, map[[2]string]bool{}
	use := func(target Target) {
		usedServices[target.Service] = true
		usedClasses[[2]string{target.Service, target.Class}] = true
	}
	for _, r := range dec.app.Routes {
		for _, target := range r.Targets {
			use(target)
		}
		if r.Mirror != nil {
			use(*r.Mirror)
		}
	}
	for _, s := range dec.app.Services {
		if !usedServices[s.Name] {
			dec.warnUnused(root, "services", s.Name)
			continue
		}
		for _, class := range s.Classes {
			if !usedClasses[[2]string{s.Name, class}] {
				dec.warnUnused(root, "services", s.Name, "classes", class)
			}
		}
	}
}

// warnUnused warns of the unused service or class at a path.
func (dec *decoder) warnUnused(root tomldoc.Scope, path ...string) {
	at, _ := root.Value.Lookup(path...)
	root.ReportAt(at, rules.Unused, strings.Join(path, "."), "", "unused: no route leads to it")
}
