package fleetsim

// FaultKind identifies a kind of fault.
type FaultKind string

// The kinds of fault.
const (
	FaultSlow       FaultKind = "slow"    // backends take Factor times as long
	FaultHang       FaultKind = "hang"    // backends accept requests and answer none
	FaultFail       FaultKind = "fail"    // backends answer a Share of requests with an immediate error
	FaultCorrupt    FaultKind = "spoil"   // backends answer a Share of served requests with an error
	FaultKill       FaultKind = "kill"    // backends exit without draining, and restart at the end
	FaultBurst      FaultKind = "burst"   // Factor times as many requests, of all tenants or of one
	FaultHotReplica FaultKind = "hot"     // one replica receives a Share of all traffic
	FaultRelease    FaultKind = "release" // backends are replaced one after another
	FaultShrink     FaultKind = "shrink"  // a Fraction of the backends is drained and not replaced
	FaultRestart    FaultKind = "restart" // the replicas before the first tier are replaced one after another
)

// FaultKinds returns all kinds of fault.
func FaultKinds() []FaultKind {
	return []FaultKind{
		FaultSlow, FaultHang, FaultFail, FaultCorrupt, FaultKill, FaultBurst, FaultHotReplica, FaultRelease,
		FaultShrink, FaultRestart,
	}
}

// Fault describes one fault of a day.
type Fault struct {
	Kind     FaultKind `toml:"kind"`
	At       Duration  `toml:"at"`
	Duration Duration  `toml:"for"`
	Tier     int       `toml:"tier"`
	Fraction float64   `toml:"part"`   // fraction of the tier's backends affected, at least one backend; 0.1
	First    int       `toml:"first"`  // index of the first backend affected
	Factor   float64   `toml:"times"`  // factor of the service time (slow) or of the rate (burst); 4
	Share    float64   `toml:"share"`  // for hot, fraction of all traffic (0.25); else of answers that fail (1)
	Class    string    `toml:"class"`  // the only class that fails (fail); empty means all
	Tenant   string    `toml:"tenant"` // the only tenant of a burst; empty means all
}

// end returns the time at which the fault ends, in microseconds.
func (f *Fault) end() int64 { return f.At.micros() + f.Duration.micros() }
