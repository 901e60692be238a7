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

// Health is a health API with blocking queries on a loopback socket, as Consul publishes it, for
// one service of any name. It can fail in the ways in which a registry does. It may be used by many
// goroutines.
type Health struct {
	server

	mu      sync.Mutex
	index   uint64
	members map[string]Member
	change  chan struct{} // closed at the next change
	fault   HealthFault
	stale   []byte // the response of a server that lost its leader
	encoded []byte // the response at this index; nil: not encoded yet
	reads   int
}

// HealthFault is a way in which a Health fails.
type HealthFault int

// The faults.
const (
	HealthOK           HealthFault = iota
	HealthDown                     // 500 to all
	HealthUnresponsive             // takes queries and answers none
	HealthNoLeader                 // answers what was true when the leader was lost, and says that there is none
	HealthTruncated                // cuts its responses short
	HealthNoIndex                  // sends no index
	HealthSpurious                 // answers all queries at once, with no change
)

// NewHealth starts an API with no members. Close ends it.
func NewHealth() (*Health, error) {
	h := newHealth()
	if err := h.serve(h); err != nil {
		return nil, err
	}
	return h, nil
}

// newHealth returns an API with no members that is not served yet.
func newHealth() *Health {
	return &Health{index: 1, members: map[string]Member{}, change: make(chan struct{})}
}

// Put adds members or changes them, in one step of the index.
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

// SetFault has the API fail in a way; Fine ends that.
func (h *Health) SetFault(fault HealthFault) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stale = h.encodedList()
	h.fault = fault
	h.advance()
}

// ResetIndex has the index begin anew, as after a restore.
func (h *Health) ResetIndex() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.index = 0
	h.advance()
}

// Reads returns how many queries have come.
func (h *Health) Reads() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.reads
}

// advance takes the next index and wakes the queries that wait. The caller holds mu.
func (h *Health) advance() {
	h.index++
	h.encoded = nil
	close(h.change)
	h.change = make(chan struct{})
}

// encodedList returns the response as it would be now. It is encoded once for each index. The
// caller holds mu.
func (h *Health) encodedList() []byte {
	if h.encoded == nil {
		h.encoded = h.encode()
	}
	return h.encoded
}

// encode returns the members as Consul's API lists them, in order of their names.
func (h *Health) encode() []byte {
	entries := []jsonObject{}
	for _, name := range slices.Sorted(maps.Keys(h.members)) {
		entries = append(entries, consulEntry(h.members[name]))
	}
	data, _ := json.Marshal(entries) // cannot fail: strings, numbers and maps
	return data
}

// jsonObject is an object of a JSON text.
type jsonObject = map[string]any

// consulEntry returns a member as Consul's API lists it.
func consulEntry(m Member) jsonObject {
	host, port, _ := net.SplitHostPort(m.Address) // an invalid address is listed empty
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

// ServeHTTP answers GET /v1/health/service/NAME[?index=N&wait=T].
func (h *Health) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !strings.HasPrefix(r.URL.Path, "/v1/health/service/") {
		http.NotFound(w, r)
		return
	}
	// Both are 0 where they are not given.
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

// writeHealthResponse writes a response with the fault's defect.
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
	_, _ = w.Write(data) // a caller that has left is no error
}
