package fleetsim

// FaultKind is a kind of fault.
type FaultKind string

// The kinds of fault.
const (
	FaultSlow       FaultKind = "slow"    // backends take Factor times as long
	FaultHang       FaultKind = "hang"    // they take requests and answer none
	FaultFail       FaultKind = "fail"    // they answer an error at once, unserved
	FaultCorrupt    FaultKind = "spoil"   // a Share of what they have served comes back as an error
	FaultKill       FaultKind = "kill"    // their processes die, unannounced; new ones start at the end
	FaultBurst      FaultKind = "burst"   // Factor times as many requests, of all or of one tenant
	FaultHotReplica FaultKind = "hot"     // one replica gets a Share of all traffic
	FaultRelease    FaultKind = "release" // all backends are replaced, one after another
	FaultShrink     FaultKind = "shrink"  // a Fraction of the backends is drained, and stays away
	FaultRestart    FaultKind = "restart" // the replicas before the first tier are replaced, one after another
)

// FaultKinds returns the kinds of fault.
func FaultKinds() []FaultKind {
	return []FaultKind{
		FaultSlow, FaultHang, FaultFail, FaultCorrupt, FaultKill, FaultBurst, FaultHotReplica, FaultRelease,
		FaultShrink, FaultRestart,
	}
}

// Fault is something that goes wrong for a time.
type Fault struct {
	Kind     FaultKind `toml:"kind"`
	At       Duration  `toml:"at"`
	Duration Duration  `toml:"for"`
	Tier     int       `toml:"tier"`
	Fraction float64   `toml:"part"`   // of the tier's backends, or of the replicas; one at least
	First    int       `toml:"first"`  // of the backends concerned
	Factor   float64   `toml:"times"`  // how many times slower, or as many requests
	Share    float64   `toml:"share"`  // of answers corrupted or failed (1), or of all traffic for hot (0.25)
	Class    string    `toml:"class"`  // of fail: this class alone
	Tenant   string    `toml:"tenant"` // of burst: this one alone
}

// end returns when the fault ends, in microseconds.
func (f *Fault) end() int64 { return f.At.micros() + f.Duration.micros() }
