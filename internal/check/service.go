package check

import (
	"fmt"
	"strconv"

	"fernlanding/internal/config"
	"fernlanding/internal/rules"
	"fernlanding/internal/tomldoc"
)

// roundingTolerance is the tolerated rounding error of sums and products of configured numbers.
const roundingTolerance = 1e-9

// serviceReference is the definition of a service with which the definitions in other files are
// compared.
type serviceReference struct {
	doc     *config.Document // file of the owner's team, or else the first file by name
	service *config.Service
	classes map[string]classReference // keyed by all current and former names
}

// classReference is the definition of a class with which the definitions in other files are
// compared.
type classReference struct {
	doc     *config.Document
	service *config.Service
	name    string // name of the class in the file
	policy  config.ClassPolicy
}

// checkServices compares the definitions of each service in all files.
func (f *fleet) checkServices() {
	// A definition in a file of the owner's team takes precedence.
	f.findReferences(true)
	f.findReferences(false)
	for _, ref := range f.references {
		ref.addClasses(ref.doc, ref.service)
	}
	for _, doc := range f.docs {
		for _, s := range doc.App.Services {
			ref := f.references[s.Name]
			f.checkOwner(doc, s, ref)
			for i, name := range s.Classes {
				f.checkClass(doc, s, name, s.ClassPolicies[i], ref)
			}
			ref.addClasses(doc, s)
			f.checkEndpoints(doc, s)
			f.checkCapacity(doc, s)
		}
	}
}

// findReferences sets the reference of each service that has none to its first definition in the
// files of its owner's team, or in any file if ownersOnly is false.
func (f *fleet) findReferences(ownersOnly bool) {
	for _, doc := range f.docs {
		for _, s := range doc.App.Services {
			isOwners := s.Owner != "" && s.Owner == doc.App.Team
			if f.references[s.Name] == nil && (isOwners || !ownersOnly) {
				f.references[s.Name] = &serviceReference{
					doc: doc, service: s, classes: map[string]classReference{},
				}
			}
		}
	}
}

// addClasses adds the classes of a definition that have no reference yet.
func (ref *serviceReference) addClasses(doc *config.Document, s *config.Service) {
	for i, name := range s.Classes {
		policy := s.ClassPolicies[i]
		for _, known := range append([]string{name}, policy.FormerNames...) {
			if _, isKnown := ref.classes[known]; !isKnown {
				ref.classes[known] = classReference{doc: doc, service: s, name: name, policy: policy}
			}
		}
	}
}

// find returns the reference of a class by its name, or else by a former name.
func (ref *serviceReference) find(name string, policy config.ClassPolicy) (classReference, bool) {
	class, ok := ref.classes[name]
	for _, former := range policy.FormerNames {
		if !ok {
			class, ok = ref.classes[former]
		}
	}
	return class, ok
}

// checkOwner compares the owner of a service and the limits set by the owner with the reference.
func (f *fleet) checkOwner(doc *config.Document, s *config.Service, ref *serviceReference) {
	refService := ref.service
	if s.Owner != refService.Owner && s.Owner != "" && refService.Owner != "" {
		see, _ := ref.doc.Place("services", s.Name, "owner")
		f.report(doc, rules.OwnerTwice, path("services", s.Name, "owner"), strconv.Quote(s.Owner),
			fmt.Sprintf("another file states the owner %q", refService.Owner), see)
	}
	hasLimit := refService.Owner != "" || ref.doc.Version > 1
	if s.SlowStartMultiple > refService.SlowStartMultiple && ref.doc != doc && hasLimit {
		see, _ := ref.doc.Place("services", s.Name, "cold_multiple")
		f.report(doc, rules.ColdMultiple, path("services", s.Name, "cold_multiple"),
			formatNumber(s.SlowStartMultiple),
			fmt.Sprintf("exceeds the limit of %s set by another file", formatNumber(refService.SlowStartMultiple)), see)
	}
}

// checkClass compares the policy of a class with the reference.
func (f *fleet) checkClass(
	doc *config.Document, s *config.Service, name string, policy config.ClassPolicy, ref *serviceReference,
) {
	reference, ok := ref.find(name, policy)
	if !ok || reference.doc == doc {
		return
	}
	if reference.name != name {
		see, _ := reference.doc.Place("services", s.Name, "classes", reference.name)
		f.report(doc, rules.ClassFormer, path("services", s.Name, "classes", name), "",
			fmt.Sprintf("another file uses the class name %s", reference.name), see)
	}
	source := "another file, which"
	if reference.service.Owner != "" {
		source = fmt.Sprintf("the owner of %s: team %s", s.Name, reference.service.Owner)
	}
	for _, field := range comparedFields(policy, reference.policy) {
		if field.value == field.reference {
			continue
		}
		see, _ := reference.doc.Place("services", s.Name, "classes", reference.name, field.name)
		f.report(doc, rules.ClassDisagrees, path("services", s.Name, "classes", name, field.name),
			strconv.Quote(field.value), fmt.Sprintf("contradicts %s sets %q", source, field.reference), see)
		if field.name == "repeat" {
			return // the other fields depend on the idempotency
		}
	}
}

// comparedField is a field of a class in a file and in the reference.
type comparedField struct {
	name             string
	value, reference string
}

// comparedFields returns the fields of a class that must be equal in all files.
func comparedFields(policy, reference config.ClassPolicy) []comparedField {
	return []comparedField{
		{
			name:      "repeat",
			value:     config.IdempotencyName(policy.Idempotency),
			reference: config.IdempotencyName(reference.Idempotency),
		},
		{
			name:      "dedup_scope",
			value:     config.DedupScopeName(policy.DedupScope),
			reference: config.DedupScopeName(reference.DedupScope),
		},
		{name: "dedup_window", value: policy.DedupWindow.String(), reference: reference.DedupWindow.String()},
		{name: "key", value: policy.Key, reference: reference.Key},
	}
}

// checkCapacity reports the file with which the sum of the capacity fractions of a service's
// callers exceeds 1.
func (f *fleet) checkCapacity(doc *config.Document, s *config.Service) {
	before := f.capacity[s.Name]
	sum := before + s.CapacityFraction
	f.capacity[s.Name] = sum
	if before <= 1+roundingTolerance && sum > 1+roundingTolerance {
		f.report(doc, rules.ShareSum, path("services", s.Name, "share"), formatNumber(s.CapacityFraction),
			"exceeds the limit of 1 together with "+formatNumber(before)+" of other applications", tomldoc.Place{})
	}
}
