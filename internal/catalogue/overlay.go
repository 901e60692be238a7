package catalogue

import (
	"fmt"
	"slices"
	"strings"

	"fernlanding/internal/rules"
	"fernlanding/internal/tomldoc"
)

// repeatFields say what may run again. No environment touches them: what is tested is to be what runs.
var repeatFields = []string{"repeat", "dedup_scope", "dedup_window", "key", "resend", "early_data", "hedge", "formerly", "in_order"}

// declared are the tables whose entries an environment can't invent.
var declared = []string{"services", "applications", "classes", "calls"}

// overlay is the catalogue with an environment's figures in it; the empty name stands for none.
func (c *Catalogue) overlay(name string, r *tomldoc.Reader) (*tomldoc.Value, bool) {
	root := c.root.Clone()
	if name == "" {
		return root, true
	}
	env := c.env.Fields[name]
	if env == nil {
		expect := "one of the environments expected: " + strings.Join(c.Environments(), ", ")
		if near := tomldoc.Nearest(name, c.Environments()); near != "" {
			expect = near + " meant?"
		}
		r.Faults = append(r.Faults, tomldoc.Diagnostic{Place: tomldoc.Place{File: c.root.Place.File}, Rule: rules.UnknownEnv, Field: "environments", Found: fmt.Sprintf("%q", tomldoc.Clip(name)), Expect: expect})
		return nil, false
	}
	o := overlayer{r, name}
	for _, k := range env.Keys {
		v := env.Fields[k]
		switch {
		case k == "fleet" && v.Kind == tomldoc.Table:
			if root.Fields["fleet"] == nil {
				root.Set("fleet", tomldoc.NewTable(v.Place))
			}
			o.put(root.Fields["fleet"], v, []string{"fleet"})
		case (k == "services" || k == "applications") && v.Kind == tomldoc.Table:
			o.put(root.Fields[k], v, []string{k})
		default:
			r.Fault(v, rules.UnknownField, "environments."+name+"."+k, "", "unknown field; known here: applications, fleet, services")
		}
	}
	return root, true
}

type overlayer struct {
	*tomldoc.Reader
	env string
}

// put puts an environment's table over one of the catalogue. Arrays are replaced as a whole.
func (o *overlayer) put(into, v *tomldoc.Value, path []string) {
	for _, k := range v.Keys {
		over, old := v.Fields[k], into.Fields[k]
		at := append(path[:len(path):len(path)], k)
		field := "environments." + o.env + "." + strings.Join(at, ".")
		if slices.Contains(path, "classes") && slices.Contains(repeatFields, k) {
			o.Fault(over, rules.OverlayRepeat, field, "", "the catalogue's own expected")
			continue
		}
		if old == nil && slices.Contains(declared, path[len(path)-1]) {
			var known []string
			for name := range into.Fields {
				known = append(known, name)
			}
			slices.Sort(known)
			expect := "nothing of that name is declared"
			if near := tomldoc.Nearest(k, known); near != "" {
				expect += "; " + near + " meant?"
			}
			o.Fault(over, rules.OverlayNothing, field, "", expect)
			continue
		}
		if old != nil && old.Kind == tomldoc.Table && over.Kind == tomldoc.Table {
			o.put(old, over, at)
			continue
		}
		if over.Kind == tomldoc.Table && old == nil { // an optional table, which may hold a forbidden field
			old = tomldoc.NewTable(over.Place)
			into.Set(k, old)
			o.put(old, over, at)
			continue
		}
		into.Set(k, over.Clone())
	}
}
