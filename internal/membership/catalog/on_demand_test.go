package catalog

import (
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"fernlanding/internal/membership"
)

// testAfterRejections follows a service that sends the list, rejects watches and answers one. The
// module requests a watch at once each time.
func testAfterRejections(t *testing.T, addr string) {
	t.Helper()
	requests := make(chan struct{}, 10)
	client := newOnDemandClient(addr)
	client.cfg.WatchRequested = requests
	lists := make(listSink, 10)
	run(t, client, requestingSink{listSink: lists, requests: requests})
	lists.next(t, "the first list")
	lists.next(t, "the answer of the watch that was opened anew")
}

// A shared service that sends Retry-After is not called until then, though the module requests a
// call at once; but not for so long that what it has at its return is notified too late.
func TestOnDemandRetryAfterIsKept(t *testing.T) {
	t.Parallel()
	var rejections rejectionLog
	addr := rejections.script(t, listReply, reply{retryAfter: "1"}, reply{retryAfter: "3600"}, noChangeReply)
	testAfterRejections(t, addr)
	rejections.expectDelays(t, time.Second, maxKeptRetryAfter)
}

// A watch that is rejected is opened anew from the same version, later after each rejection, and no
// sooner where the module requests it: the service works on calls that it has rejected, and clients
// that come back soon keep its queue too long for all.
func TestRejectedOnDemandWatchBacksOff(t *testing.T) {
	t.Parallel()
	var rejections rejectionLog
	addr := rejections.script(t, listReply, rejectReply, rejectReply, noChangeReply)
	testAfterRejections(t, addr)
	rejections.expectDelays(t, onDemandBackoff.first/2, backoffGrowth*onDemandBackoff.first/2)
}

// A replica that begins without a list, which its module does not request, backs off longer after
// each rejection.
func TestRejectedFirstOnDemandCallsBackOff(t *testing.T) {
	t.Parallel()
	var rejections rejectionLog
	addr := rejections.script(t, rejectReply, rejectReply, rejectReply, listReply)
	lists := make(listSink, 10)
	run(t, newOnDemandClient(addr), lists)
	lists.next(t, "the first list")
	rejections.expectDelays(t,
		onDemandBackoff.first/2, backoffGrowth*onDemandBackoff.first/2, onDemandBackoff.largest/2)
}

// A replica that begins without a list calls again after a call that failed: its module knows of
// none, and requests none.
func TestFirstOnDemandCallIsRetried(t *testing.T) {
	addr := serve(t, func(n int, w http.ResponseWriter, r *http.Request) {
		switch n {
		case 1:
			w.WriteHeader(http.StatusServiceUnavailable)
		case 2:
			answer(w, servingList)
		default:
			<-r.Context().Done()
		}
	})
	lists := make(listSink, 10)
	run(t, newOnDemandClient(addr), lists)
	lists.next(t, "the first list")
}

// A replica that begins with a list begins with a watch from its version: replicas that start
// together then make one call each, which a service can take at once, and none is rejected for the
// full list's sake. Only a version in doubt has the full list called for.
func TestReplicaWithListBeginsWithAWatch(t *testing.T) {
	addr := serve(t, func(n int, w http.ResponseWriter, r *http.Request) {
		from := r.URL.Query().Get("from")
		switch {
		case n == 1 && from == "7": // another service's, which counts anew
			answer(w, `{"index":3,"snapshot":false,"endpoints":[]}`)
		case n == 2 && from == "":
			answer(w, servingList)
		case n > 2 && from == "1":
			<-r.Context().Done()
		default:
			t.Errorf("call %d is %s", n, r.URL)
		}
	})
	requests := make(chan struct{}, 2) // of the module: at the start, and after the doubt
	requests <- struct{}{}
	client := New(Config{
		Address: addr, OnDemand: true, AwaitFirstRequest: true, KnownVersion: 7, WatchRequested: requests,
		Rand: rand.New(rand.NewPCG(1, 1)), Log: slog.New(slog.DiscardHandler),
	})
	lists := make(listSink, 10)
	run(t, client, requestingSink{listSink: lists, requests: requests})
	if list := lists.next(t, "the full list"); list.Version != 1 {
		t.Errorf("first came %+v", list)
	}
}

// Where all replicas share the service, a watch that has fallen silent is opened anew as soon as it
// is overdue, beside the one that is still waited for, and without a request of the module: what it
// misses counts as notified 2 s after its hold.
func TestOverdueWatchIsOpenedAnewBesideIt(t *testing.T) {
	firstCanceled := make(chan struct{})
	addr := serve(t, func(n int, w http.ResponseWriter, r *http.Request) {
		switch n {
		case 1:
			answer(w, servingList)
		case 2: // falls silent
			<-r.Context().Done()
			close(firstCanceled)
		case 3:
			if r.URL.Query().Get("from") != "1" {
				t.Errorf("the watch is opened anew by %s", r.URL)
			}
			select {
			case <-firstCanceled:
				t.Error("the silent watch had been canceled before another was opened")
			default:
			}
			answer(w, drainingDelta)
		default:
			<-r.Context().Done()
		}
	})
	client := New(Config{
		Address: addr, OnDemand: true, WatchRequested: make(chan struct{}), Log: slog.New(slog.DiscardHandler),
	})
	client.hold, client.timeout = func() time.Duration { return 50 * time.Millisecond }, time.Minute
	lists := make(listSink, 10)
	run(t, client, lists)
	lists.next(t, "the first list")
	list := lists.next(t, "the change that the silent watch missed")
	if list.Version != 2 || list.Endpoints[0].Status != membership.Draining {
		t.Errorf("after the silence came %+v", list)
	}
}

// What a shared service writes counts as notified, whether or not its caller still waits: a call
// whose turn comes late is not canceled, and one that has been overtaken by the call beside it is
// still taken.
func TestLateOnDemandAnswerIsTaken(t *testing.T) {
	second, taken := make(chan struct{}), make(chan struct{})
	addr := serve(t, func(n int, w http.ResponseWriter, r *http.Request) {
		waitFor := func(turn <-chan struct{}) {
			select {
			case <-turn:
			case <-r.Context().Done():
				t.Errorf("call %d, %s, was canceled before its turn", n, r.URL)
			}
		}
		switch n {
		case 1:
			waitFor(second)
			answer(w, servingList)
		case 2: // for the full list, beside the first
			close(second)
			waitFor(taken)
			answer(w, drainingList)
		default:
			<-r.Context().Done()
		}
	})
	lists := make(listSink, 10)
	run(t, newOnDemandClient(addr), lists)
	if list := lists.next(t, "the list of the call whose turn came late"); list.Version != 1 {
		t.Errorf("first came %+v", list)
	}
	close(taken)
	list := lists.next(t, "the list of the call beside it")
	if list.Version != 2 || list.Endpoints[0].Status != membership.Draining {
		t.Errorf("then came %+v", list)
	}
}

// Of concurrent calls the older may be answered last, with what is older: that is no update. A new
// watch is open from the first answer on.
func TestOlderOnDemandAnswerIsNoUpdate(t *testing.T) {
	second, watching, watchTurn := make(chan struct{}), make(chan struct{}), make(chan struct{})
	addr := serve(t, func(n int, w http.ResponseWriter, r *http.Request) {
		waitFor := func(turn <-chan struct{}) {
			select {
			case <-turn:
			case <-r.Context().Done():
			}
		}
		switch n {
		case 1:
			waitFor(second)
			waitFor(watching)
			answer(w, servingList)
		case 2:
			close(second)
			answer(w, drainingList)
		case 3:
			if r.URL.Query().Get("from") != "2" {
				t.Errorf("the watch is from %s", r.URL)
			}
			close(watching)
			waitFor(watchTurn)
			answer(w, deletedDelta)
		default:
			<-r.Context().Done()
		}
	})
	client := newOnDemandClient(addr)
	closed := make(chan struct{}, 10)
	client.httpClient.Transport = closeNotifyingTransport{RoundTripper: client.httpClient.Transport, closed: closed}
	lists := make(listSink, 10)
	run(t, client, lists)
	lists.next(t, "the second call's list")
	for range 2 { // also the older answer has been read
		select {
		case <-closed:
		case <-time.After(20 * time.Second):
			t.Fatal("the older answer was not read within 20 s")
		}
	}
	close(watchTurn)
	if list := lists.next(t, "the watch's change"); list.Version != 3 {
		t.Errorf("after version 2 came %+v", list)
	}
}

// closeNotifyingTransport notes each answer whose body has been closed.
type closeNotifyingTransport struct {
	http.RoundTripper
	closed chan<- struct{}
}

func (t closeNotifyingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.RoundTripper.RoundTrip(r)
	if err == nil {
		resp.Body = closeNotifyingBody{ReadCloser: resp.Body, closed: t.closed}
	}
	return resp, err
}

type closeNotifyingBody struct {
	io.ReadCloser
	closed chan<- struct{}
}

func (b closeNotifyingBody) Close() error {
	defer func() { b.closed <- struct{}{} }()
	return b.ReadCloser.Close()
}
