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

// longInterval is the time between calls to a silent agent in tests of rejections. It is long so
// that a test process that pauses for a moment makes no additional call.
const longInterval = time.Second

// newSlowPushedClient returns a client in the pushed mode that calls a silent agent every
// longInterval.
func newSlowPushedClient(addr string) *Client {
	client := newPushedClient(addr)
	client.silentInterval = longInterval
	return client
}

// An agent that rejects calls is not silent, so the delays between calls grow.
func TestRejectedPushedCallsBackOff(t *testing.T) {
	t.Parallel()
	var rejections rejectionLog
	addr := rejections.serveScript(t, rejectReply, rejectReply, rejectReply, rejectReply, listReply)
	lists := make(listSink, 10)
	run(t, newSlowPushedClient(addr), lists)
	lists.next(t, "the list")
	rejections.expectDelays(t,
		125*time.Millisecond, 375*time.Millisecond, 1125*time.Millisecond, 1500*time.Millisecond)
}

// Retry-After is honored up to a bound, because after a longer delay the list of the service would
// arrive too late.
func TestPushedRetryAfterIsHonoredUpToBound(t *testing.T) {
	t.Parallel()
	var rejections rejectionLog
	addr := rejections.serveScript(t, reply{retryAfter: "1"}, reply{retryAfter: "3600"}, listReply)
	lists := make(listSink, 10)
	run(t, newSlowPushedClient(addr), lists)
	lists.next(t, "the list")
	rejections.expectDelays(t, time.Second, maxHonoredRetryAfter)
}

// A rejected watch is reopened from its version, after a backoff as well.
func TestRejectedPushedWatchBacksOff(t *testing.T) {
	t.Parallel()
	var rejections rejectionLog
	addr := rejections.serveScript(t, listReply, rejectReply, noChangeReply)
	lists := make(listSink, 10)
	run(t, newSlowPushedClient(addr), lists)
	lists.next(t, "the first list")
	lists.next(t, "the response after the rejection")
	rejections.expectDelays(t, 125*time.Millisecond)
}

// If a second call is rejected while the first is queued, the first call is not canceled, and no
// further call is made beside it.
func TestQueuedPushedCallIsAwaited(t *testing.T) {
	t.Parallel()
	const turn = 1500 * time.Millisecond // longer than longInterval, after which a silent agent is called again
	queueFull := make(chan struct{})
	addr := serve(t, func(n int, w http.ResponseWriter, req *http.Request) {
		switch {
		case n == 1:
			<-queueFull
			select {
			case <-time.After(turn):
				answer(w, servingList)
			case <-req.Context().Done():
				t.Error("the call was canceled before its response")
			}
		case n == 2:
			w.WriteHeader(http.StatusTooManyRequests)
			close(queueFull)
		case req.URL.Query().Get("from") == "":
			t.Errorf("call %d requests the full list", n)
		default:
			<-req.Context().Done()
		}
	})
	lists := make(listSink, 10)
	run(t, newSlowPushedClient(addr), lists)
	if list := lists.next(t, "the list of the queued call"); list.Version != 1 {
		t.Errorf("list is %+v, want version 1", list)
	}
}

// An agent that rejects a call and then becomes silent is called repeatedly, regardless of the
// results of the earlier calls.
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
					t.Errorf("call %d was canceled before the agent responded", n)
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
	lists.next(t, "the list of the agent that responds again")
}

// If an agent was silent and then rejects all calls that it received meanwhile, they count as one
// rejection, and the first backoff applies.
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
			rejections.recordCall()
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

// An agent that was silent never answers the calls that it received meanwhile, and the platform
// considers the replica notified of the agent's list as soon as the agent responds again. The agent
// is therefore called repeatedly while earlier calls are open. The agent of this test responds only
// while two calls hang.
func TestSilentAgentIsCalledAgainBeforeItsCallsEnd(t *testing.T) {
	var hanging atomic.Int64
	addr := serve(t, func(n int, w http.ResponseWriter, r *http.Request) {
		switch {
		case n == 1: // the watch, which fails
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
		if list.Version != 2 {
			t.Errorf("list %+v", list)
		}
		// The client confirms the source after the sink has taken the list.
		end := time.Now().Add(5 * time.Second)
		for ; !client.Health().SilentSince.IsZero(); time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("list %+v, health %+v", list, client.Health())
			}
		}
	case <-time.After(5 * time.Second):
		t.Error("no list: the agent is not called while a call hangs")
	}
}

// A dial that does not complete is abandoned, even if its call ended long before. Otherwise dials
// into a partition would block calls after the partition has healed.
func TestHangingDialsDoNotBlockCalls(t *testing.T) {
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

// A new process makes a second call before its first one ends, because the platform considers the
// replica notified of the agent's list from the start.
func TestFirstPushedCallIsNotAwaited(t *testing.T) {
	second := make(chan struct{})
	addr := serve(t, func(n int, w http.ResponseWriter, r *http.Request) {
		switch n {
		case 1:
			select {
			case <-second:
			case <-r.Context().Done():
				t.Error("the first call was canceled before there was a second one")
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
