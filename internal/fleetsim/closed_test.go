package fleetsim

import (
	"math"
	"testing"
	"time"
)

// singleBackendDay returns a day with one tier of one backend. The latency objective of its only
// class is too long to have an effect.
func singleBackendDay(cores, slots int, rate float64) *Day {
	return &Day{
		Seed: 1, Length: Duration(2 * time.Minute), Warmup: seconds(10), Rate: rate, Noise: 0,
		Network: Network{Latency: Duration(time.Microsecond)},
		Classes: []Class{{
			Name: "c", Share: 1, Work: Duration(10 * time.Millisecond), CV: 1,
			LatencyObjective: Duration(time.Minute), Deadline: Duration(time.Minute),
		}},
		Tiers: []Tier{{
			Replicas: 1, Work: 1,
			Groups: []BackendGroup{{Count: 1, Cores: cores, Slots: slots, QueueLength: 100_000}},
		}},
	}
}

// erlangC returns the probability that a request waits in an M/M/c queue. The offered load is
// stated in cores.
func erlangC(cores int, load float64) float64 {
	sum, term := 0.0, 1.0
	for k := range cores {
		sum += term
		term *= load / float64(k+1)
	}
	waiting := term * float64(cores) / (float64(cores) - load)
	return waiting / (sum + waiting)
}

// A backend with as many slots as cores must behave like an M/M/c queue. With many more slots it is
// M/M/c processor sharing, whose mean latency is the same. By Little's law, the mean number of
// requests at the backend must equal the rate times the mean latency.
func TestBackendsMatchClosedForms(t *testing.T) {
	if raceEnabled {
		t.Skip("no goroutines to race, and the race detector makes the test ten times slower")
	}
	for _, c := range []struct {
		cores, slots int
		utilization  float64
	}{{1, 1, 0.5}, {2, 2, 0.7}, {1, 1000, 0.6}, {2, 1000, 0.7}} {
		rate := c.utilization * float64(c.cores) * 100
		d := singleBackendDay(c.cores, c.slots, rate)
		if err := d.Complete(); err != nil {
			t.Fatal(err)
		}
		latencies, served, held, samples := 0.0, 0, 0.0, 0
		for seed := range uint64(8) {
			d.Seed = seed
			s := newSimulation(d, Options{})
			s.onServed = func(latency int64) {
				latencies += float64(latency) / 1e6
				served++
			}
			s.onSampled = func() {
				b := s.backends[0][0]
				held += float64(len(b.running) + len(b.queue))
				samples++
			}
			if r := s.run(); len(r.Violations) > 0 || r.Failed+r.Shed > 0 {
				t.Fatalf("%+v: got violations %v, %d failed, %d shed; want none", c, r.Violations, r.Failed, r.Shed)
			}
		}
		load := c.utilization * float64(c.cores)
		want := 0.010 + erlangC(c.cores, load)*0.010/(float64(c.cores)-load)
		if got := latencies / float64(served); math.Abs(got/want-1) > 0.05 {
			t.Errorf("%+v: got a mean latency of %.5f s, want %.5f s", c, got, want)
		}
		if got, want := held/float64(samples), rate*latencies/float64(served); math.Abs(got/want-1) > 0.05 {
			t.Errorf("%+v: got a mean of %.3f requests at the backend, want %.3f", c, got, want)
		}
	}
}
