package catalog

import (
	"context"
	"fernlanding/internal/membership"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
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

// asks is a client of a service that all copies ask; its module never says when to.
func asks(addr string) *Client {
	return New(Config{Address: addr, Subscribe: true, WatchRequested: make(chan struct{}), Rand: rand.New(rand.NewPCG(1, 1)), Log: slog.New(slog.DiscardHandler)})
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
	d := New(Config{Address: addr, Subscribe: true, WatchRequested: make(chan struct{}), Log: slog.New(slog.DiscardHandler)})
	d.hold, d.patience = func() time.Duration { return 50 * time.Millisecond }, time.Minute
	lists := make(listed, 10)
	follow(t, d, lists)
	next(t, lists, "the first list")
	if l := next(t, lists, "the change that the silent watch missed"); l.Version != 2 || l.Endpoints[0].Status != membership.Draining {
		t.Errorf("after the silence came %+v", l)
	}
}

// What a shared service writes counts as told, whether or not its caller still waits: a call whose turn comes late is not given up, and
// one that has been overtaken by the call beside it is still heard.
func TestACallWhoseTurnComesLateIsStillHeard(t *testing.T) {
	second, heard := make(chan struct{}), make(chan struct{})
	addr := script(t, func(n int, w http.ResponseWriter, r *http.Request) {
		wait := func(turn <-chan struct{}) {
			select {
			case <-turn:
			case <-r.Context().Done():
				t.Errorf("call %d, %s, was given up before its turn", n, r.URL)
			}
		}
		switch n {
		case 1:
			wait(second)
			fmt.Fprint(w, oneServes)
		case 2: // for the whole list, beside the first
			close(second)
			wait(heard)
			fmt.Fprint(w, `{"index":2,"snapshot":true,"endpoints":[{"name":"a","address":"127.0.0.1:1","status":"DRAINING"}]}`)
		default:
			<-r.Context().Done()
		}
	})
	lists := make(listed, 10)
	follow(t, asks(addr), lists)
	if l := next(t, lists, "the list of the call whose turn came late"); l.Version != 1 {
		t.Errorf("first came %+v", l)
	}
	close(heard)
	if l := next(t, lists, "the list of the call beside it"); l.Version != 2 || l.Endpoints[0].Status != membership.Draining {
		t.Errorf("then came %+v", l)
	}
}

// Of calls beside each other the older may be answered last, with what is older: that is no news. A new watch stands from the first
// answer on.
func TestAnOlderAnswerIsNoNews(t *testing.T) {
	second, watching, over := make(chan struct{}), make(chan struct{}), make(chan struct{})
	addr := script(t, func(n int, w http.ResponseWriter, r *http.Request) {
		wait := func(turn <-chan struct{}) {
			select {
			case <-turn:
			case <-r.Context().Done():
			}
		}
		switch n {
		case 1:
			wait(second)
			wait(watching)
			fmt.Fprint(w, oneServes)
		case 2:
			close(second)
			fmt.Fprint(w, `{"index":2,"snapshot":true,"endpoints":[{"name":"a","address":"127.0.0.1:1","status":"DRAINING"}]}`)
		case 3:
			if r.URL.Query().Get("from") != "2" {
				t.Errorf("the watch is from %s", r.URL)
			}
			close(watching)
			wait(over)
			fmt.Fprint(w, `{"index":3,"snapshot":false,"endpoints":[{"name":"a","status":"DELETED"}]}`)
		default:
			<-r.Context().Done()
		}
	})
	d := asks(addr)
	ended := make(chan struct{}, 10)
	d.client.Transport = tell{d.client.Transport, ended}
	lists := make(listed, 10)
	follow(t, d, lists)
	next(t, lists, "the second call's list")
	for range 2 { // also the older answer has been read
		select {
		case <-ended:
		case <-time.After(20 * time.Second):
			t.Fatal("the older answer was not read within 20 s")
		}
	}
	close(over)
	if l := next(t, lists, "the watch's change"); l.Version != 3 {
		t.Errorf("after version 2 came %+v", l)
	}
}

// tell tells of each answer whose body has been closed.
type tell struct {
	http.RoundTripper
	ended chan<- struct{}
}

func (t tell) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.RoundTripper.RoundTrip(r)
	if err == nil {
		resp.Body = closing{resp.Body, t.ended}
	}
	return resp, err
}

type closing struct {
	io.ReadCloser
	ended chan<- struct{}
}

func (c closing) Close() error {
	defer func() { c.ended <- struct{}{} }()
	return c.ReadCloser.Close()
}

// A watch that is turned away is opened anew from the same version, later after each refusal, and no sooner where the module asks for it:
// the service works on calls that it has turned away, and clients that come back soon keep its queue too long for all.
func TestAWatchThatIsTurnedAwayIsOpenedAnewLaterAndLater(t *testing.T) {
	t.Parallel()
	var r refusals
	addr := r.script(t, theList, turnsAway, turnsAway, noNews)
	hearsAfterRefusals(t, addr)
	r.atLeast(t, askBackoff.first/2, refusedGrowth*askBackoff.first/2)
}

// A copy that begins with a list begins with a watch from its version: copies that start together then make one call each, which a service
// can take at once, and none is turned away for the whole list's sake. Only a version in doubt has the whole list asked for.
func TestACopyWithAListBeginsWithAWatch(t *testing.T) {
	addr := script(t, func(n int, w http.ResponseWriter, r *http.Request) {
		from := r.URL.Query().Get("from")
		switch {
		case n == 1 && from == "7": // another service's, which counts anew
			fmt.Fprint(w, `{"index":3,"snapshot":false,"endpoints":[]}`)
		case n == 2 && from == "":
			fmt.Fprint(w, oneServes)
		case n > 2 && from == "1":
			<-r.Context().Done()
		default:
			t.Errorf("call %d is %s", n, r.URL)
		}
	})
	word := make(chan struct{}, 2) // of the module: at the start, and after the doubt
	word <- struct{}{}
	d := New(Config{Address: addr, Subscribe: true, AwaitFirstRequest: true, KnownVersion: 7, WatchRequested: word, Rand: rand.New(rand.NewPCG(1, 1)), Log: slog.New(slog.DiscardHandler)})
	lists := make(listed, 10)
	follow(t, d, words{lists, word})
	if l := next(t, lists, "the whole list"); l.Version != 1 {
		t.Errorf("first came %+v", l)
	}
}

// words is a sink whose module asks again at once.
type words struct {
	listed
	word chan<- struct{}
}

func (s words) UpdateFailed() { s.word <- struct{}{} }

// A copy that begins with no list asks again after a call that failed: its module knows of none, and does not ask.
func TestWithNoListTheFirstCallIsRepeated(t *testing.T) {
	addr := script(t, func(n int, w http.ResponseWriter, r *http.Request) {
		switch n {
		case 1:
			w.WriteHeader(http.StatusServiceUnavailable)
		case 2:
			fmt.Fprint(w, oneServes)
		default:
			<-r.Context().Done()
		}
	})
	lists := make(listed, 10)
	follow(t, asks(addr), lists)
	next(t, lists, "the first list")
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
		if n <= 2*mostConns {
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
