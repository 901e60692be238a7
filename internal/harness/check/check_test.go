package check_test

import (
	"slices"
	"strings"
	"testing"

	"fernlanding/internal/harness/check"
	"fernlanding/internal/harness/history"
	"fernlanding/internal/harness/scenario"
	"fernlanding/internal/harness/worker"
)

const ms = 1000 // a millisecond on the history's clock

// newScenario returns a small scenario with further lines.
func newScenario(t *testing.T, extra string) *scenario.Scenario {
	t.Helper()
	text := "name = \"x\"\n[sidecars]\ncount = 2\n[backends]\ncount = 3\n" + extra
	spec, err := scenario.Read("s.toml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return spec
}

// The functions below return events at a time in milliseconds.

func requested(at, took int64, status int, why string) history.Event {
	return history.Event{
		At: at * ms, Kind: history.Requested, To: "sidecar-1", ID: "r", Class: "charge-post",
		Took: took * ms, Until: (at + 2000) * ms, Status: status, Reason: why,
	}
}

func executed(at int64, id, key, who string, pod int) history.Event {
	return history.Event{
		At: at * ms, Kind: history.Executed, Class: "POST", ID: id, Key: key, Who: who, Cell: pod,
	}
}

func polled(at int64, why string, names ...string) history.Event {
	return history.Event{
		At: at * ms, Kind: history.ListPolled, To: "sidecar-1", Conn: "c", Bytes: at, Names: names, Reason: why,
	}
}

func delivered(at, bytes int64) history.Event {
	return history.Event{At: at * ms, Kind: history.Delivered, Conn: "c", Bytes: bytes}
}

func sent(at int64) history.Event {
	return history.Event{At: at * ms, Kind: history.Sent, Who: "sidecar-1", To: "backend-1"}
}

func processEvent(at int64, kind history.Kind, who string) history.Event {
	return history.Event{At: at * ms, Kind: kind, Who: who, To: who}
}

// deleted is a backend that leaves the endpoint list.
func deleted(at int64) history.Event {
	return history.Event{At: at * ms, Kind: history.MemberStatus, Who: "backend-1", Reason: "DELETED"}
}

// misrouted is a request at the service that has taken the backend's address.
func misrouted(key string) history.Event {
	return history.Event{At: 21 * ms, Kind: history.Misrouted, Class: "POST", Who: "backend-1", ID: "r", Key: key}
}

// Each check finds what it is for, and lets the near miss beside it pass.
func TestChecks(t *testing.T) {
	window := worker.DedupWindow.Milliseconds()
	cut := func(at, n int64) history.Event {
		return history.Event{
			At: at * ms, Kind: history.Fault, ID: "1-cut", N: n, To: "clients-sidecars", Names: []string{"sidecar-1"},
		}
	}
	for _, c := range []struct {
		name, check string
		events      []history.Event
	}{
		{"served", "", []history.Event{requested(0, 10, 200, "")}},
		{"served late, which earns nothing", "", []history.Event{requested(0, 2400, 200, "")}},
		{"answered after its client has gone", check.OneResponse, []history.Event{requested(0, 2600, 200, "")}},
		{"no answer", check.OneResponse, []history.Event{requested(0, 2500, 0, worker.TimedOut)}},
		{
			"no answer of one that is killed", "",
			[]history.Event{
				requested(0, 100, 0, worker.ClosedEarly),
				processEvent(90, history.Terminating, "sidecar-1"),
			},
		},
		{
			"no answer long after another was killed", check.OneResponse,
			[]history.Event{
				requested(0, 100, 0, worker.ClosedEarly),
				processEvent(90, history.Terminating, "sidecar-2"),
			},
		},
		{
			"no answer of one that is back since long", check.OneResponse,
			[]history.Event{
				processEvent(0, history.Terminating, "sidecar-1"),
				processEvent(500, history.Ready, "sidecar-1"),
				requested(1100, 100, 0, worker.ClosedEarly),
			},
		},
		{
			"no answer of one that is stopped", "",
			[]history.Event{requested(0, 2500, 0, worker.TimedOut), processEvent(2000, history.Stopped, "sidecar-1")},
		},
		{
			"no answer over a cut link", "",
			[]history.Event{cut(0, 1), requested(10, 2500, 0, worker.TimedOut), cut(3000, 0)},
		},
		{
			"no answer long after a cut", check.OneResponse,
			[]history.Event{cut(0, 1), cut(100, 0), requested(1000, 2500, 0, worker.TimedOut)},
		},
		{
			"another's answer, whatever the link", check.OneResponse,
			[]history.Event{cut(0, 1), requested(10, 10, 200, worker.WrongResponse)},
		},

		{
			"a charge twice", check.Effects,
			[]history.Event{executed(0, "r", "", "backend-1", 0), executed(50, "r", "", "backend-2", 0)},
		},
		{
			"two charges", "",
			[]history.Event{executed(0, "r", "", "backend-1", 0), executed(50, "s", "", "backend-2", 0)},
		},
		{
			"a key that its pod drops", "",
			[]history.Event{executed(0, "r", "k", "backend-1", 1), executed(window-1, "r", "k", "backend-2", 1)},
		},
		{
			"a key in another pod", check.Effects,
			[]history.Event{executed(0, "r", "k", "backend-1", 1), executed(50, "r", "k", "backend-2", 2)},
		},
		{
			"a key after its window", check.Effects,
			[]history.Event{executed(0, "r", "k", "backend-1", 1), executed(window, "r", "k", "backend-2", 1)},
		},

		{"sent within the grace", "", []history.Event{polled(0, "", "backend-1"), delivered(10, 0), sent(300)}},
		{
			"sent after the grace", check.Drains,
			[]history.Event{polled(0, "", "backend-1"), delivered(10, 0), sent(400)},
		},
		{"not handed on", "", []history.Event{polled(5, "", "backend-1"), delivered(10, 4), sent(400)}},
		{"handed on late", "", []history.Event{polled(0, "", "backend-1"), delivered(200, 0), sent(500)}},
		{
			"a whole list that lacks it", check.Drains,
			[]history.Event{polled(0, history.Snapshot, "+backend-2"), delivered(10, 0), sent(400)},
		},
		{
			"a change that does not name it", "",
			[]history.Event{polled(0, "", "backend-2"), delivered(10, 0), sent(400)},
		},
		{
			"back in the list", "",
			[]history.Event{polled(0, "", "backend-1"), delivered(10, 0), polled(300, "", "+backend-1"), sent(400)},
		},
		{
			"its end noted after the next call", "",
			[]history.Event{polled(0, "", "backend-1"), polled(20, "", "+backend-1"), delivered(30, 0), sent(400)},
		},
		{
			"by a process that has started since", "",
			[]history.Event{
				polled(0, "", "backend-1"),
				delivered(10, 0),
				processEvent(300, history.Started, "sidecar-1"),
				sent(400),
			},
		},
		{
			"by one that was stopped", "",
			[]history.Event{
				polled(0, "", "backend-1"),
				delivered(10, 0),
				processEvent(20, history.Stopped, "sidecar-1"),
				processEvent(3000, history.Continued, "sidecar-1"),
				sent(3200),
			},
		},
		{
			"by one that was stopped, later", check.Drains,
			[]history.Event{
				polled(0, "", "backend-1"),
				delivered(10, 0),
				processEvent(20, history.Stopped, "sidecar-1"),
				processEvent(3000, history.Continued, "sidecar-1"),
				sent(3400),
			},
		},

		{
			"a stray by a life that began after the list had lost the address", check.Misrouted,
			[]history.Event{deleted(0), processEvent(10, history.Started, "sidecar-1"), sent(20), misrouted("")},
		},
		{
			"a stray that may be repeated", "",
			[]history.Event{deleted(0), processEvent(10, history.Started, "sidecar-1"), sent(20), misrouted("k")},
		},
		{
			"a stray by a life that was there before", "",
			[]history.Event{processEvent(0, history.Started, "sidecar-1"), deleted(10), sent(20), misrouted("")},
		},
		{
			"a stray while the list has the address", "",
			[]history.Event{processEvent(0, history.Started, "sidecar-1"), sent(20), misrouted(""), deleted(30)},
		},

		{
			"a cold backend pushed over", check.Warmup,
			[]history.Event{
				{At: 1, Kind: history.WarmupOverload, Who: "backend-1", N: 1},
				{At: 2, Kind: history.WarmupOverload, Who: "backend-1"},
			},
		},
		{
			"a process that ends by itself", check.Processes,
			[]history.Event{{At: 1, Kind: history.Exited, Who: "sidecar-1", Reason: "by itself: ended"}},
		},
		{
			"a process that fails at its end", check.Processes,
			[]history.Event{{At: 1, Kind: history.Exited, Who: "sidecar-1", Reason: "exit status 1"}},
		},
		{
			"one that was killed", "",
			[]history.Event{{At: 1, Kind: history.Exited, Who: "sidecar-1", Reason: "signal: killed"}},
		},
	} {
		all := append(slices.Clone(c.events), history.Event{At: 99_000_000, Kind: history.RunEnded})
		history.Sort(all)
		var names []string
		for _, v := range check.Run(newScenario(t, ""), all) {
			names = append(names, v.Check)
		}
		if strings.Join(names, " ") != c.check {
			t.Errorf("%s: %q, want %q", c.name, names, c.check)
		}
	}
	for name, last := range map[string][]history.Event{"left": {{Kind: history.RunEnded, N: 1}}, "broken off": nil} {
		if v := check.Run(newScenario(t, ""), last); len(v) != 1 || v[0].Check != check.Processes {
			t.Errorf("%s: %v", name, v)
		}
	}
}
