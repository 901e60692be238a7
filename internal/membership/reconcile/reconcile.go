// Package reconcile decides what of that which a registry says is news to a pool, and what is not. It is pure: no I/O, no
// clock; times come in as arguments.
//
// A registry can be wrong in ways that would empty a pool: a stale member answers with an older state, a restored backup
// begins anew, an answer is cut short, another cluster stands at the address. None of it reaches a pool; the last list
// stands, and the source counts as silent. What reaches it does so in order, and a whole list follows whatever may have
// been missed.
package reconcile

import (
	"encoding/json"
	"errors"
	"fernlanding/internal/membership"
	"fmt"
	"maps"
	"math"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Bounds of what is taken.
const (
	MaxValue   = 16 << 10 // bytes of an entry's value
	MaxEntries = 100_000
	maxName    = 256
)

// Entry is a key of a registry with its value.
type Entry struct {
	Key   string
	Value []byte
}

// Snapshot is a whole reading.
type Snapshot struct {
	Cluster  string // of the registry that has answered; empty: it does not say
	Revision int64  // at which it was read
	Count    int64  // of entries, as the answer's header has it; negative: not told
	Entries  []Entry
}

// Event is a change of one key.
type Event struct {
	Entry
	Revision int64
	Deleted  bool
}

// Delta is changes that come together, all of a revision's in one batch.
type Delta struct {
	Cluster  string
	Revision int64 // up to which there are no others
	Events   []Event
}

// The reasons for which an answer is no news.
var (
	ErrCluster  = errors.New("another cluster")
	ErrOlder    = errors.New("an older revision than one already seen")
	ErrCount    = errors.New("header and entries disagree")
	ErrTooMany  = errors.New("too many entries")
	ErrNoOrder  = errors.New("changes beyond the revision that their header states")
	errPattern  = errors.New("a key outside the pattern PREFIX/SERVICE/INSTANCE")
	errTwice    = errors.New("another key has this name")
	errTooLarge = fmt.Errorf("over %d bytes", MaxValue)
)

// Config is what a Book goes by.
type Config struct {
	Prefix  string // of all keys, with its last slash
	Service string
	// RestoreAfter is how long a registry of the same cluster must keep to a lower revision before it is taken for one that
	// was restored from a backup, and its list for true; 0: never, an operator's Accept alone does that.
	RestoreAfter time.Duration
}

// Result is what a pool is told.
type Result struct {
	List *membership.List // nil: nothing
	// Removed is how many serving endpoints went in this step, Before how many there were. Whoever gets it says so where it
	// is more than half.
	Removed, Before int
	Invalid         []InvalidEntry // entries that make no sense, each named once
}

// InvalidEntry is an entry that is left out, or stands as draining with its last good state.
type InvalidEntry struct {
	Key string
	Err error
}

// held is what a Book knows of a key.
type held struct {
	endpoint membership.Endpoint
	good     bool                // the endpoint holds; with bad as draining
	bad      error               // what is wrong with the value now
	next     membership.Endpoint // of one that waits for another key's name: what it will be
}

// Reconciler is one service's entries as last known. It is not safe for concurrent use.
type Reconciler struct {
	cfg      Config
	cluster  string
	revision int64
	read     bool // a whole list has been taken
	keys     map[string]*held
	owner    map[string]string // of a name: its key
	waiting  map[string]string // keys that wait for a name, with it
	up       int               // endpoints that serve
	accept   bool
	lowSince time.Time // when a lower revision was first seen
	low      int64     // the lower revision seen last
}

// New returns a Book without entries.
func New(cfg Config) *Reconciler {
	return &Reconciler{cfg: cfg, keys: map[string]*held{}, owner: map[string]string{}, waiting: map[string]string{}}
}

// Revision is that up to which all is known; 0 before the first list.
func (b *Reconciler) Revision() int64 { return b.revision }

// List is the whole list as it stands; nil before the first.
func (b *Reconciler) List() *membership.List {
	if !b.read {
		return nil
	}
	l := &membership.List{Version: b.revision, Full: true}
	for _, key := range slices.Sorted(maps.Keys(b.keys)) {
		if h := b.keys[key]; h.good {
			l.Endpoints = append(l.Endpoints, h.endpoint)
		}
	}
	return l
}

// Invalid is how many entries make no sense now.
func (b *Reconciler) Invalid() (n int) {
	for _, h := range b.keys {
		if h.bad != nil {
			n++
		}
	}
	return n
}

// AcceptNext is an operator's word that the next whole list holds, whatever its revision and cluster.
func (b *Reconciler) AcceptNext() { b.accept = true }

// ApplySnapshot takes a whole reading. An error says why it is no news: then nothing has changed.
func (b *Reconciler) ApplySnapshot(now time.Time, s Snapshot) (Result, error) {
	switch {
	case len(s.Entries) > MaxEntries:
		return Result{}, ErrTooMany
	case s.Count >= 0 && s.Count != int64(len(s.Entries)):
		return Result{}, fmt.Errorf("%w: %d and %d", ErrCount, s.Count, len(s.Entries))
	}
	if b.read && !b.accept {
		if s.Cluster != b.cluster {
			return Result{}, fmt.Errorf("%w: %s, not %s", ErrCluster, s.Cluster, b.cluster)
		}
		if s.Revision < b.revision && !b.restored(now, s.Revision) {
			return Result{}, fmt.Errorf("%w: %d, not %d", ErrOlder, s.Revision, b.revision)
		}
	}
	b.accept, b.lowSince, b.low = false, time.Time{}, 0
	old := b.keys
	told := Result{Before: b.up}
	served := make(map[string]bool, b.up)
	for _, h := range old {
		if h.serves() {
			served[h.endpoint.Name] = true
		}
	}
	b.keys, b.owner = make(map[string]*held, len(s.Entries)), make(map[string]string, len(s.Entries))
	b.waiting, b.up = map[string]string{}, 0
	entries := slices.Clone(s.Entries)
	slices.SortFunc(entries, func(x, y Entry) int { return strings.Compare(x.Key, y.Key) })
	for i, e := range entries {
		if i > 0 && e.Key == entries[i-1].Key {
			continue // cut and put together wrongly; its first value stands
		}
		told.skip(b.put(e, old[e.Key]))
	}
	b.cluster, b.revision, b.read = s.Cluster, s.Revision, true
	told.List = b.List()
	for _, e := range told.List.Endpoints {
		if e.Status == membership.Serving {
			delete(served, e.Name)
		}
	}
	told.Removed = len(served)
	return told, nil
}

// restored tells whether a lower revision has been kept to for so long that it is the truth now.
func (b *Reconciler) restored(now time.Time, revision int64) bool {
	if b.cfg.RestoreAfter <= 0 {
		return false
	}
	if b.lowSince.IsZero() || revision < b.low || now.Before(b.lowSince) {
		b.lowSince = now
	}
	b.low = revision
	return now.Sub(b.lowSince) >= b.cfg.RestoreAfter
}

// ApplyDelta takes a batch of changes. Those of revisions already known are duplicates and no news. An error says why none
// of it is, and that a whole reading is needed.
func (b *Reconciler) ApplyDelta(_ time.Time, t Delta) (Result, error) {
	if t.Cluster != b.cluster {
		return Result{}, fmt.Errorf("%w: %s, not %s", ErrCluster, t.Cluster, b.cluster)
	}
	for i, e := range t.Events {
		if e.Revision > t.Revision || i > 0 && e.Revision < t.Events[i-1].Revision {
			return Result{}, fmt.Errorf("%w: %d in a batch of %d", ErrNoOrder, e.Revision, t.Revision)
		}
	}
	if t.Revision < b.revision {
		return Result{}, nil // late
	}
	told := Result{Before: b.up}
	served := map[string]bool{}
	changed := map[string]membership.Endpoint{} // by name, as it stands after the batch
	for _, e := range t.Events {
		if e.Revision <= b.revision {
			continue
		}
		if old := b.keys[e.Key]; old != nil && old.serves() {
			served[old.endpoint.Name] = true
		}
		told.skip(b.event(e, changed))
	}
	b.revision = t.Revision
	b.lowSince = time.Time{}
	if len(changed) > 0 {
		told.List = &membership.List{Version: b.revision}
		for _, name := range slices.Sorted(maps.Keys(changed)) {
			told.List.Endpoints = append(told.List.Endpoints, changed[name])
		}
	}
	for name := range served {
		if e := changed[name]; e.Status != membership.Serving {
			told.Removed++
		}
	}
	return told, nil
}

// event applies one change, and notes which names it changes.
func (b *Reconciler) event(e Event, changed map[string]membership.Endpoint) *InvalidEntry {
	old := b.keys[e.Key]
	if old != nil && old.serves() {
		b.up--
	}
	delete(b.waiting, e.Key)
	if old != nil && old.good && b.owner[old.endpoint.Name] == e.Key {
		delete(b.owner, old.endpoint.Name)
		changed[old.endpoint.Name] = membership.Endpoint{Name: old.endpoint.Name, Status: membership.Deleted}
	}
	delete(b.keys, e.Key)
	var skipped *InvalidEntry
	if !e.Deleted {
		skipped = b.put(e.Entry, old)
	}
	if h := b.keys[e.Key]; h != nil && h.good {
		changed[h.endpoint.Name] = h.endpoint
	}
	if old != nil && old.good && b.owner[old.endpoint.Name] == "" {
		b.inherit(old.endpoint.Name, changed)
	}
	return skipped
}

// inherit gives a name that has become free to the first key that waits for it.
func (b *Reconciler) inherit(name string, changed map[string]membership.Endpoint) {
	first := ""
	for key, of := range b.waiting {
		if of == name && (first == "" || key < first) {
			first = key
		}
	}
	h := b.keys[first]
	if h == nil {
		return
	}
	if h.good && h.endpoint.Name != name { // it stood as draining under the name that it had
		delete(b.owner, h.endpoint.Name)
		changed[h.endpoint.Name] = membership.Endpoint{Name: h.endpoint.Name, Status: membership.Deleted}
	}
	delete(b.waiting, first)
	*h = held{endpoint: h.next, good: true}
	b.owner[name] = first
	changed[name] = h.endpoint
	if h.serves() {
		b.up++
	}
}

// put enters a key. One whose value makes no sense is skipped; one that made sense before keeps its last good state, as
// draining. It is named when it turns bad, not each time it is read.
func (b *Reconciler) put(e Entry, old *held) *InvalidEntry {
	endpoint, err := b.parse(e)
	if err == nil {
		if owner := b.owner[endpoint.Name]; owner != "" && owner != e.Key {
			err = fmt.Errorf("%w: %s", errTwice, owner)
		}
	}
	h := &held{endpoint: endpoint, good: err == nil, bad: err}
	if err != nil {
		if errors.Is(err, errTwice) {
			h.next = endpoint
			b.waiting[e.Key] = endpoint.Name
		}
		if old != nil && old.good && b.owner[old.endpoint.Name] == "" {
			h.endpoint, h.good = old.endpoint, true
			h.endpoint.Status = membership.Draining
		}
	}
	b.keys[e.Key] = h
	if h.good {
		b.owner[h.endpoint.Name] = e.Key
	}
	if h.serves() {
		b.up++
	}
	if err == nil || old != nil && old.bad != nil && old.bad.Error() == err.Error() {
		return nil
	}
	return &InvalidEntry{e.Key, err}
}

func (h *held) serves() bool { return h.good && h.endpoint.Status == membership.Serving }

func (t *Result) skip(s *InvalidEntry) {
	if s != nil {
		t.Invalid = append(t.Invalid, *s)
	}
}

// value is an entry's value as it stands in a registry.
type value struct {
	Name    string   `json:"name"` // the instance's, where it is not told
	Address string   `json:"address"`
	Zone    string   `json:"zone"`
	Cell    int      `json:"cell"`
	Status  string   `json:"status"` // serving or draining
	Weight  *float64 `json:"weight"`
	Since   int64    `json:"since"` // Unix time in milliseconds
}

// parse reads an entry.
func (b *Reconciler) parse(e Entry) (out membership.Endpoint, err error) {
	rest, ok := strings.CutPrefix(e.Key, b.cfg.Prefix+b.cfg.Service+"/")
	if !ok || rest == "" || strings.Contains(rest, "/") || len(rest) > maxName {
		return out, errPattern
	}
	if len(e.Value) > MaxValue {
		return out, errTooLarge
	}
	var v value
	if err := json.Unmarshal(e.Value, &v); err != nil {
		return out, fmt.Errorf("value: %w", err)
	}
	out = membership.Endpoint{Name: v.Name, Address: v.Address, Zone: v.Zone, Cell: v.Cell, Weight: 1, SinceMs: v.Since}
	if out.Name == "" {
		out.Name = rest
	}
	if len(out.Name) > maxName {
		return out, fmt.Errorf("name: over %d bytes", maxName)
	}
	if v.Weight != nil {
		if out.Weight = *v.Weight; !(out.Weight >= 0) || math.IsInf(out.Weight, 0) {
			return out, fmt.Errorf("weight: %g", out.Weight)
		}
	}
	switch v.Status {
	case "", "serving":
	case "draining":
		out.Status = membership.Draining
	default:
		return out, fmt.Errorf("status: %q; serving or draining expected", v.Status)
	}
	host, port, err := net.SplitHostPort(v.Address)
	if err != nil || host == "" {
		return out, fmt.Errorf("address: %q; host:port expected", v.Address)
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
		return out, fmt.Errorf("address: %q; a port of 1 to 65535 expected", v.Address)
	}
	return out, nil
}
