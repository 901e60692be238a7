package predict

// Target is the size of a fleet whose costs are predicted, the limits on them, and what is assumed.
type Target struct {
	Today       Fleet
	Target      Fleet
	Limits      Limits
	Curve       []int // numbers of services followed by a proxy
	Assumptions []Assumption
}

// Fleet is the size of a fleet and of its load.
type Fleet struct {
	Proxies               int // each with a backend
	Services              int
	LargestService        int     // backends of the largest service
	ServicesFollowed      float64 // by a proxy
	CallsPerSecond        float64 // over all proxies
	Hops                  int     // hops of a call
	Regions               int
	Zones                 int
	ConfigChangesPerDay   float64 // of configuration
	MachineFailuresPerDay float64
	RestartsPerDay        float64
	ProxiesPerZone        int // in one zone
}

// Limits are the limits that costs are held against.
type Limits struct {
	AddedP99Ms          float64 // by all sidecars on a call's path
	PropagationSeconds  float64 // until a change is in force everywhere
	ProxyCores          float64 // for control traffic
	ProxyMemoryBytes    float64 // of memory
	ProxyBytesPerSecond float64 // of control traffic, in both directions
	ControlMachines     int
}

// Assumption is a figure that is neither stated nor measured.
type Assumption struct {
	Name  AssumptionName
	Value float64
	Unit  string
	Why   string
}

// AssumptionName names an assumption.
type AssumptionName string

// The assumptions. A target file has to have all of them.
const (
	LargestFollowedFraction AssumptionName = "largest_followed_part"  // part of the proxies that follow the largest service
	MachineCores            AssumptionName = "machine_cores"          // of a machine for control
	MachineMemory           AssumptionName = "machine_memory_gb"      // of a machine for control
	MachineNetwork          AssumptionName = "machine_gbit"           // per second, of a machine for control
	MachineUtilization      AssumptionName = "machine_use"            // part of a machine that may be used
	Descriptors             AssumptionName = "descriptors"            // that a proxy may have open
	IdleTimeoutSeconds      AssumptionName = "idle_seconds"           // for which an idle connection is kept
	ConnectionBytes         AssumptionName = "connection_bytes"       // of a proxy's memory
	RestartChanges          AssumptionName = "restart_changes"        // to a list, by a restart
	FailureChanges          AssumptionName = "failure_changes"        // to a list, by a failed machine
	BusiestFactor           AssumptionName = "busiest_minute_factor"  // multiple of the day's mean
	ReleaseMinutes          AssumptionName = "release_minutes"        // of the largest service
	RackBackends            AssumptionName = "rack_backends"          // lost at once
	ZoneReturnSeconds       AssumptionName = "zone_return_seconds"    // within which a zone's proxies come back
	ReadIntervalMs          AssumptionName = "whole_read_ms"          // between two responses with complete lists to a proxy
	RelaysPerZone           AssumptionName = "relays_per_zone"        // machines
	RelaysPerRegion         AssumptionName = "relays_per_region"      // machines, above those of the zones
	CoalescingMs            AssumptionName = "coalescing_ms"          // for which a relay coalesces changes
	RegionRoundTripMs       AssumptionName = "region_round_trip_ms"   // between regions
	EndpointBytes           AssumptionName = "endpoint_bytes"         // of a complete list, where it is not measured
	ProcessBytes            AssumptionName = "process_bytes"          // of a proxy's memory, where no real one was measured
	ResumeBytes             AssumptionName = "resume_bytes"           // of a position by which a proxy resumes
	PartitionSeconds        AssumptionName = "cut_seconds"            // for which a region is cut off
	MinServiceBackends      AssumptionName = "least_service_backends" // backends of the smallest services
)

// assumptionNames returns all assumptions.
func assumptionNames() []AssumptionName {
	return []AssumptionName{
		LargestFollowedFraction, MachineCores, MachineMemory, MachineNetwork, MachineUtilization, Descriptors, IdleTimeoutSeconds,
		ConnectionBytes, RestartChanges, FailureChanges, BusiestFactor, ReleaseMinutes, RackBackends,
		ZoneReturnSeconds, ReadIntervalMs, RelaysPerZone, RelaysPerRegion, CoalescingMs, RegionRoundTripMs,
		EndpointBytes, ProcessBytes, ResumeBytes, PartitionSeconds, MinServiceBackends,
	}
}

// Assumed returns the value of an assumption; 0 where the target lacks it.
func (t *Target) Assumed(name AssumptionName) float64 {
	for _, a := range t.Assumptions {
		if a.Name == name {
			return a.Value
		}
	}
	return 0
}
