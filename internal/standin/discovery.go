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
	cfg DiscoveryConfig

	mu      sync.Mutex
	index   int64
	members map[string]Member
	changed map[string]int64 // the version of each member's last change, the deleted included
	news    chan struct{}    // closed at the next change
	mode    Mode
	free    time.Time // when the whole readings that wait will have been worked off
}

// DiscoveryConfig is how a discovery works. The zero value answers at once and without end.
type DiscoveryConfig struct {
	Rate       float64       // whole readings a second that it works off, in turn; 0: at once
	Queue      int           // whole readings that may wait; further ones are answered 503
	RetryAfter time.Duration // that it says with a 503; 0: none
	// Address, where given, is the address of a member as a caller is told it; caller is the IP address it calls from.
	Address func(caller string, m Member) string
	// Since, where given, is when a member started as a caller is told it, in Unix milliseconds.
	Since func(caller string, m Member) int64
	// Report, where given, takes each call's end.
	Report func(DiscoveryCall)
}

// DiscoveryCall is a call that has ended.
type DiscoveryCall struct {
	Caller  string // host:port
	From    int64  // the version that the call goes from; negative: for the whole list
	Began   time.Time
	Status  int   // of the answer; 0: none was written
	GivenUp bool  // its caller had gone before the answer
	Index   int64 // that the answer tells
	Whole   bool  // it tells the whole list, which takes out what it lacks
	Told    []Member
	Wrote   int64 // bytes written on its connection up to the answer's end
}

// Mode is what is wrong with a discovery.
type Mode int

// The modes.
const (
	ListWell   Mode = iota
	ListDown        // answers 503
	ListSilent      // takes calls and answers none
	ListHalf        // breaks answers off in their middle
	ListEmpty       // has lost all members
	ListOlder       // has lost its last versions: it counts anew from a lower one
)

var modes = [...]string{"well", "down", "silent", "half-body", "empty", "older"}

// String is the mode's word.
func (m Mode) String() string { return modes[m] }

// ModeOf is the mode of a word.
func ModeOf(word string) (Mode, bool) {
	i := slices.Index(modes[:], word)
	return Mode(max(i, 0)), i >= 0
}

const (
	olderBy  = 1000 // versions that an older state lacks, at most
	firstOwn = 1    // version of a discovery that has told nothing
)

// NewDiscovery starts a discovery with no members. Close ends it.
func NewDiscovery() (*Discovery, error) { return NewDiscoveryWith(DiscoveryConfig{}) }

// NewDiscoveryWith starts a discovery with no members that works as it is told. Close ends it.
func NewDiscoveryWith(cfg DiscoveryConfig) (*Discovery, error) {
	d := &Discovery{cfg: cfg, members: map[string]Member{}, changed: map[string]int64{}, news: make(chan struct{})}
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
func (d *Discovery) Silent(on bool) { d.turn(on, ListSilent) }

// Down has the discovery answer 503 to all calls, or end that.
func (d *Discovery) Down(on bool) { d.turn(on, ListDown) }

func (d *Discovery) turn(on bool, m Mode) {
	if !on {
		m = ListWell
	}
	d.SetMode(m)
}

// SetMode has the discovery be unwell in some way, or well again.
func (d *Discovery) SetMode(m Mode) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if m == ListOlder && d.mode != ListOlder {
		d.index = max(firstOwn, d.index-olderBy)
		for name := range d.changed {
			d.changed[name] = min(d.changed[name], d.index)
		}
	}
	d.mode = m
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
	call := DiscoveryCall{Caller: r.RemoteAddr, From: from, Began: time.Now()}
	defer func() { // also where an answer is broken off, by a panic
		if d.cfg.Report != nil {
			if c, ok := r.Context().Value(connKey{}).(*counted); ok {
				call.Wrote = c.wrote.Load()
			}
			d.cfg.Report(call)
		}
	}()
	d.converse(w, r, &call)
}

// converse answers a call, and notes in it what became of it.
func (d *Discovery) converse(w http.ResponseWriter, r *http.Request, call *DiscoveryCall) {
	hold, _ := strconv.ParseInt(r.URL.Query().Get("hold_ms"), 10, 64)
	until := time.NewTimer(time.Duration(min(hold, 60_000)) * time.Millisecond)
	defer until.Stop()
	if call.From < 0 && !d.line(w, r, call) {
		return
	}
	for over := false; ; {
		d.mu.Lock()
		list, ok := d.answer(call.From, over)
		news, mode := d.news, d.mode
		d.mu.Unlock()
		switch {
		case mode == ListDown:
			d.refuse(w, call)
			return
		case ok:
			d.write(w, r, call, list, mode)
			return
		}
		select {
		case <-news:
		case <-until.C:
			over = true
		case <-r.Context().Done():
			call.GivenUp = true
			return
		case <-d.done:
			return
		}
	}
}

// line has a whole reading wait for its turn; false: it has ended. Its place is worked off though its caller goes.
func (d *Discovery) line(w http.ResponseWriter, r *http.Request, call *DiscoveryCall) bool {
	if d.cfg.Rate <= 0 {
		return true
	}
	each := time.Duration(float64(time.Second) / d.cfg.Rate)
	d.mu.Lock()
	if d.mode == ListDown || d.mode == ListSilent {
		d.mu.Unlock()
		return true
	}
	now := time.Now()
	if d.free.Before(now) {
		d.free = now
	}
	if d.free.Sub(now) > time.Duration(d.cfg.Queue)*each {
		d.mu.Unlock()
		d.refuse(w, call)
		return false
	}
	d.free = d.free.Add(each)
	turn := time.NewTimer(d.free.Sub(now))
	d.mu.Unlock()
	defer turn.Stop()
	select {
	case <-turn.C:
	case <-d.done:
		return false
	}
	if r.Context().Err() != nil {
		call.GivenUp = true
		return false
	}
	return true
}

func (d *Discovery) refuse(w http.ResponseWriter, call *DiscoveryCall) {
	call.Status = http.StatusServiceUnavailable
	if d.cfg.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(d.cfg.RetryAfter.Seconds(), 'f', -1, 64))
	}
	w.WriteHeader(call.Status)
	_ = http.NewResponseController(w).Flush()
}

// reply is an answer as it goes over the wire.
type reply struct {
	Index     int64    `json:"index"`
	Snapshot  bool     `json:"snapshot"`
	Endpoints []Member `json:"endpoints"`
}

func (d *Discovery) write(w http.ResponseWriter, r *http.Request, call *DiscoveryCall, list *reply, mode Mode) {
	if host, _, err := net.SplitHostPort(r.RemoteAddr); err == nil {
		for i, m := range list.Endpoints {
			if d.cfg.Address != nil {
				list.Endpoints[i].Address = d.cfg.Address(host, m)
			}
			if d.cfg.Since != nil {
				list.Endpoints[i].SinceMs = d.cfg.Since(host, m)
			}
		}
	}
	text, err := json.Marshal(list)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	call.Status, call.Index, call.Whole, call.Told = http.StatusOK, list.Index, list.Snapshot, list.Endpoints
	if mode == ListHalf {
		call.Whole, call.Told = false, nil // nothing that makes sense
		_, _ = w.Write(text[:len(text)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(text)
	_ = http.NewResponseController(w).Flush()
}

// answer is what there is to say to a call; false: it has to wait.
func (d *Discovery) answer(from int64, over bool) (*reply, bool) {
	if d.mode == ListSilent || from == d.index && !over {
		return nil, false
	}
	out := &reply{Index: d.index, Snapshot: from < 0, Endpoints: []Member{}}
	if d.mode == ListEmpty {
		out.Snapshot = true
		return out, true
	}
	for name, at := range d.changed {
		m, there := d.members[name]
		if !there {
			m = Member{Name: name, Status: "DELETED"}
		}
		if from < 0 && there || from >= 0 && at > from {
			out.Endpoints = append(out.Endpoints, m)
		}
	}
	slices.SortFunc(out.Endpoints, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return out, true
}
