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

// testWatchAfterRejections follows a service that sends the list, rejects watches and then answers
// one. After each failure the balancer requests a watch at once.
func testWatchAfterRejections(t *testing.T, addr string) {
	t.Helper()
	requests := make(chan struct{}, 10)
	client := newOnDemandClient(addr)
	client.cfg.WatchRequested = requests
	lists := make(listSink, 10)
	run(t, client, requestingSink{listSink: lists, requests: requests})
	lists.next(t, "the first list")
	lists.next(t, "the response to the reopened watch")
}

// A shared service that sends Retry-After is not called before that delay, although the balancer
// requests a call at once. The honored delay is bounded, because after a longer one the list of the
// service would arrive too late.
func TestOnDemandRetryAfterIsHonoredUpToBound(t *testing.T) {
	t.Parallel()
	var rejections rejectionLog
	addr := rejections.serveScript(t, listReply, reply{retryAfter: "1"}, reply{retryAfter: "3600"}, noChangeReply)
	testWatchAfterRejections(t, addr)
	rejections.expectDelays(t, time.Second, maxHonoredRetryAfter)
}

// A rejected watch is reopened from the same version, with a longer delay after each rejection,
// even if the balancer requests it sooner. The service processes calls that it has rejected, so
// clients that return early keep its queue too long for all clients.
func TestRejectedOnDemandWatchBacksOff(t *testing.T) {
	t.Parallel()
	var rejections rejectionLog
	addr := rejections.serveScript(t, listReply, rejectReply, rejectReply, noChangeReply)
	testWatchAfterRejections(t, addr)
	rejections.expectDelays(t, onDemandBackoff.first/2, backoffGrowth*onDemandBackoff.first/2)
}

// A replica that starts without a list backs off longer after each rejection. The balancer requests
// no call then.
func TestRejectedFirstOnDemandCallsBackOff(t *testing.T) {
	t.Parallel()
	var rejections rejectionLog
	addr := rejections.serveScript(t, rejectReply, rejectReply, rejectReply, listReply)
	lists := make(listSink, 10)
	run(t, newOnDemandClient(addr), lists)
	lists.next(t, "the first list")
	rejections.expectDelays(t,
		onDemandBackoff.first/2, backoffGrowth*onDemandBackoff.first/2, onDemandBackoff.largest/2)
}

// A replica that starts without a list calls again after a failed call. The balancer has no list
// then and requests no call.
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

// A replica that starts with a list starts with a watch from its version. Replicas that start
// together then make one call each, which the service can process at once, and no call is rejected
// for the sake of the full list. The full list is only read if the version is uncertain.
func TestReplicaWithListStartsWithWatch(t *testing.T) {
	addr := serve(t, func(n int, w http.ResponseWriter, r *http.Request) {
		from := r.URL.Query().Get("from")
		switch {
		case n == 1 && from == "7": // a version of another service, which counts its own versions
			answer(w, `{"index":3,"snapshot":false,"endpoints":[]}`)
		case n == 2 && from == "":
			answer(w, servingList)
		case n > 2 && from == "1":
			<-r.Context().Done()
		default:
			t.Errorf("call %d requests %s", n, r.URL)
		}
	})
	requests := make(chan struct{}, 2) // from the balancer: at the start, and after the version became uncertain
	requests <- struct{}{}
	client := New(Config{
		Address: addr, OnDemand: true, AwaitFirstRequest: true, KnownVersion: 7, WatchRequested: requests,
		Rand: rand.New(rand.NewPCG(1, 1)), Log: slog.New(slog.DiscardHandler),
	})
	lists := make(listSink, 10)
	run(t, client, requestingSink{listSink: lists, requests: requests})
	if list := lists.next(t, "the full list"); list.Version != 1 {
		t.Errorf("first list is %+v", list)
	}
}

// In the on-demand mode, a watch that stops responding is reopened as soon as it is overdue,
// without a request of the balancer, while the first watch stays open. The platform considers the
// replica notified of a missed change 2 s after the hold.
func TestOverdueWatchIsReopenedBesideFirst(t *testing.T) {
	firstCanceled := make(chan struct{})
	addr := serve(t, func(n int, w http.ResponseWriter, r *http.Request) {
		switch n {
		case 1:
			answer(w, servingList)
		case 2: // does not respond
			<-r.Context().Done()
			close(firstCanceled)
		case 3:
			if r.URL.Query().Get("from") != "1" {
				t.Errorf("the watch is reopened by %s", r.URL)
			}
			select {
			case <-firstCanceled:
				t.Error("the silent watch was canceled before another was opened")
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
	client.nextHold, client.timeout = func() time.Duration { return 50 * time.Millisecond }, time.Minute
	lists := make(listSink, 10)
	run(t, client, lists)
	lists.next(t, "the first list")
	list := lists.next(t, "the change that the silent watch missed")
	if list.Version != 2 || list.Endpoints[0].Status != membership.Draining {
		t.Errorf("list after the silence is %+v", list)
	}
}

// The platform considers a response of a shared service delivered whether or not its caller still
// waits. A call that is answered late is not canceled, and the list of a call that a newer call has
// overtaken is still applied.
func TestLateOnDemandResponseIsApplied(t *testing.T) {
	second, taken := make(chan struct{}), make(chan struct{})
	addr := serve(t, func(n int, w http.ResponseWriter, r *http.Request) {
		waitFor := func(turn <-chan struct{}) {
			select {
			case <-turn:
			case <-r.Context().Done():
				t.Errorf("call %d, %s, was canceled before its response", n, r.URL)
			}
		}
		switch n {
		case 1:
			waitFor(second)
			answer(w, servingList)
		case 2: // for the full list, beside the first call
			close(second)
			waitFor(taken)
			answer(w, drainingList)
		default:
			<-r.Context().Done()
		}
	})
	lists := make(listSink, 10)
	run(t, newOnDemandClient(addr), lists)
	if list := lists.next(t, "the list of the late call"); list.Version != 1 {
		t.Errorf("first list is %+v", list)
	}
	close(taken)
	list := lists.next(t, "the list of the second call")
	if list.Version != 2 || list.Endpoints[0].Status != membership.Draining {
		t.Errorf("second list is %+v", list)
	}
}

// Of two concurrent calls the older one may be answered last, with an older list. That list is not
// an update. A new watch opens with the first response.
func TestOlderOnDemandResponseIsNoUpdate(t *testing.T) {
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
				t.Errorf("the watch requests %s, want changes from version 2", r.URL)
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
	for range 2 { // the older response has been read as well
		select {
		case <-closed:
		case <-time.After(20 * time.Second):
			t.Fatal("the older response was not read within 20 s")
		}
	}
	close(watchTurn)
	if list := lists.next(t, "the watch's change"); list.Version != 3 {
		t.Errorf("list after version 2 is %+v", list)
	}
}

// closeNotifyingTransport sends to closed after the body of each response has been closed.
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
