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

const maxHoldMs = 60_000 // limit of the hold of a long poll, in milliseconds

// listResponse is the JSON body of a response.
type listResponse struct {
	Index     int64    `json:"index"`
	Snapshot  bool     `json:"snapshot"`
	Endpoints []Member `json:"endpoints"`
}

// ServeHTTP handles GET /catalog/members[?from=INDEX&hold_ms=MS].
func (d *Discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		from = -1
	}
	call := DiscoveryCall{Caller: r.RemoteAddr, From: from, StartTime: time.Now()}
	defer func() { // runs also after the panic that truncates a response
		if d.cfg.OnCallEnd != nil {
			if c, ok := r.Context().Value(connKey{}).(*countingConn); ok {
				call.BytesWritten = c.bytesWritten.Load()
			}
			d.cfg.OnCallEnd(call)
		}
	}()
	d.handleCall(w, r, &call)
}

// handleCall responds to a call, and records the result in the DiscoveryCall.
func (d *Discovery) handleCall(w http.ResponseWriter, r *http.Request, call *DiscoveryCall) {
	hold, _ := strconv.ParseInt(r.URL.Query().Get("hold_ms"), 10, 64) // 0 if absent
	holdEnd := time.NewTimer(time.Duration(min(hold, maxHoldMs)) * time.Millisecond)
	defer holdEnd.Stop()
	if call.From < 0 && !d.awaitTurn(w, r, call) {
		return
	}
	for held := false; ; {
		d.mu.Lock()
		list, ok := d.response(call.From, held)
		change, fault := d.change, d.fault
		d.mu.Unlock()
		switch {
		case fault == DiscoveryDown:
			d.reject(w, call)
			return
		case ok:
			d.writeResponse(w, r, call, list, fault)
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

// awaitTurn queues a call for a snapshot and reports whether the call's turn has come. If it
// returns false, the call has ended. A call keeps its place in the queue even if the caller
// disconnects.
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

// enqueue takes a place in the queue and returns the time until the call's turn. ok is false if the
// queue is full. With DiscoveryDown and DiscoveryUnresponsive there is no queue.
func (d *Discovery) enqueue() (wait time.Duration, ok bool) {
	perCall := time.Duration(float64(time.Second) / d.cfg.Rate)
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.fault == DiscoveryDown || d.fault == DiscoveryUnresponsive {
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

// reject responds with 503, and with Retry-After if one is configured.
func (d *Discovery) reject(w http.ResponseWriter, call *DiscoveryCall) {
	call.Status = http.StatusServiceUnavailable
	if d.cfg.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(d.cfg.RetryAfter.Seconds(), 'f', -1, 64))
	}
	w.WriteHeader(call.Status)
	flush(w)
}

// response returns the response to a call and reports whether there is one yet. held is whether the
// hold of the call has ended. The caller holds mu.
func (d *Discovery) response(from int64, held bool) (*listResponse, bool) {
	if d.fault == DiscoveryUnresponsive || from == d.index && !held {
		return nil, false
	}
	list := &listResponse{Index: d.index, Snapshot: from < 0, Endpoints: []Member{}}
	if d.fault == DiscoveryEmpty {
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

// writeResponse writes a response. With DiscoveryTruncated it writes half of the body and aborts
// the connection.
func (d *Discovery) writeResponse(
	w http.ResponseWriter, r *http.Request, call *DiscoveryCall, list *listResponse, fault DiscoveryFault,
) {
	d.adaptToCaller(r.RemoteAddr, list.Endpoints)
	text, err := json.Marshal(list)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	call.Status, call.Index = http.StatusOK, list.Index
	if fault == DiscoveryTruncated {
		_, _ = w.Write(text[:len(text)/2])
		flush(w)
		panic(http.ErrAbortHandler)
	}
	call.IsSnapshot, call.Members = list.Snapshot, list.Endpoints
	_, _ = w.Write(text) // fails only if the caller has disconnected
	flush(w)
}

// adaptToCaller sets the fields of members for which the configuration has a function of the
// caller.
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

// flush writes the data that net/http has buffered, so that BytesWritten includes it. It discards
// the error, which only means that the caller has disconnected.
func flush(w http.ResponseWriter) { _ = http.NewResponseController(w).Flush() }
