package catalog

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"
)

// apart is the time between calls of a silent agent in tests that are about refusals: a test's process that stands still for a
// moment makes no call too many.
const apart = time.Second

// pushed is a client of an agent that pushes lists.
func pushed(addr string) *Client {
	d := New(Config{Address: addr, Rand: rand.New(rand.NewPCG(1, 1)), Log: slog.New(slog.DiscardHandler)})
	d.interval = apart
	return d
}

// An agent that turns calls away speaks: the waits between calls grow.
func TestCallsThatAreTurnedAwayAreSpacedMoreAndMore(t *testing.T) {
	t.Parallel()
	var r refusals
	addr := r.script(t, turnsAway, turnsAway, turnsAway, turnsAway, theList)
	lists := make(listed, 10)
	follow(t, pushed(addr), lists)
	next(t, lists, "the list")
	r.atLeast(t, 125*time.Millisecond, 375*time.Millisecond, 1125*time.Millisecond, 1500*time.Millisecond)
}

// What a service asks for is kept, but not for so long that what it has at its return is told too late.
func TestARetryAfterIsKeptUpToABound(t *testing.T) {
	t.Parallel()
	var r refusals
	addr := r.script(t, reply{retryAfter: "1"}, reply{retryAfter: "3600"}, theList)
	lists := make(listed, 10)
	follow(t, pushed(addr), lists)
	next(t, lists, "the list")
	r.atLeast(t, time.Second, mostHonoured)
}

// A watch that is turned away is repeated from its version, after a wait as well.
func TestARefusedWatchOfAPushedListWaits(t *testing.T) {
	t.Parallel()
	var r refusals
	addr := r.script(t, theList, turnsAway, noNews)
	lists := make(listed, 10)
	follow(t, pushed(addr), lists)
	next(t, lists, "the first list")
	next(t, lists, "the answer after the refusal")
	r.atLeast(t, 125*time.Millisecond)
}

// Where a second call is turned away while the first still waits its turn, the first is neither given up nor has calls beside it.
func TestACallInTheQueueOfAServiceThatSpeaksIsWaitedFor(t *testing.T) {
	t.Parallel()
	const turn = 1500 * time.Millisecond // by which a silent agent would be called anew
	full := make(chan struct{})
	addr := script(t, func(n int, w http.ResponseWriter, req *http.Request) {
		switch {
		case n == 1:
			<-full
			select {
			case <-time.After(turn):
				fmt.Fprint(w, oneServes)
			case <-req.Context().Done():
				t.Error("the call was given up before its turn")
			}
		case n == 2:
			w.WriteHeader(http.StatusTooManyRequests)
			close(full)
		case req.URL.Query().Get("from") == "":
			t.Errorf("call %d is for the whole list", n)
		default:
			<-req.Context().Done()
		}
	})
	lists := make(listed, 10)
	follow(t, pushed(addr), lists)
	if l := next(t, lists, "the list of the call that waited"); l.Version != 1 {
		t.Errorf("%+v", l)
	}
}

// An agent that turned a call away and then falls silent is called again and again, whatever became of the calls before.
func TestAnAgentThatFallsSilentAfterARefusalIsCalledAgain(t *testing.T) {
	t.Parallel()
	const hang = 4
	release := make(chan struct{})
	addr := script(t, func(n int, w http.ResponseWriter, req *http.Request) {
		switch {
		case n == 1:
			w.WriteHeader(http.StatusServiceUnavailable)
		case n < 2+hang:
			select {
			case <-release:
			case <-req.Context().Done():
				select {
				case <-release:
				default:
					t.Errorf("call %d was given up before the agent spoke", n)
				}
			}
		case n == 2+hang:
			close(release)
			fmt.Fprint(w, oneServes)
		default:
			<-req.Context().Done()
		}
	})
	d := pushed(addr)
	d.interval = silentInterval
	lists := make(listed, 10)
	follow(t, d, lists)
	next(t, lists, "the list of the agent that speaks again")
}

// An agent that was silent and then turns away all that it was asked meanwhile has refused once: the waits begin at the least.
func TestAnAgentThatTurnsAllAwayAfterSilenceIsAskedLater(t *testing.T) {
	t.Parallel()
	const hang = 2
	var r refusals
	speaks := make(chan struct{})
	addr := script(t, func(n int, w http.ResponseWriter, req *http.Request) {
		switch {
		case n <= hang:
			<-speaks
			w.WriteHeader(http.StatusServiceUnavailable)
		case n == hang+1:
			r.refuse(w, "")
			close(speaks)
		case n == hang+2:
			r.came()
			fmt.Fprint(w, oneServes)
		default:
			<-req.Context().Done()
		}
	})
	lists := make(listed, 10)
	follow(t, pushed(addr), lists)
	next(t, lists, "the list after all refusals")
	r.atLeast(t, 125*time.Millisecond)
}
