package check

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"fernlanding/internal/catalogue"
	"fernlanding/internal/config"
	"fernlanding/internal/membership"
	"fernlanding/internal/rules"
	"fernlanding/internal/tomldoc"
	"fernlanding/logic"
)

// Fleet judges what files say of each other. Files that a sidecar would refuse are left out.
func Fleet(docs []*config.Document, o Options) tomldoc.Diagnostics {
	f := fleet{factor: o.RetryFactor, stated: map[string]*statement{}, ends: map[string]*endpoint{}, shares: map[string]float64{}, circles: map[string]bool{}}
	if f.factor == 0 {
		f.factor = catalogue.DefaultRetryFactor
	}
	for _, d := range docs {
		if d != nil && d.App != nil && d.App.Kind == config.Application {
			f.docs = append(f.docs, d)
		}
	}
	slices.SortStableFunc(f.docs, func(a, b *config.Document) int { return strings.Compare(a.File, b.File) })
	f.names()
	f.hosts()
	f.services()
	f.chains()
	f.moves(o.Deployed)
	return f.faults
}

type fleet struct {
	docs    []*config.Document
	factor  float64
	faults  tomldoc.Diagnostics
	stated  map[string]*statement // by service
	ends    map[string]*endpoint  // by service and name, and by service and address
	shares  map[string]float64
	circles map[string]bool // told
}

func (f *fleet) bad(d *config.Document, rule rules.ID, path []string, found, expect string, see tomldoc.Place) {
	f.faults = append(f.faults, fault(d, rule, path, found, expect, see))
}

func path(words ...string) []string { return words }

// names finds two files of one application.
func (f *fleet) names() {
	seen := map[string]*config.Document{}
	for _, d := range f.docs {
		name := d.App.Name
		if old := seen[name]; old != nil && name != "" {
			at, _ := old.Place("name")
			f.bad(d, rules.AppTwice, path("name"), strconv.Quote(name), "another file is of this application", at)
			continue
		}
		seen[name] = d
	}
}

// hosts finds listeners of two applications that could not both open.
func (f *fleet) hosts() {
	type open struct {
		d       *config.Document
		n       int
		address string
	}
	ports := map[string][]open{} // by host and port
	for _, d := range f.docs {
		if d.App.Host == "" {
			continue
		}
		for n, l := range d.App.Listeners {
			at := d.App.Host + " " + l.Address[strings.LastIndexByte(l.Address, ':')+1:]
			for _, o := range ports[at] {
				if o.d != d && config.AddressesClash(o.address, l.Address) {
					see, _ := o.d.Place("listeners", strconv.Itoa(o.n+1), "address")
					f.bad(d, rules.HostClash, path("listeners", strconv.Itoa(n+1), "address"), strconv.Quote(l.Address),
						fmt.Sprintf("application %s has it on host %s", o.d.App.Name, d.App.Host), see)
					break
				}
			}
			ports[at] = append(ports[at], open{d, n, l.Address})
		}
	}
}

// statement is what the first file that names a service states about it.
type statement struct {
	d       *config.Document // that of the owner's own team, if there is one
	s       *config.Service
	classes map[string]stating // by every name that they have or had
}

type stating struct {
	d    *config.Document
	s    *config.Service
	name string // that the class has there
	rule config.ClassPolicy
}

// services compares what files say of one service.
func (f *fleet) services() {
	// The owner's word is taken for true, where one of its team's applications has it.
	for _, own := range []bool{true, false} {
		for _, d := range f.docs {
			for _, s := range d.App.Services {
				if f.stated[s.Name] == nil && (!own || s.Owner != "" && s.Owner == d.App.Team) {
					f.stated[s.Name] = &statement{d: d, s: s, classes: map[string]stating{}}
				}
			}
		}
	}
	for _, st := range f.stated {
		st.learn(st.d, st.s)
	}
	for _, d := range f.docs {
		for _, s := range d.App.Services {
			st := f.stated[s.Name]
			f.owner(d, s, st)
			for i, name := range s.Classes {
				f.class(d, s, name, s.ClassPolicies[i], st)
			}
			st.learn(d, s)
			f.endpoints(d, s)
			f.share(d, s)
		}
	}
}

// learn notes classes that nobody has stated before.
func (st *statement) learn(d *config.Document, s *config.Service) {
	for i, name := range s.Classes {
		for _, n := range append([]string{name}, s.ClassPolicies[i].FormerNames...) {
			if _, known := st.classes[n]; !known {
				st.classes[n] = stating{d, s, name, s.ClassPolicies[i]}
			}
		}
	}
}

func (f *fleet) owner(d *config.Document, s *config.Service, st *statement) {
	if s.Owner != st.s.Owner && s.Owner != "" && st.s.Owner != "" {
		see, _ := st.d.Place("services", s.Name, "owner")
		f.bad(d, rules.OwnerTwice, path("services", s.Name, "owner"), strconv.Quote(s.Owner), st.s.Owner+" by another file", see)
	}
	if s.SlowStartMultiple > st.s.SlowStartMultiple && st.d != d && (st.s.Owner != "" || st.d.Version > 1) {
		see, _ := st.d.Place("services", s.Name, "cold_multiple")
		f.bad(d, rules.ColdMultiple, path("services", s.Name, "cold_multiple"), number(s.SlowStartMultiple), number(st.s.SlowStartMultiple)+" at most by another file", see)
	}
}

// class compares a class's rule with what is stated of it.
func (f *fleet) class(d *config.Document, s *config.Service, name string, r config.ClassPolicy, st *statement) {
	known, ok := st.classes[name]
	for _, old := range r.FormerNames {
		if !ok {
			known, ok = st.classes[old]
		}
	}
	if !ok || known.d == d {
		return
	}
	if known.name != name {
		see, _ := known.d.Place("services", s.Name, "classes", known.name)
		f.bad(d, rules.ClassFormer, path("services", s.Name, "classes", name), "", known.name+" in another file", see)
	}
	owner := "another file"
	if known.s.Owner != "" {
		owner = fmt.Sprintf("team %s, which owns %s,", known.s.Owner, s.Name)
	}
	for _, c := range []struct {
		field        string
		mine, theirs string
	}{
		{"repeat", config.IdempotencyName(r.Idempotency), config.IdempotencyName(known.rule.Idempotency)},
		{"dedup_scope", config.DedupScopeName(r.DedupScope), config.DedupScopeName(known.rule.DedupScope)},
		{"dedup_window", r.DedupWindow.String(), known.rule.DedupWindow.String()},
		{"key", r.Key, known.rule.Key},
	} {
		if c.mine == c.theirs {
			continue
		}
		see, _ := known.d.Place("services", s.Name, "classes", known.name, c.field)
		f.bad(d, rules.ClassDisagrees, path("services", s.Name, "classes", name, c.field), strconv.Quote(c.mine),
			fmt.Sprintf("%s says %q", owner, c.theirs), see)
		if c.field == "repeat" {
			return // the rest follows
		}
	}
}

type endpoint struct {
	d    *config.Document
	n    int
	cell int
	zone string
}

func (f *fleet) endpoints(d *config.Document, s *config.Service) {
	for n, e := range s.Source.Endpoints {
		for _, key := range endpointKeys(s, e) {
			old := f.ends[key]
			if old == nil {
				f.ends[key] = &endpoint{d, n, e.Cell, e.Zone}
				continue
			}
			if old.d == d || old.cell == e.Cell && old.zone == e.Zone {
				continue
			}
			see, _ := old.d.Place("services", s.Name, "endpoints", strconv.Itoa(old.n+1))
			f.bad(d, rules.PodDisagrees, path("services", s.Name, "endpoints", strconv.Itoa(n+1)), e.Name+" in "+pod(e.Cell, e.Zone), pod(old.cell, old.zone)+" by another file", see)
			break
		}
	}
}

func pod(cell int, zone string) string {
	if zone == "" {
		return fmt.Sprintf("cell %d", cell)
	}
	return fmt.Sprintf("cell %d of zone %s", cell, zone)
}

func (f *fleet) share(d *config.Document, s *config.Service) {
	before := f.shares[s.Name]
	f.shares[s.Name] = before + s.CapacityFraction
	if before <= 1+1e-9 && before+s.CapacityFraction > 1+1e-9 {
		f.bad(d, rules.ShareSum, path("services", s.Name, "share"), number(s.CapacityFraction), "1 at most with those of other applications, "+number(before), tomldoc.Place{})
	}
}

// moves finds endpoints that change their pod while they serve.
func (f *fleet) moves(deployed []*config.Document) {
	was := deployedEndpoints(deployed)
	for _, d := range f.docs {
		for _, s := range d.App.Services {
			for n := range s.Source.Endpoints {
				f.move(d, s, n, was)
			}
		}
	}
}

// deployedEndpoints are the endpoints of files that run now, by the keys of their services and them.
func deployedEndpoints(deployed []*config.Document) map[string]endpoint {
	was := map[string]endpoint{}
	for _, d := range deployed {
		if d == nil || d.App == nil {
			continue
		}
		for _, s := range d.App.Services {
			for n, e := range s.Source.Endpoints {
				for _, key := range endpointKeys(s, e) {
					was[key] = endpoint{d, n, e.Cell, e.Zone}
				}
			}
		}
	}
	return was
}

// endpointKeys are what a service's endpoint is looked up by: its name and its address.
func endpointKeys(s *config.Service, e membership.Endpoint) [2]string {
	return [2]string{s.Name + "\x00" + e.Name, s.Name + "\x00" + e.Address}
}

// move judges whether one endpoint serves and has left a pod that recalls its keys.
func (f *fleet) move(d *config.Document, s *config.Service, n int, was map[string]endpoint) {
	e := s.Source.Endpoints[n]
	if e.Status != membership.Serving {
		return
	}
	for _, key := range endpointKeys(s, e) {
		old, known := was[key]
		if !known {
			continue
		}
		if recalled := recalledFor(s, old, e); recalled > 0 {
			see, _ := old.d.Place("services", s.Name, "endpoints", strconv.Itoa(old.n+1))
			f.bad(d, rules.PodMoves, path("services", s.Name, "endpoints", strconv.Itoa(n+1)), e.Name+" in "+pod(e.Cell, e.Zone),
				fmt.Sprintf("it serves in %s now, where keys are recalled for %v", pod(old.cell, old.zone), recalled), see)
			return
		}
	}
}

// recalledFor is the longest window of the classes whose group of backends an endpoint leaves.
func recalledFor(s *config.Service, old endpoint, e membership.Endpoint) (longest time.Duration) {
	for _, r := range s.ClassPolicies {
		if r.Idempotency == logic.IdempotentByKey && groupOf(old.cell, old.zone, r.DedupScope) != groupOf(e.Cell, e.Zone, r.DedupScope) {
			longest = max(longest, r.DedupWindow)
		}
	}
	return longest
}
