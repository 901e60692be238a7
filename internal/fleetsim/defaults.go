package fleetsim

import (
	"fmt"
	"time"
)

// setDefault sets *v to value if *v is zero.
func setDefault[T comparable](v *T, value T) {
	var zero T
	if *v == zero {
		*v = value
	}
}

// setDefaults replaces the zero values of all fields that have a default.
func (d *Day) setDefaults() {
	setDefault(&d.Name, "day")
	setDefault(&d.Length, seconds(40))
	setDefault(&d.Warmup, seconds(3))
	setDefault(&d.OverQuotaWeight, 0.05)
	setDefault(&d.Quota, 0.6)
	setDefault(&d.Clients.AttemptTimeoutFraction, 1)
	setDefault(&d.Network.Latency, Duration(200*time.Microsecond))
	setDefault(&d.Network.UpdateDelay, seconds(1.5))
	for i := range d.Tenants {
		setDefault(&d.Tenants[i].Usage, 1)
	}
	for i := range d.Classes {
		setDefault(&d.Classes[i].Idempotency, idempotent)
	}
	for i := range d.Tiers {
		setDefault(&d.Tiers[i].Name, fmt.Sprintf("tier%d", i))
		d.Tiers[i].setDefaults()
	}
	for i := range d.Faults {
		d.Faults[i].setDefaults()
	}
}

// setDefaults replaces the zero values of a tier's fields except its name.
func (t *Tier) setDefaults() {
	setDefault(&t.Replicas, 2)
	setDefault(&t.Calls, 1)
	setDefault(&t.Cells, 2)
	setDefault(&t.SlowStartCapacity, 0.35)
	setDefault(&t.SlowStartWindow, seconds(6))
	setDefault(&t.OverloadWindow, seconds(2))
	setDefault(&t.RecoverBelow, 0.3)
	setDefault(&t.RecoverFor, seconds(4))
	setDefault(&t.MaxOverload, seconds(25))
	for i := range t.Groups {
		g := &t.Groups[i]
		setDefault(&g.Cores, 2)
		setDefault(&g.Speed, 1)
		setDefault(&g.Slots, g.Cores)
		setDefault(&g.QueueLength, 20*g.Cores)
	}
}

// setDefaults replaces the zero values of a fault's fields.
func (f *Fault) setDefaults() {
	setDefault(&f.Fraction, 0.1)
	setDefault(&f.Factor, 4)
	if f.Kind == FaultHotReplica {
		setDefault(&f.Share, 0.25)
	}
	setDefault(&f.Share, 1)
}
