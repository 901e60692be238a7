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

const ms = 1000 // one millisecond in microseconds, the unit of a history

// newScenario returns a small scenario with additional lines.
func newScenario(t *testing.T, extra string) *scenario.Scenario {
	t.Helper()
	text := "name = \"x\"\n[sidecars]\ncount = 2\n[backends]\ncount = 3\n" + extra
	spec, err := scenario.Read("s.toml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return spec
}

// The functions below return events. Their times and durations are in milliseconds.

func requested(at, took int64, status int, why string) history.Event {
	return history.Event{
		At: at * ms, Kind: history.Requested, To: "sidecar-1", ID: "r", Class: "charge-post",
		Took: took * ms, Until: (at + 2000) * ms, Status: status, Reason: why,
	}
}

func executed(at int64, id, key, who string, cell int) history.Event {
	return history.Event{
		At: at * ms, Kind: history.Executed, Class: "POST", ID: id, Key: key, Who: who, Cell: cell,
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

// deleted returns the deletion of a backend from the endpoint list.
func deleted(at int64) history.Event {
	return history.Event{At: at * ms, Kind: history.MemberStatus, Who: "backend-1", Reason: "DELETED"}
}

// misrouted returns a request to the service that has taken a backend's address.
func misrouted(key string) history.Event {
	return history.Event{At: 21 * ms, Kind: history.Misrouted, Class: "POST", Who: "backend-1", ID: "r", Key: key}
}

// Each check finds the violations that it is for and accepts similar histories without a violation.
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
		{"served after the deadline", "", []history.Event{requested(0, 2400, 200, "")}},
		{"response after the client has left", check.OneResponse, []history.Event{requested(0, 2600, 200, "")}},
		{"no response", check.OneResponse, []history.Event{requested(0, 2500, 0, worker.TimedOut)}},
		{
			"no response from a killed sidecar", "",
			[]history.Event{
				requested(0, 100, 0, worker.ClosedEarly),
				processEvent(90, history.Terminating, "sidecar-1"),
			},
		},
		{
			"no response after another sidecar was killed", check.OneResponse,
			[]history.Event{
				requested(0, 100, 0, worker.ClosedEarly),
				processEvent(90, history.Terminating, "sidecar-2"),
			},
		},
		{
			"no response long after a sidecar has recovered", check.OneResponse,
			[]history.Event{
				processEvent(0, history.Terminating, "sidecar-1"),
				processEvent(500, history.Ready, "sidecar-1"),
				requested(1100, 100, 0, worker.ClosedEarly),
			},
		},
		{
			"no response from a stopped sidecar", "",
			[]history.Event{requested(0, 2500, 0, worker.TimedOut), processEvent(2000, history.Stopped, "sidecar-1")},
		},
		{
			"no response over a cut link", "",
			[]history.Event{cut(0, 1), requested(10, 2500, 0, worker.TimedOut), cut(3000, 0)},
		},
		{
			"no response long after a cut", check.OneResponse,
			[]history.Event{cut(0, 1), cut(100, 0), requested(1000, 2500, 0, worker.TimedOut)},
		},
		{
			"response to another request over a cut link", check.OneResponse,
			[]history.Event{cut(0, 1), requested(10, 10, 200, worker.WrongResponse)},
		},

		{
			"non-idempotent request executed twice", check.Effects,
			[]history.Event{executed(0, "r", "", "backend-1", 0), executed(50, "r", "", "backend-2", 0)},
		},
		{
			"two non-idempotent requests", "",
			[]history.Event{executed(0, "r", "", "backend-1", 0), executed(50, "s", "", "backend-2", 0)},
		},
		{
			"key deduplicated by its cell", "",
			[]history.Event{executed(0, "r", "k", "backend-1", 1), executed(window-1, "r", "k", "backend-2", 1)},
		},
		{
			"key executed in another cell", check.Effects,
			[]history.Event{executed(0, "r", "k", "backend-1", 1), executed(50, "r", "k", "backend-2", 2)},
		},
		{
			"key executed after the dedup window", check.Effects,
			[]history.Event{executed(0, "r", "k", "backend-1", 1), executed(window, "r", "k", "backend-2", 1)},
		},

		{"sent within the drain grace", "", []history.Event{polled(0, "", "backend-1"), delivered(10, 0), sent(300)}},
		{
			"sent after the drain grace", check.Drains,
			[]history.Event{polled(0, "", "backend-1"), delivered(10, 0), sent(400)},
		},
		{"response not delivered", "", []history.Event{polled(5, "", "backend-1"), delivered(10, 4), sent(400)}},
		{"response delivered late", "", []history.Event{polled(0, "", "backend-1"), delivered(200, 0), sent(500)}},
		{
			"snapshot without the backend", check.Drains,
			[]history.Event{polled(0, history.Snapshot, "+backend-2"), delivered(10, 0), sent(400)},
		},
		{
			"update without the backend", "",
			[]history.Event{polled(0, "", "backend-2"), delivered(10, 0), sent(400)},
		},
		{
			"backend serving again", "",
			[]history.Event{polled(0, "", "backend-1"), delivered(10, 0), polled(300, "", "+backend-1"), sent(400)},
		},
		{
			"end of the response recorded after the next poll", "",
			[]history.Event{polled(0, "", "backend-1"), polled(20, "", "+backend-1"), delivered(30, 0), sent(400)},
		},
		{
			"sent by a sidecar that has restarted", "",
			[]history.Event{
				polled(0, "", "backend-1"),
				delivered(10, 0),
				processEvent(300, history.Started, "sidecar-1"),
				sent(400),
			},
		},
		{
			"sent within the drain grace after a stop", "",
			[]history.Event{
				polled(0, "", "backend-1"),
				delivered(10, 0),
				processEvent(20, history.Stopped, "sidecar-1"),
				processEvent(3000, history.Continued, "sidecar-1"),
				sent(3200),
			},
		},
		{
			"sent after the drain grace after a stop", check.Drains,
			[]history.Event{
				polled(0, "", "backend-1"),
				delivered(10, 0),
				processEvent(20, history.Stopped, "sidecar-1"),
				processEvent(3000, history.Continued, "sidecar-1"),
				sent(3400),
			},
		},

		{
			"misrouted by a sidecar that started after the deletion", check.Misrouted,
			[]history.Event{deleted(0), processEvent(10, history.Started, "sidecar-1"), sent(20), misrouted("")},
		},
		{
			"misrouted request with an idempotency key", "",
			[]history.Event{deleted(0), processEvent(10, history.Started, "sidecar-1"), sent(20), misrouted("k")},
		},
		{
			"misrouted by a sidecar that started before the deletion", "",
			[]history.Event{processEvent(0, history.Started, "sidecar-1"), deleted(10), sent(20), misrouted("")},
		},
		{
			"misrouted before the deletion", "",
			[]history.Event{processEvent(0, history.Started, "sidecar-1"), sent(20), misrouted(""), deleted(30)},
		},

		{
			"overloaded cold backend", check.Warmup,
			[]history.Event{
				{At: 1, Kind: history.WarmupOverload, Who: "backend-1", N: 1},
				{At: 2, Kind: history.WarmupOverload, Who: "backend-1"},
			},
		},
		{
			"process that exits by itself", check.Processes,
			[]history.Event{{At: 1, Kind: history.Exited, Who: "sidecar-1", Reason: "by itself: ended"}},
		},
		{
			"process that exits with an error", check.Processes,
			[]history.Event{{At: 1, Kind: history.Exited, Who: "sidecar-1", Reason: "exit status 1"}},
		},
		{
			"killed process", "",
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
			t.Errorf("%s: got verdicts of %q, want %q", c.name, names, c.check)
		}
	}
	for name, last := range map[string][]history.Event{
		"process left":      {{Kind: history.RunEnded, N: 1}},
		"truncated history": nil,
	} {
		if v := check.Run(newScenario(t, ""), last); len(v) != 1 || v[0].Check != check.Processes {
			t.Errorf("%s: got verdicts %v, want one of %s", name, v, check.Processes)
		}
	}
}
