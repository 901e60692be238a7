package fleetsim

import (
	"math"
	"testing"
	"time"
)

// singleBackend is a day of one tier of one backend, with one class whose objective does not bind.
func singleBackend(cores, slots int, rate float64) *Day {
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

// erlangC returns the probability that a request of M/M/c waits, with an offered load of so many
// cores.
func erlangC(cores int, load float64) float64 {
	sum, term := 0.0, 1.0
	for k := range cores {
		sum += term
		term *= load / float64(k+1)
	}
	top := term * float64(cores) / (float64(cores) - load)
	return top / (sum + top)
}

// A backend with as many slots as cores is M/M/c, one with many more M/M/c with shared processors,
// whose mean is the same; and what it holds is the rate times the latency (Little).
func TestBackendsMatchClosedForms(t *testing.T) {
	if raceEnabled {
		t.Skip("the same without goroutines to race, ten times as long")
	}
	for _, c := range []struct {
		cores, slots int
		utilization  float64
	}{{1, 1, 0.5}, {2, 2, 0.7}, {1, 1000, 0.6}, {2, 1000, 0.7}} {
		rate := c.utilization * float64(c.cores) * 100
		d := singleBackend(c.cores, c.slots, rate)
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
				t.Fatalf("%+v: %v, %d failed, %d shed", c, r.Violations, r.Failed, r.Shed)
			}
		}
		load := c.utilization * float64(c.cores)
		want := 0.010 + erlangC(c.cores, load)*0.010/(float64(c.cores)-load)
		if got := latencies / float64(served); math.Abs(got/want-1) > 0.05 {
			t.Errorf("%+v: mean latency %.5f s, %.5f s expected", c, got, want)
		}
		if got, want := held/float64(samples), rate*latencies/float64(served); math.Abs(got/want-1) > 0.05 {
			t.Errorf("%+v: %.3f held, %.3f by Little", c, got, want)
		}
	}
}
