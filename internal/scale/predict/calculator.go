package predict

import (
	"fernlanding/internal/scale/fit"
	"fernlanding/internal/scale/result"
)

// Calculator computes the tables of docs/CAPACITY.md.
type Calculator struct {
	target   *Target
	evidence *Evidence
}

// NewCalculator returns a calculator that predicts the costs of a target from measurements.
func NewCalculator(t *Target, e *Evidence) *Calculator { return &Calculator{target: t, evidence: e} }

// proxyNeeds holds the predicted resource usage of the control traffic of one proxy.
type proxyNeeds struct {
	in          amount // bytes per second
	out         amount // bytes per second
	bytes       amount // per second, in both directions
	messagesIn  amount // per second
	messagesOut amount // per second
	cores       amount
	memory      amount // bytes
	connections amount
}

func (c *Calculator) proxyNeeds(source result.Source, drivers fit.Drivers) proxyNeeds {
	predict := func(metric fit.Metric) amount {
		return c.evidence.predictProxy(source, metric, drivers, c.target.Assumed(ProcessBytes))
	}
	n := proxyNeeds{
		in:          predict(fit.BytesIn),
		out:         predict(fit.BytesOut),
		messagesIn:  predict(fit.MessagesIn),
		messagesOut: predict(fit.MessagesOut),
		cores:       predict(fit.CPU),
		memory:      predict(fit.RSS),
		connections: predict(fit.Connections),
	}
	n.bytes = n.in.plus(n.out)
	return n
}

// withoutCalls returns the drivers without calls, for control traffic only.
func withoutCalls(drivers fit.Drivers) fit.Drivers {
	drivers.Calls = 0
	return drivers
}

// ordinaryDrivers returns the drivers of a fleet on an ordinary day, without calls.
func (c *Calculator) ordinaryDrivers(model *fleetModel) fit.Drivers {
	return withoutCalls(model.driversUnder(model.ordinaryDay(c.target), c.minReadInterval()))
}

// minReadInterval returns the minimum time between two snapshot reads of a proxy, in seconds.
func (c *Calculator) minReadInterval() float64 { return c.target.Assumed(ReadIntervalMs) / 1000 }

// machines returns the number of machines that a tier needs for its CPU time, in cores, and its
// network traffic.
func (c *Calculator) machines(cores, bytesPerSecond amount) amount {
	use := c.target.Assumed(MachineUtilization)
	byCPU := cores.dividedBy(c.target.Assumed(MachineCores) * use)
	byNetwork := bytesPerSecond.dividedBy(c.target.Assumed(MachineNetwork) * 1e9 / 8 * use)
	return maxAmount(byCPU, byNetwork)
}
