package predict

import (
	"fernlanding/internal/scale/fit"
	"fernlanding/internal/scale/result"
)

// outcome is the predicted cost of an event over one source, including the cost of the fleet at
// rest.
type outcome struct {
	messages    amount // to proxies, over the whole event
	bytes       amount // to a typical proxy, over the whole event
	cores       amount // of the tier to which the proxies are connected
	propagation amount // seconds until all proxies have applied the changes
}

// relayHops is the number of hops from the source to a proxy: to the relay of the region, to the
// relay of the zone, to the proxy.
const relayHops = 3

// predictEvent returns the outcome of an event over a source.
func (c *Calculator) predictEvent(source result.Source, model *fleetModel, e event) outcome {
	reads, resumes, hops := e.listReads, 0.0, 1
	if source == result.SourceRelay {
		hops, resumes = relayHops, e.resumes
		if e.canResume {
			reads = 0
		}
	}
	drivers := withoutCalls(model.driversUnder(e.load, c.minReadInterval()))
	readCost := c.evidence.listReadCost(c.target)
	endpoints := reads * model.endpointsFollowed() / model.fleet.ServicesFollowed
	seconds, proxies := e.load.seconds, float64(model.fleet.Proxies)
	resumeBytes := resumes * model.fleet.ServicesFollowed * c.target.Assumed(ResumeBytes)
	out := outcome{
		messages: c.evidence.predict(source, fit.Proxies, fit.MessagesIn, drivers).times(seconds),
		bytes:    c.evidence.predict(source, fit.Proxies, fit.BytesIn, drivers).times(seconds / proxies),
	}
	out.messages.value += reads + resumes
	out.bytes.value += (readCost.bytes(reads, endpoints) + resumeBytes) / proxies
	longestQueue := known(0)
	for i, tier := range c.controlTiers(source, model, drivers) {
		need := c.evidence.predict(source, tier.role, fit.CPU, tier.drivers)
		if i == 0 { // the tier from which the proxies read their lists
			need.value += readCost.cpuSeconds(reads+resumes, endpoints) / seconds
			need.known = need.known && readCost.isMeasured
			out.cores = need
		}
		delay := c.queueDelay(need.value, seconds, tier.machines)
		longestQueue = maxAmount(longestQueue, amount{value: delay, known: need.known})
	}
	out.propagation = c.propagationTime(source, hops).plus(longestQueue)
	return out
}

// queueDelay returns the delay in seconds of the machines of a tier after a span, in seconds, in
// which they need the given number of cores.
func (c *Calculator) queueDelay(cores, span, machines float64) float64 {
	capacity := machines * c.target.Assumed(MachineCores) * c.target.Assumed(MachineUtilization)
	return span * max(0, cores/capacity-1)
}

// propagationTime returns the propagation time of a change in seconds, without queueing: the
// measured time over at most one relay plus the hops that were not measured.
func (c *Calculator) propagationTime(source result.Source, hops int) amount {
	further := c.target.Assumed(RegionRoundTripMs) / 1000
	if hops > 1 {
		further += float64(hops-2) * c.target.Assumed(CoalescingMs) / 1000
	}
	return c.evidence.medianPropagation(source).plus(known(further))
}
