package catalog

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"
)

// longInterval is the time between calls to a silent agent in tests that are about rejections: a
// test's process that stands still for a moment makes no call too many.
const longInterval = time.Second

// newSlowPushedClient returns a client of an agent, with longInterval between calls while that is
// silent.
func newSlowPushedClient(addr string) *Client {
	client := newPushedClient(addr)
	client.silentInterval = longInterval
	return client
}

// An agent that rejects calls is not silent: the delays between calls grow.
func TestRejectedPushedCallsBackOff(t *testing.T) {
	t.Parallel()
	var rejections rejectionLog
	addr := rejections.script(t, rejectReply, rejectReply, rejectReply, rejectReply, listReply)
	lists := make(listSink, 10)
	run(t, newSlowPushedClient(addr), lists)
	lists.next(t, "the list")
	rejections.expectDelays(t,
		125*time.Millisecond, 375*time.Millisecond, 1125*time.Millisecond, 1500*time.Millisecond)
}

// Retry-After is kept, but not for so long that what the service has at its return is notified too
// late.
func TestPushedRetryAfterIsKeptUpToABound(t *testing.T) {
	t.Parallel()
	var rejections rejectionLog
	addr := rejections.script(t, reply{retryAfter: "1"}, reply{retryAfter: "3600"}, listReply)
	lists := make(listSink, 10)
	run(t, newSlowPushedClient(addr), lists)
	lists.next(t, "the list")
	rejections.expectDelays(t, time.Second, maxKeptRetryAfter)
}

// A watch that is rejected is opened anew from its version, after a delay as well.
func TestRejectedPushedWatchBacksOff(t *testing.T) {
	t.Parallel()
	var rejections rejectionLog
	addr := rejections.script(t, listReply, rejectReply, noChangeReply)
	lists := make(listSink, 10)
	run(t, newSlowPushedClient(addr), lists)
	lists.next(t, "the first list")
	lists.next(t, "the answer after the rejection")
	rejections.expectDelays(t, 125*time.Millisecond)
}

// Where a second call is rejected while the first still waits its turn, the first is neither
// canceled nor has calls beside it.
func TestQueuedPushedCallIsWaitedFor(t *testing.T) {
	t.Parallel()
	const turn = 1500 * time.Millisecond // by which a silent agent would be called anew
	queueFull := make(chan struct{})
	addr := serve(t, func(n int, w http.ResponseWriter, req *http.Request) {
		switch {
		case n == 1:
			<-queueFull
			select {
			case <-time.After(turn):
				answer(w, servingList)
			case <-req.Context().Done():
				t.Error("the call was canceled before its turn")
			}
		case n == 2:
			w.WriteHeader(http.StatusTooManyRequests)
			close(queueFull)
		case req.URL.Query().Get("from") == "":
			t.Errorf("call %d is for the full list", n)
		default:
			<-req.Context().Done()
		}
	})
	lists := make(listSink, 10)
	run(t, newSlowPushedClient(addr), lists)
	if list := lists.next(t, "the list of the call that waited"); list.Version != 1 {
		t.Errorf("%+v", list)
	}
}

// An agent that rejected a call and then falls silent is called again and again, whatever became of
// the calls before.
func TestSilentAgentIsCalledAgainAfterARejection(t *testing.T) {
	t.Parallel()
	const hanging = 4
	speaks := make(chan struct{})
	addr := serve(t, func(n int, w http.ResponseWriter, req *http.Request) {
		switch {
		case n == 1:
			w.WriteHeader(http.StatusServiceUnavailable)
		case n < 2+hanging:
			select {
			case <-speaks:
			case <-req.Context().Done():
				select {
				case <-speaks:
				default:
					t.Errorf("call %d was canceled before the agent spoke", n)
				}
			}
		case n == 2+hanging:
			close(speaks)
			answer(w, servingList)
		default:
			<-req.Context().Done()
		}
	})
	lists := make(listSink, 10)
	run(t, newPushedClient(addr), lists)
	lists.next(t, "the list of the agent that speaks again")
}

// An agent that was silent and then rejects all calls that it got meanwhile has rejected once: the
// backoffs begin at the first.
func TestRejectionsAfterSilenceCountOnce(t *testing.T) {
	t.Parallel()
	const hanging = 2
	var rejections rejectionLog
	speaks := make(chan struct{})
	addr := serve(t, func(n int, w http.ResponseWriter, req *http.Request) {
		switch {
		case n <= hanging:
			<-speaks
			w.WriteHeader(http.StatusServiceUnavailable)
		case n == hanging+1:
			rejections.reject(w, "")
			close(speaks)
		case n == hanging+2:
			rejections.noteCall()
			answer(w, servingList)
		default:
			<-req.Context().Done()
		}
	})
	lists := make(listSink, 10)
	run(t, newSlowPushedClient(addr), lists)
	lists.next(t, "the list after all rejections")
	rejections.expectDelays(t, 125*time.Millisecond)
}

// An agent that was silent answers no call that it got meanwhile, and what it has when it speaks
// again counts as notified at once. So it is called again and again though no call has ended: this
// one speaks only while two calls hang.
func TestSilentAgentIsCalledAgainBeforeItsCallsEnd(t *testing.T) {
	var hanging atomic.Int64
	addr := serve(t, func(n int, w http.ResponseWriter, r *http.Request) {
		switch {
		case n == 1: // the watch that falls silent, cut short
			w.WriteHeader(http.StatusBadGateway)
		case hanging.Load() >= 2:
			answer(w, drainingList)
		default:
			hanging.Add(1)
			<-r.Context().Done()
			hanging.Add(-1)
		}
	})
	client := New(Config{Address: addr, Log: slog.New(slog.DiscardHandler)})
	lists := make(listSink, 100)
	run(t, client, lists)
	select {
	case list := <-lists:
		if list.Version != 2 || !client.Health().SilentSince.IsZero() {
			t.Errorf("%+v, %+v", list, client.Health())
		}
	case <-time.After(5 * time.Second):
		t.Error("no list: the agent is not called while a call hangs")
	}
}

// A connection that is not established is given up, also when its call was long before: a partition
// bars no call after it has healed.
func TestHangingDialsBarNoOthers(t *testing.T) {
	addr := serve(t, func(_ int, w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Has("from") {
			<-r.Context().Done()
			return
		}
		answer(w, servingList)
	})
	client := New(Config{Address: addr, Log: slog.New(slog.DiscardHandler)})
	dials := make(chan int, 1)
	dials <- 0
	client.dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
		n := 1 + <-dials
		dials <- n
		if n <= 2*maxConnections {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		return (&net.Dialer{}).DialContext(ctx, network, addr)
	}
	lists := make(listSink, 10)
	run(t, client, lists)
	lists.next(t, "a list once connections are established")
}

// A new process calls again before its first call ends: what the agent has counts as notified from
// its first moment on.
func TestFirstPushedCallIsNotWaitedFor(t *testing.T) {
	second := make(chan struct{})
	addr := serve(t, func(n int, w http.ResponseWriter, r *http.Request) {
		switch n {
		case 1:
			select {
			case <-second:
			case <-r.Context().Done():
				t.Error("the first call was canceled before there was another")
			}
		case 2:
			close(second)
			answer(w, servingList)
		default:
			<-r.Context().Done()
		}
	})
	client := New(Config{Address: addr, Log: slog.New(slog.DiscardHandler)})
	client.timeout = time.Minute
	lists := make(listSink, 10)
	run(t, client, lists)
	lists.next(t, "the first list")
}
