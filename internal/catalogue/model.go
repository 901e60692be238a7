package catalogue

import (
	"maps"
	"slices"
	"strings"

	"fernlanding/internal/tomldoc"
)

// DefaultMaxAmplification is the default limit of retry amplification over all tiers: the product
// of the tiers' factors, each of which is the most attempts per request that a retry budget allows.
const DefaultMaxAmplification = 1.2

// Names of the fields that are copied to the applications' files. The values are checked only when
// the generated files are decoded, by the decoder that the sidecar uses.
var (
	serviceFields = []string{
		"trusted", "connections", "max_body", "max_answer", "attempts", "retry_after", "dial_timeout", "idle_close",
		"drain_grace", "cold", "start_capacity", "cold_multiple", "tier", "weighted", "order_settle", "full_may_run",
		"subscribe",
	}
	serviceTables = []string{"retry_budget", "answers"}
	sourceFields  = []string{"discovery", "path", "registered_as", "token_file", "as"}
	callFields    = []string{
		"connections", "max_body", "max_answer", "attempts", "retry_after", "dial_timeout", "cold_multiple",
	}
	classFields = []string{
		"repeat", "dedup_scope", "dedup_window", "key", "resend", "early_data", "hedge", "objective", "deadline",
		"worth", "late_worth", "in_order", "formerly",
	}
	// narrowableFields are fields of a class for which a caller may state a narrower value.
	narrowableFields = []string{"resend", "early_data", "hedge"}
	// repeatableFields are fields of a class that a caller may state with the owner's value.
	repeatableFields = []string{"repeat", "dedup_scope", "dedup_window", "key"}
	matchFields      = []string{
		"hosts", "prefix", "exact", "template", "methods", "headers", "rewrite_prefix", "listeners", "sticky_header",
	}
)

// model is a decoded catalogue with the overlay of one environment.
type model struct {
	reader           *tomldoc.Collector
	services         map[string]*service
	serviceNames     []string // sorted
	applications     []*application
	maxAmplification float64
}

// service is a service as its owner declares it.
type service struct {
	name            string
	table           *tomldoc.Value
	team            string
	zones           []string
	classes         map[string]*class
	classNames      []string // sorted
	pods            []pod    // sorted by name
	tenants         map[string]*tomldoc.Value
	callerInstances int // instances of all applications that call the service

	// Limits of the callers' values.
	maxAttempts          int64
	maxSlowStartMultiple float64
}

// class is a class of a service as its owner declares it.
type class struct {
	table  *tomldoc.Value
	routes []*tomldoc.Value
}

// pod is a group of a service's backends that share a record of idempotency keys.
type pod struct {
	name      string
	table     *tomldoc.Value
	endpoints []*tomldoc.Value
}

// application is an application and its calls.
type application struct {
	name      string
	table     *tomldoc.Value
	instances int
	calls     []*call // sorted by service
}

// call is the use of a service by an application.
type call struct {
	service      *service
	table        *tomldoc.Value
	tenants      []string
	classes      []*calledClass // sorted by name
	replicaIndex int            // index of the first instance among those of all callers
}

// calledClass is a class of a service that an application calls.
type calledClass struct {
	name  string
	class *class
	table *tomldoc.Value // the call's table of the class; nil if the call has none
}

// field returns a field of the call's table of the class, or nil.
func (c *calledClass) field(name string) *tomldoc.Value {
	if c.table == nil {
		return nil
	}
	return c.table.Fields[name]
}

// class returns the called class with a name, or nil.
func (c *call) class(name string) *calledClass {
	for _, called := range c.classes {
		if called.name == name {
			return called
		}
	}
	return nil
}

// callOf returns the application's call of a service. It returns nil if the application reaches the
// service only by a split arm or a mirror.
func (a *application) callOf(s *service) *call {
	for _, c := range a.calls {
		if c.service == s {
			return c
		}
	}
	return nil
}

// readModel decodes the tree of a catalogue.
func readModel(reader *tomldoc.Collector, root *tomldoc.Value) *model {
	m := &model{reader: reader, services: map[string]*service{}}
	scope := tomldoc.NewScope(reader, root)
	fleet := scope.Table("fleet")
	m.maxAmplification = fleet.Float("retry_factor", DefaultMaxAmplification, 1, 100)
	fleet.ReportUnknown()
	names, scopes := scope.Tables("services")
	for i, table := range scopes {
		m.services[names[i]] = m.readService(table, names[i])
	}
	m.serviceNames = sortedKeys(m.services)
	names, scopes = scope.Tables("applications")
	for i, table := range scopes {
		m.applications = append(m.applications, m.readApplication(table, names[i]))
	}
	slices.SortFunc(m.applications, func(a, b *application) int { return strings.Compare(a.name, b.name) })
	m.assignReplicaIndexes()
	return m
}

// assignReplicaIndexes sets the replica index of each call: the index of the first instance of its
// application among all instances that call the service.
func (m *model) assignReplicaIndexes() {
	for _, a := range m.applications {
		for _, c := range a.calls {
			c.replicaIndex = c.service.callerInstances
			c.service.callerInstances += a.instances
		}
	}
}

// report adds a diagnostic.
func (m *model) report(d tomldoc.Diagnostic) {
	m.reader.Diagnostics = append(m.reader.Diagnostics, d)
}

// sortedKeys returns the sorted keys of a map.
func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}
