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

// Figure is a quantity that is measured for a role.
type Figure string

// The figures. Times are measured for proxies only.
const (
	CPU           Figure = "cpu" // cores: CPU seconds per second
	RSS           Figure = "rss" // bytes
	Heap          Figure = "heap"
	Allocated     Figure = "allocated" // bytes per second
	Allocations   Figure = "allocations"
	Goroutines    Figure = "goroutines"
	Connections   Figure = "connections"
	BytesIn       Figure = "bytes_in" // per second
	BytesOut      Figure = "bytes_out"
	MessagesIn    Figure = "messages_in"
	MessagesOut   Figure = "messages_out"
	InForceMedian Figure = "in_force_p50" // seconds
	InForceP99    Figure = "in_force_p99"
	InForceLast   Figure = "in_force_last"
	CallMedian    Figure = "call_p50"
	CallP99       Figure = "call_p99"
)

const (
	bytesPerMiB    = 1 << 20
	microPerSecond = 1e6
)

// Figures returns all figures.
func Figures() []Figure {
	return []Figure{
		CPU, RSS, Heap, Allocated, Allocations, Goroutines, Connections, BytesIn, BytesOut, MessagesIn, MessagesOut,
		InForceMedian, InForceP99, InForceLast, CallMedian, CallP99,
	}
}

// IsTime reports whether the figure is a quantile of a time. Times are not summed over proxies.
func (f Figure) IsTime() bool {
	switch f {
	case InForceMedian, InForceP99, InForceLast, CallMedian, CallP99:
		return true
	default:
		return false
	}
}

// isState reports whether the figure is a level at a moment, not a rate.
func (f Figure) isState() bool {
	return f == RSS || f == Heap || f == Goroutines || f == Connections
}

// Unit returns the unit in which tables print the figure, and the number of base units in it.
func (f Figure) Unit() (name string, base float64) {
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
	case InForceMedian, InForceP99, InForceLast:
		return "ms", 1e-3
	default:
		return "/s", 1
	}
}
