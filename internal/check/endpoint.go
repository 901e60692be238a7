package check

import (
	"fmt"
	"strconv"
	"time"

	"fernlanding/internal/config"
	"fernlanding/internal/membership"
	"fernlanding/internal/rules"
	"fernlanding/logic"
)

// endpoint is the placement of an endpoint by a file.
type endpoint struct {
	doc   *config.Document
	index int // index in the service's endpoint list
	cell  int
	zone  string
}

// newEndpoint returns the endpoint at an index of a service's endpoint list.
func newEndpoint(doc *config.Document, s *config.Service, index int) endpoint {
	e := s.Source.Endpoints[index]
	return endpoint{doc: doc, index: index, cell: e.Cell, zone: e.Zone}
}

// endpointKeys returns the keys by which an endpoint of a service is looked up: one for its name
// and one for its address.
func endpointKeys(s *config.Service, e membership.Endpoint) [2]string {
	return [2]string{s.Name + "\x00" + e.Name, s.Name + "\x00" + e.Address}
}

// endpointPath returns the path of an endpoint of a service.
func endpointPath(s *config.Service, index int) []string {
	return itemPath(index, "services", s.Name, "endpoints")
}

// checkEndpoints reports endpoints that another file places in another pod.
func (f *fleet) checkEndpoints(doc *config.Document, s *config.Service) {
	for i, e := range s.Source.Endpoints {
		for _, key := range endpointKeys(s, e) {
			other := f.endpoints[key]
			if other == nil {
				first := newEndpoint(doc, s, i)
				f.endpoints[key] = &first
				continue
			}
			if other.doc == doc || other.cell == e.Cell && other.zone == e.Zone {
				continue
			}
			see, _ := other.doc.Place(endpointPath(s, other.index)...)
			f.report(doc, rules.PodDisagrees, endpointPath(s, i), e.Name+" in "+podName(e.Cell, e.Zone),
				"another file places the endpoint in "+podName(other.cell, other.zone), see)
			break
		}
	}
}

// podName returns the name of a pod in diagnostics.
func podName(cell int, zone string) string {
	if zone == "" {
		return fmt.Sprintf("cell %d", cell)
	}
	return fmt.Sprintf("cell %d of zone %s", cell, zone)
}

// checkMoves reports endpoints that change their pod while they serve: the new pod has no record of
// the idempotency keys that the old pod has received.
func (f *fleet) checkMoves(deployed []*config.Document) {
	running := deployedEndpoints(deployed)
	for _, doc := range f.docs {
		for _, s := range doc.App.Services {
			for i := range s.Source.Endpoints {
				f.checkMove(doc, s, i, running)
			}
		}
	}
}

// deployedEndpoints returns the endpoints of the deployed files, keyed by endpointKeys.
func deployedEndpoints(deployed []*config.Document) map[string]endpoint {
	running := map[string]endpoint{}
	for _, doc := range deployed {
		if doc == nil || doc.App == nil {
			continue
		}
		for _, s := range doc.App.Services {
			for i, e := range s.Source.Endpoints {
				for _, key := range endpointKeys(s, e) {
					running[key] = newEndpoint(doc, s, i)
				}
			}
		}
	}
	return running
}

// checkMove reports a serving endpoint that leaves a pod with a record of its idempotency keys.
func (f *fleet) checkMove(doc *config.Document, s *config.Service, index int, running map[string]endpoint) {
	e := s.Source.Endpoints[index]
	if e.Status != membership.Serving {
		return
	}
	for _, key := range endpointKeys(s, e) {
		old, isRunning := running[key]
		if !isRunning {
			continue
		}
		window := leftDedupWindow(s, old, e)
		if window == 0 {
			continue
		}
		see, _ := old.doc.Place(endpointPath(s, old.index)...)
		expect := fmt.Sprintf("the deployed endpoint serves in %s, which records idempotency keys for %v",
			podName(old.cell, old.zone), window)
		f.report(doc, rules.PodMoves, endpointPath(s, index), e.Name+" in "+podName(e.Cell, e.Zone), expect, see)
		return
	}
}

// leftDedupWindow returns the longest dedup window of the classes whose dedup group an endpoint
// leaves. 0 means that the endpoint leaves no dedup group.
func leftDedupWindow(s *config.Service, old endpoint, e membership.Endpoint) time.Duration {
	var longest time.Duration
	for _, policy := range s.ClassPolicies {
		if policy.Idempotency != logic.IdempotentByKey {
			continue
		}
		oldGroup := dedupGroup(old.cell, old.zone, policy.DedupScope)
		if oldGroup != dedupGroup(e.Cell, e.Zone, policy.DedupScope) {
			longest = max(longest, policy.DedupWindow)
		}
	}
	return longest
}

// dedupGroup returns the name of an endpoint's dedup group: the backends that share a record of
// idempotency keys.
func dedupGroup(cell int, zone string, scope logic.DedupScope) string {
	switch scope {
	case logic.DedupZone:
		return zone
	case logic.DedupCell:
		return strconv.Itoa(cell)
	default:
		return "" // the whole service is one group
	}
}

// hasSeveralDedupGroups reports whether a service has or may have more than one dedup group. The
// groups of a service without static endpoints are unknown.
func hasSeveralDedupGroups(s *config.Service, scope logic.DedupScope) bool {
	if s.Source.Kind != config.Static {
		return true
	}
	groups := map[string]bool{}
	for _, e := range s.Source.Endpoints {
		groups[dedupGroup(e.Cell, e.Zone, scope)] = true
	}
	return len(groups) > 1
}
