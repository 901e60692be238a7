package standin

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Member is an entry of a discovery's list.
type Member struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Type    string  `json:"type"`
	Group   int     `json:"group"`
	Status  string  `json:"status"` // SERVING, DRAINING; DELETED among changes
	Weight  float64 `json:"weight"`
	SinceMs int64   `json:"since_ms"`
}

// Discovery is the platform's discovery on a loopback socket: the whole list, and watches that wait for changes. It
// can be made to fall silent or to fail.
type Discovery struct {
	served

	mu      sync.Mutex
	index   int64
	members map[string]Member
	changed map[string]int64 // the version of each member's last change, the deleted included
	news    chan struct{}    // closed at the next change
	silent  bool
	down    bool
}

// NewDiscovery starts a discovery with no members. Close ends it.
func NewDiscovery() (*Discovery, error) {
	d := &Discovery{members: map[string]Member{}, changed: map[string]int64{}, news: make(chan struct{})}
	if err := d.serve(d); err != nil {
		return nil, err
	}
	return d, nil
}

// Put enters members or changes them, in one version.
func (d *Discovery) Put(members ...Member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.index++
	for _, m := range members {
		if m.Weight == 0 {
			m.Weight = 1
		}
		if m.Status == "" {
			m.Status = "SERVING"
		}
		d.members[m.Name], d.changed[m.Name] = m, d.index
	}
	d.tell()
}

// Delete takes members out, in one version.
func (d *Discovery) Delete(names ...string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.index++
	for _, n := range names {
		delete(d.members, n)
		d.changed[n] = d.index
	}
	d.tell()
}

// Silent has the discovery take calls and answer none, or end that.
func (d *Discovery) Silent(on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.silent = on
	d.tell()
}

// Down has the discovery answer 503 to all calls, or end that.
func (d *Discovery) Down(on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.down = on
	d.tell()
}

// tell wakes the watches.
func (d *Discovery) tell() {
	close(d.news)
	d.news = make(chan struct{})
}

// ServeHTTP answers GET /catalog/members[?from=INDEX&hold_ms=MS].
func (d *Discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		from = -1
	}
	hold, _ := strconv.ParseInt(r.URL.Query().Get("hold_ms"), 10, 64)
	until := time.NewTimer(time.Duration(min(hold, 60_000)) * time.Millisecond)
	defer until.Stop()
	for over := false; ; {
		d.mu.Lock()
		text, ok := d.answer(from, over)
		news, down := d.news, d.down
		d.mu.Unlock()
		switch {
		case down:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case ok:
			_, _ = w.Write(text)
			return
		}
		select {
		case <-news:
		case <-until.C:
			over = true
		case <-r.Context().Done():
			return
		case <-d.done:
			return
		}
	}
}

// answer is what there is to say to a call; false: it has to wait.
func (d *Discovery) answer(from int64, over bool) ([]byte, bool) {
	if d.silent || from == d.index && !over {
		return nil, false
	}
	var list []Member
	for name, at := range d.changed {
		m, there := d.members[name]
		if !there {
			m = Member{Name: name, Status: "DELETED"}
		}
		if from < 0 && there || from >= 0 && at > from {
			list = append(list, m)
		}
	}
	slices.SortFunc(list, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	if list == nil {
		list = []Member{}
	}
	text, err := json.Marshal(map[string]any{"index": d.index, "snapshot": from < 0, "endpoints": list})
	return text, err == nil
}
