package standin

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

const maxHoldMs = 60_000 // milliseconds that a watch is held, at most

// listResponse is the body of a response.
type listResponse struct {
	Index     int64    `json:"index"`
	Snapshot  bool     `json:"snapshot"`
	Endpoints []Member `json:"endpoints"`
}

// ServeHTTP answers GET /catalog/members[?from=INDEX&hold_ms=MS].
func (d *Discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		from = -1
	}
	call := DiscoveryCall{Caller: r.RemoteAddr, From: from, StartTime: time.Now()}
	defer func() { // also where a response is broken off, by a panic
		if d.cfg.OnCallEnd != nil {
			if c, ok := r.Context().Value(connKey{}).(*countingConn); ok {
				call.BytesWritten = c.wrote.Load()
			}
			d.cfg.OnCallEnd(call)
		}
	}()
	d.answerCall(w, r, &call)
}

// answerCall answers a call, and notes in it what became of it.
func (d *Discovery) answerCall(w http.ResponseWriter, r *http.Request, call *DiscoveryCall) {
	hold, _ := strconv.ParseInt(r.URL.Query().Get("hold_ms"), 10, 64) // 0 where it is not given
	holdEnd := time.NewTimer(time.Duration(min(hold, maxHoldMs)) * time.Millisecond)
	defer holdEnd.Stop()
	if call.From < 0 && !d.awaitTurn(w, r, call) {
		return
	}
	for held := false; ; {
		d.mu.Lock()
		list, ok := d.response(call.From, held)
		change, mode := d.change, d.mode
		d.mu.Unlock()
		switch {
		case mode == DiscoveryDown:
			d.reject(w, call)
			return
		case ok:
			d.writeResponse(w, r, call, list, mode)
			return
		}
		select {
		case <-change:
		case <-holdEnd.C:
			held = true
		case <-r.Context().Done():
			call.CallerDisconnected = true
			return
		case <-d.done:
			return
		}
	}
}

// awaitTurn has a snapshot wait in the queue and reports whether its turn has come; otherwise the
// call has ended. Its place in the queue is kept though its caller leaves.
func (d *Discovery) awaitTurn(w http.ResponseWriter, r *http.Request, call *DiscoveryCall) bool {
	if d.cfg.Rate <= 0 {
		return true
	}
	wait, ok := d.enqueue()
	if !ok {
		d.reject(w, call)
		return false
	}
	if wait <= 0 {
		return true
	}
	turn := time.NewTimer(wait)
	defer turn.Stop()
	select {
	case <-turn.C:
	case <-d.done:
		return false
	}
	if r.Context().Err() != nil {
		call.CallerDisconnected = true
		return false
	}
	return true
}

// enqueue takes a place in the queue and returns how long it is to the call's turn; ok is false if
// the queue is full. One that is down or silent has no queue.
func (d *Discovery) enqueue() (wait time.Duration, ok bool) {
	perCall := time.Duration(float64(time.Second) / d.cfg.Rate)
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.mode == DiscoveryDown || d.mode == DiscoveryUnresponsive {
		return 0, true
	}
	now := time.Now()
	if d.queueEnd.Before(now) {
		d.queueEnd = now
	}
	if d.queueEnd.Sub(now) > time.Duration(d.cfg.QueueSize)*perCall {
		return 0, false
	}
	d.queueEnd = d.queueEnd.Add(perCall)
	return d.queueEnd.Sub(now), true
}

// reject answers 503.
func (d *Discovery) reject(w http.ResponseWriter, call *DiscoveryCall) {
	call.Status = http.StatusServiceUnavailable
	if d.cfg.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(d.cfg.RetryAfter.Seconds(), 'f', -1, 64))
	}
	w.WriteHeader(call.Status)
	flush(w)
}

// response returns the response to a call and reports whether there is one yet. The caller holds
// mu.
func (d *Discovery) response(from int64, held bool) (*listResponse, bool) {
	if d.mode == DiscoveryUnresponsive || from == d.index && !held {
		return nil, false
	}
	list := &listResponse{Index: d.index, Snapshot: from < 0, Endpoints: []Member{}}
	if d.mode == DiscoveryEmpty {
		list.Snapshot = true
		return list, true
	}
	for name, changedAt := range d.changed {
		m, exists := d.members[name]
		if !exists {
			m = Member{Name: name, Status: statusDeleted}
		}
		if from < 0 && exists || from >= 0 && changedAt > from {
			list.Endpoints = append(list.Endpoints, m)
		}
	}
	slices.SortFunc(list.Endpoints, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return list, true
}

// writeResponse writes a response, or half of it with ListHalf.
func (d *Discovery) writeResponse(
	w http.ResponseWriter, r *http.Request, call *DiscoveryCall, list *listResponse, mode DiscoveryFault,
) {
	d.adaptToCaller(r.RemoteAddr, list.Endpoints)
	text, err := json.Marshal(list)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	call.Status, call.Index = http.StatusOK, list.Index
	if mode == DiscoveryTruncated {
		_, _ = w.Write(text[:len(text)/2])
		flush(w)
		panic(http.ErrAbortHandler)
	}
	call.IsSnapshot, call.Members = list.Snapshot, list.Endpoints
	_, _ = w.Write(text) // a caller that has left is no error
	flush(w)
}

// adaptToCaller replaces what the configuration has differ by caller.
func (d *Discovery) adaptToCaller(remoteAddr string, members []Member) {
	caller, _, err := net.SplitHostPort(remoteAddr)
	if err != nil {
		return
	}
	for i, m := range members {
		if d.cfg.Address != nil {
			members[i].Address = d.cfg.Address(caller, m)
		}
		if d.cfg.StartedMs != nil {
			members[i].StartedMs = d.cfg.StartedMs(caller, m)
		}
	}
}

// flush writes what net/http has buffered, so that it is counted. Its error says that the caller
// has left.
func flush(w http.ResponseWriter) { _ = http.NewResponseController(w).Flush() }
