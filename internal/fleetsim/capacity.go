package fleetsim

import "slices"

// classIndex returns the index of the class with the given name, or -1.
func (d *Day) classIndex(name string) int {
	return slices.IndexFunc(d.Classes, func(c Class) bool { return c.Name == name })
}

// tenantIndex returns the index of the tenant with the given name, or -1.
func (d *Day) tenantIndex(name string) int {
	return slices.IndexFunc(d.Tenants, func(t Tenant) bool { return t.Name == name })
}

// backendCount returns the number of backends in a tier.
func (d *Day) backendCount(tier int) int {
	n := 0
	for _, g := range d.Tiers[tier].Groups {
		n += g.Count
	}
	return n
}

// meanWork returns the mean work of a request over all classes, in seconds of a core of speed 1.
func (d *Day) meanWork() float64 {
	sum, share := 0.0, 0.0
	for _, c := range d.Classes {
		sum += c.Share * c.Work.Seconds()
		share += c.Share
	}
	return sum / share
}

// Capacity returns the requests per second that the tier with the lowest capacity can serve when
// all backends are warm and healthy.
func (d *Day) Capacity() float64 {
	lowest, calls := 0.0, 1.0
	for i, t := range d.Tiers {
		if i > 0 {
			calls *= t.Calls
		}
		if calls == 0 {
			break
		}
		cores := 0.0 // equivalent cores of speed 1
		for _, g := range t.Groups {
			cores += float64(g.Count*g.Cores) * g.Speed
		}
		capacity := cores / (d.meanWork() * t.Work * calls)
		if lowest == 0 || capacity < lowest {
			lowest = capacity
		}
	}
	return lowest
}

// RequestRate returns the mean rate of client requests per second without bursts.
func (d *Day) RequestRate() float64 {
	if d.Rate > 0 {
		return d.Rate
	}
	return d.Load * d.Capacity()
}

// callsPerRequest returns the mean number of calls that a client request causes in all tiers,
// including the request itself.
func (d *Day) callsPerRequest() float64 {
	sum, calls := 1.0, 1.0
	for _, t := range d.Tiers[1:] {
		calls *= t.Calls
		sum += calls
	}
	return sum
}

// maxBurstFactor returns an upper bound of the request rate with all bursts, as a multiple of
// RequestRate.
func (d *Day) maxBurstFactor() float64 {
	factor := 1.0
	for _, f := range d.Faults {
		if f.Kind == FaultBurst {
			factor += max(0, f.Factor-1)
		}
	}
	return factor
}

// tenantFraction returns a tenant's fraction of all requests.
func (d *Day) tenantFraction(tenant int) float64 {
	sum := 0.0
	for _, t := range d.Tenants {
		sum += t.Share * t.Usage
	}
	return d.Tenants[tenant].Share * d.Tenants[tenant].Usage / sum
}

// tenantShares returns the sum of the shares of all tenants.
func (d *Day) tenantShares() float64 {
	total := 0.0
	for _, t := range d.Tenants {
		total += t.Share
	}
	return total
}
