package catalogue

import (
	"slices"
	"strings"

	"fernlanding/internal/config"
	"fernlanding/internal/rules"
	"fernlanding/internal/tomldoc"
)

// readService decodes a service.
func (m *model) readService(scope tomldoc.Scope, name string) *service {
	config.CheckName(scope, "", name)
	s := &service{
		name: name, table: scope.Value, classes: map[string]*class{}, tenants: map[string]*tomldoc.Value{},
	}
	s.team = scope.Text("team", "")
	if s.team == "" {
		scope.ReportField(rules.Missing, "team", "must be the team that owns the service")
	}
	s.zones = scope.Strings("zones")
	scope.MarkKnown(serviceFields...)
	// The diagnostics of these two fields are discarded here: decoding the generated file reports
	// them.
	limits := tomldoc.Scope{Collector: &tomldoc.Collector{}, Value: scope.Value}
	s.maxAttempts = limits.Int("attempts", 3, 1, 16)
	s.maxSlowStartMultiple = limits.Float("cold_multiple", 3, 0, 100)
	for _, table := range serviceTables {
		scope.Get(table, tomldoc.Table)
	}
	m.readMembership(scope, s)
	readClasses(scope, s)
	readTenants(scope, s)
	scope.ReportUnknown()
	return s
}

// readMembership decodes the source of a service's endpoint list.
func (m *model) readMembership(scope tomldoc.Scope, s *service) {
	switch scope.OneOf("membership", "static", "static", "catalog", "file", "consul", "relay") {
	case "catalog", "file", "consul", "relay":
		scope.MarkKnown(sourceFields...)
		if scope.Has("pods") {
			scope.ReportField(rules.Exclusive, "pods", `requires membership = "static"`)
			scope.MarkKnown("pods")
		}
	default:
		if scope.Has("discovery") {
			scope.ReportField(rules.Exclusive, "discovery", `requires membership = "catalog"`)
			scope.MarkKnown("discovery")
		}
		m.readPods(scope, s)
	}
}

// readClasses decodes the classes of a service.
func readClasses(scope tomldoc.Scope, s *service) {
	names, scopes := scope.Tables("classes")
	for i, table := range scopes {
		c := &class{table: table.Value}
		table.MarkKnown(classFields...)
		c.routes = readMatches(table)
		table.ReportUnknown()
		s.classes[names[i]] = c
	}
	s.classNames = slices.Sorted(slices.Values(names))
	if len(names) == 0 {
		scope.ReportField(rules.Missing, "classes", "must contain at least one class")
	}
}

// readTenants decodes the tenants of a service.
func readTenants(scope tomldoc.Scope, s *service) {
	names, scopes := scope.Tables("tenants")
	for i, table := range scopes {
		table.MarkKnown("portion", "quota")
		table.ReportUnknown()
		s.tenants[names[i]] = table.Value
	}
}

// readMatches decodes the routes of a class.
func readMatches(scope tomldoc.Scope) []*tomldoc.Value {
	var matches []*tomldoc.Value
	for _, match := range scope.TableArray("routes") {
		match.MarkKnown(matchFields...)
		match.ReportUnknown()
		matches = append(matches, match.Value)
	}
	return matches
}

// podReader decodes the pods of one service. It reports cell numbers and addresses that several
// pods have.
type podReader struct {
	*model
	cells     map[string]*tomldoc.Value // last cell field, keyed by its number
	addresses map[string]*tomldoc.Value // table of the last pod, keyed by the address of an endpoint
}

// readPods decodes the static endpoints of a service. The endpoints of a pod share a record of
// idempotency keys.
func (m *model) readPods(scope tomldoc.Scope, s *service) {
	names, scopes := scope.Tables("pods")
	if len(names) == 0 {
		// The reason is that of missing endpoints in package config, so that check reports one of
		// both.
		scope.ReportField(rules.Missing, "pods", `must contain at least one endpoint with membership = "static"`)
	}
	r := &podReader{model: m, cells: map[string]*tomldoc.Value{}, addresses: map[string]*tomldoc.Value{}}
	for i, table := range scopes {
		s.pods = append(s.pods, r.readPod(table, names[i]))
	}
	slices.SortFunc(s.pods, func(a, b pod) int { return strings.Compare(a.name, b.name) })
}

// readPod decodes a pod.
func (r *podReader) readPod(scope tomldoc.Scope, name string) pod {
	config.CheckName(scope, "", name)
	scope.MarkKnown("zone")
	r.readCell(scope)
	p := pod{name: name, table: scope.Value}
	for _, endpoint := range scope.TableArray("endpoints") {
		endpoint.MarkKnown("name", "address", "weight", "status")
		endpoint.ReportUnknown()
		p.endpoints = append(p.endpoints, endpoint.Value)
		r.checkAddress(endpoint, scope.Value)
	}
	if len(p.endpoints) == 0 {
		scope.ReportField(rules.Missing, "endpoints", "must contain at least one endpoint")
	}
	scope.ReportUnknown()
	return p
}

// readCell decodes a pod's cell number, which is unique among the pods of the service.
func (r *podReader) readCell(scope tomldoc.Scope) {
	if !scope.Has("cell") {
		scope.ReportField(rules.Missing, "cell",
			"must be the number of the pod, whose endpoints drop each other's duplicates")
		return
	}
	cell := scope.Get("cell", tomldoc.Integer)
	if cell == nil {
		return
	}
	if other := r.cells[cell.Text]; other != nil {
		r.report(tomldoc.Diagnostic{
			Place: cell.Place, Rule: rules.DoubleName, Field: scope.FieldPath("cell"), Found: cell.Describe(),
			Expect: "already the cell of another pod of the service", See: other.Place,
		})
	}
	r.cells[cell.Text] = cell
}

// checkAddress reports an endpoint whose address is also in another pod.
func (r *podReader) checkAddress(endpoint tomldoc.Scope, podTable *tomldoc.Value) {
	address := endpoint.Value.Fields["address"]
	if address == nil {
		return
	}
	if other := r.addresses[address.Text]; other != nil && other != podTable {
		r.report(tomldoc.Diagnostic{
			Place: address.Place, Rule: rules.PodDisagrees,
			Field: endpoint.FieldPath("address"), Found: address.Describe(),
			Expect: "another pod has an endpoint with this address", See: other.Place,
		})
	}
	r.addresses[address.Text] = podTable
}
