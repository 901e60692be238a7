package standin

import (
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Health is a stand-in for Consul's health API with blocking queries, on a loopback socket. It
// serves the same list for a service of any name. Faults of a registry can be injected into a
// Health. It is safe for concurrent use.
type Health struct {
	server

	mu      sync.Mutex
	index   uint64
	members map[string]Member // by name
	change  chan struct{}     // closed at the next change
	fault   HealthFault
	stale   []byte // response with HealthNoLeader
	encoded []byte // response at this index; nil if not encoded yet
	reads   int    // queries received
}

// HealthFault is a way in which a Health fails.
type HealthFault int

// The faults of a Health.
const (
	HealthOK           HealthFault = iota // no fault
	HealthDown                            // responds with 500
	HealthUnresponsive                    // accepts queries and never responds
	HealthNoLeader                        // reports no leader, with the list as of the loss of the leader
	HealthTruncated                       // truncates the bodies of its responses
	HealthNoIndex                         // sends no X-Consul-Index
	HealthSpurious                        // responds to blocking queries at once, without a change
)

// NewHealth starts a Health with no members. Close stops it.
func NewHealth() (*Health, error) {
	h := newHealth()
	if err := h.serve(h); err != nil {
		return nil, err
	}
	return h, nil
}

// newHealth returns a Health with no members and no listener.
func newHealth() *Health {
	return &Health{index: 1, members: map[string]Member{}, change: make(chan struct{})}
}

// Put adds or replaces members, in one step of the index.
func (h *Health) Put(members ...Member) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, m := range members {
		h.members[m.Name] = m
	}
	h.advance()
}

// Delete removes members, in one step of the index.
func (h *Health) Delete(names ...string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, name := range names {
		delete(h.members, name)
	}
	h.advance()
}

// SetFault sets the fault of the Health. HealthOK clears any fault.
func (h *Health) SetFault(fault HealthFault) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stale = h.encodedList()
	h.fault = fault
	h.advance()
}

// ResetIndex restarts the index from 1, as after a restore of the registry.
func (h *Health) ResetIndex() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.index = 0
	h.advance()
}

// Reads returns the number of queries that the Health has received.
func (h *Health) Reads() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.reads
}

// advance increments the index and wakes the blocking queries. The caller holds mu.
func (h *Health) advance() {
	h.index++
	h.encoded = nil
	close(h.change)
	h.change = make(chan struct{})
}

// encodedList returns the list as JSON. The list is encoded once for each index. The caller holds
// mu.
func (h *Health) encodedList() []byte {
	if h.encoded == nil {
		h.encoded = h.encode()
	}
	return h.encoded
}

// encode returns the members in the format of Consul's API, in order of their names.
func (h *Health) encode() []byte {
	entries := []jsonObject{}
	for _, name := range slices.Sorted(maps.Keys(h.members)) {
		entries = append(entries, consulEntry(h.members[name]))
	}
	data, _ := json.Marshal(entries) // cannot fail: the entries are strings, numbers and maps
	return data
}

// jsonObject is a JSON object.
type jsonObject = map[string]any

// consulEntry returns a member in the format of Consul's API.
func consulEntry(m Member) jsonObject {
	host, port, _ := net.SplitHostPort(m.Address) // an invalid address is listed as an empty one
	portNumber, _ := strconv.Atoi(port)
	meta := map[string]string{"cell": strconv.Itoa(m.Cell), "since": strconv.FormatInt(m.StartedMs, 10)}
	if m.Status == statusDraining {
		meta["status"] = "draining"
	}
	weight := m.Weight
	if weight == 0 {
		weight = 1
	}
	return jsonObject{
		"Node": jsonObject{"Node": "n", "Address": host, "Datacenter": m.Zone},
		"Service": jsonObject{
			"ID": m.Name, "Service": "s", "Port": portNumber, "Meta": meta,
			"Weights": jsonObject{"Passing": weight, "Warning": 1},
		},
		"Checks": []jsonObject{{"CheckID": "serfHealth", "Status": "passing"}},
	}
}

// ServeHTTP handles GET /v1/health/service/NAME[?index=N&wait=T].
func (h *Health) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !strings.HasPrefix(r.URL.Path, "/v1/health/service/") {
		http.NotFound(w, r)
		return
	}
	// Both values are 0 if they are absent.
	from, _ := strconv.ParseUint(r.URL.Query().Get("index"), 10, 64)
	wait, _ := time.ParseDuration(r.URL.Query().Get("wait"))
	waitEnd := time.NewTimer(min(wait, time.Minute))
	defer waitEnd.Stop()
	h.mu.Lock()
	h.reads++
	h.mu.Unlock()
	for waited := false; ; {
		h.mu.Lock()
		index, change, fault, data := h.index, h.change, h.fault, h.encodedList()
		if fault == HealthNoLeader {
			data = h.stale
		}
		h.mu.Unlock()
		if fault != HealthUnresponsive && (from == 0 || index != from || waited || fault != HealthOK) {
			writeHealthResponse(w, index, fault, data)
			return
		}
		select {
		case <-change:
		case <-waitEnd.C:
			waited = true
		case <-r.Context().Done():
			return
		case <-h.done:
			return
		}
	}
}

// writeHealthResponse writes a response as the fault alters it.
func writeHealthResponse(w http.ResponseWriter, index uint64, fault HealthFault, data []byte) {
	w.Header().Set("X-Consul-Index", strconv.FormatUint(index, 10))
	w.Header().Set("X-Consul-Knownleader", strconv.FormatBool(fault != HealthNoLeader))
	switch fault {
	case HealthDown:
		w.WriteHeader(http.StatusInternalServerError)
		return
	case HealthNoIndex:
		w.Header().Del("X-Consul-Index")
	case HealthTruncated:
		w.Header().Set("Content-Length", strconv.Itoa(len(data)))
		data = data[:len(data)/2]
	default: // the body is complete
	}
	_, _ = w.Write(data) // fails only if the caller has disconnected
}
