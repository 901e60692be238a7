package catalogue

import (
	"maps"
	"slices"
	"strings"

	"fernlanding/internal/tomldoc"
)

// DefaultMaxAmplification is the bound of the product of all tiers' retry budgets where the catalogue
// does not state one.
const DefaultMaxAmplification = 1.2

// The fields that are copied to the applications' files. Their values are checked there, once, by
// the sidecar's own decoder.
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
	// A caller may state a narrower value of these.
	narrowableFields = []string{"resend", "early_data", "hedge"}
	// A caller may repeat these, with the owner's value.
	repeatableFields = []string{"repeat", "dedup_scope", "dedup_window", "key"}
	matchFields      = []string{
		"hosts", "prefix", "exact", "template", "methods", "headers", "rewrite_prefix", "listeners", "sticky_header",
	}
)

// model is a catalogue with one environment's overlay.
type model struct {
	reader       *tomldoc.Collector
	services     map[string]*service
	serviceNames []string // sorted
	applications []*application
	retryFactor  float64
}

// service is a service as its owner describes it.
type service struct {
	name            string
	table           *tomldoc.Value
	team            string
	zones           []string
	classes         map[string]*class
	classNames      []string // sorted
	pods            []pod    // by name
	tenants         map[string]*tomldoc.Value
	callerInstances int // of all applications that call it

	// Bounds of its callers' values.
	maxAttempts          int64
	maxSlowStartMultiple float64
}

// class is a class of a service.
type class struct {
	table  *tomldoc.Value
	routes []*tomldoc.Value
}

// pod is a group of a service's backends that share one record of idempotency keys.
type pod struct {
	name      string
	table     *tomldoc.Value
	endpoints []*tomldoc.Value
}

// application is an application with the services that it calls.
type application struct {
	name      string
	table     *tomldoc.Value
	instances int
	calls     []*call // by service
}

// call is an application's use of a service.
type call struct {
	service      *service
	table        *tomldoc.Value
	tenants      []string
	classes      []*calledClass // by name
	replicaIndex int            // of the application's first instance among all callers' instances
}

// calledClass is a class of a service that an application calls.
type calledClass struct {
	name  string
	class *class
	table *tomldoc.Value // the call's own table of the class; may be nil
}

// field returns a field of the call's own table, or nil.
func (c *calledClass) field(name string) *tomldoc.Value {
	if c.table == nil {
		return nil
	}
	return c.table.Fields[name]
}

// class returns the called class of a name, or nil.
func (c *call) class(name string) *calledClass {
	for _, called := range c.classes {
		if called.name == name {
			return called
		}
	}
	return nil
}

// callOf returns the application's call of a service; nil where only a split arm or a mirror leads
// there.
func (a *application) callOf(s *service) *call {
	for _, c := range a.calls {
		if c.service == s {
			return c
		}
	}
	return nil
}

// readModel decodes a catalogue's tree.
func readModel(reader *tomldoc.Collector, root *tomldoc.Value) *model {
	m := &model{reader: reader, services: map[string]*service{}}
	scope := tomldoc.NewScope(reader, root)
	fleet := scope.Table("fleet")
	m.retryFactor = fleet.Float("retry_factor", DefaultMaxAmplification, 1, 100)
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
	m.numberReplicas()
	return m
}

// numberReplicas gives each call the index of its application's first instance among all instances
// that call the service.
func (m *model) numberReplicas() {
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

// sortedKeys returns the keys of a map in order.
func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}
