package coldstart_test

import (
	"testing"
	"time"

	"fernlanding/internal/fleetsim/coldstart"
)

// measuredDay returns a day of one list service that serves 50 full polls per second with a queue
// of 100. For 200 replicas at scale 1 the same start was measured with real processes. The
// parameter scale multiplies the rate and the queue length.
func measuredDay(replicas int, scale float64) coldstart.Day {
	return coldstart.Day{
		Replicas: replicas, KnowsReplicas: true, Services: 1, FullPollRate: 50 * scale, QueueLength: int(100 * scale),
		ReplyLatency: time.Millisecond, Length: 40 * time.Second, Seed: 1,
	}
}

// run simulates a day twice, checks that both results are equal and returns the result.
func run(t *testing.T, d coldstart.Day) coldstart.Result {
	t.Helper()
	r, err := coldstart.Run(d)
	if err != nil {
		t.Fatal(err)
	}
	again, err := coldstart.Run(d)
	if err != nil || again != r {
		t.Fatalf("second run of the same day: got %+v, %v; want %+v", again, err, r)
	}
	return r
}

// A service sized for its fleet must serve all replicas within 2 s of the earliest possible time,
// and after an outage within 2 s of that time or of 20 ms per replica, whichever is longer.
// The peak of calls must stay within three times the steady rate, both at the start and after an
// outage of one minute. No full poll may time out at the start, and at most 5% may in the day with
// the outage.
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
			possible := max(replicas/d.FullPollRate, replicas*0.005) // first polls come at 200 per second
			r := run(t, d)
			if r.ReadyAll > possible+2 || r.TimedOut > 0 || r.PeakCalls > 3*r.SteadyCalls {
				t.Errorf("start: got %+v; want all replicas ready within 2 s of %.1f s, "+
					"no timeout, and a peak of at most 3 times the steady calls", r, possible)
			}
			d.OutageAt, d.OutageDuration, d.RestartedFraction = 10*time.Second, time.Minute, 0.6
			d.Length = 150 * time.Second
			r = run(t, d)
			if r.RecoveredAll > max(possible, replicas*0.02)+2 || float64(r.TimedOut) > 0.05*float64(r.FullPolls) ||
				r.PeakCallsAfterOutage > 3*r.SteadyCalls {
				t.Errorf("recovery: got %+v; want recovery in time, at most 5%% timeouts, "+
					"and a peak of at most 3 times the steady calls", r)
			}
		})
	}
}

func TestRunRejectsInvalidDays(t *testing.T) {
	for _, invalidate := range []func(*coldstart.Day){
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
		invalidate(&d)
		if _, err := coldstart.Run(d); err == nil {
			t.Errorf("Run accepted the invalid day %+v", d)
		}
	}
}
