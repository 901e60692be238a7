package fit

// Role is a kind of process whose costs are measured together.
type Role string

// The roles of a sweep.
const (
	Proxies Role = "proxies"
	Lists   Role = "lists"
	Relays  Role = "relays"
)

// Roles returns all roles.
func Roles() []Role { return []Role{Proxies, Lists, Relays} }

// Metric is a quantity that is measured for a role.
type Metric string

// The figures. Times are measured for proxies only.
const (
	CPU               Metric = "cpu" // cores: CPU seconds per second
	RSS               Metric = "rss" // bytes
	Heap              Metric = "heap"
	Allocated         Metric = "allocated" // bytes per second
	Allocations       Metric = "allocations"
	Goroutines        Metric = "goroutines"
	Connections       Metric = "connections"
	BytesIn           Metric = "bytes_in" // per second
	BytesOut          Metric = "bytes_out"
	MessagesIn        Metric = "messages_in"
	MessagesOut       Metric = "messages_out"
	PropagationMedian Metric = "in_force_p50" // seconds
	PropagationP99    Metric = "in_force_p99"
	PropagationMax    Metric = "in_force_last"
	CallMedian        Metric = "call_p50"
	CallP99           Metric = "call_p99"
)

const (
	bytesPerMiB    = 1 << 20
	microPerSecond = 1e6
)

// Metrics returns all figures.
func Metrics() []Metric {
	return []Metric{
		CPU, RSS, Heap, Allocated, Allocations, Goroutines, Connections, BytesIn, BytesOut, MessagesIn, MessagesOut,
		PropagationMedian, PropagationP99, PropagationMax, CallMedian, CallP99,
	}
}

// IsTime reports whether the figure is a quantile of a time. Times are not summed over proxies.
func (f Metric) IsTime() bool {
	switch f {
	case PropagationMedian, PropagationP99, PropagationMax, CallMedian, CallP99:
		return true
	default:
		return false
	}
}

// isState reports whether the figure is a level at a moment, not a rate.
func (f Metric) isState() bool {
	return f == RSS || f == Heap || f == Goroutines || f == Connections
}

// Unit returns the unit in which tables print the figure, and the number of base units in it.
func (f Metric) Unit() (name string, base float64) {
	switch f {
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
