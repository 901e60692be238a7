package standin

import (
	"fmt"
	"strings"
	"time"
)

// FleetDedupWindow is the dedup window of the billing service of a Fleet.
const FleetDedupWindow = 7500 * time.Millisecond

// Fleet is a tariff service and a billing service. Each service has five workers of three speeds
// and a Discovery of its own.
type Fleet struct {
	Workers []*Worker // workers of the tariff service, then of the billing service
	Effects *Effects
	tariff  *Discovery
	billing *Discovery
}

const workersPerService = 5

// NewFleet starts a Fleet. Close stops it.
func NewFleet() (*Fleet, error) {
	f := &Fleet{Effects: NewEffects(FleetDedupWindow)}
	if err := f.start(); err != nil {
		f.Close()
		return f, err
	}
	return f, nil
}

// start starts the discovery services and the workers.
func (f *Fleet) start() error {
	var err error
	f.tariff, err = NewDiscovery()
	if err != nil {
		return err
	}
	f.billing, err = NewDiscovery()
	if err != nil {
		return err
	}
	speeds := [workersPerService]float64{2, 1.2, 1.2, 0.8, 0.8}
	for i := range 2 * workersPerService {
		service, d := "tariff", f.tariff
		if i >= workersPerService {
			service, d = "billing", f.billing
		}
		w, err := NewWorker(WorkerConfig{
			Cores: 2, QueueSize: 16, ServiceTime: 5 * time.Millisecond, Speed: speeds[i%workersPerService],
			Cell: i % 2, Effects: f.Effects,
		})
		if err != nil {
			return err
		}
		f.Workers = append(f.Workers, w)
		name := fmt.Sprintf("%s-%d", service, i%workersPerService+1)
		d.Put(Member{Name: name, Address: w.Addr(), Zone: "a", Cell: i % 2})
	}
	return nil
}

// Close stops the workers and the discovery services.
func (f *Fleet) Close() {
	for _, w := range f.Workers {
		w.Close()
	}
	for _, d := range []*Discovery{f.tariff, f.billing} {
		if d != nil {
			d.Close()
		}
	}
}

// InjectFaults makes a number of workers eight times slower and a number of workers hang, and
// clears the faults of the others. The faulty workers are the first of each service, alternating
// between the services.
func (f *Fleet) InjectFaults(slow, hung int) {
	for i, w := range f.Workers {
		// The tariff service has the ranks 0, 2, 4 and so on, the billing service 1, 3, 5 and so
		// on.
		rank := 2 * (i % workersPerService)
		if i >= workersPerService {
			rank++
		}
		w.SetSlowdown(1)
		if rank < slow {
			w.SetSlowdown(8)
		}
		w.SetHung(rank >= slow && rank < slow+hung)
	}
}

// Classes returns the classes of requests that the fleet serves, in agreement with Config.
func (f *Fleet) Classes() []Class {
	return []Class{
		{
			Name: "tariff-lookup", Method: "GET", Path: "/tariffs/%d", Share: 0.6,
			Objective: 300 * time.Millisecond, Deadline: time.Second,
		},
		{
			Name: "usage-rate", Method: "POST", Path: "/usage", Body: `{"minutes":3}`, Keyed: true, Share: 0.25,
			Objective: 500 * time.Millisecond, Deadline: 2 * time.Second,
		},
		{
			Name: "charge-post", Method: "POST", Path: "/accounts/%d/charges", Body: `{"amount":"12.50"}`, Share: 0.15,
			Objective: 700 * time.Millisecond, Deadline: 2 * time.Second,
		},
	}
}

// Config returns the configuration file of a sidecar in front of the fleet, in the format of an
// application's file.
func (f *Fleet) Config(listen string) string {
	var b strings.Builder
	fmt.Fprintf(&b, `version = 1
name = "try"

[[listeners]]
address = %q

[services.tariff]
membership = "catalog"
discovery = %q
trusted = true

[services.billing]
membership = "catalog"
discovery = %q
trusted = true

`, listen, f.tariff.Addr(), f.billing.Addr())
	paths := [...]string{ // path matches of the routes, in the order of Classes
		`prefix = "/tariffs"`, `exact = "/usage"`, `template = "/accounts/{account}/charges"`,
	}
	for i, c := range f.Classes() {
		service, retryRule := "billing", "unsafe"
		switch {
		case c.Keyed:
			retryRule = "keyed"
		case c.Method == "GET":
			service, retryRule = "tariff", "safe"
		}
		fmt.Fprintf(&b, "[services.%s.classes.%s]\nrepeat = %q\nobjective = %q\ndeadline = %q\n",
			service, c.Name, retryRule, c.Objective, c.Deadline)
		if c.Keyed {
			fmt.Fprintf(&b, "dedup_scope = \"cell\"\ndedup_window = %q\n", FleetDedupWindow)
		}
		fmt.Fprintf(&b, "\n[[routes]]\nname = %q\n%s\nmethods = [%q]\nservice = %q\nclass = %q\n\n",
			c.Name, paths[i], c.Method, service, c.Name)
	}
	return b.String()
}
