package fit

// Role is a group of processes whose costs are measured together.
type Role string

// The roles of a sweep.
const (
	Proxies Role = "proxies"
	Lists   Role = "lists"
	Relays  Role = "relays"
)

// Roles returns all roles.
func Roles() []Role { return []Role{Proxies, Lists, Relays} }

// Metric is a quantity measured for a role.
type Metric string

// The metrics. Times are measured for proxies only.
const (
	CPU               Metric = "cpu"         // CPU seconds per second
	RSS               Metric = "rss"         // bytes
	Heap              Metric = "heap"        // bytes
	Allocated         Metric = "allocated"   // bytes per second
	Allocations       Metric = "allocations" // per second
	Goroutines        Metric = "goroutines"
	Connections       Metric = "connections"
	BytesIn           Metric = "bytes_in"     // per second
	BytesOut          Metric = "bytes_out"    // per second
	MessagesIn        Metric = "messages_in"  // per second
	MessagesOut       Metric = "messages_out" // per second
	PropagationMedian Metric = "in_force_p50" // all times in seconds
	PropagationP99    Metric = "in_force_p99"
	PropagationMax    Metric = "in_force_last"
	CallMedian        Metric = "call_p50"
	CallP99           Metric = "call_p99"
)

const (
	bytesPerMiB    = 1 << 20
	microPerSecond = 1e6
)

// Metrics returns all metrics.
func Metrics() []Metric {
	return []Metric{
		CPU, RSS, Heap, Allocated, Allocations, Goroutines, Connections, BytesIn, BytesOut, MessagesIn, MessagesOut,
		PropagationMedian, PropagationP99, PropagationMax, CallMedian, CallP99,
	}
}

// IsTime reports whether the metric is a quantile of a time. Times are not summed over proxies.
func (m Metric) IsTime() bool {
	switch m {
	case PropagationMedian, PropagationP99, PropagationMax, CallMedian, CallP99:
		return true
	default:
		return false
	}
}

// isGauge reports whether the metric is a current value rather than a rate.
func (m Metric) isGauge() bool {
	return m == RSS || m == Heap || m == Goroutines || m == Connections
}

// Unit returns the unit in which tables print the metric, and the number of base units per unit.
func (m Metric) Unit() (name string, base float64) {
	switch m {
	case CPU:
		return "millicores", 1e-3
	case RSS, Heap:
		return "MiB", bytesPerMiB
	case Allocated, BytesIn, BytesOut:
		return "B/s", 1
	case Goroutines, Connections:
		return "", 1
	case CallMedian, CallP99:
		return "µs", 1 / microPerSecond
	case PropagationMedian, PropagationP99, PropagationMax:
		return "ms", 1e-3
	default:
		return "/s", 1
	}
}
