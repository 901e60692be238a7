package catalog

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"fernlanding/internal/membership"
)

// script is a discovery that does as a function says with each call, by its number from 1.
func script(t *testing.T, answer func(n int, w http.ResponseWriter, r *http.Request)) (addr string) {
	calls := make(chan int, 1)
	calls <- 0
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n := 1 + <-calls
		calls <- n
		answer(n, w, r)
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

const oneServes = `{"index":1,"snapshot":true,"endpoints":[{"name":"a","address":"127.0.0.1:1","status":"SERVING"}]}`

// follow runs a client until the test ends.
func follow(t *testing.T, d *Client, sink membership.Sink) {
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); d.Run(ctx, sink) }()
	t.Cleanup(func() { stop(); <-ended })
}

// next is the next list; none in a long time fails the test.
func next(t *testing.T, lists listed, what string) *membership.List {
	t.Helper()
	select {
	case l := <-lists:
		return l
	case <-time.After(20 * time.Second):
		t.Fatalf("%s: not within 20 s", what)
		return nil
	}
}

// Where all proxies share the service, a watch that has fallen silent is opened anew as soon as it is overdue, beside the one that is
// still waited for, and with no word of the module: what it misses counts as told 2 s after its wait.
func TestAnOverdueWatchIsOpenedAnewBesideIt(t *testing.T) {
	firstOver := make(chan struct{})
	addr := script(t, func(n int, w http.ResponseWriter, r *http.Request) {
		switch n {
		case 1:
			fmt.Fprint(w, oneServes)
		case 2: // falls silent
			<-r.Context().Done()
			close(firstOver)
		case 3:
			if r.URL.Query().Get("from") != "1" {
				t.Errorf("the watch is opened anew by %s", r.URL)
			}
			select {
			case <-firstOver:
				t.Error("the silent watch had been given up before another was opened")
			default:
			}
			fmt.Fprint(w, `{"index":2,"snapshot":false,"endpoints":[{"name":"a","address":"127.0.0.1:1","status":"DRAINING"}]}`)
		default:
			<-r.Context().Done()
		}
	})
	d := New(Config{Address: addr, Subscribe: true, Asked: make(chan struct{}), Log: slog.New(slog.DiscardHandler)})
	d.hold, d.patience = func() time.Duration { return 50 * time.Millisecond }, time.Minute
	lists := make(listed, 10)
	follow(t, d, lists)
	next(t, lists, "the first list")
	if l := next(t, lists, "the change that the silent watch missed"); l.Index != 2 || l.Endpoints[0].Status != membership.Draining {
		t.Errorf("after the silence came %+v", l)
	}
}

// A connection that doesn't come up is given up, also when its call has been long before: a link that is cut bars no call after it is
// whole again.
func TestConnectionsThatHangBarNoOthers(t *testing.T) {
	addr := script(t, func(_ int, w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Has("from") {
			<-r.Context().Done()
			return
		}
		fmt.Fprint(w, oneServes)
	})
	d := New(Config{Address: addr, Log: slog.New(slog.DiscardHandler)})
	dials := make(chan int, 1)
	dials <- 0
	d.dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
		n := 1 + <-dials
		dials <- n
		if n <= 2*mostCalls {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		return (&net.Dialer{}).DialContext(ctx, network, addr)
	}
	lists := make(listed, 10)
	follow(t, d, lists)
	next(t, lists, "a list once connections come up")
}

// A fresh process calls again before its first call ends: what the agent has counts as told from its first moment on.
func TestTheFirstCallIsNotWaitedFor(t *testing.T) {
	second := make(chan struct{})
	addr := script(t, func(n int, w http.ResponseWriter, r *http.Request) {
		switch n {
		case 1:
			select {
			case <-second:
			case <-r.Context().Done():
				t.Error("the first call was given up before there was another")
			}
		case 2:
			close(second)
			fmt.Fprint(w, oneServes)
		default:
			<-r.Context().Done()
		}
	})
	d := New(Config{Address: addr, Log: slog.New(slog.DiscardHandler)})
	d.patience = time.Minute
	lists := make(listed, 10)
	follow(t, d, lists)
	next(t, lists, "the first list")
}
