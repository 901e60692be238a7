package fleetsim_test

import (
	"context"
	"fmt"
	"math"
	"testing"
	"time"

	"fernlanding/internal/fleetsim"
	"fernlanding/internal/sidecar/sidecartest"
	"fernlanding/internal/standin"
)

// The same load runs on sockets, through a sidecar to stand-in workers, and in the simulation, with
// backends of the same cores, speeds and queues. In the second case one backend becomes slow. The
// served fractions must differ by at most 0.05.
func TestDayOnSocketsIsServedAlike(t *testing.T) {
	if testing.Short() {
		t.Skip("runs some seconds of load")
	}
	const (
		work   = 40 * time.Millisecond
		length = 4 * time.Second
		rate   = 110.0
	)
	speeds := []float64{2, 1.2, 1.2, 0.8}
	class := standin.Class{
		Name: "lookup", Method: "GET", Path: "/lookup/%d", Share: 1,
		Objective: 200 * time.Millisecond, Deadline: time.Second,
	}
	for _, slow := range []bool{false, true} {
		onSockets := serviceOnSockets(t, socketsDay{
			speeds: speeds, work: work, class: class, rate: rate, length: length, slow: slow,
		})
		d := &fleetsim.Day{
			Length: fleetsim.Duration(length), Warmup: fleetsim.Duration(time.Millisecond), Rate: rate,
			Classes: []fleetsim.Class{{
				Name: "lookup", Share: 1, Work: fleetsim.Duration(work),
				LatencyObjective: fleetsim.Duration(class.Objective), Deadline: fleetsim.Duration(class.Deadline),
			}},
			Tiers: []fleetsim.Tier{{Replicas: 1, Work: 1}},
		}
		for _, s := range speeds {
			group := fleetsim.BackendGroup{Count: 1, Cores: 2, Speed: s, Slots: 2, QueueLength: 16}
			d.Tiers[0].Groups = append(d.Tiers[0].Groups, group)
		}
		if slow {
			d.Faults = []fleetsim.Fault{{
				Kind: fleetsim.FaultSlow, At: fleetsim.Duration(length / 5), Duration: fleetsim.Duration(length),
				Fraction: 0.25, Factor: 8,
			}}
		}
		if err := d.Complete(); err != nil {
			t.Fatal(err)
		}
		simulated := 0.0
		const runs = 8
		for seed := range uint64(runs) {
			d.Seed = seed
			simulated += fleetsim.Run(d, fleetsim.Options{}).Service() / runs
		}
		if math.Abs(onSockets-simulated) > 0.05 {
			t.Errorf("slow %v: got served fractions of %.3f on sockets and %.3f simulated; want them within 0.05",
				slow, onSockets, simulated)
		}
	}
}

// socketsDay describes a load on sockets.
type socketsDay struct {
	speeds []float64 // core speeds of the workers
	work   time.Duration
	class  standin.Class
	rate   float64 // requests per second
	length time.Duration
	slow   bool // whether one worker becomes slow
}

// serviceOnSockets returns the fraction of the requests that were served within their objective.
func serviceOnSockets(t *testing.T, day socketsDay) float64 {
	t.Helper()
	d, err := standin.NewDiscovery()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	var workers []*standin.Worker
	for i, s := range day.speeds {
		w, err := standin.NewWorker(standin.WorkerConfig{Cores: 2, QueueSize: 16, ServiceTime: day.work, Speed: s})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(w.Close)
		workers = append(workers, w)
		d.Put(standin.Member{Name: fmt.Sprint("w", i), Address: w.Addr(), Zone: "a"})
	}
	s := sidecartest.Start(t, fmt.Sprintf(`version = 1
name = "day"
[[listeners]]
address = "127.0.0.1:0"
[services.s]
membership = "catalog"
discovery = %q
trusted = true
[services.s.classes.lookup]
repeat = "safe"
objective = %q
deadline = %q
[[routes]]
name = "r"
prefix = "/"
methods = ["GET"]
service = "s"
class = "lookup"
`, d.Addr(), day.class.Objective, day.class.Deadline))
	if day.slow {
		fault := time.AfterFunc(day.length/5, func() { workers[0].SetSlowdown(8) })
		defer fault.Stop()
	}
	load := standin.Load{
		Addr: s.Addr(), Classes: []standin.Class{day.class}, Rate: day.rate, Duration: day.length, Seed: 1,
		IDPrefix: "day",
	}
	r := load.Run(context.Background())[0]
	return float64(r.Served-r.Late) / float64(r.Sent)
}
