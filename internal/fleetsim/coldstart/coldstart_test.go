package coldstart_test

import (
	"testing"
	"time"

	"fernlanding/internal/fleetsim/coldstart"
)

// measuredDay is the case that was measured over processes: 200 replicas, 50 full polls a second, a
// queue of a hundred; scale multiplies rate and queue.
func measuredDay(replicas int, scale float64) coldstart.Day {
	return coldstart.Day{
		Replicas: replicas, KnowsReplicas: true, Services: 1, FullPollRate: 50 * scale, QueueLength: int(100 * scale),
		ReplyLatency: time.Millisecond, Length: 40 * time.Second, Seed: 1,
	}
}

// run simulates a day twice and returns its result, which must be the same.
func run(t *testing.T, d coldstart.Day) coldstart.Result {
	t.Helper()
	r, err := coldstart.Run(d)
	if err != nil {
		t.Fatal(err)
	}
	again, err := coldstart.Run(d)
	if err != nil || again != r {
		t.Fatalf("the same day came out as %+v and as %+v, %v", r, again, err)
	}
	return r
}

// A service that is sized for its fleet serves all replicas soon after it could, no call is given
// up, and it sees no more than three times its steady calls, at the start and after an outage of a
// minute.
func TestStartAndRecovery(t *testing.T) {
	for _, c := range []struct {
		name string
		day  coldstart.Day
	}{
		{"two hundred", measuredDay(200, 1)},
		{"three hundred", measuredDay(300, 1.5)},
		{"three thousand", measuredDay(3000, 15)},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := c.day
			replicas := float64(d.Replicas)
			possible := max(replicas/d.FullPollRate, replicas*0.005) // first polls come 200 a second
			r := run(t, d)
			if r.ReadyAll > possible+2 || r.GivenUp > 0 || r.PeakCalls > 3*r.SteadyCalls {
				t.Errorf("start: %+v; could be ready after %.1f s", r, possible)
			}
			d.OutageAt, d.OutageDuration, d.RestartedFraction = 10*time.Second, time.Minute, 0.6
			d.Length = 150 * time.Second
			r = run(t, d)
			if r.RecoveredAll > max(possible, replicas*0.02)+2 || float64(r.GivenUp) > 0.05*float64(r.FullPolls) ||
				r.PeakCallsAfterOutage > 3*r.SteadyCalls {
				t.Errorf("recovery: %+v", r)
			}
		})
	}
}

// What is wrong with a day is reported before it is simulated.
func TestRunRejectsInvalidDays(t *testing.T) {
	for _, spoil := range []func(*coldstart.Day){
		func(d *coldstart.Day) { d.Replicas = 0 },
		func(d *coldstart.Day) { d.Services = 0 },
		func(d *coldstart.Day) { d.FullPollRate = 0 },
		func(d *coldstart.Day) { d.QueueLength = -1 },
		func(d *coldstart.Day) { d.Length = 2 * time.Hour },
		func(d *coldstart.Day) { d.OutageAt, d.OutageDuration = 30*time.Second, time.Minute },
		func(d *coldstart.Day) { d.RestartedFraction = 2 },
		func(d *coldstart.Day) { d.ReplyLatency = -1 },
	} {
		d := measuredDay(10, 1)
		spoil(&d)
		if _, err := coldstart.Run(d); err == nil {
			t.Errorf("simulated: %+v", d)
		}
	}
}
