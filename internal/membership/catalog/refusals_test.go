package catalog

import (
	"io"
	"net/http"
	"sync"
	"testing"
	"time"
)

// refusals notes when calls were turned away, and how long after that the next call came.
type refusals struct {
	mu   sync.Mutex
	last time.Time
	gaps []time.Duration
}

// came notes a call.
func (r *refusals) came() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.last.IsZero() {
		r.gaps = append(r.gaps, time.Since(r.last))
		r.last = time.Time{}
	}
}

// refuse turns a call away.
func (r *refusals) refuse(w http.ResponseWriter, retryAfter string) {
	r.mu.Lock()
	r.last = time.Now()
	r.mu.Unlock()
	if retryAfter != "" {
		w.Header().Set("Retry-After", retryAfter)
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

// atLeast fails the test where a call came sooner after a refusal than it should have.
func (r *refusals) atLeast(t *testing.T, least ...time.Duration) {
	t.Helper()
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.gaps) != len(least) {
		t.Fatalf("calls came %v after refusals, want %d", r.gaps, len(least))
	}
	for i, gap := range r.gaps {
		if gap < least[i] {
			t.Errorf("the call after refusal %d came after %v, sooner than %v", i+1, gap, least[i])
		}
	}
}

// reply is what a scripted service answers to one call.
type reply struct {
	body       string // empty: the call is turned away
	retryAfter string
}

// The replies of scripts.
var (
	theList   = reply{body: oneServes}
	noNews    = reply{body: `{"index":1,"snapshot":false,"endpoints":[]}`}
	turnsAway = reply{}
)

// script starts a service that gives each call the next reply, and holds all calls after the last. Once it has sent the list, calls are to
// go on from its version.
func (r *refusals) script(t *testing.T, replies ...reply) (addr string) {
	sent := -1 // the call that had the list
	for i, reply := range replies {
		if reply == theList {
			sent = i + 1
			break
		}
	}
	return script(t, func(n int, w http.ResponseWriter, req *http.Request) {
		r.came()
		if from := req.URL.Query().Get("from"); sent > 0 && n > sent && from != "1" {
			t.Errorf("call %d is %s", n, req.URL)
		}
		switch {
		case n > len(replies):
			<-req.Context().Done()
		case replies[n-1].body == "":
			r.refuse(w, replies[n-1].retryAfter)
		default:
			_, _ = io.WriteString(w, replies[n-1].body)
		}
	})
}

// hearsAfterRefusals follows a service that sends the list, turns watches away and answers one. The module asks for a watch at once each time.
func hearsAfterRefusals(t *testing.T, addr string) {
	t.Helper()
	word := make(chan struct{}, 10)
	d := asks(addr)
	d.cfg.WatchRequested = word
	lists := make(listed, 10)
	follow(t, d, words{lists, word})
	next(t, lists, "the first list")
	next(t, lists, "the answer of the watch that was opened anew")
}
