package standin

import (
	"slices"
	"sync"
	"time"
)

// Member is an entry of a discovery's list.
type Member struct {
	Name      string  `json:"name"`
	Address   string  `json:"address"`
	Zone      string  `json:"zone"`
	Type      string  `json:"type"`
	Cell      int     `json:"group"`
	Status    string  `json:"status"` // SERVING, DRAINING; DELETED among changes
	Weight    float64 `json:"weight"`
	StartedMs int64   `json:"since_ms"`
}

// The statuses of a member.
const (
	statusServing  = "SERVING"
	statusDraining = "DRAINING"
	statusDeleted  = "DELETED"
)

// Discovery is the platform's discovery on a loopback socket: snapshots of the list, and watches
// that wait for changes. It can be made to fall silent or to fail. It may be used by many
// goroutines.
type Discovery struct {
	server
	cfg DiscoveryConfig

	mu       sync.Mutex
	index    int64 // the version
	members  map[string]Member
	changed  map[string]int64 // the version of each member's last change, the deleted included
	change   chan struct{}    // closed at the next change
	mode     DiscoveryFault
	queueEnd time.Time // when the snapshots that wait will have been served
}

// DiscoveryConfig is how a discovery works. The zero value answers at once and without a limit.
type DiscoveryConfig struct {
	Rate       float64       // snapshots a second that it serves, in turn; 0: at once
	QueueSize  int           // snapshots that may wait; further ones are answered 503
	RetryAfter time.Duration // sent with a 503; 0: none
	// Address, where given, returns the address of a member for a caller; caller is the IP address
	// that it calls from.
	Address func(caller string, m Member) string
	// Since, where given, returns when a member started for a caller, in Unix milliseconds.
	StartedMs func(caller string, m Member) int64
	// Report, where given, takes each call at its end.
	OnCallEnd func(DiscoveryCall)
}

// DiscoveryCall is a call that has ended.
type DiscoveryCall struct {
	Caller             string // host:port
	From               int64  // the version that the call goes from; negative: for a snapshot
	StartTime          time.Time
	Status             int   // of the response; 0: none was written
	CallerDisconnected bool  // its caller had left before the response
	Index              int64 // of the response
	IsSnapshot         bool  // the response is a snapshot, which removes what it lacks
	Members            []Member
	BytesWritten       int64 // bytes written on its connection up to the response's end
}

// DiscoveryFault is what is wrong with a discovery.
type DiscoveryFault int

// The modes.
const (
	DiscoveryOK           DiscoveryFault = iota
	DiscoveryDown                        // answers 503
	DiscoveryUnresponsive                // takes calls and answers none
	DiscoveryTruncated                   // breaks responses off in their middle
	DiscoveryEmpty                       // has lost all members
	DiscoveryRolledBack                  // has lost its last versions: it counts anew from a lower one
)

var modeNames = [...]string{"well", "down", "silent", "half-body", "empty", "older"}

// String returns the mode's name.
func (m DiscoveryFault) String() string { return modeNames[m] }

// DiscoveryFaultByName returns the mode of a name and reports whether there is one.
func DiscoveryFaultByName(name string) (DiscoveryFault, bool) {
	i := slices.Index(modeNames[:], name)
	return DiscoveryFault(max(i, 0)), i >= 0
}

const (
	maxVersionLoss = 1000 // versions that an older state lacks, at most
	firstVersion   = 1    // of a discovery that has sent nothing
)

// NewDiscovery starts a discovery with no members. Close ends it.
func NewDiscovery() (*Discovery, error) { return NewDiscoveryWith(DiscoveryConfig{}) }

// NewDiscoveryWith starts a discovery with no members that works as configured. Close ends it.
func NewDiscoveryWith(cfg DiscoveryConfig) (*Discovery, error) {
	d := &Discovery{cfg: cfg, members: map[string]Member{}, changed: map[string]int64{}, change: make(chan struct{})}
	if err := d.serve(d); err != nil {
		return nil, err
	}
	return d, nil
}

// Put adds members or changes them, in one version.
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

// SetUnresponsive has the discovery take calls and answer none, or ends that.
func (d *Discovery) SetUnresponsive(on bool) { d.setModeIf(on, DiscoveryUnresponsive) }

// SetDown has the discovery answer 503 to all calls, or ends that.
func (d *Discovery) SetDown(on bool) { d.setModeIf(on, DiscoveryDown) }

// setModeIf sets a mode, or ListWell.
func (d *Discovery) setModeIf(on bool, m DiscoveryFault) {
	if !on {
		m = DiscoveryOK
	}
	d.SetFault(m)
}

// SetFault has the discovery fail in a way, or work again.
func (d *Discovery) SetFault(m DiscoveryFault) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if m == DiscoveryRolledBack && d.mode != DiscoveryRolledBack {
		d.index = max(firstVersion, d.index-maxVersionLoss)
		for name := range d.changed {
			d.changed[name] = min(d.changed[name], d.index)
		}
	}
	d.mode = m
	d.notifyWatches()
}

// notifyWatches wakes the watches. The caller holds mu.
func (d *Discovery) notifyWatches() {
	close(d.change)
	d.change = make(chan struct{})
}
