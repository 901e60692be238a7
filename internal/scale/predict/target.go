package predict

// Target describes the fleets whose costs are predicted, the limits of the costs, and the
// assumptions.
type Target struct {
	Today       Fleet // present fleet
	Target      Fleet // planned fleet
	Limits      Limits
	Curve       []int // numbers of services followed by a proxy, ascending
	Assumptions []Assumption
}

// Fleet is the size and the load of a fleet.
type Fleet struct {
	Proxies               int // each with one backend
	Services              int
	LargestService        int     // backends of the largest service
	ServicesFollowed      float64 // services followed by a proxy
	CallsPerSecond        float64 // over all proxies
	Hops                  int     // sidecars that a call passes
	Regions               int
	Zones                 int
	ConfigChangesPerDay   float64
	MachineFailuresPerDay float64
	RestartsPerDay        float64
	ProxiesPerZone        int // also the number of backends in a zone
}

// Limits holds the limits with which costs are compared.
type Limits struct {
	AddedP99Ms          float64 // added by all sidecars on the path of a call
	PropagationSeconds  float64 // until all proxies have applied a change
	ProxyCores          float64 // for control traffic
	ProxyMemoryBytes    float64 // memory of a proxy
	ProxyBytesPerSecond float64 // control traffic in both directions
	ControlMachines     int
}

// Assumption is a quantity that is neither stated nor measured.
type Assumption struct {
	Name  AssumptionName
	Value float64
	Unit  string
	Why   string
}

// AssumptionName is the name of an assumption in a target file.
type AssumptionName string

// The assumptions. A target file has to contain all of them.
const (
	LargestFollowedFraction AssumptionName = "largest_followed_part"  // fraction of the proxies
	MachineCores            AssumptionName = "machine_cores"          // per control machine
	MachineMemory           AssumptionName = "machine_memory_gb"      // per control machine
	MachineNetwork          AssumptionName = "machine_gbit"           // network bandwidth per control machine
	MachineUtilization      AssumptionName = "machine_use"            // usable fraction of a machine
	Descriptors             AssumptionName = "descriptors"            // open file descriptors per proxy, limit
	IdleTimeoutSeconds      AssumptionName = "idle_seconds"           // until an idle connection is closed
	ConnectionBytes         AssumptionName = "connection_bytes"       // memory of a proxy per connection
	RestartChanges          AssumptionName = "restart_changes"        // list changes per restart
	FailureChanges          AssumptionName = "failure_changes"        // list changes per failed machine
	BusiestFactor           AssumptionName = "busiest_minute_factor"  // relative to the mean of the day
	ReleaseMinutes          AssumptionName = "release_minutes"        // release of the largest service
	RackBackends            AssumptionName = "rack_backends"          // lost at once
	ZoneReturnSeconds       AssumptionName = "zone_return_seconds"    // time in which the proxies of a zone return
	ReadIntervalMs          AssumptionName = "whole_read_ms"          // least time between snapshots to a proxy
	RelaysPerZone           AssumptionName = "relays_per_zone"        // machines
	RelaysPerRegion         AssumptionName = "relays_per_region"      // machines, upstream of the relays of the zones
	CoalescingMs            AssumptionName = "coalescing_ms"          // time for which a relay coalesces changes
	RegionRoundTripMs       AssumptionName = "region_round_trip_ms"   // between regions
	EndpointBytes           AssumptionName = "endpoint_bytes"         // of a snapshot, used if not measured
	ProcessBytes            AssumptionName = "process_bytes"          // memory of a real proxy if not measured
	ResumeBytes             AssumptionName = "resume_bytes"           // of a position, per service
	PartitionSeconds        AssumptionName = "cut_seconds"            // network partition of a region
	MinServiceBackends      AssumptionName = "least_service_backends" // backends of the smallest services
)

// assumptionNames returns the names of all assumptions.
func assumptionNames() []AssumptionName {
	return []AssumptionName{
		LargestFollowedFraction, MachineCores, MachineMemory, MachineNetwork, MachineUtilization, Descriptors,
		IdleTimeoutSeconds, ConnectionBytes, RestartChanges, FailureChanges, BusiestFactor, ReleaseMinutes,
		RackBackends, ZoneReturnSeconds, ReadIntervalMs, RelaysPerZone, RelaysPerRegion, CoalescingMs,
		RegionRoundTripMs, EndpointBytes, ProcessBytes, ResumeBytes, PartitionSeconds, MinServiceBackends,
	}
}

// Assumed returns the value of an assumption, or 0 if the target does not contain it.
func (t *Target) Assumed(name AssumptionName) float64 {
	for _, a := range t.Assumptions {
		if a.Name == name {
			return a.Value
		}
	}
	return 0
}
