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
		name: name, table: scope.V, classes: map[string]*class{}, tenants: map[string]*tomldoc.Value{},
	}
	s.team = scope.Text("team", "")
	if s.team == "" {
		scope.Bad(rules.Missing, "team", "the team that owns the service expected")
	}
	s.zones = scope.Texts("zones")
	scope.Take(serviceFields...)
	// The diagnostics of these two are dropped: they are reported where the generated file is
	// decoded.
	bounds := tomldoc.Scope{Reader: &tomldoc.Reader{}, V: scope.V}
	s.maxAttempts = bounds.Whole("attempts", 3, 1, 16)
	s.maxSlowStartMultiple = bounds.Number("cold_multiple", 3, 0, 100)
	for _, table := range serviceTables {
		scope.Get(table, tomldoc.Table)
	}
	m.readMembership(scope, s)
	readClasses(scope, s)
	readTenants(scope, s)
	scope.Done()
	return s
}

// readMembership decodes where a service's endpoint list comes from.
func (m *model) readMembership(scope tomldoc.Scope, s *service) {
	switch scope.Word("membership", "static", "static", "catalog", "file", "consul", "relay") {
	case "catalog", "file", "consul", "relay":
		scope.Take(sourceFields...)
		if scope.Has("pods") {
			scope.Bad(rules.Exclusive, "pods", `stand in the catalogue where membership is "static"`)
			scope.Take("pods")
		}
	default:
		if scope.Has("discovery") {
			scope.Bad(rules.Exclusive, "discovery", `goes with membership = "catalog"`)
			scope.Take("discovery")
		}
		m.readPods(scope, s)
	}
}

// readClasses decodes a service's classes.
func readClasses(scope tomldoc.Scope, s *service) {
	names, scopes := scope.Each("classes")
	for i, table := range scopes {
		c := &class{table: table.V}
		table.Take(classFields...)
		c.routes = readMatches(table)
		table.Done()
		s.classes[names[i]] = c
	}
	s.classNames = slices.Sorted(slices.Values(names))
	if len(names) == 0 {
		scope.Bad(rules.Missing, "classes", "one class at least expected")
	}
}

// readTenants decodes a service's tenants.
func readTenants(scope tomldoc.Scope, s *service) {
	names, scopes := scope.Each("tenants")
	for i, table := range scopes {
		table.Take("portion", "quota")
		table.Done()
		s.tenants[names[i]] = table.V
	}
}

// readMatches decodes the routes of a class.
func readMatches(scope tomldoc.Scope) []*tomldoc.Value {
	var matches []*tomldoc.Value
	for _, match := range scope.List("routes") {
		match.Take(matchFields...)
		match.Done()
		matches = append(matches, match.V)
	}
	return matches
}

// podReader decodes the pods of one service, and reports what two of them have in common.
type podReader struct {
	*model
	cells     map[string]*tomldoc.Value // the last field that has a cell's number
	addresses map[string]*tomldoc.Value // the last pod that has an address
}

// readPods decodes a service's static endpoints. The endpoints of a pod share one record of
// idempotency keys.
func (m *model) readPods(scope tomldoc.Scope, s *service) {
	names, scopes := scope.Each("pods")
	if len(names) == 0 {
		scope.Bad(rules.Missing, "pods", `one at least expected where membership is "static"`)
	}
	r := &podReader{model: m, cells: map[string]*tomldoc.Value{}, addresses: map[string]*tomldoc.Value{}}
	for i, table := range scopes {
		s.pods = append(s.pods, r.readPod(table, names[i]))
	}
	slices.SortFunc(s.pods, func(a, b pod) int { return strings.Compare(a.name, b.name) })
}

// readPod decodes one pod.
func (r *podReader) readPod(scope tomldoc.Scope, name string) pod {
	config.CheckName(scope, "", name)
	scope.Take("zone")
	r.readCell(scope)
	p := pod{name: name, table: scope.V}
	for _, endpoint := range scope.List("endpoints") {
		endpoint.Take("name", "address", "weight", "status")
		endpoint.Done()
		p.endpoints = append(p.endpoints, endpoint.V)
		r.checkAddress(endpoint, scope.V)
	}
	if len(p.endpoints) == 0 {
		scope.Bad(rules.Missing, "endpoints", "one at least expected")
	}
	scope.Done()
	return p
}

// readCell decodes a pod's number, which no other pod of the service may have.
func (r *podReader) readCell(scope tomldoc.Scope) {
	if !scope.Has("cell") {
		scope.Bad(rules.Missing, "cell", "the number of the pod expected: its members drop each other's repeats")
		return
	}
	cell := scope.Get("cell", tomldoc.Integer)
	if cell == nil {
		return
	}
	if other := r.cells[cell.Text]; other != nil {
		r.report(tomldoc.Diagnostic{
			Place: cell.Place, Rule: rules.DoubleName, Field: scope.Name("cell"), Found: cell.Say(),
			Expect: "another pod has this number", See: other.Place,
		})
	}
	r.cells[cell.Text] = cell
}

// checkAddress reports an endpoint whose address is in another pod too.
func (r *podReader) checkAddress(endpoint tomldoc.Scope, podTable *tomldoc.Value) {
	address := endpoint.V.Fields["address"]
	if address == nil {
		return
	}
	if other := r.addresses[address.Text]; other != nil && other != podTable {
		r.report(tomldoc.Diagnostic{
			Place: address.Place, Rule: rules.PodDisagrees, Field: endpoint.Name("address"), Found: address.Say(),
			Expect: "this address is in another pod too", See: other.Place,
		})
	}
	r.addresses[address.Text] = podTable
}
