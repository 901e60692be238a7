package check_test

import (
	"testing"
	"time"

	"fernlanding/internal/harness/check"
	"fernlanding/internal/harness/history"
	"fernlanding/internal/harness/scenario"
)

// Measure computes the figures from the events, and each bound is violated just beyond its value.
func TestBoundsAndFigures(t *testing.T) {
	all := boundsHistory()
	figures := check.Measure(newScenario(t, ""), all)
	if figures.Starts != 2 || figures.ReadyP50 != 1.5 || figures.FirstAll != 1.5 || figures.NeverReady != 0 ||
		figures.Snapshots.Peak != 30 || figures.PeakConnects != 30 ||
		figures.Requests != 2 || figures.Served != 1 || figures.Rejected != 1 {
		t.Errorf("wrong figures: %+v", figures)
	}
	if got := figures.ReadyWithin(time.Second); got != 0.5 {
		t.Errorf("share of starts ready within a second: got %v, want 0.5", got)
	}
	for bounds, want := range map[string]int{
		"":                    0,
		"reads_per_s = 30":    0,
		"reads_per_s = 29":    1,
		"connects_per_s = 29": 1,
		"served_part = 0.5":   0,
		"served_part = 0.6":   1,
		"ready_part = 0.5\nready_within = \"1s\"": 0,
		"ready_part = 0.6\nready_within = \"1s\"": 1,
	} {
		verdicts := check.Run(newScenario(t, "[bounds]\n"+bounds+"\n"), all)
		if len(verdicts) != want {
			t.Errorf("bounds %q: got verdicts %v, want %d", bounds, verdicts, want)
		}
	}
}

// boundsHistory returns a history of two sidecars. The first start only measures memory.
func boundsHistory() []history.Event {
	all := []history.Event{
		processEvent(0, history.Started, "sidecar-1"),
		processEvent(1, history.Exited, "sidecar-1"),
	}
	for i, name := range []string{"sidecar-1", "sidecar-2"} {
		all = append(all,
			processEvent(1000, history.Started, name),
			history.Event{At: int64(1500+1000*i) * ms, Kind: history.Ready, To: name})
	}
	for i := range int64(30) {
		all = append(all,
			history.Event{At: (2000 + i) * ms, Kind: history.ListPolled, N: -1, Status: 200},
			history.Event{At: (3000 + i) * ms, Kind: history.Opened, Who: "sidecar-1", To: "backend-2"})
	}
	return append(all,
		requested(4000, 10, 200, ""),
		requested(4001, 10, 503, ""),
		history.Event{At: 8_000_000, Kind: history.RunEnded})
}

// lossScenario is a scenario with two sites. The first site is killed for eight seconds.
const lossScenario = `name = "x"
for = "20s"
[sidecars]
count = 2
sites = ["a", "b"]
[lists]
count = 2
[backends]
count = 2
processes = 2
cores = 1
work = "100ms"
[[faults]]
at = "4s"
for = "8s"
kind = "kill"
on = "sites"
site = "a"
[bounds]
loss_within = "2s"
back_part = 0.9
`

// Measure computes the figures of a site loss of eight seconds: recovery times, the shares of
// served and rejected requests, the overload, and the cross-site traffic.
func TestLossesOfSites(t *testing.T) {
	spec, err := scenario.Read("s.toml", []byte(lossScenario))
	if err != nil {
		t.Fatal(err)
	}
	fault := func(at, n int64) history.Event {
		return history.Event{At: at * ms, Kind: history.Fault, ID: "1-kill", N: n}
	}
	all := []history.Event{processEvent(0, history.Started, "sidecar-1"), fault(4000, 1), fault(12000, 0)}
	for at := int64(0); at < 20000; at += 50 { // 20 per second, the capacity of both sites; one site can serve 10
		e := requested(at, 10, 200, "")
		isDown := at >= 4000 && at < 12000
		if isDown && (at < 5000 || at%100 != 0) {
			e.Status = 503
			e.Class = "tariff-lookup"
		}
		attempt := history.Event{At: at * ms, Kind: history.Sent, Who: "sidecar-1", To: "backend-2"}
		if e.Status == 503 {
			attempt.Who = "sidecar-2"
		}
		all = append(all, e, attempt)
	}
	all = append(all, history.Event{At: 20_000_000, Kind: history.RunEnded})
	history.Sort(all)
	f := check.Measure(spec, all)
	if len(f.Losses) != 1 {
		t.Fatalf("got losses %+v, want 1", f.Losses)
	}
	if f := check.Measure(spec, nil); len(f.Losses) != 0 {
		t.Errorf("got losses in an empty history: %+v", f.Losses)
	}
	l := f.Losses[0]
	if l.Site != "a" || l.RecoveryTime != 1 || l.RecoveryTimeAfter != 0 || l.ServedAfter != 1 ||
		l.CheapestShare != 1 || l.Overload != 2 || l.ServedRequests < 0.49 ||
		l.ServedRequests > 0.51 || l.RejectedShares["charge-post"] != 0 ||
		l.RejectedShares["tariff-lookup"] != 1 || l.CrossSiteBefore != 1 ||
		l.CrossSiteShare > 0.5 || l.ServedFirst < 0.8 || l.ServedFirst > 0.92 {
		t.Errorf("wrong figures of the loss: %+v", l)
	}
	if v := check.Run(spec, all); len(v) != 0 {
		t.Errorf("got verdicts %v, want none", v)
	}
	spec.Bounds.LossRecoveryWithin = 500 * time.Millisecond
	spec.Bounds.MinServedAfterLoss = 1.1
	if v := check.Run(spec, all); len(v) != 2 {
		t.Errorf("got verdicts %v with tighter bounds, want 2", v)
	}
}
