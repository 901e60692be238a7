package standin

import (
	"slices"
	"sync"
	"time"
)

// Member is an entry of the endpoint list of a Discovery or a Health.
type Member struct {
	Name      string  `json:"name"`
	Address   string  `json:"address"`
	Zone      string  `json:"zone"`
	Type      string  `json:"type"`
	Cell      int     `json:"group"`
	Status    string  `json:"status"`   // SERVING, DRAINING, or DELETED in a delta; "" means SERVING
	Weight    float64 `json:"weight"`   // 0 means 1
	StartedMs int64   `json:"since_ms"` // start time in Unix milliseconds
}

// The values of Member.Status.
const (
	statusServing  = "SERVING"
	statusDraining = "DRAINING"
	statusDeleted  = "DELETED"
)

// Discovery is a stand-in for the platform's discovery service on a loopback socket. It serves
// snapshots of the endpoint list, and long polls that wait for changes. Faults can be injected into
// a Discovery. It is safe for concurrent use.
type Discovery struct {
	server
	cfg DiscoveryConfig

	mu       sync.Mutex
	index    int64             // version of the list
	members  map[string]Member // by name
	changed  map[string]int64  // version of the last change of each member, deleted members included
	change   chan struct{}     // closed at the next change
	fault    DiscoveryFault
	queueEnd time.Time // time by which the queued snapshots will have been served
}

// DiscoveryConfig configures a Discovery. With the zero value, a Discovery responds at once and has
// no rate limit.
type DiscoveryConfig struct {
	Rate       float64       // snapshots served per second, in the order of the calls; 0 means no limit
	QueueSize  int           // snapshots that may wait; the response to further ones is 503
	RetryAfter time.Duration // Retry-After of a 503; 0 means none
	// Address, if not nil, returns the address of a member as a caller gets it. The caller is its
	// IP address.
	Address func(caller string, m Member) string
	// StartedMs, if not nil, returns the start time of a member as a caller gets it, in Unix
	// milliseconds. The caller is its IP address.
	StartedMs func(caller string, m Member) int64
	// OnCallEnd, if not nil, is called at the end of each call.
	OnCallEnd func(DiscoveryCall)
}

// DiscoveryCall describes a call of a Discovery that has ended.
type DiscoveryCall struct {
	Caller             string // host:port
	From               int64  // version after which changes are requested; negative for a snapshot
	StartTime          time.Time
	Status             int      // status of the response; 0 means that none was written
	CallerDisconnected bool     // whether the caller disconnected before the response
	Index              int64    // version of the list in the response
	IsSnapshot         bool     // whether the response is a snapshot: members that it lacks are removed
	Members            []Member // members in the response
	BytesWritten       int64    // bytes written on the connection up to the end of the response
}

// DiscoveryFault is a way in which a Discovery fails.
type DiscoveryFault int

// The faults of a Discovery.
const (
	DiscoveryOK           DiscoveryFault = iota // no fault
	DiscoveryDown                               // responds with 503
	DiscoveryUnresponsive                       // accepts calls and never responds
	DiscoveryTruncated                          // closes the connection in the middle of a response
	DiscoveryEmpty                              // has lost all members
	DiscoveryRolledBack                         // has lost its latest versions and continues from a lower one
)

var discoveryFaultNames = [...]string{"well", "down", "silent", "half-body", "empty", "older"}

// String returns the name of the fault.
func (f DiscoveryFault) String() string { return discoveryFaultNames[f] }

// DiscoveryFaultByName returns the fault of a name and reports whether there is one.
func DiscoveryFaultByName(name string) (DiscoveryFault, bool) {
	i := slices.Index(discoveryFaultNames[:], name)
	return DiscoveryFault(max(i, 0)), i >= 0
}

const (
	maxRollbackVersions = 1000 // largest number of versions that DiscoveryRolledBack loses
	firstVersion        = 1    // lowest version after DiscoveryRolledBack
)

// NewDiscovery starts a Discovery with no members and the zero DiscoveryConfig. Close stops it.
func NewDiscovery() (*Discovery, error) { return NewDiscoveryWith(DiscoveryConfig{}) }

// NewDiscoveryWith starts a Discovery with no members and a configuration. Close stops it.
func NewDiscoveryWith(cfg DiscoveryConfig) (*Discovery, error) {
	d := &Discovery{cfg: cfg, members: map[string]Member{}, changed: map[string]int64{}, change: make(chan struct{})}
	if err := d.serve(d); err != nil {
		return nil, err
	}
	return d, nil
}

// Put adds or replaces members, in one version.
func (d *Discovery) Put(members ...Member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.index++
	for _, m := range members {
		if m.Weight == 0 {
			m.Weight = 1
		}
		if m.Status == "" {
			m.Status = statusServing
		}
		d.members[m.Name], d.changed[m.Name] = m, d.index
	}
	d.notifyWatches()
}

// Delete removes members, in one version.
func (d *Discovery) Delete(names ...string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.index++
	for _, name := range names {
		delete(d.members, name)
		d.changed[name] = d.index
	}
	d.notifyWatches()
}

// SetUnresponsive sets or clears the fault DiscoveryUnresponsive: no call gets a response.
func (d *Discovery) SetUnresponsive(on bool) { d.setFaultIf(on, DiscoveryUnresponsive) }

// SetDown sets or clears the fault DiscoveryDown: all calls get the response 503.
func (d *Discovery) SetDown(on bool) { d.setFaultIf(on, DiscoveryDown) }

// setFaultIf sets a fault if on is true, and clears any fault otherwise.
func (d *Discovery) setFaultIf(on bool, f DiscoveryFault) {
	if !on {
		f = DiscoveryOK
	}
	d.SetFault(f)
}

// SetFault sets the fault of the Discovery. DiscoveryOK clears any fault.
func (d *Discovery) SetFault(f DiscoveryFault) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if f == DiscoveryRolledBack && d.fault != DiscoveryRolledBack {
		d.index = max(firstVersion, d.index-maxRollbackVersions)
		for name := range d.changed {
			d.changed[name] = min(d.changed[name], d.index)
		}
	}
	d.fault = f
	d.notifyWatches()
}

// notifyWatches wakes the calls that wait for a change. The caller holds mu.
func (d *Discovery) notifyWatches() {
	close(d.change)
	d.change = make(chan struct{})
}
