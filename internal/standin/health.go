package standin

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Health is a health API with blocking reads on a loopback socket, as Consul publishes it, for one service of any name.
// It can fail in the ways in which a registry does.
type Health struct {
	served

	mu      sync.Mutex
	index   uint64
	members map[string]Member
	news    chan struct{} // closed at the next change
	fault   HealthFault
	old     []byte // what a stale server still says
	listed  []byte // the answer at this index; nil: not worded yet
	reads   int
}

// HealthFault is a way to fail.
type HealthFault int

// The ways to fail.
const (
	Fine     HealthFault = iota
	Down                 // 500 to all
	Silent               // takes reads and answers none
	Leader               // answers what was true when it lost its leader, and says that it has none
	Cut                  // cuts its answers short
	NoIndex              // forgets the index
	Spurious             // wakes all reads at once, with no change
)

// NewHealth starts an API with no members. Close ends it.
func NewHealth() (*Health, error) {
	h := newHealth()
	if err := h.serve(h); err != nil {
		return nil, err
	}
	return h, nil
}

func newHealth() *Health {
	return &Health{index: 1, members: map[string]Member{}, news: make(chan struct{})}
}

// Put enters members or changes them, in one step of the index.
func (h *Health) Put(members ...Member) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, m := range members {
		h.members[m.Name] = m
	}
	h.tell()
}

// Delete takes members out, in one step of the index.
func (h *Health) Delete(names ...string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, n := range names {
		delete(h.members, n)
	}
	h.tell()
}

// Fail has the API fail in a way; Fine ends that.
func (h *Health) Fail(f HealthFault) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.old = h.list()
	h.fault = f
	h.tell()
}

// Restart has the index begin anew, as after a restore.
func (h *Health) Restart() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.index = 0
	h.tell()
}

// Reads is how many reads have come.
func (h *Health) Reads() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.reads
}

func (h *Health) tell() {
	h.index++
	h.listed = nil
	close(h.news)
	h.news = make(chan struct{})
}

// list is the answer as it would be now. It is worded once for each index.
func (h *Health) list() []byte {
	if h.listed == nil {
		h.listed = h.word()
	}
	return h.listed
}

func (h *Health) word() []byte {
	type object = map[string]any
	all := []object{}
	var names []string
	for n := range h.members {
		names = append(names, n)
	}
	slices.Sort(names)
	for _, n := range names {
		m := h.members[n]
		host, port, _ := net.SplitHostPort(m.Address)
		number, _ := strconv.Atoi(port)
		meta := map[string]string{"cell": strconv.Itoa(m.Group), "since": strconv.FormatInt(m.SinceMs, 10)}
		if m.Status == "DRAINING" {
			meta["status"] = "draining"
		}
		weight := m.Weight
		if weight == 0 {
			weight = 1
		}
		all = append(all, object{
			"Node":    object{"Node": "n", "Address": host, "Datacenter": m.Zone},
			"Service": object{"ID": m.Name, "Service": "s", "Port": number, "Meta": meta, "Weights": object{"Passing": weight, "Warning": 1}},
			"Checks":  []object{{"CheckID": "serfHealth", "Status": "passing"}},
		})
	}
	data, _ := json.Marshal(all)
	return data
}

// ServeHTTP answers GET /v1/health/service/NAME[?index=N&wait=T].
func (h *Health) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !strings.HasPrefix(r.URL.Path, "/v1/health/service/") {
		http.NotFound(w, r)
		return
	}
	from, _ := strconv.ParseUint(r.URL.Query().Get("index"), 10, 64)
	wait, _ := time.ParseDuration(r.URL.Query().Get("wait"))
	until := time.NewTimer(min(wait, time.Minute))
	defer until.Stop()
	h.mu.Lock()
	h.reads++
	h.mu.Unlock()
	for over := false; ; {
		h.mu.Lock()
		index, news, fault, data := h.index, h.news, h.fault, h.list()
		if fault == Leader {
			data = h.old
		}
		h.mu.Unlock()
		if fault != Silent && (from == 0 || index != from || over || fault != Fine) {
			answer(w, index, fault, data)
			return
		}
		select {
		case <-news:
		case <-until.C:
			over = true
		case <-r.Context().Done():
			return
		case <-h.done:
			return
		}
	}
}

func answer(w http.ResponseWriter, index uint64, fault HealthFault, data []byte) {
	w.Header().Set("X-Consul-Index", strconv.FormatUint(index, 10))
	w.Header().Set("X-Consul-Knownleader", strconv.FormatBool(fault != Leader))
	switch fault {
	case Down:
		w.WriteHeader(http.StatusInternalServerError)
		return
	case NoIndex:
		w.Header().Del("X-Consul-Index")
	case Cut:
		w.Header().Set("Content-Length", strconv.Itoa(len(data)))
		data = data[:len(data)/2]
	}
	_, _ = w.Write(data)
}
