package check

import (
	"fmt"
	"strconv"

	"fernlanding/internal/config"
	"fernlanding/internal/rules"
	"fernlanding/internal/tomldoc"
)

// rounding is what sums and products of configured numbers may be off by.
const rounding = 1e-9

// serviceStatement is what other files that name a service are compared with.
type serviceStatement struct {
	doc     *config.Document // of the owner's team if it has one, else the first by name
	service *config.Service
	classes map[string]classStatement // by every current and former name
}

// classStatement is what other files that name a class are compared with.
type classStatement struct {
	doc     *config.Document
	service *config.Service
	name    string // of the class in that file
	policy  config.ClassPolicy
}

// checkServices compares what files say of one service.
func (f *fleet) checkServices() {
	// The owner is right about a service, where an application of its team calls it.
	f.findStatements(true)
	f.findStatements(false)
	for _, st := range f.statements {
		st.addClasses(st.doc, st.service)
	}
	for _, doc := range f.docs {
		for _, s := range doc.App.Services {
			st := f.statements[s.Name]
			f.checkOwner(doc, s, st)
			for i, name := range s.Classes {
				f.checkClass(doc, s, name, s.ClassPolicies[i], st)
			}
			st.addClasses(doc, s)
			f.checkEndpoints(doc, s)
			f.checkCapacity(doc, s)
		}
	}
}

// findStatements sets the statement of each service that has none yet, by the owners' files alone
// or by any.
func (f *fleet) findStatements(ownersOnly bool) {
	for _, doc := range f.docs {
		for _, s := range doc.App.Services {
			isOwners := s.Owner != "" && s.Owner == doc.App.Team
			if f.statements[s.Name] == nil && (isOwners || !ownersOnly) {
				f.statements[s.Name] = &serviceStatement{
					doc: doc, service: s, classes: map[string]classStatement{},
				}
			}
		}
	}
}

// addClasses adds the classes that no file has stated before.
func (st *serviceStatement) addClasses(doc *config.Document, s *config.Service) {
	for i, name := range s.Classes {
		policy := s.ClassPolicies[i]
		for _, known := range append([]string{name}, policy.FormerNames...) {
			if _, isStated := st.classes[known]; !isStated {
				st.classes[known] = classStatement{doc: doc, service: s, name: name, policy: policy}
			}
		}
	}
}

// find returns the statement of a class by its name, else by a former one.
func (st *serviceStatement) find(name string, policy config.ClassPolicy) (classStatement, bool) {
	stated, ok := st.classes[name]
	for _, former := range policy.FormerNames {
		if !ok {
			stated, ok = st.classes[former]
		}
	}
	return stated, ok
}

// checkOwner compares a service's owner and the bounds that the owner states.
func (f *fleet) checkOwner(doc *config.Document, s *config.Service, st *serviceStatement) {
	stated := st.service
	if s.Owner != stated.Owner && s.Owner != "" && stated.Owner != "" {
		see, _ := st.doc.Place("services", s.Name, "owner")
		f.report(doc, rules.OwnerTwice, path("services", s.Name, "owner"), strconv.Quote(s.Owner),
			stated.Owner+" by another file", see)
	}
	hasBound := stated.Owner != "" || st.doc.Version > 1
	if s.SlowStartMultiple > stated.SlowStartMultiple && st.doc != doc && hasBound {
		see, _ := st.doc.Place("services", s.Name, "cold_multiple")
		f.report(doc, rules.ColdMultiple, path("services", s.Name, "cold_multiple"),
			formatNumber(s.SlowStartMultiple), formatNumber(stated.SlowStartMultiple)+" at most by another file", see)
	}
}

// checkClass compares a class's policy with its statement.
func (f *fleet) checkClass(
	doc *config.Document, s *config.Service, name string, policy config.ClassPolicy, st *serviceStatement,
) {
	stated, ok := st.find(name, policy)
	if !ok || stated.doc == doc {
		return
	}
	if stated.name != name {
		see, _ := stated.doc.Place("services", s.Name, "classes", stated.name)
		f.report(doc, rules.ClassFormer, path("services", s.Name, "classes", name), "",
			stated.name+" in another file", see)
	}
	owner := "another file"
	if stated.service.Owner != "" {
		owner = fmt.Sprintf("team %s, which owns %s,", stated.service.Owner, s.Name)
	}
	for _, field := range comparedFields(policy, stated.policy) {
		if field.value == field.stated {
			continue
		}
		see, _ := stated.doc.Place("services", s.Name, "classes", stated.name, field.name)
		f.report(doc, rules.ClassDisagrees, path("services", s.Name, "classes", name, field.name),
			strconv.Quote(field.value), fmt.Sprintf("%s says %q", owner, field.stated), see)
		if field.name == "repeat" {
			return // the other fields follow from the idempotency
		}
	}
}

// comparedField is a field of a class in two files.
type comparedField struct {
	name          string
	value, stated string
}

// comparedFields returns the fields in which all files that name a class have to agree.
func comparedFields(policy, stated config.ClassPolicy) []comparedField {
	return []comparedField{
		{
			name:   "repeat",
			value:  config.IdempotencyName(policy.Idempotency),
			stated: config.IdempotencyName(stated.Idempotency),
		},
		{
			name:   "dedup_scope",
			value:  config.DedupScopeName(policy.DedupScope),
			stated: config.DedupScopeName(stated.DedupScope),
		},
		{name: "dedup_window", value: policy.DedupWindow.String(), stated: stated.DedupWindow.String()},
		{name: "key", value: policy.Key, stated: stated.Key},
	}
}

// checkCapacity reports the file with which the capacity fractions of a service's callers exceed 1.
func (f *fleet) checkCapacity(doc *config.Document, s *config.Service) {
	before := f.capacity[s.Name]
	sum := before + s.CapacityFraction
	f.capacity[s.Name] = sum
	if before <= 1+rounding && sum > 1+rounding {
		f.report(doc, rules.ShareSum, path("services", s.Name, "share"), formatNumber(s.CapacityFraction),
			"1 at most with those of other applications, "+formatNumber(before), tomldoc.Place{})
	}
}
